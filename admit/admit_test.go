package admit

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/goldcrestspan/goldcrestspan/bundle"
	"github.com/goldcrestspan/goldcrestspan/result"
)

var start = time.Date(2026, time.January, 1, 0, 0, 0, 0, time.UTC)

func testConfig() *bundle.Config {
	return &bundle.Config{Classes: []bundle.Class{
		{Name: "interactive", ReservedShare: 0.5},
		{Name: "batch", ReservedShare: 0.2},
	}}
}

func testController(limits Limits) *Controller {
	c := New(limits, rand.New(rand.NewPCG(1, 2)))
	c.Reconfigure(testConfig())
	return c
}

func ask(caller string, class int, deadline time.Time) Request {
	return Request{Caller: caller, Weight: 1, Class: class, Deadline: deadline, Bytes: 100, Services: []string{"a", "b"}, MinLegs: 2}
}

// A host that has just started is asked before it has a bundle. Admitting
// would serve without rules; the refusal sends the caller elsewhere.
func TestNothingIsAdmittedBeforeABundle(t *testing.T) {
	is := is.New(t)
	_, refusal := New(Limits{10, 1000}, rand.New(rand.NewPCG(1, 2))).Admit(start, ask("x", 0, start.Add(time.Second)))
	is.Equal(refusal.Code, result.NotReady)
}

func TestPassedDeadlineIsRefused(t *testing.T) {
	is := is.New(t)
	_, refusal := testController(Limits{10, 1000}).Admit(start, ask("x", 0, start))
	is.Equal(refusal.Code, result.DeadlineUnmeetable)
}

// Exports arrive in a burst and fill the host; the next screen is refused for
// lack of room, though its class reserves half the host.
func TestBatchCantFillTheRoomOfInteractive(t *testing.T) {
	is := is.New(t)
	c := testController(Limits{MaxConcurrent: 10, MaxBytes: 1 << 20})
	batch := 0
	for range 20 {
		if pass, _ := c.Admit(start, ask("exports", 1, start.Add(time.Minute))); pass != nil {
			batch++
		}
	}
	is.Equal(batch, 5)
	for range 5 {
		pass, _ := c.Admit(start, ask("screens", 0, start.Add(time.Minute)))
		is.True(pass != nil)
	}
	_, refusal := c.Admit(start, ask("screens", 0, start.Add(time.Minute)))
	is.Equal(refusal.Code, result.Overloaded)
	is.True(refusal.RetryAfter >= minComeBack)
}

func TestBytesAreBounded(t *testing.T) {
	is := is.New(t)
	c := testController(Limits{MaxConcurrent: 1000, MaxBytes: 1000})
	large := ask("exports", 1, start.Add(time.Minute))
	large.Bytes = 501
	_, refusal := c.Admit(start, large)
	is.Equal(refusal.Code, result.Overloaded) // 500 are kept for interactive
	large.Bytes = 500
	pass, _ := c.Admit(start, large)
	is.True(pass != nil)
	c.Release(start, pass, Completion{})
	is.Equal(c.Stats().Bytes, 0)
}

// feed runs requests one after another, each legs long, and returns the time.
func feed(c *Controller, now time.Time, n int, wait, took time.Duration) time.Time {
	for range n {
		pass, _ := c.Admit(now, ask("x", 0, now.Add(time.Minute)))
		now = now.Add(took)
		c.Release(now, pass, Completion{Answered: true, Legs: []LegTiming{
			{Service: "a", Time: took, QueueTime: wait}, {Service: "b", Time: took, QueueTime: wait},
		}})
	}
	return now
}

// One of a route's services takes 100 ms. A screen that can wait 50 ms would
// use a slot of every service and still get nothing at its deadline.
func TestDeadlineShorterThanTheSlowestServiceIsRefused(t *testing.T) {
	is := is.New(t)
	c := testController(Limits{100, 1 << 20})
	now := feed(c, start, 20, 0, 100*time.Millisecond)
	open, _ := c.Admit(now, ask("x", 0, now.Add(time.Second)))
	is.True(open != nil)
	_, refusal := c.Admit(now, ask("x", 0, now.Add(50*time.Millisecond)))
	is.Equal(refusal.Code, result.DeadlineUnmeetable)
	is.True(refusal.RetryAfter > 0)

	partial := ask("x", 0, now.Add(50*time.Millisecond))
	partial.MinLegs = 0
	pass, _ := c.Admit(now, partial)
	is.True(pass != nil) // the route can do without the slow legs
}

// After a time in which everything was refused nothing is measured any more.
// Without a way in, the service's recovery would never be seen.
func TestOneRequestIsLetInToMeasureAnew(t *testing.T) {
	is := is.New(t)
	c := testController(Limits{100, 1 << 20})
	now := feed(c, start, 20, 0, 100*time.Millisecond)
	soon := func() Request { return ask("x", 0, now.Add(50*time.Millisecond)) }
	probe, _ := c.Admit(now, soon())
	is.True(probe != nil) // nothing is in flight
	_, refusal := c.Admit(now, soon())
	is.True(refusal != nil)
	now = now.Add(2 * legWindow)
	pass, _ := c.Admit(now, soon())
	is.True(pass != nil) // what was measured has aged out
}

// A burst comes in while answers stay the same; the queue would outlast the
// deadlines, and every request would get its answer too late.
func TestBacklogLongerThanTheTimeLeftIsRefusedAtOnce(t *testing.T) {
	is := is.New(t)
	c := testController(Limits{1000, 1 << 20})
	now := start
	admitted, codes := 0, map[result.Code]int{}
	for range 200 {
		pass, refusal := c.Admit(now, ask("x", 0, now.Add(200*time.Millisecond)))
		if refusal != nil {
			codes[refusal.Code]++
			is.True(refusal.RetryAfter > 0)
			continue
		}
		is.True(pass != nil)
		admitted++
	}
	is.Equal(admitted, 11) // behind half of 200 ms at the first guess of 100 a second
	is.Equal(codes[result.Overloaded], 189)
	pass, _ := c.Admit(now, ask("x", 0, now.Add(100*time.Millisecond)))
	is.True(pass != nil) // an earlier deadline goes ahead of the queue
}

func TestSecondDoneDoesNothing(t *testing.T) {
	is := is.New(t)
	c := testController(Limits{10, 1000})
	pass, _ := c.Admit(start, ask("x", 0, start.Add(time.Second)))
	c.Release(start, pass, Completion{Abandoned: true})
	c.Release(start, pass, Completion{Abandoned: true})
	c.Release(start, nil, Completion{})
	is.Equal(c.Stats().InFlight, 0)
}

// A bundle renames a class while requests of the old one run: they are still
// counted against the host until they end.
func TestReconfigureKeepsWhatIsInFlight(t *testing.T) {
	is := is.New(t)
	c := testController(Limits{10, 1000})
	pass, _ := c.Admit(start, ask("x", 0, start.Add(time.Second)))
	c.Reconfigure(&bundle.Config{Classes: []bundle.Class{{Name: "batch"}, {Name: "screens"}}})
	is.Equal(c.Stats().InFlight, 1)
	c.Release(start, pass, Completion{})
	is.Equal(c.Stats().InFlight, 0)
}

// Refused callers that come back in the same moment make the next burst.
func TestComeBackTimesAreSpread(t *testing.T) {
	is := is.New(t)
	c := testController(Limits{MaxConcurrent: 2, MaxBytes: 1 << 20})
	seen := map[time.Duration]bool{}
	for range 50 {
		if _, refusal := c.Admit(start, ask("x", 0, start.Add(time.Second))); refusal != nil {
			seen[refusal.RetryAfter] = true
		}
	}
	is.True(len(seen) > 40)
}

// For any order of asks and ends: the bounds hold, a refusal says when to
// come back, and nothing is left in flight when all have ended.
func TestBoundsHoldForAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := Limits{MaxConcurrent: rapid.IntRange(1, 30).Draw(t, "count"), MaxBytes: rapid.IntRange(100, 3000).Draw(t, "bytes")}
		c := testController(limits)
		now := start
		var open []*Permit
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(-5, 300).Draw(t, "ms")) * time.Millisecond)
			if len(open) > 0 && rapid.Bool().Draw(t, "end") {
				i := rapid.IntRange(0, len(open)-1).Draw(t, "which")
				c.Release(now, open[i], Completion{Answered: rapid.Bool().Draw(t, "answered"), Legs: []LegTiming{{Service: "a", Time: 30 * time.Millisecond, QueueTime: -1}}})
				open = append(open[:i], open[i+1:]...)
				continue
			}
			a := ask(fmt.Sprint("c", rapid.IntRange(0, 3).Draw(t, "caller")), rapid.IntRange(0, 1).Draw(t, "class"), now.Add(time.Duration(rapid.IntRange(1, 2000).Draw(t, "left"))*time.Millisecond))
			a.Bytes = rapid.IntRange(0, 500).Draw(t, "size")
			pass, refusal := c.Admit(now, a)
			if (pass == nil) == (refusal == nil) {
				t.Fatal("want either a pass or a refusal")
			}
			if refusal != nil && (refusal.RetryAfter < minComeBack || !refusal.Code.NotRun()) {
				t.Fatalf("refusal %v after %v", refusal, refusal.RetryAfter)
			}
			if pass != nil {
				open = append(open, pass)
			}
			if stats := c.Stats(); stats.InFlight > limits.MaxConcurrent || stats.Bytes > limits.MaxBytes {
				t.Fatalf("over the bounds: %+v", stats)
			}
		}
		for _, pass := range open {
			c.Release(now, pass, Completion{})
		}
		if stats := c.Stats(); stats.InFlight != 0 || stats.Bytes != 0 {
			t.Fatalf("left in flight: %+v", stats)
		}
	})
}

// benchmarkLegs is the number of backend servers a query touches at the
// target size.
const benchmarkLegs = 92

func BenchmarkAdmit(b *testing.B) {
	c := testController(Limits{1000, 1 << 20})
	a := ask("x", 0, start.Add(time.Second))
	a.Services = nil
	legs := make([]LegTiming, benchmarkLegs)
	for i := range legs {
		name := fmt.Sprint("service-", i)
		a.Services = append(a.Services, name)
		legs[i] = LegTiming{Service: name, Time: 5 * time.Millisecond, QueueTime: time.Millisecond}
	}
	a.MinLegs = len(legs)
	now := start
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(6 * time.Millisecond)
		a.Deadline = now.Add(time.Second)
		first, _ := c.Admit(now, a)
		second, _ := c.Admit(now, a)
		c.Release(now, first, Completion{Answered: true, Legs: legs})
		c.Release(now, second, Completion{Answered: true, Legs: legs})
	}
}

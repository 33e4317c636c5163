package quota

import (
	"fmt"
	"math"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// settledBucket returns a full bucket.
func settledBucket(limit Limit) *bucket {
	depth := specified.depth(limit)
	return &bucket{limit: limit, depth: depth, level: depth, at: epoch, inCharge: true}
}

// Guards against returns that make room for more than a bucket that had never issued them, however
// late they are and in whatever order.
func TestReturnsMakeNoRoomBeyondTheBucket(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := settledBucket(Limit{PerSecond: rapid.SampledFrom([]float64{0.5, 5, 30}).Draw(t, "rate"), Burst: rapid.SampledFrom([]float64{0, 10}).Draw(t, "burst")})
		now := epoch
		type issue struct {
			at  time.Time
			seq uint32
		}
		var issued []issue // that run unless they are returned
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "wait")) * time.Millisecond)
			b.advance(now)
			if len(issued) > 0 && rapid.IntRange(0, 2).Draw(t, "return") == 0 {
				i := rapid.IntRange(0, len(issued)-1).Draw(t, "which")
				b.giveBack(issued[i].seq, 1)
				issued = append(issued[:i], issued[i+1:]...)
				continue
			}
			for b.level >= 1 && rapid.IntRange(0, 9).Draw(t, "take") > 0 {
				issued = append(issued, issue{now, b.take(1)})
			}
		}
		for i := range issued {
			for j := i; j < len(issued); j++ {
				allowed := b.depth + b.limit.PerSecond*issued[j].at.Sub(issued[i].at).Seconds()
				if n := j - i + 1; float64(n) > allowed+1e-3 {
					t.Fatalf("%d issued within %v, a bucket allows %.2f", n, issued[j].at.Sub(issued[i].at), allowed)
				}
			}
		}
	})
}

// Guards against a request that did not run and stays counted.
func TestReturnedRequestCanBeIssuedAgain(t *testing.T) {
	is := is.New(t)
	b := settledBucket(Limit{PerSecond: 0.1, Burst: 5})
	var seqs []uint32
	for b.level >= 1 {
		seqs = append(seqs, b.take(1))
	}
	b.advance(epoch.Add(8 * time.Second))
	before := b.level
	for _, seq := range seqs[:4] {
		b.giveBack(seq, 1)
	}
	is.True(math.Abs(b.level-before-4) < 1e-3)
	b.giveBack(b.seq+1, 1) // never issued
	is.True(math.Abs(b.level-before-4) < 1e-3)
}

// Guards against callers that are told to come back before there is room, or all at once.
func TestRetryTimesAreTrueAndSpread(t *testing.T) {
	for _, limit := range []Limit{{PerSecond: 1, Burst: 2}, {PerSecond: 30, Burst: 30}} {
		f := newFleet(8, 8, limit, 3)
		random := rand.New(rand.NewPCG(3, 3))
		due := make(map[int][]int) // hosts, by step
		offered, returned, served, early := 0, 0, 0, 0
		perStep := make(map[int]int)
		const steps = 40_00
		for s := range steps {
			now := epoch.Add(time.Duration(s) * step)
			f.advance(now)
			// A burst of three seconds' worth once; each refused caller comes back when it was told.
			callers := due[s]
			if s >= 1000 && s < 1000+int(3*limit.PerSecond) {
				callers = append(callers, -1)
			}
			for _, caller := range callers {
				host := random.IntN(8)
				ok, refusal, _ := f.decide(now, host)
				if caller < 0 {
					offered++
				} else {
					returned++
				}
				switch {
				case ok:
					served++
				case refusal.RetryAfter <= 0:
					early++
				default:
					at := s + int(refusal.RetryAfter/step) + 1
					due[at] = append(due[at], host)
					perStep[at]++
				}
			}
		}
		if early > 0 {
			t.Errorf("%v: %d refusals without a time", limit, early)
		}
		if served != offered {
			t.Errorf("%v: %d of %d callers served within 30 s", limit, served, offered)
		}
		// Mostly one return each: a caller whose time was true finds room.
		if returned > 2*offered {
			t.Errorf("%v: %d callers came back %d times", limit, offered, returned)
		}
		most := 0
		for _, n := range perStep {
			most = max(most, n)
		}
		if float64(most) > max(3, limit.PerSecond/3) {
			t.Errorf("%v: %d callers come back within 10 ms", limit, most)
		}
	}
}

// Guards against a flood that makes hosts call the grantor for each refused request.
func TestFloodCausesNoCallPerRequest(t *testing.T) {
	limit := Limit{PerSecond: 5, Burst: 5}
	flood := func(time.Duration) float64 { return 60 * limit.PerSecond }
	out := play(newFleet(8, 8, limit, 1), 8, limit, flood, false, 1)
	perHost := (out.background + out.path) / 8
	if most := float64(time.Second/CallInterval) + 1; perHost > most {
		t.Errorf("%.1f calls a second and host, want at most %.1f", perHost, most)
	}
}

// Guards against refusals within the limit after a planned change of the grantor, once all hosts
// know of it.
func TestPlannedChangeOfGrantorRefusesOnlyWhileViewsDiffer(t *testing.T) {
	for _, limit := range []Limit{{PerSecond: 1, Burst: 2}, {PerSecond: 30, Burst: 30}} {
		changeGrantor(t, limit, true, gossipDelay)
	}
}

// Guards against a loss of the grantor that keeps requests within the limit from being served for
// longer than the other hosts need to notice it, a new grantor waits, and its bucket fills again
// at a tenth of the rate, which is what the customer leaves.
func TestLossOfGrantorRefusesForAShortTime(t *testing.T) {
	for _, limit := range []Limit{{PerSecond: 1, Burst: 2}, {PerSecond: 30, Burst: 30}} {
		changeGrantor(t, limit, false, lossDetection+gossipDelay+viewDelay+seconds(limit.Burst/(0.1*limit.PerSecond)))
	}
}

// changeGrantor ends the grantor while a customer keeps within its limit, and checks that all
// requests at the other hosts are admitted later than refusing after that.
func changeGrantor(t *testing.T, limit Limit, planned bool, refusing time.Duration) {
	t.Helper()
	d := newDrill(8, 8, limit, 5)
	lost := d.grantorOf(d.hosts[0])
	reference := ideal{limit: limit}
	const at = 15 * time.Second
	refused, late, offered := 0, 0, 0
	if planned {
		d.at(epoch.Add(at), func(now time.Time) {
			for i, h := range d.hosts {
				if h == lost { // it knows first
					d.lost[i][i] = true
					d.publish(now, i)
					d.learn(now, i, true, func() bool { return true })
				}
			}
		})
	} else {
		d.at(epoch.Add(at), func(now time.Time) {
			for i, h := range d.hosts {
				if h == lost {
					d.kill(now, i)
				}
			}
		})
	}
	for s := time.Duration(0); s < 40*time.Second; s += step {
		now := epoch.Add(s)
		for i := 0; i < len(d.due); i++ {
			if event := d.due[i]; !event.at.After(now) {
				d.due = append(d.due[:i], d.due[i+1:]...)
				i--
				event.do(now)
			}
		}
		d.advance(now)
		for range poisson(d.random, 0.9*limit.PerSecond*step.Seconds()) {
			host := d.random.IntN(8)
			if s < 10*time.Second || d.hosts[host] == lost || !reference.admits(now) {
				continue
			}
			offered++
			if ok, _ := d.admit(now, host); !ok {
				refused++
				if s > at+refusing {
					late++
				}
			}
		}
	}
	t.Logf("planned %v, %v: %d of %d requests within the limit refused", planned, limit, refused, offered)
	if late > 0 {
		t.Errorf("planned %v, %v: %d requests within the limit refused later than %v after the change", planned, limit, late, refusing)
	}
}

// BenchmarkManyCustomers reports the cost of a decision and the memory with 100,000 customers.
func BenchmarkManyCustomers(b *testing.B) {
	const customers = 100_000
	limits := make(map[string]Limit, customers)
	names := make([]string, customers)
	for i := range names {
		names[i] = fmt.Sprintf("customer-%06d", i)
		limits[names[i]] = Limit{PerSecond: 5, Burst: 10}
	}
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	g := NewGrantor(specified, 1)
	g.SetLimits(epoch, limits)
	g.SetView(epoch.Add(-time.Minute), func(string) bool { return true })
	a := NewAccounts(specified, rand.Float64)
	a.SetCredit(epoch.Add(-time.Minute), true, 8)
	now := epoch
	for _, name := range names {
		_, _ = a.Admit(now, name)
		if ask, ok := a.AskFor(now, name); ok {
			a.Answer(now, now, "host", 1, ask, g.Serve(now, []Ask{ask})[0])
		}
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	i := 0
	for b.Loop() {
		now = now.Add(10 * time.Microsecond)
		name := names[i%customers]
		i++
		_, _ = a.Admit(now, name)
		if ask, ok := a.AskFor(now, name); ok {
			a.Answer(now, now, "host", 1, ask, g.Serve(now, []Ask{ask})[0])
		}
	}
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/customers, "B/customer")
	runtime.KeepAlive(g)
	runtime.KeepAlive(a)
}

// Guards against a request that is told that its customer is over the limit although the grantor
// has not answered in time.
func TestRequestThatWaitedInVainIsNotOverTheLimit(t *testing.T) {
	is := is.New(t)
	a := NewAccounts(specified, func() float64 { return 0 })
	now := epoch
	_, refusal := a.Admit(now, testCustomer)
	is.True(refusal.Ask)
	ask, ok := a.AskFor(now, testCustomer)
	is.True(ok)
	a.Answer(now, now, "host", 1, ask, Grant{RoomIn: 10 * time.Millisecond, RetryIn: 10 * time.Millisecond, Spacing: time.Second, Slots: 1})
	_, refusal = a.AdmitAnswered(now, testCustomer, false)
	is.True(!refusal.Until.IsZero()) // over the limit
	now = now.Add(time.Second)
	_, refusal = a.Admit(now, testCustomer)
	is.True(refusal.Ask)
	now = now.Add(CallTimeout)
	_, refusal = a.AdmitAnswered(now, testCustomer, true)
	is.True(refusal.Until.IsZero() && !refusal.Ask)
	is.True(refusal.RetryAfter > 0 && refusal.RetryAfter <= time.Second)
}

// Guards against credit beyond the specified slack, at hosts that callers aren't directed to, and
// right after a start.
func TestCreditOfAllHostsIsHalfOfTheSlack(t *testing.T) {
	is := is.New(t)
	for _, hosts := range []int{1, 3, 8, 10, 11, 66} {
		credit := 0
		for range hosts {
			a := NewAccounts(specified, rand.Float64)
			a.SetCredit(epoch, true, hosts)
			for _, tooEarly := range []time.Duration{0, specified.Window} {
				_, refusal := a.Admit(epoch.Add(tooEarly), "early")
				is.True(refusal != nil)
			}
			for now := epoch.Add(time.Minute); ; credit++ {
				if _, refusal := a.Admit(now, testCustomer); refusal != nil {
					break
				}
			}
			a.SetCredit(epoch.Add(time.Minute), false, hosts)
			_, refusal := a.Admit(epoch.Add(2*time.Minute), "other")
			is.True(refusal != nil)
		}
		is.True(float64(credit) <= specified.Slack/2)
	}
}

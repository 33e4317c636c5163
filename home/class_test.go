package home

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// rankedConfig has an urgent class and a less urgent one, without reserved shares.
func rankedConfig() Config {
	cfg := config()
	urgent, lessUrgent := 0, 1
	cfg.Classes = []ClassSpec{
		interactive: {Name: "p0-80ms", MaxQueue: 400, Priority: &urgent},
		batch:       {Name: "p1-300ms", MaxQueue: 400, Priority: &lessUrgent},
	}
	return cfg
}

// replay runs a home's legs in virtual time, each for the service time of its class, while
// keepBacklog refills the queues. It returns the slot time used by each class.
func (h *harness) replay(length time.Duration, serviceTimes [2]time.Duration, keepBacklog func()) (used [2]time.Duration) {
	type end struct {
		at     time.Time
		action Action
	}
	var ends []end
	classOf := map[LegID]int{}
	known := 0
	for until := h.now.Add(length); h.now.Before(until); {
		keepBacklog()
		for id, l := range h.home.legs {
			classOf[id] = l.Class
		}
		for ; known < len(h.running); known++ {
			a := h.running[known]
			ends = append(ends, end{h.now.Add(serviceTimes[classOf[a.Leg]]), a})
		}
		next := 0
		for i := range ends {
			if ends[i].at.Before(ends[next].at) {
				next = i
			}
		}
		e := ends[next]
		ends = append(ends[:next], ends[next+1:]...)
		h.now = e.at
		used[classOf[e.action.Leg]] += serviceTimes[classOf[e.action.Leg]]
		h.finish(e.action, ran())
		known--
	}
	return used
}

// backlog submits legs until this many of the class wait. Each has its soft deadline in the
// given time.
func (h *harness) backlog(class, count int, target time.Duration) {
	for h.home.classes[class].waiting.len() < count {
		l := h.newLeg(class, 10*time.Second)
		l.SoftDeadline = h.now.Add(target)
		h.submitLeg(l)
	}
}

// Guards against lookups with a target of 80 ms that wait behind searches with one of 300 ms.
func TestMoreUrgentClassGoesFirst(t *testing.T) {
	h := newHarness(t, rankedConfig(), 3)
	h.disableProbes()
	h.backlog(batch, 20, 300*time.Millisecond)
	h.advance(10 * time.Millisecond)
	h.backlog(interactive, 4, 80*time.Millisecond)
	for range 4 {
		started := ofKind(h.finish(h.running[0], ran()), ActionStart)
		h.is.Equal(len(started), 1)
		h.is.Equal(h.home.legs[started[0].Leg].Class, interactive)
	}
}

// Guards against an urgent class whose demand exceeds the capacity starving the others: no
// class is to be served less than a quarter as often as all.
func TestLessUrgentClassIsNotStarved(t *testing.T) {
	is := is.New(t)
	for _, times := range [][2]time.Duration{
		{9200 * time.Microsecond, 28 * time.Millisecond},
		{3800 * time.Microsecond, 11 * time.Millisecond},
		{74 * time.Millisecond, 224 * time.Millisecond}, // every server slow by 8
	} {
		h := newHarness(t, rankedConfig(), 3)
		h.disableProbes()
		used := h.replay(5*time.Second, times, func() {
			h.backlog(interactive, 30, time.Second)
			h.backlog(batch, 30, time.Second)
		})
		part := used[batch].Seconds() / (used[interactive] + used[batch]).Seconds()
		t.Logf("urgent %v, other %v: the other got %.3f of the slot time", times[interactive], times[batch], part)
		// With equal demands, a quarter as often as all is an eighth of the slot time.
		is.True(part >= 0.125)
		is.True(part < 0.5) // and the urgent class goes first
	}
}

// Guards against slots spent on lookups that are late anyway while searches can still be on
// time.
func TestLateLegsYieldToLessUrgentClass(t *testing.T) {
	h := newHarness(t, rankedConfig(), 1)
	h.disableProbes()
	h.runLegs(60) // 5 ms each
	h.backlog(interactive, 3, 20*time.Millisecond)
	h.backlog(batch, 3, 300*time.Millisecond)
	h.advance(30 * time.Millisecond)
	started := ofKind(h.finish(h.running[0], ran()), ActionStart)
	h.is.Equal(h.home.legs[started[0].Leg].Class, batch)
}

// Guards against priorities that apply although not every class states one.
func TestPrioritiesApplyOnlyIfAllClassesHaveOne(t *testing.T) {
	is := is.New(t)
	cfg := rankedConfig()
	is.True(hasPriorities(cfg.Classes))
	is.True(!hasPriorities(config().Classes))
	cfg.Classes[interactive].Priority = nil
	is.True(!hasPriorities(cfg.Classes))
	cfg.Classes[interactive].Priority = cfg.Classes[batch].Priority
	is.True(!hasPriorities(cfg.Classes)) // all are equally urgent
}

// Guards against an urgent class that yields because a late leg near its deadline comes first in
// the order by deadline.
func TestLateLegDoesNotHoldUpItsClass(t *testing.T) {
	h := newHarness(t, rankedConfig(), 1)
	h.disableProbes()
	h.runLegs(60) // 5 ms each
	h.backlog(interactive, 1, 80*time.Millisecond)
	late := h.newLeg(interactive, 75*time.Millisecond)
	late.SoftDeadline = h.now.Add(40 * time.Millisecond)
	h.submitLeg(late)
	h.advance(60 * time.Millisecond)
	h.backlog(interactive, 2, 80*time.Millisecond)
	h.backlog(batch, 3, 300*time.Millisecond)
	h.is.Equal(h.home.classes[interactive].waiting.legs[0].ID, late.ID)
	started := ofKind(h.finish(h.running[0], ran()), ActionStart)
	h.is.Equal(h.home.legs[started[0].Leg].Class, interactive)
}

// BenchmarkLegWithPriorities is BenchmarkLeg with classes that have priorities, without and with
// callers.
func BenchmarkLegWithPriorities(b *testing.B) {
	for _, callers := range []int{0, 75} {
		b.Run(fmt.Sprintf("callers=%d", callers), func(b *testing.B) {
			homes := newHomes(50, 2)
			for _, h := range homes {
				h.home.Reconfigure(h.now, rankedConfig(), nil)
			}
			names := make([]string, max(callers, 1))
			for i := range callers {
				names[i] = fmt.Sprint("customer ", i)
			}
			acts := make([]Action, 0, 8)
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				acts = homes[i%len(homes)].runLegOf(names[i%len(names)], acts)
				i++
			}
		})
	}
}

// runLegOf is runLeg with a caller and a soft deadline.
func (h *harness) runLegOf(caller string, acts []Action) []Action {
	h.lastID++
	h.now = h.now.Add(time.Millisecond)
	acts = h.home.Submit(h.now, Leg{
		ID: h.lastID, Class: interactive, Caller: caller, Deadline: h.now.Add(time.Second), SoftDeadline: h.now.Add(80 * time.Millisecond),
		Idempotent: true, Bytes: 100,
	}, acts[:0])
	attempt := acts[0].Attempt
	h.now = h.now.Add(5 * time.Millisecond)
	return h.home.Finish(h.now, attempt, ran(), acts[:0])
}

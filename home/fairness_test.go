package home

import (
	"encoding/binary"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/goldcrestspan/goldcrestspan/ident"

	"github.com/goldcrestspan/goldcrestspan/result"
)

// search returns the ID of a search by its number.
func search(number uint64) (id ident.RequestID) {
	binary.BigEndian.PutUint64(id[8:], number)
	return id
}

// submitSearch submits a customer's leg with a target of 300 ms.
func (h *harness) submitSearch(caller string, number uint64) LegID {
	l := h.newLeg(batch, 2*time.Second)
	l.Request, l.Caller, l.SoftDeadline = search(number), caller, h.now.Add(300*time.Millisecond)
	return h.submitLeg(l)
}

// flood submits searches of a customer at a rate.
func (h *harness) flood(caller string, count int, interval time.Duration) {
	for i := range count {
		h.submitSearch(caller, uint64(1000+i))
		h.advance(interval)
	}
}

// Guards against a customer at many times its usual rate that delays all others.
func TestFloodOfOneCallerDoesNotDelayOthers(t *testing.T) {
	h := newHarness(t, rankedConfig(), 3)
	h.disableProbes()
	h.flood("flooding", 60, 5*time.Millisecond)
	other := h.submitSearch("other", 1)
	started := ofKind(h.finish(h.running[0], ran()), ActionStart)
	h.is.Equal(started[0].Leg, other)
}

// Guards against homes that start legs of different searches, so that no search is complete:
// arrivals in another order within milliseconds must hardly change the ranks.
func TestHomesRankTheLegsOfASearchAlike(t *testing.T) {
	is := is.New(t)
	const homes, searches = 9, 400
	random := rand.New(rand.NewPCG(1, 0))
	started := make(map[uint64]int)
	for home := range homes {
		h := newHarness(t, rankedConfig(), 3)
		h.disableProbes()
		times := [2]time.Duration{batch: 25*time.Millisecond + time.Duration(home)*time.Millisecond} // servers differ
		type arrival struct {
			at     time.Time
			caller string
			number uint64
		}
		var arrivals []arrival
		for i := range searches {
			caller := "flooding"
			if i%10 == 0 {
				caller = "other"
			}
			jitter := time.Duration(random.IntN(3000)) * time.Microsecond
			arrivals = append(arrivals, arrival{start.Add(time.Duration(i)*2*time.Millisecond + jitter), caller, uint64(i)})
		}
		numbers := map[LegID]uint64{}
		h.replay(time.Second, times, func() {
			for len(arrivals) > 0 && !h.now.Before(arrivals[0].at) {
				numbers[h.submitSearch(arrivals[0].caller, arrivals[0].number)] = arrivals[0].number
				arrivals = arrivals[1:]
			}
			if len(h.running) == 0 {
				h.submitSearch("other", searches)
			}
		})
		for id, number := range numbers {
			if l := h.home.legs[id]; l == nil || l.attemptCount > 0 {
				started[number]++
			}
		}
	}
	var whole, partly int
	var wholeOthers int
	for number := range uint64(searches) {
		switch started[number] {
		case homes:
			whole++
			if number%10 == 0 {
				wholeOthers++
			}
		case 0:
		default:
			partly++
		}
	}
	t.Logf("of %d searches, %d started at all homes, %d at some; %d of the %d of the other customer at all", searches, whole, partly, wholeOthers, searches/10)
	is.True(whole > partly)
	is.True(wholeOthers >= searches/10*9/10)
}

// Guards against a full queue of one customer that keeps out the others.
func TestFullQueueOfOneCallerAdmitsOthers(t *testing.T) {
	cfg := rankedConfig()
	cfg.Classes[batch].MaxQueue = 20
	h := newHarness(t, cfg, 1)
	h.disableProbes()
	h.flood("flooding", 30, time.Millisecond)
	h.is.Equal(h.home.classes[batch].waiting.len(), 20)
	other := h.submitSearch("other", 1)
	failed := ofKind(h.lastActions, ActionFail)
	h.is.Equal(len(failed), 1)
	h.is.True(failed[0].Leg != other)
	h.is.Equal(failed[0].Code, result.Overloaded)
	h.is.True(failed[0].Outcome.NotRun())
	h.is.Equal(h.home.classes[batch].waiting.legs[0].ID, other)
}

// Guards against an order of a customer alone, or without customers, that differs from that by
// deadline and request.
func TestCallerAloneIsServedByDeadline(t *testing.T) {
	for _, caller := range []string{"", "alone"} {
		h := newHarness(t, rankedConfig(), 1)
		h.disableProbes()
		h.flood(caller, 40, time.Millisecond)
		waiting := h.home.classes[batch].waiting.legs
		for i := 1; i < len(waiting); i++ {
			h.is.True(!waiting[i].orderBy.Before(waiting[i-1].orderBy))
		}
		h.is.Equal(h.home.classes[batch].waiting.ranked > 0, caller != "")
	}
}

// Guards against a share that grows with the demand: of each caller that is over its share, about
// as many legs are to be below a rank, and more with a higher weight.
func TestCallersHaveEqualLegsBelowARank(t *testing.T) {
	is := is.New(t)
	rates := map[string]int{"a": 10, "b": 20, "weighted": 20}
	var s callerShares
	below := map[string]int{}
	number := uint64(0)
	for ms := range 60_000 {
		now := start.Add(time.Duration(ms) * time.Millisecond)
		for caller, rate := range rates {
			if ms%(2000/rate) != 0 {
				continue
			}
			weight := 1.0
			if caller == "weighted" {
				weight = 2
			}
			number++
			l := &leg{Leg: Leg{Caller: caller, Request: search(number)}}
			s.rank(l, now, 0.01, weight, 0)
			if ms > 2000 && l.callerRank < 0.02 {
				below[caller]++
			}
		}
	}
	t.Log(below)
	is.True(math.Abs(float64(below["b"])/float64(below["a"])-1) < 0.5)
	is.True(float64(below["weighted"])/float64(below["b"]) > 1.5)
}

// Guards against state for each of 100,000 customers.
func TestIdleCallersAreForgotten(t *testing.T) {
	is := is.New(t)
	var s callerShares
	for i := range 100_000 {
		l := &leg{Leg: Leg{Caller: fmt.Sprint("customer ", i), Request: search(uint64(i))}}
		s.rank(l, start.Add(time.Duration(i)*time.Millisecond/10), 0.01, 1, 0)
	}
	is.True(len(s.recent) <= maxCallers)
}

// Guards against a queue whose order depends on how it was reached.
func TestQueueStaysSortedInBothOrders(t *testing.T) {
	is := is.New(t)
	random := rand.New(rand.NewPCG(2, 0))
	var q queue
	for i := range 3000 {
		if q.len() > 0 && random.IntN(3) == 0 {
			q.remove(q.legs[random.IntN(q.len())])
		}
		if random.IntN(50) == 0 {
			q.setByRank(!q.byRank)
		}
		l := &leg{Leg: Leg{ID: LegID(i), Deadline: start.Add(time.Second)}, orderBy: start.Add(time.Duration(random.IntN(1200)) * time.Millisecond)}
		if random.IntN(2) == 0 {
			l.ranked, l.callerRank, l.late = true, random.Float64(), random.IntN(4) == 0
		}
		q.insert(l)
		for j := 1; j < q.len(); j++ {
			is.True(q.before(q.legs[j-1], q.legs[j]))
		}
	}
	ranked := 0
	for _, l := range q.legs {
		if l.ranked {
			ranked++
		}
		is.True(!q.deadlineBound.After(l.Deadline))
	}
	is.Equal(ranked, q.ranked)
}

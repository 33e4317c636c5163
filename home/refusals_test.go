package home

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/goldcrestspan/goldcrestspan/ident"
)

// Guards against preferring servers that refuse often because they look idle.
func TestRefusingServersGetFewerLegs(t *testing.T) {
	cfg := config()
	cfg.ChargeRefusals = true
	h := newHarness(t, cfg, 4)
	h.runLegs(200)
	refused, failed := 0, 0
	rnd := rand.New(rand.NewPCG(1, 1))
	ends := make(map[ident.AttemptID]plannedEnd)
	const legs = 4000
	for range legs {
		h.record(h.home.Submit(h.now, h.idempotentLeg(500*time.Millisecond), nil))
		for until := h.now.Add(time.Millisecond); h.now.Before(until); h.advance(250 * time.Microsecond) {
			for _, started := range slices.Clone(h.running) {
				end, planned := ends[started.Attempt]
				if !planned {
					end = plannedEnd{at: h.now.Add(5 * time.Millisecond), end: ran()}
					if (started.Server == "s0" || started.Server == "s1") && rnd.IntN(5) < 2 {
						end = plannedEnd{at: h.now.Add(250 * time.Microsecond), end: shed()}
					}
					ends[started.Attempt] = end
				}
				if h.now.Before(end.at) {
					continue
				}
				if end.end == shed() {
					refused++
				}
				failed += len(ofKind(h.finish(started, end.end), ActionFail))
			}
		}
	}
	t.Logf("refused %d, failed %d of %d", refused, failed, legs)
	h.is.True(refused < legs/12)
	h.is.Equal(failed, 0)
}

// plannedEnd is the scripted end of an attempt.
type plannedEnd struct {
	at  time.Time
	end AttemptResult
}

func (h *harness) idempotentLeg(in time.Duration) Leg {
	leg := h.newLeg(interactive, in)
	leg.Idempotent = true
	return leg
}

// Guards against a server that recovered and doesn't get its share of the legs back.
func TestRecoveredServerGetsItsShareBack(t *testing.T) {
	h := newHarness(t, config(), 2)
	h.runLegs(200)
	s := h.home.findServer("s0")
	for range 50 {
		s.recordRefusal(h.now, time.Millisecond, 0)
	}
	h.advance(maxPause)
	legsAt := map[string]int{}
	const rounds = 2400 // 12 s
	for range rounds {
		h.submit(interactive, time.Second, true)
		h.submit(interactive, time.Second, true)
		h.submit(interactive, time.Second, true)
		h.advance(5 * time.Millisecond)
		for len(h.running) > 0 {
			legsAt[h.running[0].Server]++
			h.finish(h.running[0], ran())
		}
	}
	h.is.True(s.refusalRate.value(h.now) < 0.05)
	h.is.True(legsAt["s0"] > rounds/4) // of three per round, once it is tried again
}

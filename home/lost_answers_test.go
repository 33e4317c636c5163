package home

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/goldcrestspan/goldcrestspan/ident"
)

// Guards against preferring the server of the same zone while it loses answers.
func TestServersLosingAnswersGetFewerLegs(t *testing.T) {
	cfg := config()
	cfg.RetryBudget, cfg.RetryBurst = 1, 100
	cfg.CrossZonePenaltySeconds = 0.015
	h := newHarness(t, cfg, 3)
	h.servers[1].SameZone, h.servers[2].SameZone = false, false
	h.setServers()
	h.runLegs(200)
	lost, failed := 0, 0
	rnd := rand.New(rand.NewPCG(1, 1))
	ends := make(map[ident.AttemptID]plannedEnd)
	const legs = 1000
	for range legs {
		leg := h.idempotentLeg(500 * time.Millisecond)
		leg.MaxServers, leg.Forwarded = 2, true
		h.record(h.home.Submit(h.now, leg, nil))
		for until := h.now.Add(10 * time.Millisecond); h.now.Before(until); h.advance(time.Millisecond) {
			for _, started := range slices.Clone(h.running) {
				end, planned := ends[started.Attempt]
				if !planned {
					end = plannedEnd{at: h.now.Add(5 * time.Millisecond), end: ran()}
					if started.Server == "s0" && rnd.IntN(5) < 2 {
						end.end = unknown()
					}
					ends[started.Attempt] = end
				}
				if h.now.Before(end.at) {
					continue
				}
				if end.end == unknown() {
					lost++
				}
				failed += len(ofKind(h.finish(started, end.end), ActionFail))
			}
		}
	}
	t.Logf("lost %d, failed %d of %d", lost, failed, legs)
	h.is.True(lost < legs/50)
	h.is.Equal(failed, 0)
}

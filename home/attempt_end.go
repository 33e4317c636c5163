package home

import (
	"time"

	"github.com/goldcrestspan/goldcrestspan/backend"
)

// healthyRatio is how much slower than the fastest server a server may be for its times
// to enter the class's quantiles. Slower ones would raise the hedge delay.
const healthyRatio = 2

// recordEnd updates the state of the server with an attempt's end.
func (h *Home) recordEnd(now time.Time, a *attempt, end AttemptResult) {
	s := a.server
	if end.HasLoad {
		s.recordLoad(now, end.Load)
	}
	if a.wasPipelined {
		s.pipeline.recordEnd(now, isRefusal(end))
	}
	switch {
	case a.wasPipelined && isRefusal(end):
		// refused a pipelined attempt, which is no sign of overload
	case isAnswer(end):
		h.lastAnswer, s.lastAnswer = now, now
		s.recordAnswer(now)
		s.faultRate.record(now, false)
		h.recordTime(now, a, true)
	case end.Fault == backend.FaultDraining:
		s.draining = true
	case end.Fault == backend.FaultCancelled:
		h.recordTime(now, a, false)
	case isRefusal(end):
		s.recordRefusal(now, h.slotWait(a, now), end.RetryAfter)
	case isServerFault(end):
		h.recordFault(now, a, end)
	}
}

// slotWait returns the mean time until a slot of a full server is free.
func (h *Home) slotWait(a *attempt, now time.Time) time.Duration {
	c := &h.classes[a.leg.Class]
	return seconds(a.server.expectedSeconds(c.index, c.meanSeconds(now), now) / float64(max(1, a.server.slots)))
}

// recordTime adds an attempt's time to the estimates of its server and class. Cancelled
// hedges are left out of the quantiles: their ages depend on the first attempt.
func (h *Home) recordTime(now time.Time, a *attempt, completed bool) {
	if a.pipelined {
		return
	}
	spent := now.Sub(a.started)
	c := &h.classes[a.leg.Class]
	a.server.serviceTimes[c.index].add(now, spent, completed)
	if !h.isHealthy(a.server, c, now) {
		return
	}
	c.serviceTime.add(now, spent, completed)
	if !completed && a.hedge {
		return
	}
	c.sharedLatencies.add(spent, h.cfg.HedgeQuantile)
	c.latencies.add(spent)
	c.samplesSinceRefresh++
	if c.samplesSinceRefresh >= refreshSamples || c.ownQuantiles.slow == 0 {
		c.refreshQuantiles(h.cfg.HedgeQuantile)
	}
}

func (c *class) refreshQuantiles(slowQuantile float64) {
	q, ok := quantilesOf(&c.latencies, slowQuantile)
	if !ok {
		return
	}
	c.samplesSinceRefresh = 0
	c.ownQuantiles = q
}

func (h *Home) isHealthy(s *server, c *class, now time.Time) bool {
	prior := c.meanSeconds(now)
	expected := s.expectedSeconds(c.index, prior, now)
	for _, other := range h.servers {
		if other == s || !other.inService() || !other.serviceTimes[c.index].known(now) {
			continue
		}
		if expected > healthyRatio*other.expectedSeconds(c.index, prior, now) {
			return false
		}
	}
	return true
}

// recordFault counts a fault and ejects the server after several, since a server that
// fails fast looks idle. At most half of the servers are ejected, so that a fault seen
// at all of them, such as a network problem of this host, doesn't leave the service
// without servers; the others are only paused.
func (h *Home) recordFault(now time.Time, a *attempt, end AttemptResult) {
	s := a.server
	s.faultRate.record(now, true)
	s.assumeRestarted(now, end)
	if end.Fault == backend.FaultDeadline || end.Fault == backend.FaultUnresponsive {
		s.serviceTimes[a.leg.Class].add(now, now.Sub(a.started), false)
	}
	if !s.recordFault() {
		return
	}
	if h.mayEject(s, now) {
		s.eject(now)
		return
	}
	s.recordRefusal(now, h.slotWait(a, now), end.RetryAfter)
}

func (h *Home) mayEject(s *server, now time.Time) bool {
	inService, ejected := 0, 0
	for _, other := range h.servers {
		if !other.inService() {
			continue
		}
		inService++
		if other != s && now.Before(other.ejectedUntil) {
			ejected++
		}
	}
	return ejected < inService/2
}

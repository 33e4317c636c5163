package home

import (
	"time"

	"github.com/goldcrestspan/goldcrestspan/backend"
)

// cold reports whether requests to the server are limited because it has just started,
// by its own report or because it was unreachable recently.
func (s *server) cold(now time.Time) bool {
	return s.spec.Warmup.Duration > 0 && now.Before(s.coldUntil())
}

func (s *server) coldUntil() time.Time {
	if s.assumedColdUntil.After(s.spec.ColdUntil) {
		return s.assumedColdUntil
	}
	return s.spec.ColdUntil
}

// warmedElsewhere reports whether the server is cold and is warmed by another host, so
// that this home sends it nothing.
func (s *server) warmedElsewhere(now time.Time) bool {
	return s.cold(now) && s.spec.Warmup.PerSecond == 0
}

// coldLimitUntil returns when the limit on a cold server admits the next attempt.
func (s *server) coldLimitUntil(now time.Time) time.Time {
	if !s.cold(now) {
		return time.Time{}
	}
	until := s.coldUntil()
	if s.spec.Warmup.PerSecond == 0 {
		return until
	}
	if next := s.recentStarts.NextAllowed(s.spec.Warmup.PerSecond); next.Before(until) {
		return next
	}
	return until
}

// recordStart counts an attempt against the limit on a cold server. Attempts before the
// server turned cold count too.
func (s *server) recordStart(now time.Time) {
	if s.spec.Warmup.Duration > 0 {
		s.recentStarts.Record(now, s.spec.Warmup.PerSecond)
	}
}

// assumeRestarted treats an unreachable server as cold. A crashed server may answer
// before its new incarnation is known here, and the full load would crash it again.
func (s *server) assumeRestarted(now time.Time, end AttemptResult) {
	if end.Fault == backend.FaultUnreachable {
		s.assumedColdUntil = now.Add(s.spec.Warmup.Duration)
	}
}

// allWarmedElsewhere reports whether every server in service is cold and warmed by
// other hosts. Legs then fail at once, so that callers can go to a host that may serve
// them.
func (h *Home) allWarmedElsewhere(now time.Time) bool {
	found := false
	for _, s := range h.servers {
		if !s.inService() {
			continue
		}
		if !s.warmedElsewhere(now) {
			return false
		}
		found = true
	}
	return found
}

package home

import (
	"time"

	"github.com/goldcrestspan/goldcrestspan/backend"
)

// cold reports whether what the server gets is bounded since it has just started, by
// its own word or since it could not be reached a moment ago.
func (s *server) cold(now time.Time) bool {
	return s.spec.Warmup.Duration > 0 && now.Before(s.coldUntil())
}

func (s *server) coldUntil() time.Time {
	if s.restartedUntil.After(s.spec.ColdUntil) {
		return s.restartedUntil
	}
	return s.spec.ColdUntil
}

// held reports whether the server gets nothing from this home while it is cold.
func (s *server) held(now time.Time) bool { return s.cold(now) && s.spec.Warmup.PerSecond == 0 }

// warmerAt is when the bound on a cold server lets the next attempt start.
func (s *server) warmerAt(now time.Time) time.Time {
	if !s.cold(now) {
		return time.Time{}
	}
	until := s.coldUntil()
	if s.spec.Warmup.PerSecond == 0 {
		return until
	}
	if next := s.starts.NextAt(s.spec.Warmup.PerSecond); next.Before(until) {
		return next
	}
	return until
}

// noteStart counts an attempt against the bound on a cold server.
func (s *server) noteStart(now time.Time) {
	if s.spec.Warmup.Duration > 0 {
		s.starts.Note(now, s.spec.Warmup.PerSecond)
	}
}

// noteUnreachable takes the server for restarted.
//
// Failure: the servers of a zone crash and come back together under their ids. Until
// the store tells of the new starts, the first answer ends all suspicion, the full load
// returns within milliseconds, and they crash again. The guard holds because a server
// whose connections were refused counts as cold until a start at that moment would be
// warm.
func (s *server) noteUnreachable(now time.Time, end AttemptResult) {
	if end.Fault == backend.FaultUnreachable {
		s.restartedUntil = now.Add(s.spec.Warmup.Duration)
	}
}

// allHeld reports whether every server in service is cold and warmed by other hosts.
//
// Load: all servers of a service come back cold. Harm prevented: legs wait here for
// seconds though none can start, and their callers don't go to a host that may serve.
func (h *Home) allHeld(now time.Time) bool {
	held := false
	for _, s := range h.servers {
		if !s.inService() {
			continue
		}
		if !s.held(now) {
			return false
		}
		held = true
	}
	return held
}

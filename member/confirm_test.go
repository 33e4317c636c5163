package member

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against hosts that confirm a configuration to each other for ever: while the store
// answers none of them, the age of the confirmation rises on all.
func TestConfirmationKeepsItsAgeFromHostToHost(t *testing.T) {
	is := is.New(t)
	s := newSimulation(3)
	s.addHosts(20, 1, 3)
	for _, h := range s.hosts {
		h.AnnounceConfig(s.now, 5, nil)
		h.AnnounceStore(s.now, StoreRevisions{ConfigVersion: 7})
	}
	s.run(5 * time.Second)
	confirmed := s.now
	s.hosts[0].ConfirmConfig(s.now, ConfigConfirmation{At: confirmed, Generation: 5, Version: 6})
	is.True(s.hosts[0].confirmation.At.IsZero()) // of another version
	s.hosts[0].ConfirmConfig(s.now, ConfigConfirmation{At: confirmed, Generation: 5, Version: 7})
	_, everywhere := s.runUntil(10*time.Second, func() bool {
		return s.all(func(h *simHost) bool { return !h.confirmation.At.IsZero() })
	})
	is.True(everywhere)
	s.run(10 * time.Second)
	for _, h := range s.hosts {
		is.True(!h.confirmation.At.After(confirmed))
	}
	s.hosts[0].AnnounceStore(s.now, StoreRevisions{ConfigVersion: 8})
	is.True(s.hosts[0].confirmation.At.IsZero())
}

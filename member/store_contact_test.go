package member

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against hosts that keep a contact with the store young by telling each other, and against a
// fleet in which some hosts never hear of it.
func TestStoreContactKeepsItsAgeFromHostToHost(t *testing.T) {
	is := is.New(t)
	s := newSimulation(4)
	s.addHosts(20, 1, 3)
	for _, h := range s.hosts {
		h.AnnounceConfig(s.now, 5, nil)
	}
	s.run(5 * time.Second)
	contact := s.now
	var contacts StoreContacts
	contacts[ListServers] = contact
	s.hosts[0].NoteStoreContacts(s.now, contacts)
	_, everywhere := s.runUntil(10*time.Second, func() bool {
		return s.all(func(h *simHost) bool { return !h.PeersStoreContacts()[ListServers].IsZero() })
	})
	is.True(everywhere)
	s.run(10 * time.Second)
	for _, h := range s.hosts {
		heard := h.PeersStoreContacts()
		is.True(!heard[ListServers].After(contact))
		is.True(contact.Sub(heard[ListServers]) < 100*time.Millisecond)
		is.True(heard[ListConfig].IsZero())
		is.True(heard[ListEvacuations].IsZero())
	}
}

package member

import (
	"sync"
	"time"

	"github.com/goldcrestspan/goldcrestspan/ident"
	"github.com/goldcrestspan/goldcrestspan/internal/controlloop"
)

// maxWaitingAnnouncements bounds the announcements that wait for the control loop, beside
// announcedState.
const maxWaitingAnnouncements = 1 << 14

// announcements holds what this host has announced and the control loop has not taken yet. Callers
// never wait for the loop, since other control loops announce, and so do this one's callbacks.
type announcements struct {
	events *controlloop.Mailbox[func(time.Time, *Membership)]

	mu    sync.Mutex
	state announcedState
}

// announcedState holds the announcements of which only the newest counts.
type announcedState struct {
	generation   uint64
	manifestHash []byte
	store        StoreRevisions
	confirmation ConfigConfirmation
	contacts     StoreContacts
	load         *uint32 // in thousandths
}

func newAnnouncements() *announcements {
	return &announcements{events: controlloop.NewMailbox[func(time.Time, *Membership)](maxWaitingAnnouncements)}
}

// set changes the state that waits for the control loop. Announcements of several goroutines may
// come in any order, so that lower revisions must not replace higher ones.
func (a *announcements) set(change func(s *announcedState)) {
	a.mu.Lock()
	change(&a.state)
	a.mu.Unlock()
	a.events.Wake()
}

// apply hands all that waits to the membership.
func (a *announcements) apply(now time.Time, m *Membership) {
	a.mu.Lock()
	s := a.state
	a.state = announcedState{}
	a.mu.Unlock()
	m.AnnounceConfig(now, s.generation, s.manifestHash)
	m.AnnounceStore(now, s.store)
	if !s.confirmation.At.IsZero() {
		m.ConfirmConfig(now, s.confirmation)
	}
	m.NoteStoreContacts(now, s.contacts)
	if s.load != nil {
		m.SetLoad(*s.load)
	}
	for _, announce := range a.events.Take() {
		announce(now, m)
	}
}

// AnnounceConfig gossips the configuration that this host has in force.
func (a *Agent) AnnounceConfig(generation uint64, manifestHash []byte) {
	a.announcements.set(func(s *announcedState) {
		if generation > s.generation {
			s.generation, s.manifestHash = generation, manifestHash
		}
	})
}

// AnnounceStore gossips the store revisions that this host has applied.
func (a *Agent) AnnounceStore(revisions StoreRevisions) {
	a.announcements.set(func(s *announcedState) { s.store = s.store.max(revisions) })
}

// ConfirmConfig gossips that the store said that a configuration is the newest.
func (a *Agent) ConfirmConfig(c ConfigConfirmation) {
	a.announcements.set(func(s *announcedState) {
		if c.At.After(s.confirmation.At) {
			s.confirmation = c
		}
	})
}

// NoteStoreContact gossips that the store has answered this host about a list.
func (a *Agent) NoteStoreContact(list StoreList, at time.Time) {
	a.announcements.set(func(s *announcedState) {
		var contacts StoreContacts
		contacts[list] = at
		s.contacts = s.contacts.newest(contacts)
	})
}

// PeersStoreContact returns when the store last answered any host that peers have told of about a
// list; zero: never.
func (a *Agent) PeersStoreContact(list StoreList) time.Time {
	if contacts := a.peersStoreContacts.Load(); contacts != nil {
		return contacts[list]
	}
	return time.Time{}
}

// SetLoad sets this host's load, in thousandths.
func (a *Agent) SetLoad(permille uint32) {
	a.announcements.set(func(s *announcedState) { s.load = &permille })
}

// AnnounceBackend gossips that an incarnation of a backend server is leaving.
func (a *Agent) AnnounceBackend(update BackendUpdate) {
	a.announce(func(now time.Time, m *Membership) { m.AnnounceBackend(now, update) })
}

// AnnounceSuspectRequest gossips a request that was in flight at a crashed server.
func (a *Agent) AnnounceSuspectRequest(update SuspectRequestUpdate) {
	a.announce(func(now time.Time, m *Membership) { m.AnnounceSuspectRequest(now, update) })
}

// ReportUnreachable reports a host that traffic could not reach.
func (a *Agent) ReportUnreachable(id ident.HostID) {
	a.announce(func(now time.Time, m *Membership) { m.ReportUnreachable(now, id) })
}

// AddSeeds adds peer addresses to call while no peer is known.
func (a *Agent) AddSeeds(addresses []string) {
	a.announce(func(_ time.Time, m *Membership) { m.config.Seeds = append(m.config.Seeds, addresses...) })
}

// announce hands an announcement to the control loop. It drops it only if the loop has not run
// for very long.
func (a *Agent) announce(announcement func(time.Time, *Membership)) {
	if !a.announcements.events.Post(announcement) {
		a.metrics.announcementsDropped.Inc()
	}
}

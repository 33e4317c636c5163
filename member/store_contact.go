package member

import (
	"time"

	"github.com/goldcrestspan/goldcrestspan/member/memberpb"
)

// StoreList is a list that hosts follow in the metadata store.
type StoreList int

// The lists, in their order in messages.
const (
	ListConfig StoreList = iota
	ListServers
	ListEvacuations
	storeLists // their number
)

// StoreContacts holds, by list, when the store last answered any host that was heard of; zero: never.
// Contact with peers alone doesn't change it, so that a fleet whose watchers are all rejected by the
// store notices.
type StoreContacts [storeLists]time.Time

// newest returns the later contact of each list.
func (c StoreContacts) newest(other StoreContacts) StoreContacts {
	for list, at := range other {
		if at.After(c[list]) {
			c[list] = at
		}
	}
	return c
}

// NoteStoreContacts records when the store has answered this host.
func (m *Membership) NoteStoreContacts(now time.Time, contacts StoreContacts) {
	m.detectPause(now)
	m.ownStoreContacts = m.ownStoreContacts.newest(contacts)
}

// PeersStoreContacts returns the newest contacts that peers have told of; they include this host's
// own ones that came back, never newer than they were.
func (m *Membership) PeersStoreContacts() StoreContacts { return m.peersStoreContacts }

// noteStoreContactsOfPeer records the contacts that came with the reply to a call. As in
// confirmFromPeer, the time of the call keeps their ages true.
func (m *Membership) noteStoreContactsOfPeer(sentAt time.Time, config *memberpb.ConfigNews) {
	var contacts StoreContacts
	for list, ago := range config.GetStoreContactAgoMs() {
		if list < len(contacts) && ago > 0 {
			contacts[list] = sentAt.Add(-time.Duration(ago) * time.Millisecond)
		}
	}
	m.peersStoreContacts = m.peersStoreContacts.newest(contacts)
}

// storeContactAges returns the ages of the newest contacts for a message, in ms; 0: none is known.
func (m *Membership) storeContactAges(now time.Time) []uint32 {
	var ages []uint32
	for list, at := range m.ownStoreContacts.newest(m.peersStoreContacts) {
		if age := now.Sub(at); !at.IsZero() && age <= maxConfirmationAge {
			for len(ages) < list {
				ages = append(ages, 0)
			}
			// Rounded up, as in announcedConfig.
			ages = append(ages, uint32(max(age, 0)/time.Millisecond)+1)
		}
	}
	return ages
}

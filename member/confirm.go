package member

import (
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/goldcrestspan/goldcrestspan/ident"
	"github.com/goldcrestspan/goldcrestspan/member/memberpb"
)

// ConfigConfirmation says that the announced configuration was the newest in the store.
type ConfigConfirmation struct {
	At time.Time    // when the store said so; zero: never
	By ident.HostID // the host that passed it on; empty: the store itself
	// Generation and Version are those of the configuration.
	Generation, Version uint64
}

// ConfirmConfig records that the store said at a time that a configuration is the newest. It
// has no effect unless this host announces that one.
func (m *Membership) ConfirmConfig(now time.Time, c ConfigConfirmation) {
	m.detectPause(now)
	m.confirm(c)
}

// confirmFromPeer records the confirmation that came with the reply to a call. The store spoke
// earlier than the peer's age before the call was sent: the age stays true however long the
// reply was on its way or waited for this process.
func (m *Membership) confirmFromPeer(sentAt time.Time, sender *memberpb.HostNews, config *memberpb.ConfigNews) {
	if config == nil || config.ConfirmedAgoMs == nil {
		return
	}
	m.confirm(ConfigConfirmation{
		At: sentAt.Add(-time.Duration(config.GetConfirmedAgoMs()) * time.Millisecond), By: ident.HostID(sender.GetHost()),
		Generation: config.GetGeneration(), Version: config.GetConfigVersion(),
	})
}

func (m *Membership) confirm(c ConfigConfirmation) {
	announced := m.announced.GetGeneration() == c.Generation && m.announced.GetConfigVersion() == c.Version
	if !announced || !c.At.After(m.confirmation.At) {
		return
	}
	m.confirmation, m.received.Confirmation = c, c
}

// maxConfirmationAge bounds the age of a confirmation that is passed on.
const maxConfirmationAge = time.Minute

// announcedConfig returns what this host announces of its configuration at a time.
func (m *Membership) announcedConfig(now time.Time) *memberpb.ConfigNews {
	if m.announced == nil {
		return nil
	}
	a := m.announced
	news := &memberpb.ConfigNews{
		Generation: a.Generation, ManifestHash: a.ManifestHash, ServersRevision: a.ServersRevision,
		EvacuationsRevision: a.EvacuationsRevision, ConfigVersion: a.ConfigVersion,
		StoreContactAgoMs: m.storeContactAges(now),
	}
	if age := now.Sub(m.confirmation.At); !m.confirmation.At.IsZero() && age <= maxConfirmationAge {
		// Rounded up, or hosts that tell each other would make it younger with each message.
		news.ConfirmedAgoMs = proto.Uint32(uint32(max(age, 0)/time.Millisecond) + 1)
	}
	return news
}

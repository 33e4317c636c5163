package discover

import (
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/goldcrestspan/goldcrestspan/observe"
)

// RoleConfig configures a Role. All fields are required.
type RoleConfig struct {
	// List names the list in logs.
	List string
	// Designated reports whether this host is one of the watchers, or must watch for itself.
	Designated func() bool
	// Rank returns the position of this host among the hosts of its availability zone that aren't
	// watchers, and their number; 0 candidates: this host can't be a substitute.
	Rank func() (rank, candidates int)
	// Hosts returns the size of the fleet.
	Hosts func() int
	// PeersContact returns when the store last answered any host that peers have told of; zero:
	// unknown.
	PeersContact func() time.Time
	// OnContact is called when the store has answered this host.
	OnContact func(at time.Time)
	Now       func() time.Time
	Logger    *zap.Logger
}

// Role decides whether this host watches a list in the store: as one of the watchers, or as a
// substitute while the store answers none of them. It is safe for concurrent use.
type Role struct {
	config RoleConfig

	mu         sync.Mutex
	substitute Substitute
	ownContact time.Time
}

// NewRole returns a role.
func NewRole(config RoleConfig) *Role { return &Role{config: config} }

// NoteContact records that the store has answered this host.
func (r *Role) NoteContact(at time.Time) {
	r.mu.Lock()
	r.ownContact = at
	r.mu.Unlock()
	r.config.OnContact(at)
}

// IsWatcher reports whether this host watches now.
func (r *Role) IsWatcher() bool {
	if r.config.Designated() {
		return true
	}
	now, hosts, peersContact := r.config.Now(), r.config.Hosts(), r.config.PeersContact()
	r.mu.Lock()
	before, ownContact := r.substitute.On(), r.ownContact
	r.mu.Unlock()
	in := SubstituteInput{Hosts: hosts, PeersContact: peersContact, OwnContact: ownContact}
	if before || in.overdue(now) >= 0 {
		in.Rank, in.Candidates = r.config.Rank()
	}
	r.mu.Lock()
	watches := r.substitute.Watches(now, in)
	r.mu.Unlock()
	if watches != before {
		r.config.Logger.Info("substitute for the watchers of the metadata store", zap.Bool("watches", watches), zap.String("prefix", r.config.List),
			observe.Since("own_contact_ago", now, ownContact), observe.Since("peers_contact_ago", now, peersContact),
			zap.Int("rank", in.Rank), zap.Int("candidates", in.Candidates))
	}
	return watches
}

// WatchLimit bounds the next watch of a substitute; 0: no bound.
func (r *Role) WatchLimit() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.substitute.On() && !r.substitute.answered(r.ownContact) {
		return substituteWatchLimit
	}
	return 0
}

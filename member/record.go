package member

import (
	"time"

	"github.com/goldcrestspan/goldcrestspan/ident"
	"github.com/goldcrestspan/goldcrestspan/member/memberpb"
)

// record is the local host's state of one member, itself included.
type record struct {
	Host
	refutation   uint32
	loadSequence uint32
	// suspectUntil is when an unrefuted suspect is declared dead.
	suspectUntil   time.Time
	finalProbeSent bool // a final probe was sent before suspectUntil
	deadSince      time.Time
	// firstSeenAt is when this incarnation was first seen here.
	firstSeenAt time.Time
	isNeighbor  bool
}

// addressGossipPeriod is how long updates about a new incarnation carry its
// addresses, because some receivers may not know it yet.
const addressGossipPeriod = 30 * time.Second

// version orders updates about one host: the higher incarnation wins, then the
// higher refutation, then the higher state.
type version struct {
	incarnation ident.Incarnation
	refutation  uint32
	state       State
}

func (v version) newerThan(other version) bool {
	if v.incarnation != other.incarnation {
		return v.incarnation > other.incarnation
	}
	if v.refutation != other.refutation {
		return v.refutation > other.refutation
	}
	return v.state > other.state
}

// isDead reports whether the host is dead, confirmed or not.
func (r *record) isDead() bool { return r.State >= StateDead }

func (r *record) version() version {
	return version{incarnation: r.Incarnation, refutation: r.refutation, state: r.State}
}

func versionOf(update *memberpb.HostNews) version {
	return version{
		incarnation: ident.Incarnation(update.Incarnation),
		refutation:  update.Refutation,
		state:       stateFromWire(update.State),
	}
}

// stateFromWire maps an unknown state, sent by a newer release, to StateSuspect,
// which the host itself can refute.
func stateFromWire(state memberpb.State) State {
	switch state {
	case memberpb.State_ALIVE:
		return StateAlive
	case memberpb.State_LEAVING:
		return StateLeaving
	case memberpb.State_DEAD:
		return StateDead
	case memberpb.State_GONE:
		return StateGone
	default:
		return StateSuspect
	}
}

var stateToWire = [...]memberpb.State{
	StateAlive:   memberpb.State_ALIVE,
	StateSuspect: memberpb.State_SUSPECT,
	StateLeaving: memberpb.State_LEAVING,
	StateDead:    memberpb.State_DEAD,
	StateGone:    memberpb.State_GONE,
}

// stateUpdate is the host's update without addresses, for receivers that have them.
func (r *record) stateUpdate() *memberpb.HostNews {
	return &memberpb.HostNews{
		Host:        string(r.ID),
		Incarnation: uint64(r.Incarnation),
		Refutation:  r.refutation,
		State:       stateToWire[r.State],
	}
}

// fullUpdate is the host's update with its addresses.
func (r *record) fullUpdate() *memberpb.HostNews {
	update := r.stateUpdate()
	update.PeerAddress = r.PeerAddress
	update.CallerAddress = r.CallerAddress
	update.Region = r.Region
	update.Zone = r.Zone
	update.Capacity = r.Capacity
	return update
}

// update is the full update during addressGossipPeriod and the short one afterwards.
func (r *record) update(now time.Time) *memberpb.HostNews {
	if !r.isDead() && now.Sub(r.firstSeenAt) < addressGossipPeriod {
		return r.fullUpdate()
	}
	return r.stateUpdate()
}

// loadUpdate is the host's load. Life is the low 32 bits of its incarnation.
func (r *record) loadUpdate() *memberpb.LoadNews {
	return &memberpb.LoadNews{
		Host:         string(r.ID),
		Life:         uint32(r.Incarnation),
		Sequence:     r.loadSequence,
		LoadPermille: r.LoadPermille,
	}
}

// resetIncarnation sets the addresses of a new incarnation and clears its load.
func (r *record) resetIncarnation(update *memberpb.HostNews) {
	r.PeerAddress = update.PeerAddress
	r.CallerAddress = update.CallerAddress
	r.Region = update.Region
	r.Zone = update.Zone
	r.Capacity = update.Capacity
	r.LoadPermille = 0
	r.loadSequence = 0
}

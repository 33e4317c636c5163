package member

import (
	"time"

	"github.com/goldcrestspan/goldcrestspan/ident"
	"github.com/goldcrestspan/goldcrestspan/member/memberpb"
)

// record is what the local host knows of one host, itself included.
type record struct {
	Host
	refutation   uint32
	loadSequence uint32
	// suspectUntil is when an unrefuted suspicion becomes a death.
	suspectUntil time.Time
	checked      bool // the suspect was asked itself
	deadSince    time.Time
	// bornAt is when this life became known here.
	bornAt  time.Time
	partner bool
}

// youngFor is how long news of a host carries its addresses: the time in which
// some receivers may not know the life yet.
const youngFor = 30 * time.Second

// version orders news of one host: a later life wins, then the later word of
// the host itself, then the graver state.
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

// lost reports that the host is believed dead, by whatever source.
func (r *record) lost() bool { return r.State >= StateDead }

func (r *record) version() version {
	return version{incarnation: r.Incarnation, refutation: r.refutation, state: r.State}
}

func newsVersion(news *memberpb.HostNews) version {
	return version{
		incarnation: ident.Incarnation(news.Incarnation),
		refutation:  news.Refutation,
		state:       stateFromWire(news.State),
	}
}

// stateFromWire reads an unknown state of a newer release as a suspicion,
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

// brief is the host's news for receivers who have its addresses.
func (r *record) brief() *memberpb.HostNews {
	return &memberpb.HostNews{
		Host:        string(r.ID),
		Incarnation: uint64(r.Incarnation),
		Refutation:  r.refutation,
		State:       stateToWire[r.State],
	}
}

// full is the host's news with its addresses.
func (r *record) full() *memberpb.HostNews {
	news := r.brief()
	news.PeerAddress = r.PeerAddress
	news.CallerAddress = r.CallerAddress
	news.Region = r.Region
	news.Zone = r.Zone
	news.Capacity = r.Capacity
	return news
}

// news is full while the life is young, since some receivers lack its addresses.
func (r *record) news(now time.Time) *memberpb.HostNews {
	if !r.lost() && now.Sub(r.bornAt) < youngFor {
		return r.full()
	}
	return r.brief()
}

func (r *record) load() *memberpb.LoadNews {
	return &memberpb.LoadNews{
		Host:         string(r.ID),
		Life:         uint32(r.Incarnation),
		Sequence:     r.loadSequence,
		LoadPermille: r.LoadPermille,
	}
}

// takeAddresses starts the record's knowledge of a life.
func (r *record) takeAddresses(news *memberpb.HostNews) {
	r.PeerAddress = news.PeerAddress
	r.CallerAddress = news.CallerAddress
	r.Region = news.Region
	r.Zone = news.Zone
	r.Capacity = news.Capacity
	r.LoadPermille = 0
	r.loadSequence = 0
}

package snapshot

import (
	"sync"
	"sync/atomic"
	"time"
)

// refreshInterval bounds the age of the published pins, and so the delay of
// choices that depend on time alone, such as an expired refusal.
const refreshInterval = 100 * time.Millisecond

// Pins serves the snapshots to pin for new queries. Readers only load an atomic
// pointer; reports take a lock only if they change the tracker.
type Pins struct {
	now     func() time.Time
	current atomic.Pointer[pinView]

	mu      sync.Mutex
	tracker *Tracker
}

// pinView is immutable.
type pinView struct {
	at     time.Time
	pins   map[string]*Snapshot // by index
	heldAt map[holding]time.Time
}

// NewPins makes pins without snapshots.
func NewPins(now func() time.Time) *Pins {
	p := &Pins{now: now, tracker: NewTracker()}
	p.current.Store(&pinView{})
	return p
}

// Publish replaces the known snapshots; see Tracker.Publish.
func (p *Pins) Publish(all []*Snapshot) (invalid int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	invalid = p.tracker.Publish(all)
	p.rebuild()
	return invalid
}

// Pin returns the snapshot for a new query of the index; nil when there is none.
func (p *Pins) Pin(index string) *Snapshot {
	view := p.current.Load()
	if p.now().Sub(view.at) > refreshInterval {
		view = p.refresh()
	}
	return view.pins[index]
}

// RecordHeld records which versions a backend server of the service reports that it holds.
func (p *Pins) RecordHeld(service, index string, held []Version) {
	if !p.needsUpdate(service, index, held) {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.tracker.RecordHeld(p.now(), service, index, held)
	p.rebuild()
}

// RecordMissing records that a service's replicas refused a version that they lack.
func (p *Pins) RecordMissing(service, index string, version Version) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.tracker.RecordMissing(p.now(), service, index, version)
	p.rebuild()
}

// needsUpdate reports whether a version is new, or its record is old enough to be
// renewed. Most reports change nothing and cost map reads only.
func (p *Pins) needsUpdate(service, index string, held []Version) bool {
	heldAt := p.current.Load().heldAt
	for _, version := range held {
		at, ok := heldAt[holding{reporter{index, service}, version}]
		if !ok || p.now().Sub(at) > heldTTL/2 {
			return true
		}
	}
	return false
}

func (p *Pins) refresh() *pinView {
	p.mu.Lock()
	defer p.mu.Unlock()
	if view := p.current.Load(); p.now().Sub(view.at) <= refreshInterval {
		return view
	}
	return p.rebuild()
}

func (p *Pins) rebuild() *pinView {
	now := p.now()
	p.tracker.Expire(now)
	view := &pinView{
		at:     now,
		pins:   make(map[string]*Snapshot),
		heldAt: make(map[holding]time.Time, len(p.tracker.held)),
	}
	for _, index := range p.tracker.Indexes() {
		if s := p.tracker.Pin(now, index); s != nil {
			view.pins[index] = s
		}
	}
	for h, at := range p.tracker.held {
		view.heldAt[h] = at
	}
	p.current.Store(view)
	return view
}

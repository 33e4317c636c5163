package snapshot

import (
	"sync"
	"sync/atomic"
	"time"
)

// refreshAfter bounds how old the published pins may be; a choice that
// depends on time alone (a refusal that no longer counts) is seen that late.
const refreshAfter = 100 * time.Millisecond

// Pins serves the pinned snapshots to traffic goroutines, which only read an
// atomic pointer. What they learn changes the tracker only when it is news.
type Pins struct {
	now     func() time.Time
	current atomic.Pointer[pinView]

	mu      sync.Mutex
	tracker *Tracker
}

// pinView is immutable.
type pinView struct {
	at    time.Time
	pins  map[string]*Snapshot
	known map[holding]time.Time
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
	if p.now().Sub(view.at) > refreshAfter {
		view = p.refresh()
	}
	return view.pins[index]
}

// RecordHeld notes what a backend server of the service says that it holds.
func (p *Pins) RecordHeld(service, index string, held []Version) {
	if !p.news(service, index, held) {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.tracker.Held(p.now(), service, index, held)
	p.rebuild()
}

// RecordMissing notes that a service's replicas refused a version they lack.
func (p *Pins) RecordMissing(service, index string, version Version) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.tracker.Lacked(p.now(), service, index, version)
	p.rebuild()
}

// news reports whether a holding is new, or its last note is old enough to
// need another one; most replies say nothing new and cost map reads only.
func (p *Pins) news(service, index string, held []Version) bool {
	known := p.current.Load().known
	for _, version := range held {
		at, ok := known[holding{reporter{index, service}, version}]
		if !ok || p.now().Sub(at) > heldFor/2 {
			return true
		}
	}
	return false
}

func (p *Pins) refresh() *pinView {
	p.mu.Lock()
	defer p.mu.Unlock()
	if view := p.current.Load(); p.now().Sub(view.at) <= refreshAfter {
		return view
	}
	return p.rebuild()
}

func (p *Pins) rebuild() *pinView {
	now := p.now()
	p.tracker.Forget(now)
	view := &pinView{
		at:    now,
		pins:  make(map[string]*Snapshot),
		known: make(map[holding]time.Time, len(p.tracker.held)),
	}
	for _, index := range p.tracker.Indexes() {
		if s := p.tracker.Pin(now, index); s != nil {
			view.pins[index] = s
		}
	}
	for h, at := range p.tracker.held {
		view.known[h] = at
	}
	p.current.Store(view)
	return view
}

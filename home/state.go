package home

import (
	"sort"
	"time"

	"github.com/goldcrestspan/goldcrestspan/backend"
	"github.com/goldcrestspan/goldcrestspan/ident"
	"github.com/goldcrestspan/goldcrestspan/result"
)

// Home is the decision state of one service. It is not safe for concurrent
// use: its shell calls it from one goroutine at a time.
type Home struct {
	cfg         Config
	servers     map[string]*server
	order       []string // server names, sorted, so that ties resolve the same way
	legs        map[LegID]*leg
	waiting     []*leg // by deadline, then request id
	attempts    map[ident.AttemptID]*attempt
	nextAttempt ident.AttemptID
}

type server struct {
	spec    ServerSpec
	running int
}

type leg struct {
	Leg
	running int
	worst   result.Outcome // least certain outcome so far; starts as unsent
	tried   bool
}

type attempt struct {
	leg    *leg
	server string
}

// New makes the home of a service. Attempt ids start after firstAttempt, so
// that the homes of one host never share one.
func New(cfg Config, firstAttempt ident.AttemptID) *Home {
	return &Home{
		cfg:         cfg,
		servers:     make(map[string]*server),
		legs:        make(map[LegID]*leg),
		attempts:    make(map[ident.AttemptID]*attempt),
		nextAttempt: firstAttempt,
	}
}

// SetServers replaces the known backend servers of the service.
func (h *Home) SetServers(now time.Time, specs []ServerSpec, acts []Action) []Action {
	next := make(map[string]*server, len(specs))
	h.order = h.order[:0]
	for _, spec := range specs {
		s := h.servers[spec.Name]
		if s == nil || s.spec.Incarnation != spec.Incarnation {
			s = &server{}
		}
		s.spec = spec
		next[spec.Name] = s
		h.order = append(h.order, spec.Name)
	}
	sort.Strings(h.order)
	h.servers = next
	return h.dispatch(now, acts)
}

// Submit takes a leg in; it starts, waits or fails at once.
func (h *Home) Submit(now time.Time, l Leg, acts []Action) []Action {
	if !now.Before(l.Deadline) {
		return append(acts, Action{Kind: ActionFail, Leg: l.ID, Code: result.DeadlineUnmeetable, Outcome: result.OutcomeUnsent})
	}
	entry := &leg{Leg: l, worst: result.OutcomeUnsent}
	h.legs[l.ID] = entry
	h.enqueue(entry)
	return h.dispatch(now, acts)
}

// Finish reports the end of an attempt.
func (h *Home) Finish(now time.Time, id ident.AttemptID, end End, acts []Action) []Action {
	a, ok := h.attempts[id]
	if !ok {
		return acts
	}
	delete(h.attempts, id)
	if s := h.servers[a.server]; s != nil {
		s.running--
	}
	a.leg.running--
	if h.legs[a.leg.ID] == a.leg {
		acts = h.settle(id, a, end, acts)
	}
	return h.dispatch(now, acts)
}

func (h *Home) settle(id ident.AttemptID, a *attempt, end End, acts []Action) []Action {
	l := a.leg
	if end.Outcome == result.OutcomeRan && end.Fault == backend.FaultNone {
		delete(h.legs, l.ID)
		return append(acts, Action{Kind: ActionAnswer, Leg: l.ID, Attempt: id, Outcome: result.OutcomeRan})
	}
	if !end.Outcome.NotRun() {
		l.worst = end.Outcome
	}
	delete(h.legs, l.ID)
	code := result.OutcomeNotKnown
	if l.worst.NotRun() {
		code = result.BackendsRefused
	}
	return append(acts, Action{Kind: ActionFail, Leg: l.ID, Code: code, Outcome: l.worst, RetryAfter: end.RetryAfter})
}

// Cancel drops a leg whose caller no longer waits; running attempts are cancelled.
func (h *Home) Cancel(now time.Time, id LegID, acts []Action) []Action {
	l, ok := h.legs[id]
	if !ok {
		return acts
	}
	delete(h.legs, id)
	h.unqueue(l)
	for attemptID, a := range h.attempts {
		if a.leg == l {
			acts = append(acts, Action{Kind: ActionCancel, Leg: id, Attempt: attemptID, Server: a.server})
		}
	}
	return h.dispatch(now, acts)
}

// Tick does what is due at now: deadlines, hedges, ageing.
func (h *Home) Tick(now time.Time, acts []Action) []Action {
	for _, l := range append([]*leg(nil), h.waiting...) {
		if now.Before(l.Deadline) {
			break
		}
		h.unqueue(l)
		delete(h.legs, l.ID)
		acts = append(acts, Action{Kind: ActionFail, Leg: l.ID, Code: result.DeadlineUnmeetable, Outcome: l.worst})
	}
	return h.dispatch(now, acts)
}

// NextTick is when Tick wants to be called next; zero: not needed.
func (h *Home) NextTick() time.Time {
	if len(h.waiting) == 0 {
		return time.Time{}
	}
	return h.waiting[0].Deadline
}

func (h *Home) enqueue(l *leg) {
	i := sort.Search(len(h.waiting), func(i int) bool { return before(l, h.waiting[i]) })
	h.waiting = append(h.waiting, nil)
	copy(h.waiting[i+1:], h.waiting[i:])
	h.waiting[i] = l
}

func (h *Home) unqueue(l *leg) {
	for i := range h.waiting {
		if h.waiting[i] == l {
			h.waiting = append(h.waiting[:i], h.waiting[i+1:]...)
			return
		}
	}
}

// before is the order of every home's queue: the earliest deadline first, ties
// by request id, so that all legs of one query rank alike at every home and
// queries finish whole.
func before(a, b *leg) bool {
	if !a.Deadline.Equal(b.Deadline) {
		return a.Deadline.Before(b.Deadline)
	}
	return a.Request.Less(b.Request)
}

func (h *Home) dispatch(now time.Time, acts []Action) []Action {
	for len(h.waiting) > 0 {
		name, ok := h.idlest()
		if !ok {
			return acts
		}
		l := h.waiting[0]
		h.waiting = h.waiting[1:]
		h.nextAttempt++
		h.attempts[h.nextAttempt] = &attempt{leg: l, server: name}
		h.servers[name].running++
		l.running++
		acts = append(acts, Action{Kind: ActionStart, Leg: l.ID, Attempt: h.nextAttempt, Server: name, Retry: l.tried})
		l.tried = true
	}
	return acts
}

func (h *Home) idlest() (string, bool) {
	best, found := "", false
	for _, name := range h.order {
		s := h.servers[name]
		if s.spec.Leaving || s.running >= h.cfg.SlotsPerServer {
			continue
		}
		if !found || s.running < h.servers[best].running {
			best, found = name, true
		}
	}
	return best, found
}

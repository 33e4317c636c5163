package home

import (
	"slices"
	"strings"
	"time"

	"github.com/goldcrestspan/goldcrestspan/ident"
	"github.com/goldcrestspan/goldcrestspan/result"
	"github.com/goldcrestspan/goldcrestspan/retry"
)

// defaultMaxQueueBytes bounds the bodies that wait at one home, so that a few
// callers with large bodies can't use up the memory of a small host.
const defaultMaxQueueBytes = 4 << 20

// Home is the decision state of one service. It is not safe for concurrent
// use: its shell calls it from one goroutine at a time.
type Home struct {
	cfg         Config
	servers     []*server // by name, so that ties resolve the same way
	known       bool      // SetServers was called
	classes     []class
	legs        map[LegID]*leg
	attempts    map[ident.AttemptID]*attempt
	nextAttempt ident.AttemptID
	hedgeBudget retry.Budget
	retryBudget retry.Budget
	bytes       int       // of waiting bodies
	lastGood    time.Time // a server last gave an answer, or the first was known

	changes   []ServerChange // not yet taken
	decidedAt time.Time      // of the last decision

	// worked out by survey
	totalSlots, usableCount int
	anyWarm                 bool
}

func (c Config) withDefaults() Config {
	if c.MaxQueueBytes == 0 {
		c.MaxQueueBytes = defaultMaxQueueBytes
	}
	if c.HedgeBurst == 0 {
		c.HedgeBurst = hedgeBurst
	}
	if c.RetryBurst == 0 {
		c.RetryBurst = retryBurst
	}
	if c.RetryInitialFill == 0 {
		c.RetryInitialFill = 1 // a quiet service can retry its first refusal
	}
	if c.SlowStartReplies == 0 {
		c.SlowStartReplies = warmAfter
	}
	if c.CrossZonePenaltySeconds == 0 {
		c.CrossZonePenaltySeconds = zoneCost
	}
	return c
}

// New makes the home of a service. Attempt ids start after firstAttempt, so
// that the homes of one host never share one.
func New(cfg Config, firstAttempt ident.AttemptID) *Home {
	cfg = cfg.withDefaults()
	h := &Home{
		cfg:         cfg,
		classes:     make([]class, len(cfg.Classes)),
		legs:        make(map[LegID]*leg),
		attempts:    make(map[ident.AttemptID]*attempt),
		nextAttempt: firstAttempt,
		hedgeBudget: retry.NewPartialBudget(cfg.HedgeBudget, cfg.HedgeBurst, cfg.HedgeInitialFill),
		retryBudget: retry.NewPartialBudget(cfg.RetryBudget, cfg.RetryBurst, cfg.RetryInitialFill),
	}
	h.setRates()
	for i := range h.classes {
		h.classes[i] = class{spec: cfg.Classes[i], index: i, shared: cfg.LatencyStats.class(cfg.Classes[i].Name)}
	}
	return h
}

func (h *Home) setRates() {
	h.hedgeBudget.SetRefillRate(h.cfg.HedgesPerSecond)
	h.retryBudget.SetRefillRate(h.cfg.RetriesPerSecond)
}

// SetServers replaces the known backend servers of the service. A server with
// a new incarnation starts afresh.
func (h *Home) SetServers(now time.Time, specs []ServerSpec, acts []Action) []Action {
	servers := make([]*server, 0, len(specs))
	for _, spec := range specs {
		s := h.find(spec.Name)
		if s == nil || s.spec.Incarnation != spec.Incarnation {
			next := newServer(now, spec, &h.cfg, !h.known && !now.Before(spec.ColdUntil))
			if s != nil {
				next.starts = s.starts // those of this second may have reached the new start
			}
			s = next
		}
		s.spec = spec
		s.slots = slotsOf(spec, &h.cfg)
		servers = append(servers, s)
	}
	slices.SortFunc(servers, func(a, b *server) int { return strings.Compare(a.spec.Name, b.spec.Name) })
	h.servers = servers
	if !h.known {
		h.known, h.lastGood = true, now
	}
	return h.dispatch(now, acts)
}

func (h *Home) find(name string) *server {
	for _, s := range h.servers {
		if s.spec.Name == name {
			return s
		}
	}
	return nil
}

// Submit takes a leg in; it starts, waits or fails at once.
func (h *Home) Submit(now time.Time, in Leg, acts []Action) []Action {
	l := &leg{Leg: in, worst: result.OutcomeUnsent, order: in.Deadline}
	if in.SoftDeadline.After(now) && !in.Optional {
		l.order = in.SoftDeadline
	}
	c := &h.classes[in.Class]
	h.wake(c, now)
	if code, ok := h.admits(c, l, now); !ok {
		return append(acts, Action{Kind: ActionFail, Leg: in.ID, Code: code, Outcome: l.worst, RetryAfter: h.retryAfter(now, 0)})
	}
	h.hedgeBudget.Refill(now)
	h.retryBudget.Refill(now)
	h.hedgeBudget.Earn()
	h.retryBudget.Earn()
	h.legs[in.ID] = l
	l.place = inWaiting
	h.bytes += l.Bytes
	c.waiting.insert(l)
	return h.dispatch(now, acts)
}

// Finish reports the end of an attempt.
func (h *Home) Finish(now time.Time, id ident.AttemptID, end AttemptResult, acts []Action) []Action {
	a, ok := h.attempts[id]
	if !ok {
		return acts
	}
	delete(h.attempts, id)
	a.server.drop(a)
	a.leg.dropAttempt(a)
	c := &h.classes[a.leg.Class]
	c.running--
	c.watch.remove(a)
	c.charge(a.ran(now).Seconds() - a.charged)
	h.learn(now, a, end)
	h.promote(a.server, now)
	if !a.leg.done {
		acts = h.settle(now, a, end, acts)
	}
	return h.dispatch(now, acts)
}

// Outcome is what is known of a leg that has not ended, if it is given up now:
// unsent or refused only if no server has it.
func (h *Home) Outcome(id LegID) result.Outcome {
	l, ok := h.legs[id]
	if !ok || l.runningCount() > 0 {
		return result.OutcomeUnknown
	}
	return l.worst
}

// Cancel drops a leg whose caller no longer waits; running attempts are cancelled.
func (h *Home) Cancel(now time.Time, id LegID, acts []Action) []Action {
	l, ok := h.legs[id]
	if !ok {
		return acts
	}
	h.remove(l)
	return h.dispatch(now, h.cancelAttempts(l, acts))
}

// Tick does what is due at now: deadlines, hedges, ends of pauses.
func (h *Home) Tick(now time.Time, acts []Action) []Action {
	return h.dispatch(now, acts)
}

// NextTick is when Tick wants to be called next; zero: not needed. It is
// always later than the last decision: whatever was due then and could not be
// done waits for an attempt to end, and a time in the past would make the
// shell call Tick without end.
func (h *Home) NextTick() time.Time {
	next := h.nextDue()
	if !next.IsZero() && !next.After(h.decidedAt) {
		return h.decidedAt.Add(leastPause)
	}
	return next
}

func (h *Home) nextDue() time.Time {
	var next time.Time
	waiting := false
	for i := range h.classes {
		c := &h.classes[i]
		if age := h.hedgeAge(c); c.watch.head != nil && age > 0 {
			next = earlier(next, c.watch.head.started.Add(age))
		}
		if c.waiting.len() > 0 {
			waiting = true
			next = earlier(next, c.waiting.legs[0].Deadline.Add(-c.quantiles().least))
		}
	}
	if !waiting {
		return next
	}
	for _, s := range h.servers {
		if at := s.availableAt(h.decidedAt); s.inService() && at.After(h.decidedAt) {
			next = earlier(next, at)
		}
	}
	return next
}

func earlier(a, b time.Time) time.Time {
	if a.IsZero() || b.Before(a) {
		return b
	}
	return a
}

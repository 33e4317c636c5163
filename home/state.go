package home

import (
	"slices"
	"strings"
	"time"

	"github.com/goldcrestspan/goldcrestspan/ident"
	"github.com/goldcrestspan/goldcrestspan/result"
	"github.com/goldcrestspan/goldcrestspan/retry"
)

// defaultMaxQueueBytes limits the bodies waiting at one home, so that large requests
// can't exhaust the memory of a small host.
const defaultMaxQueueBytes = 4 << 20

// Home is the scheduling state of one service. It isn't safe for concurrent use.
type Home struct {
	cfg         Config
	servers     []*server // sorted by name, so that ties resolve the same way
	hasServers  bool      // SetServers has been called
	classes     []class
	legs        map[LegID]*leg
	attempts    map[ident.AttemptID]*attempt
	lastAttempt ident.AttemptID
	hedgeBudget retry.Budget
	retryBudget retry.Budget
	queuedBytes int       // total size of waiting bodies
	lastAnswer  time.Time // last answer of any server, or the first SetServers

	pendingChanges []ServerChange // not yet returned by DrainChanges
	lastDispatch   time.Time

	// set by updateTotals
	totalSlots, usableCount int
	anyWarm                 bool
}

func (c Config) withDefaults() Config {
	if len(c.Classes) == 0 {
		c.Classes = []ClassSpec{{}} // for legs of classes that were removed
	}
	if c.MaxQueueBytes == 0 {
		c.MaxQueueBytes = defaultMaxQueueBytes
	}
	if c.HedgeBurst == 0 {
		c.HedgeBurst = defaultHedgeBurst
	}
	if c.RetryBurst == 0 {
		c.RetryBurst = defaultRetryBurst
	}
	if c.RetryInitialFill == 0 {
		c.RetryInitialFill = 1 // allows retries before any leg has earned one
	}
	if c.SlowStartReplies == 0 {
		c.SlowStartReplies = defaultSlowStartReplies
	}
	if c.CrossZonePenaltySeconds == 0 {
		c.CrossZonePenaltySeconds = defaultCrossZonePenaltySeconds
	}
	return c
}

// New returns the home of a service. Its attempt IDs are above attemptIDBase, so that the
// homes of one host never share one.
func New(cfg Config, attemptIDBase ident.AttemptID) *Home {
	cfg = cfg.withDefaults()
	h := &Home{
		cfg:         cfg,
		classes:     make([]class, len(cfg.Classes)),
		legs:        make(map[LegID]*leg),
		attempts:    make(map[ident.AttemptID]*attempt),
		lastAttempt: attemptIDBase,
		hedgeBudget: retry.NewPartialBudget(cfg.HedgeBudget, cfg.HedgeBurst, cfg.HedgeInitialFill),
		retryBudget: retry.NewPartialBudget(cfg.RetryBudget, cfg.RetryBurst, cfg.RetryInitialFill),
	}
	h.applyBudgetRates()
	for i := range h.classes {
		h.classes[i] = class{spec: cfg.Classes[i], index: i, sharedLatencies: cfg.LatencyStats.forClass(cfg.Classes[i].Name)}
	}
	return h
}

func (h *Home) applyBudgetRates() {
	h.hedgeBudget.SetRefillRate(h.cfg.HedgesPerSecond)
	h.retryBudget.SetRefillRate(h.cfg.RetriesPerSecond)
}

// SetServers replaces the backend servers of the service. The state of a server with a
// new incarnation is reset.
func (h *Home) SetServers(now time.Time, specs []ServerSpec, acts []Action) []Action {
	servers := make([]*server, 0, len(specs))
	for _, spec := range specs {
		s := h.findServer(spec.Name)
		if s == nil || s.spec.Incarnation != spec.Incarnation {
			next := newServer(now, spec, &h.cfg, !h.hasServers && !now.Before(spec.ColdUntil))
			if s != nil {
				next.recentStarts = s.recentStarts // recent attempts may have reached the new incarnation
			}
			s = next
		}
		s.spec = spec
		s.slots = slotsOf(spec, &h.cfg)
		servers = append(servers, s)
	}
	slices.SortFunc(servers, func(a, b *server) int { return strings.Compare(a.spec.Name, b.spec.Name) })
	h.servers = servers
	if !h.hasServers {
		h.hasServers, h.lastAnswer = true, now
	}
	return h.dispatch(now, acts)
}

func (h *Home) findServer(name string) *server {
	for _, s := range h.servers {
		if s.spec.Name == name {
			return s
		}
	}
	return nil
}

// ClassIndex returns the index of the class with the name, as it is until the next Reconfigure. A
// class that this home doesn't have counts as the first one: Reconfigure moves the legs of a removed
// class there, and a leg that crosses the change is treated the same.
func (h *Home) ClassIndex(name string) int {
	for i := range h.classes {
		if h.classes[i].spec.Name == name {
			return i
		}
	}
	return 0
}

// Submit adds a leg, which starts, waits or fails at once.
func (h *Home) Submit(now time.Time, in Leg, acts []Action) []Action {
	l := &leg{Leg: in, outcome: result.OutcomeUnsent, orderBy: in.Deadline}
	if in.SoftDeadline.After(now) && !in.Optional {
		l.orderBy = in.SoftDeadline
	}
	c := &h.classes[in.Class]
	h.catchUp(c, now)
	if code, ok := h.admit(c, l, now); !ok {
		return append(acts, Action{Kind: ActionFail, Leg: in.ID, Code: code, Outcome: l.outcome, RetryAfter: h.retryAfter(now, 0)})
	}
	h.hedgeBudget.Refill(now)
	h.retryBudget.Refill(now)
	h.hedgeBudget.Earn()
	h.retryBudget.Earn()
	h.legs[in.ID] = l
	l.queuedIn = inWaitingQueue
	h.queuedBytes += l.Bytes
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
	a.server.removeAttempt(a)
	a.leg.dropAttempt(a)
	c := &h.classes[a.leg.Class]
	c.running--
	c.hedgeCandidates.remove(a)
	c.charge(a.elapsed(now).Seconds() - a.chargedSeconds)
	h.recordEnd(now, a, end)
	h.promote(a.server, now)
	if !a.leg.done {
		acts = h.handleEnd(now, a, end, acts)
	}
	return h.dispatch(now, acts)
}

// Outcome returns what is known of a leg that hasn't ended if it were given up now:
// unsent or refused only if no server has it.
func (h *Home) Outcome(id LegID) result.Outcome {
	l, ok := h.legs[id]
	if !ok || l.runningCount() > 0 {
		return result.OutcomeUnknown
	}
	return l.outcome
}

// Cancel removes a leg whose caller no longer waits and cancels its running attempts.
func (h *Home) Cancel(now time.Time, id LegID, acts []Action) []Action {
	l, ok := h.legs[id]
	if !ok {
		return acts
	}
	h.removeLeg(l)
	return h.dispatch(now, h.cancelAttempts(l, acts))
}

// Tick handles whatever is due at now: deadlines, hedges, ends of pauses.
func (h *Home) Tick(now time.Time, acts []Action) []Action {
	return h.dispatch(now, acts)
}

// NextTick returns when Tick should be called next, or the zero time if no call is
// needed. It is always later than the last dispatch: work that was due then and
// couldn't be done waits for an attempt to end, and a time in the past would make the
// caller spin.
func (h *Home) NextTick() time.Time {
	next := h.nextEvent()
	if !next.IsZero() && !next.After(h.lastDispatch) {
		return h.lastDispatch.Add(minPause)
	}
	return next
}

func (h *Home) nextEvent() time.Time {
	var next time.Time
	waiting := false
	for i := range h.classes {
		c := &h.classes[i]
		if age := h.hedgeDelay(c); c.hedgeCandidates.head != nil && age > 0 {
			next = earliest(next, c.hedgeCandidates.head.started.Add(age))
		}
		if c.waiting.len() > 0 {
			waiting = true
			next = earliest(next, c.waiting.legs[0].Deadline.Add(-c.quantiles().fast))
		}
	}
	if !waiting {
		return next
	}
	for _, s := range h.servers {
		if at := s.availableAt(h.lastDispatch); s.inService() && at.After(h.lastDispatch) {
			next = earliest(next, at)
		}
	}
	return next
}

func earliest(a, b time.Time) time.Time {
	if a.IsZero() || b.Before(a) {
		return b
	}
	return a
}

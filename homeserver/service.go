package homeserver

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/goldcrestspan/goldcrestspan/backend"
	"github.com/goldcrestspan/goldcrestspan/forward"
	"github.com/goldcrestspan/goldcrestspan/home"
	"github.com/goldcrestspan/goldcrestspan/ident"
	"github.com/goldcrestspan/goldcrestspan/leg"
	"github.com/goldcrestspan/goldcrestspan/result"
)

// service runs one home; the mutex serializes its decisions.
type service struct {
	server *Server
	name   string
	// followed is the desired state that the home has taken over; replaced under mu.
	followed atomic.Pointer[desiredState]

	mu       sync.Mutex
	closed   bool // takes no more legs
	home     *home.Home
	acts     []home.Action // reused between decisions
	legs     map[home.LegID]*openLeg
	attempts map[ident.AttemptID]*openAttempt
	servers  map[string]backend.Server
	timer    *time.Timer
	timerAt  time.Time // when timer fires; zero if it isn't set
}

type openLeg struct {
	request     leg.Request
	done        func(leg.Result)
	submittedAt time.Time
	queueTime   time.Duration // time until the first attempt; leg.UnknownQueueTime before that
	attempts    int
	hedges      int
	// snapshotNotHeld is set if the last attempt was refused because the server lacks
	// the snapshot.
	snapshotNotHeld bool
	// reply is the last backend server reply to a forwarded request.
	reply *forward.Reply
}

type openAttempt struct {
	leg    home.LegID
	cancel context.CancelFunc
	end    backend.CallResult
}

// effects are the effects of a decision on others. They are carried out after the mutex is
// released, since callbacks may call the server.
type effects struct {
	starts      []*attemptStart
	completions []completion
	changes     []home.ServerChange
}

// attemptStart is an attempt to send.
type attemptStart struct {
	ctx         context.Context
	server      backend.Server
	fingerprint uint64
	hedge       bool
	retry       bool
	call        backend.Call
}

// completion is a leg's result to deliver.
type completion struct {
	done   func(leg.Result)
	result leg.Result
}

// newService returns the service of a new home, which follows the desired state.
func newService(server *Server, name string, h *home.Home, desired *desiredState) *service {
	s := &service{
		server:   server,
		name:     name,
		home:     h,
		legs:     make(map[home.LegID]*openLeg),
		attempts: make(map[ident.AttemptID]*openAttempt),
	}
	s.acts = s.setServers(server.now(), desired.servers[name], nil)
	s.followed.Store(desired)
	return s
}

// follow takes over the desired state unless the home already follows a newer one.
func (s *service) follow(desired *desiredState) {
	followed := s.followed.Load()
	if followed.version >= desired.version {
		return
	}
	var limits *home.Config
	if desired.configVersion != followed.configVersion && desired.hasService(s.name) {
		config := s.server.homeConfig(desired.config, s.name)
		limits = &config
	}
	s.decide(func(now time.Time, acts []home.Action) []home.Action {
		followed := s.followed.Load()
		if followed.version >= desired.version {
			return acts
		}
		s.followed.Store(desired)
		// The servers go first, so that no attempt starts at one that has left.
		if known := desired.servers[s.name]; !slices.Equal(known, followed.servers[s.name]) {
			acts = s.setServers(now, known, acts)
		}
		if limits != nil && desired.configVersion != followed.configVersion {
			acts = s.home.Reconfigure(now, *limits, acts)
		}
		return acts
	})
}

// closeIfUnused closes the home if it has no legs and no attempts, and reports whether it did.
func (s *service) closeIfUnused() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = len(s.legs) == 0 && len(s.attempts) == 0
	return s.closed
}

// submit hands a leg to the home; false if the home is closed and the leg was not taken.
func (s *service) submit(id home.LegID, request leg.Request, done func(leg.Result)) (taken bool) {
	s.decide(func(now time.Time, acts []home.Action) []home.Action {
		if s.closed {
			return acts
		}
		taken = true
		s.legs[id] = &openLeg{request: request, done: done, submittedAt: now, queueTime: leg.UnknownQueueTime}
		return s.home.Submit(now, home.Leg{
			ID:             id,
			Request:        request.Request,
			Class:          s.home.ClassIndex(request.Class),
			Caller:         request.Caller,
			Deadline:       request.Deadline,
			Idempotent:     request.Idempotent,
			Fingerprint:    request.Fingerprint,
			Bytes:          len(request.Body),
			SoftDeadline:   request.SoftDeadline,
			Optional:       request.Optional,
			MaxServers:     request.MaxServers,
			PinnedServer:   request.PinnedServer,
			ReservedServer: request.ReservedServer,
			Regions:        regionsOf(request),
			Forwarded:      request.Forward != nil,
		}, acts)
	})
	return taken
}

// regionsOf returns the regions whose servers may run the request; empty means any.
func regionsOf(request leg.Request) []string {
	if request.Forward == nil {
		return nil
	}
	return request.Forward.Regions
}

func (s *service) cancel(id home.LegID) {
	var cancelled *openLeg
	var outcome result.Outcome
	s.decide(func(now time.Time, acts []home.Action) []home.Action {
		cancelled = s.legs[id]
		delete(s.legs, id)
		outcome = s.home.Outcome(id)
		return s.home.Cancel(now, id, acts)
	})
	if cancelled == nil {
		return
	}
	s.server.counter.Cancelled(s.name)
	cancelled.done(leg.Failed(cancelled.request, result.Cancelled, outcome, "cancelled"))
}

func (s *service) setServers(now time.Time, known []KnownServer, acts []home.Action) []home.Action {
	specs := make([]home.ServerSpec, len(known))
	servers := make(map[string]backend.Server, len(known))
	for i, k := range known {
		servers[k.Server.Name] = k.Server
		specs[i] = home.ServerSpec{
			Name:        k.Server.Name,
			Incarnation: k.Server.Incarnation,
			SameZone:    k.SameZone,
			Leaving:     k.Leaving,
			Slots:       k.Slots,
			Region:      k.Region,
			ColdUntil:   k.ColdUntil,
			Warmup:      k.Warmup,
		}
	}
	s.servers = servers
	return s.home.SetServers(now, specs, acts)
}

func (s *service) tick() {
	s.decide(func(now time.Time, acts []home.Action) []home.Action {
		s.timerAt = time.Time{}
		return s.home.Tick(now, acts)
	})
}

// decide makes one decision under the mutex, and carries out its effects without it.
func (s *service) decide(decision func(time.Time, []home.Action) []home.Action) {
	effects := s.decideLocked(decision)
	for _, start := range effects.starts {
		s.server.counter.Attempt(s.name, start.hedge, start.retry)
		s.server.observer.Started(start.call.Attempt, start.server, start.fingerprint)
		s.server.workers.start(func() { s.run(start.ctx, start.server, start.fingerprint, start.call) })
	}
	for _, change := range effects.changes {
		s.server.notify(s.name, change)
	}
	for _, e := range effects.completions {
		e.done(e.result)
	}
}

// decideLocked makes one decision under the mutex and returns its effects. A panic, which
// net/http recovers, releases the mutex.
func (s *service) decideLocked(decision func(time.Time, []home.Action) []home.Action) effects {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.acts = decision(s.server.now(), s.acts[:0])
	effects := s.apply(s.acts)
	effects.changes = s.home.DrainChanges()
	s.setTimer()
	return effects
}

func (s *service) apply(acts []home.Action) (e effects) {
	for _, act := range acts {
		switch act.Kind {
		case home.ActionStart:
			e.starts = append(e.starts, s.start(act))
		case home.ActionCancel:
			if a := s.attempts[act.Attempt]; a != nil {
				a.cancel()
			}
		case home.ActionAnswer, home.ActionFail:
			if c, ok := s.complete(act); ok {
				e.completions = append(e.completions, c)
			}
		}
	}
	return e
}

// start registers an attempt.
func (s *service) start(act home.Action) *attemptStart {
	l := s.legs[act.Leg]
	if l.attempts == 0 {
		l.queueTime = s.server.now().Sub(l.submittedAt)
	}
	l.attempts++
	if act.Hedge {
		l.hedges++
	}
	// The attempt must not end with the context of the goroutine that submitted the leg.
	ctx, cancel := context.WithDeadline(context.Background(), l.request.Deadline)
	s.attempts[act.Attempt] = &openAttempt{leg: act.Leg, cancel: cancel}
	return &attemptStart{
		ctx: ctx, server: s.servers[act.Server], fingerprint: l.request.Fingerprint, hedge: act.Hedge, retry: act.Retry,
		call: backend.Call{
			Request:    l.request.Request,
			Attempt:    act.Attempt,
			Service:    s.name,
			Index:      l.request.Index,
			Shard:      l.request.Shard,
			Snapshot:   l.request.Snapshot,
			Class:      l.request.Class,
			Deadline:   l.request.Deadline,
			Idempotent: l.request.Idempotent,
			Body:       l.request.Body,
			Forward:    l.request.Forward,
		},
	}
}

func (s *service) run(ctx context.Context, server backend.Server, fingerprint uint64, call backend.Call) {
	end := s.server.runner.Run(ctx, server, call)
	s.server.counter.AttemptEnd(s.name, end.Fault)
	suspect := s.server.observer.Ended(call.Attempt, server, fingerprint, end)
	s.decide(func(now time.Time, acts []home.Action) []home.Action {
		s.recordEnd(s.attempts[call.Attempt], end)
		acts = s.home.Finish(now, call.Attempt, home.AttemptResult{
			Outcome:    end.Outcome,
			Fault:      end.Fault,
			Load:       end.Reply.Load,
			HasLoad:    end.Reply.Incarnation != 0 || end.Reply.Load.Slots > 0,
			RetryAfter: end.RetryAfter,
			NoRetry:    suspect,
		}, acts)
		return acts
	})
	s.mu.Lock()
	delete(s.attempts, call.Attempt)
	s.mu.Unlock()
}

func (s *service) recordEnd(a *openAttempt, end backend.CallResult) {
	a.cancel()
	a.end = end
	if l := s.legs[a.leg]; l != nil {
		l.snapshotNotHeld = end.Fault == backend.FaultSnapshotNotHeld
		if end.Reply.Forwarded != nil {
			l.reply = end.Reply.Forwarded
		}
	}
}

func (s *service) complete(act home.Action) (completion, bool) {
	l, ok := s.legs[act.Leg]
	if !ok {
		return completion{}, false
	}
	delete(s.legs, act.Leg)
	r := leg.Failed(l.request, act.Code, act.Outcome, "")
	r.Attempts = l.attempts
	r.Hedges = l.hedges
	r.QueueTime = l.queueTime
	r.RetryAfter = act.RetryAfter
	r.Reply = l.reply
	if l.snapshotNotHeld {
		r.Code = result.NoSnapshot
	}
	if act.Kind == home.ActionAnswer {
		reply := s.attempts[act.Attempt].end.Reply
		r.Code = 0
		r.Snapshot = reply.Snapshot
		r.Body = reply.Body
		r.Digest = leg.Digest(reply.Body)
		r.HeldSnapshots = reply.HeldSnapshots
		r.Reply = reply.Forwarded
	}
	return completion{done: l.done, result: r}, true
}

func (s *service) setTimer() {
	next := s.home.NextTick()
	if next.IsZero() || (!s.timerAt.IsZero() && !next.Before(s.timerAt)) {
		return
	}
	s.timerAt = next
	wait := max(next.Sub(s.server.now()), 0)
	if s.timer == nil {
		s.timer = time.AfterFunc(wait, s.tick)
		return
	}
	s.timer.Reset(wait)
}

func (s *service) forecast(class string) leg.Forecast {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.home.Forecast(s.server.now(), s.home.ClassIndex(class))
}

func (s *service) preferredServer(class, reserved string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.home.PreferredServer(s.server.now(), s.home.ClassIndex(class), reserved)
}

func (s *service) openLegs() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.legs)
}

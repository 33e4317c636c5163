package gateway

import (
	"context"
	"math"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/goldcrestspan/goldcrestspan/admit"
	"github.com/goldcrestspan/goldcrestspan/result"
	"github.com/goldcrestspan/goldcrestspan/scatter"
)

const (
	// processorProbeInterval is how often the wait for the processor is measured: several
	// times within the shortest target.
	processorProbeInterval = 20 * time.Millisecond
	// idleProbeInterval applies while no search was admitted since the last measurement, so
	// that hosts that stand by are not woken up.
	idleProbeInterval = 250 * time.Millisecond
)

// searchAdmission decides on searches at their coordinating host. Requests to a single
// service hold no slots of others while they wait, and are ordered by its home alone.
type searchAdmission struct {
	controller     *admit.Controller
	now            func() time.Time
	processorDelay atomic.Int64  // nanoseconds
	asked          atomic.Int64  // searches that asked for admission
	firstAsked     chan struct{} // closed by the first of them
}

func newSearchAdmission(now func() time.Time) *searchAdmission {
	limits := admit.Limits{MaxConcurrent: maxRequestsInFlight, MaxBytes: math.MaxInt} // bytes: see ReserveBody
	return &searchAdmission{controller: admit.New(limits, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))), now: now, firstAsked: make(chan struct{})}
}

// admit returns the permit of a search, nil for a request without a limit, or its refusal
// before any leg is sent. Searches are limited only where customers share the capacity.
func (a *searchAdmission) admit(c *configuration, priority int, spec *scatter.QuerySpec) (*admit.Permit, *Answer) {
	if c.customers == nil || spec.SoftDeadline.IsZero() || len(spec.Snapshot.Shards) < 2 {
		return nil, nil
	}
	_, class, known := c.compiled.Class(spec.Class)
	if !known {
		return nil, nil
	}
	if a.asked.Add(1) == 1 {
		close(a.firstAsked)
	}
	now := a.now()
	permit, refusal := a.controller.Admit(now, admit.Request{
		Caller: spec.Caller, Weight: c.weight(spec.Caller), Class: class, Priority: priority, Deadline: spec.Deadline, Target: spec.SoftDeadline,
		ProcessorDelay: a.delay(),
	})
	if refusal == nil {
		spec.QueueShare = permit.QueueShare()
		spec.RetryAfter = func(now time.Time) time.Duration { return a.controller.RetryAfter(now, class, spec.Deadline.Sub(now)) }
		return permit, nil
	}
	answer := newRefusal(refusal.Code, refusal.Detail, refusal.RetryAfter)
	answer.Reason = refusal.Reason
	return nil, answer
}

// release records how an admitted search ended.
func (a *searchAdmission) release(permit *admit.Permit, answer *scatter.Answer) {
	if permit == nil {
		return
	}
	a.controller.Release(a.now(), permit, admit.Completion{
		Answered:       hasAnswer(answer.Code),
		Abandoned:      answer.Code == result.Cancelled,
		NotRun:         answer.Code.NotRun(),
		Legs:           legTimings(answer.Legs),
		Refused:        answer.Reason,
		ProcessorDelay: a.delay(),
	})
}

func legTimings(legs []scatter.LegTiming) []admit.LegTiming {
	timings := make([]admit.LegTiming, len(legs))
	for i, l := range legs {
		timings[i] = admit.LegTiming{Service: l.Service, Time: l.Time, QueueTime: l.QueueTime, TimedOut: l.TimedOut}
	}
	return timings
}

func (a *searchAdmission) delay() time.Duration { return time.Duration(a.processorDelay.Load()) }

// measureProcessorDelay measures how late a timer of this process fires: about as long as a
// request waits for the processor at each of its steps. The smaller of two measurements
// counts, so that a single pause of the process is no overload.
func (a *searchAdmission) measureProcessorDelay(ctx context.Context) error {
	// Hosts that limit no searches are not woken up.
	select {
	case <-a.firstAsked:
	case <-ctx.Done():
		return nil
	}
	interval := idleProbeInterval
	timer := time.NewTimer(interval)
	defer timer.Stop()
	due := time.Now().Add(interval)
	var previous time.Duration
	var asked int64
	for {
		select {
		case <-timer.C:
		case <-ctx.Done():
			return nil
		}
		now := time.Now()
		measured := now.Sub(due)
		a.processorDelay.Store(int64(min(measured, previous)))
		previous = measured
		interval = idleProbeInterval
		if total := a.asked.Load(); total != asked {
			asked, interval = total, processorProbeInterval
		}
		timer.Reset(interval)
		due = now.Add(interval)
	}
}

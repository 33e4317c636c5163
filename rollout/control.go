package rollout

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/goldcrestspan/goldcrestspan/bundle"
)

// announcement is an untrusted claim that a configuration exists.
type announcement struct {
	ref bundle.Ref
	// from is the peer listener of a host that has it; empty: the store has it.
	from string
}

// event is a message to the control loop.
type event interface{ apply(*Agent, *tasks) }

// headRead carries a head object that was read from the store.
type headRead struct {
	head  head
	found bool
}

// sourceDone reports that a source has answered or failed at startup.
type sourceDone struct{ source Source }

// pullResult is the outcome of a pull.
type pullResult struct {
	candidate *candidate
	err       error
	// refusal says why the bundle must not be applied.
	refusal refusal
	ref     bundle.Ref // what was pulled or refused; zero if unknown
	// partial holds the documents that a failed pull got, for the next attempt.
	partial bundle.Contents
}

// refusal is why a bundle was refused.
type refusal int

const (
	notRefused refusal = iota
	// refusedSignatures: the signatures are invalid or too few. The same payload
	// may still arrive with valid signatures from another source.
	refusedSignatures
	// refusedContent: the payload or its documents are invalid from any source.
	refusedContent
)

// candidate is a configuration whose signatures and documents are verified.
type candidate struct {
	ref      bundle.Ref
	raw      []byte
	manifest bundle.Manifest
	contents bundle.Contents
	config   *bundle.Config
}

// pullState tracks the pull in progress, of which there is at most one, and
// the target of the next.
type pullState struct {
	running bool
	// target is the highest known configuration that is not active yet.
	target announcement
	// targetHead is the target's head object, if it came from the store.
	targetHead *head
	failures   int
	// partial holds documents from an earlier pull that failed.
	partial bundle.Contents
}

// refusedSet remembers refused bundles, so that further announcements don't
// make the host fetch them again.
type refusedSet struct {
	refs map[bundle.Ref]bool
}

const maxRefusedRefs = 64

func (s *refusedSet) add(ref bundle.Ref) {
	if s.refs == nil || len(s.refs) >= maxRefusedRefs {
		s.refs = make(map[bundle.Ref]bool)
	}
	s.refs[ref] = true
}

func (s *refusedSet) has(ref bundle.Ref) bool { return s.refs[ref] }

// controlLoop owns the agent's state. It runs until ctx ends.
func (a *Agent) controlLoop(ctx context.Context, t *tasks) {
	for {
		select {
		case <-ctx.Done():
			return
		case e := <-a.events:
			a.loop.Begin(a.config.Now())
			e.apply(a, t)
		case ann := <-a.announcements:
			a.loop.Begin(a.config.Now())
			a.handleAnnouncement(t, ann, nil)
		}
		a.publishWhenReady()
		a.loop.End()
	}
}

// post sends an event to the control loop. Unlike an announcement it is never
// dropped.
func (a *Agent) post(ctx context.Context, e event) {
	select {
	case a.events <- e:
	case <-ctx.Done():
	}
}

func (e headRead) apply(a *Agent, t *tasks) {
	if !e.found {
		return
	}
	ref, _, err := refOf(e.head.Signed)
	if err != nil {
		a.raiseAlarm("the store's head can't be read: " + err.Error())
		return
	}
	// The heartbeat reads a refused head repeatedly. It must not keep a
	// starting host waiting for a configuration that it never applies.
	if a.refused.has(ref) {
		return
	}
	a.startup.Observe(ref)
	a.handleAnnouncement(t, announcement{ref: ref}, &e.head)
}

func (e sourceDone) apply(a *Agent, _ *tasks) { a.startup.MarkDone(e.source) }

// handleAnnouncement decides what to do about an announced configuration.
// targetHead is its head object, if the store supplied it.
func (a *Agent) handleAnnouncement(t *tasks, ann announcement, targetHead *head) {
	if a.refused.has(ann.ref) {
		return
	}
	switch a.active.Compare(ann.ref) {
	case RelationOlder:
		a.metrics.olderIgnored.Inc()
	case RelationConflict:
		a.reportConflict(ann.ref)
	case RelationNewer:
		a.setTarget(ann, targetHead)
		a.startPull(t, a.jitter(pullJitter))
	case RelationSame:
	}
}

// setTarget makes the announced configuration the pull target if it is the
// highest so far, or adds its head object or peer address to the present target.
func (a *Agent) setTarget(ann announcement, targetHead *head) {
	switch {
	case ann.ref.Generation > a.pull.target.ref.Generation:
		a.pull.target, a.pull.targetHead, a.pull.failures = ann, targetHead, 0
	case ann.ref == a.pull.target.ref && targetHead != nil:
		a.pull.targetHead = targetHead
	case ann.ref == a.pull.target.ref && ann.from != "":
		a.pull.target.from = ann.from
	}
}

// startPull starts a pull of the target unless one is running. The end of a
// pull starts the next if the target is still newer.
func (a *Agent) startPull(t *tasks, after time.Duration) {
	if a.pull.running || a.active.Compare(a.pull.target.ref) != RelationNewer {
		return
	}
	a.pull.running = true
	p := a.newPuller(a.pull)
	a.pull.partial = nil
	t.run(func(ctx context.Context) {
		if pause(ctx, after) == nil {
			pulled := p.run(ctx)
			if c := pulled.candidate; c != nil {
				a.tracker.Arrived(a.config.Now(), c.ref.Generation, p.source())
			}
			a.post(ctx, pulled)
		}
	})
}

func (e pullResult) apply(a *Agent, t *tasks) {
	a.pull.running = false
	switch {
	case e.refusal != notRefused:
		a.refuse(e)
	case e.err != nil:
		a.handlePullFailure(e)
	default:
		a.pull.failures = 0
		a.applyCandidate(t, e.candidate)
	}
	a.startPull(t, a.pullBackoff())
}

// handlePullFailure prepares the next attempt. After too many failures it drops
// the target: a configuration that no reachable host has must not block other
// pulls or the startup of this host. A host that has it announces it again.
func (a *Agent) handlePullFailure(e pullResult) {
	a.metrics.pullsFailed.Inc()
	a.pull.failures++
	a.pull.target.from = "" // the next pull picks another peer
	if len(e.partial) > 0 && e.partial.Bytes() <= bundle.MaxBundleBytes {
		a.pull.partial = e.partial
	}
	if a.pull.failures >= maxPullFailures {
		a.startup.Discard(a.pull.target.ref)
		a.pull = pullState{}
	}
}

func (a *Agent) pullBackoff() time.Duration {
	if a.pull.failures == 0 {
		return 0
	}
	d := pullMinBackoff << min(a.pull.failures-1, 10)
	return a.withJitter(min(d, pullMaxBackoff))
}

func (a *Agent) applyCandidate(t *tasks, c *candidate) {
	switch a.active.Apply(c.ref) {
	case RelationNewer:
	case RelationConflict:
		a.reportConflict(c.ref)
		return
	default:
		a.metrics.olderIgnored.Inc()
		return
	}
	a.alarm.Store(nil)
	a.tracker.Applied(a.config.Now(), c.ref.Generation)
	before := a.snapshot.Load()
	next := &snapshot{
		ref: c.ref, signed: c.raw, parts: c.manifest.Parts, contents: c.contents, config: c.config,
	}
	if before != nil {
		next.recent = append([]recentParts{{before.ref, before.parts}}, before.recent...)
		next.recent = next.recent[:min(len(next.recent), maxRecentConfigs)]
		if c.manifest.Parent.Generation == before.ref.Generation && c.manifest.Parent.Hash != before.ref.Hash {
			// Conflicting contents of the parent generation existed. The new
			// generation resolves that, but operators should know.
			a.reportConflict(c.manifest.Parent)
		}
	}
	a.snapshot.Store(next)
	a.metrics.applied(c.ref.Generation)
	a.logger.Info("configuration in force",
		zap.Uint64("generation", c.ref.Generation), zap.Stringer("manifest", c.ref.Hash),
		zap.String("author", c.manifest.Author), zap.String("reason", c.manifest.Reason))
	a.publishWhenReady()
	if a.ready.Load() != nil {
		a.notifyPeers(t)
	}
}

// publishWhenReady hands out the active configuration once the host may serve.
func (a *Agent) publishWhenReady() {
	p := a.snapshot.Load()
	if p == nil || a.ready.Load() == p.config || !a.startup.Ready(p.ref) {
		return
	}
	first := a.ready.Load() == nil
	a.ready.Store(p.config)
	if first {
		a.logger.Info("host is ready to serve with its first configuration", zap.Uint64("generation", p.ref.Generation))
	}
	if a.config.OnApplied != nil {
		a.config.OnApplied(p.config)
	}
}

// refuse drops a bundle that failed verification and raises an alarm. The
// active configuration stays.
func (a *Agent) refuse(e pullResult) {
	if e.refusal == refusedContent {
		a.refused.add(e.ref)
	}
	a.startup.Discard(e.ref)
	if a.pull.target.ref == e.ref {
		a.pull = pullState{}
	}
	a.metrics.refused.Inc()
	a.raiseAlarm("refused generation " + e.ref.String() + ", kept " + a.active.Current().String() + ": " + e.err.Error())
}

// reportConflict raises an alarm, once for each reference, about a generation
// that exists with different content.
func (a *Agent) reportConflict(ref bundle.Ref) {
	if a.refused.has(ref) {
		return
	}
	a.refused.add(ref)
	a.metrics.conflicts.Inc()
	a.raiseAlarm("generation " + ref.String() + " exists with other content than " + a.active.Current().String() + ", which stays in force")
}

func (a *Agent) raiseAlarm(text string) {
	if a.Alarm() == text {
		return
	}
	a.alarm.Store(&text)
	a.logger.Error("configuration needs an operator", zap.String("alarm", text))
}

package rollout

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/goldcrestspan/goldcrestspan/bundle"
)

// hint is word that a configuration exists; it is not trusted.
type hint struct {
	ref bundle.Ref
	// from is the peers' listener of a host that has it; empty: the store.
	from string
}

// event is a message to the control goroutine.
type event interface{ apply(*Agent, *tasks) }

// headRead is the store's answer to a watcher or a starting host.
type headRead struct {
	head  head
	found bool
}

// settled ends the asking of one source by a starting host.
type settled struct{ source Source }

// pulled is the outcome of a pull.
type pulled struct {
	candidate *candidate
	err       error
	// refusal tells why a bundle must not be applied.
	refusal refusal
	ref     bundle.Ref // what was pulled or refused; zero: not known
	// partial are documents of a pull that failed midway, for the next.
	partial bundle.Contents
}

// refusal is why a bundle was refused.
type refusal int

const (
	notRefused refusal = iota
	// refusedSignOffs: these sign-offs are not enough. The same payload may
	// come with others, as from a peer that didn't damage them.
	refusedSignOffs
	// refusedContent: the payload or its documents are bad, whoever sends them.
	refusedContent
)

// candidate is a configuration whose sign-offs and documents were checked.
type candidate struct {
	ref      bundle.Ref
	raw      []byte
	manifest bundle.Manifest
	contents bundle.Contents
	config   *bundle.Config
}

// pullState is the one pull that may be under way, and what comes after it.
type pullState struct {
	running bool
	// wanted is the highest configuration heard of that is not in force.
	wanted hint
	// known is the wanted manifest, when the store gave it.
	known    *head
	failures int
	// partial are documents that an earlier pull got.
	partial bundle.Contents
}

// refusedSet remembers bundles that failed the checks, so that each is fetched
// once and not again with each message that names it.
type refusedSet struct {
	refs map[bundle.Ref]bool
}

const refusedKept = 64

func (s *refusedSet) add(ref bundle.Ref) {
	if s.refs == nil || len(s.refs) >= refusedKept {
		s.refs = make(map[bundle.Ref]bool)
	}
	s.refs[ref] = true
}

func (s *refusedSet) has(ref bundle.Ref) bool { return s.refs[ref] }

// control owns the agent's state until ctx ends.
func (a *Agent) control(ctx context.Context, t *tasks) {
	for {
		select {
		case <-ctx.Done():
			return
		case e := <-a.events:
			e.apply(a, t)
		case h := <-a.hints:
			a.consider(t, h, nil)
		}
		a.becomeReady()
	}
}

// post hands an event to the control goroutine.
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
		a.raise("the store's head can't be read: " + err.Error())
		return
	}
	// A refused head is read again with each heartbeat; it must not keep a
	// starting host waiting for a configuration that it will never apply.
	if a.refused.has(ref) {
		return
	}
	a.start.Named(ref)
	a.consider(t, hint{ref: ref}, &e.head)
}

func (e settled) apply(a *Agent, _ *tasks) { a.start.Settle(e.source) }

// consider decides what to do about a configuration that was heard of.
func (a *Agent) consider(t *tasks, h hint, known *head) {
	if a.refused.has(h.ref) {
		return
	}
	switch a.core.Judge(h.ref) {
	case VerdictOlder:
		a.metrics.olderIgnored.Inc()
	case VerdictSplit:
		a.split(h.ref)
	case VerdictNewer:
		a.want(h, known)
		a.pullWanted(t, a.jitter(pullJitter))
	case VerdictSame:
	}
}

// want keeps the highest configuration heard of. A hint with the manifest
// beats one without.
func (a *Agent) want(h hint, known *head) {
	switch {
	case h.ref.Generation > a.pull.wanted.ref.Generation:
		a.pull.wanted, a.pull.known, a.pull.failures = h, known, 0
	case h.ref == a.pull.wanted.ref && known != nil:
		a.pull.known = known
	case h.ref == a.pull.wanted.ref && h.from != "":
		a.pull.wanted.from = h.from
	}
}

// pullWanted starts a pull unless one is running; its end starts the next.
func (a *Agent) pullWanted(t *tasks, after time.Duration) {
	if a.pull.running || a.core.Judge(a.pull.wanted.ref) != VerdictNewer {
		return
	}
	a.pull.running = true
	p := a.newPuller(a.pull)
	a.pull.partial = nil
	t.run(func(ctx context.Context) {
		if pause(ctx, after) == nil {
			a.post(ctx, p.run(ctx))
		}
	})
}

func (e pulled) apply(a *Agent, t *tasks) {
	a.pull.running = false
	switch {
	case e.refusal != notRefused:
		a.refuse(e)
	case e.err != nil:
		a.pullFailed(e)
	default:
		a.pull.failures = 0
		a.applyCandidate(t, e.candidate)
	}
	a.pullWanted(t, a.pullBackoff())
}

// pullFailed prepares the next try, or gives up.
//
// Guard against word of a configuration that nobody has: a host that died
// with the news, or a faulty peer. The pull would go on for good, keep a
// starting host from serving and hold back pulls of what does exist. After
// pullTries it is forgotten; whoever has it will name it again.
func (a *Agent) pullFailed(e pulled) {
	a.metrics.pullsFailed.Inc()
	a.pull.failures++
	a.pull.wanted.from = "" // it was tried; the next pull draws another
	if len(e.partial) > 0 && e.partial.Bytes() <= bundle.MaxBundleBytes {
		a.pull.partial = e.partial
	}
	if a.pull.failures >= pullTries {
		a.start.Withdraw(a.pull.wanted.ref)
		a.pull = pullState{}
	}
}

func (a *Agent) pullBackoff() time.Duration {
	if a.pull.failures == 0 {
		return 0
	}
	d := pullFirstBackoff << min(a.pull.failures-1, 10)
	return a.around(min(d, pullLastBackoff))
}

func (a *Agent) applyCandidate(t *tasks, c *candidate) {
	switch a.core.Apply(c.ref) {
	case VerdictNewer:
	case VerdictSplit:
		a.split(c.ref)
		return
	default:
		a.metrics.olderIgnored.Inc()
		return
	}
	a.alarm.Store(nil)
	before := a.published.Load()
	next := &published{
		ref: c.ref, signed: c.raw, parts: c.manifest.Parts, contents: c.contents, config: c.config,
	}
	if before != nil {
		next.recent = append([]recentParts{{before.ref, before.parts}}, before.recent...)
		next.recent = next.recent[:min(len(next.recent), recentKept)]
		if c.manifest.Parent.Generation == before.ref.Generation && c.manifest.Parent.Hash != before.ref.Hash {
			// Two contents of one generation existed. The higher generation
			// ends it, but its operators should know.
			a.split(c.manifest.Parent)
		}
	}
	a.published.Store(next)
	a.metrics.applied(c.ref.Generation)
	a.logger.Info("configuration in force",
		zap.Uint64("generation", c.ref.Generation), zap.Stringer("manifest", c.ref.Hash),
		zap.String("author", c.manifest.Author), zap.String("reason", c.manifest.Reason))
	a.becomeReady()
	if a.ready.Load() != nil {
		a.notify(t)
	}
}

// becomeReady publishes the configuration in force once the host may serve.
func (a *Agent) becomeReady() {
	p := a.published.Load()
	if p == nil || a.ready.Load() == p.config || !a.start.Ready(p.ref) {
		return
	}
	first := a.ready.Load() == nil
	a.ready.Store(p.config)
	if first {
		a.logger.Info("host has its configuration", zap.Uint64("generation", p.ref.Generation))
	}
	if a.config.OnApplied != nil {
		a.config.OnApplied(p.config)
	}
}

// refuse drops a bundle that fails the checks; the last good one stays in
// force, and the alarm says so.
func (a *Agent) refuse(e pulled) {
	if e.refusal == refusedContent {
		a.refused.add(e.ref)
	}
	a.start.Withdraw(e.ref)
	if a.pull.wanted.ref == e.ref {
		a.pull = pullState{}
	}
	a.metrics.refused.Inc()
	a.raise("refused generation " + e.ref.String() + ", kept " + a.core.InForce().String() + ": " + e.err.Error())
}

// split alarms once for each second content of a generation.
func (a *Agent) split(ref bundle.Ref) {
	if a.refused.has(ref) {
		return
	}
	a.refused.add(ref)
	a.metrics.split.Inc()
	a.raise("generation " + ref.String() + " exists with other content than " + a.core.InForce().String() + ", which stays in force")
}

func (a *Agent) raise(text string) {
	if a.Alarm() == text {
		return
	}
	a.alarm.Store(&text)
	a.logger.Error("configuration needs an operator", zap.String("alarm", text))
}

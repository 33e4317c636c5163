// Package rollout distributes and applies accepted configurations. Operators'
// commands replace the head object in the platform's store; an Agent on each host
// learns of the new head from the store or from peers, pulls the configuration
// and applies it. The decisions (ActiveConfig, StartupGate, submission) do no
// I/O, so that the model checker in the tests runs the production code.
package rollout

import "github.com/goldcrestspan/goldcrestspan/bundle"

// Relation is the relation of a configuration to a host's active one.
type Relation int

const (
	// RelationOlder is a lower generation than the active one.
	RelationOlder Relation = iota
	// RelationSame is the active configuration.
	RelationSame
	// RelationNewer is a higher generation than the active one.
	RelationNewer
	// RelationConflict is the active generation with different content. It is
	// never applied; the host raises an alarm.
	RelationConflict
)

// ActiveConfig tracks which configuration is active on a host.
type ActiveConfig struct {
	current bundle.Ref
}

// Current returns the active configuration, or the zero Ref if there is none.
func (a *ActiveConfig) Current() bundle.Ref { return a.current }

// Compare returns the relation of ref to the active configuration.
func (a *ActiveConfig) Compare(ref bundle.Ref) Relation {
	switch {
	case ref.Generation < a.current.Generation:
		return RelationOlder
	case ref.Generation > a.current.Generation:
		return RelationNewer
	case ref.Hash == a.current.Hash:
		return RelationSame
	default:
		return RelationConflict
	}
}

// Apply activates a verified configuration if its generation is higher than
// the active one. Stale reads, paused peers and late duplicates offer older
// generations; ignoring these keeps a withdrawn route from coming back. A
// rollback is a new, higher generation.
func (a *ActiveConfig) Apply(ref bundle.Ref) Relation {
	relation := a.Compare(ref)
	if relation == RelationNewer {
		a.current = ref
	}
	return relation
}

// Source is where a starting host asks for the current configuration.
type Source int

// The sources of a starting host.
const (
	SourceStore Source = iota
	SourcePeers
	sourceCount
)

// StartupGate decides when a starting host may serve: when each source has
// answered or failed, and the highest configuration that any of them reported
// is active. A stale store or a lagging peer alone therefore can't make the
// host serve with an outdated configuration.
type StartupGate struct {
	done    [sourceCount]bool
	highest bundle.Ref
	ready   bool
}

// Observe records a configuration that a source reported.
func (g *StartupGate) Observe(ref bundle.Ref) {
	if ref.Generation > g.highest.Generation {
		g.highest = ref
	}
}

// MarkDone records that a source has answered or failed.
func (g *StartupGate) MarkDone(source Source) { g.done[source] = true }

// Discard drops a configuration that was refused or can't be pulled, so that
// an invalid bundle in the store doesn't block the startup.
func (g *StartupGate) Discard(ref bundle.Ref) {
	if g.highest == ref {
		g.highest = bundle.Ref{}
	}
}

// Ready reports whether the host may serve with the active configuration. Once
// true, it stays true.
func (g *StartupGate) Ready(current bundle.Ref) bool {
	if g.ready {
		return true
	}
	done := g.done[SourceStore] && g.done[SourcePeers]
	g.ready = done && !current.IsZero() && current.Generation >= g.highest.Generation
	return g.ready
}

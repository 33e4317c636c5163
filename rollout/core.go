// Package rollout brings accepted configurations into force: the operators'
// side moves the head object in the platform's store, the hosts' side hears of
// it, pulls it and applies it. The decisions are pure (core.go,
// submission.go); the agent and the operators' functions do input and output.
package rollout

import "github.com/goldcrestspan/goldcrestspan/bundle"

// Verdict compares a configuration that a host hears of with the one it has
// in force.
type Verdict int

// The verdicts.
const (
	// VerdictOlder: a generation below the one in force.
	VerdictOlder Verdict = iota
	// VerdictSame: the one in force.
	VerdictSame
	// VerdictNewer: a higher generation.
	VerdictNewer
	// VerdictSplit: the generation in force with other content. Never applied;
	// the host alarms its operators.
	VerdictSplit
)

// Core holds which configuration a host has in force. It is a value without
// clock or input and output, so that the model check runs this very code.
type Core struct {
	inForce bundle.Ref
}

// InForce is the configuration in force; zero: none yet.
func (c *Core) InForce() bundle.Ref { return c.inForce }

// Judge compares without changing anything.
func (c *Core) Judge(ref bundle.Ref) Verdict {
	switch {
	case ref.Generation < c.inForce.Generation:
		return VerdictOlder
	case ref.Generation > c.inForce.Generation:
		return VerdictNewer
	case ref.Hash == c.inForce.Hash:
		return VerdictSame
	default:
		return VerdictSplit
	}
}

// Apply puts a configuration in force whose sign-offs and documents were
// checked, if it is newer.
//
// Guard against configuration that reverts: a stale store, a peer that was
// paused, a late duplicate or a slow pull offer an older generation, and
// callers would see a withdrawn route again. Only a higher generation is ever
// applied, whoever offers it, so no order of arrival brings an old one back.
// A rollback is a higher generation too.
func (c *Core) Apply(ref bundle.Ref) Verdict {
	verdict := c.Judge(ref)
	if verdict == VerdictNewer {
		c.inForce = ref
	}
	return verdict
}

// Source is where a starting host looks for the configuration.
type Source int

// The sources.
const (
	SourceStore Source = iota
	SourcePeers
	sourceCount
)

// Start holds what a starting host has learned. It is ready when each source
// has answered or failed, and the highest configuration named is in force.
//
// Guard against serving old configuration after a restart: the store may be
// down or stale and a single peer may lag, so the host waits for both kinds
// of source and takes the highest. One that fails doesn't keep it from
// starting; if both fail nothing is in force and the host isn't ready.
type Start struct {
	settled [sourceCount]bool
	highest bundle.Ref
	ready   bool
}

// Named notes that a source named a configuration.
func (s *Start) Named(ref bundle.Ref) {
	if ref.Generation > s.highest.Generation {
		s.highest = ref
	}
}

// Settle notes that a source has answered or has failed.
func (s *Start) Settle(source Source) { s.settled[source] = true }

// Withdraw forgets a configuration that was refused: a bad bundle in the store
// must not keep hosts from starting with the last good one of their peers.
func (s *Start) Withdraw(ref bundle.Ref) {
	if s.highest == ref {
		s.highest = bundle.Ref{}
	}
}

// Ready reports whether the host may serve with what is in force. Once true it
// stays true: later outages don't make the configuration in force worse.
func (s *Start) Ready(inForce bundle.Ref) bool {
	if s.ready {
		return true
	}
	settled := s.settled[SourceStore] && s.settled[SourcePeers]
	s.ready = settled && !inForce.IsZero() && inForce.Generation >= s.highest.Generation
	return s.ready
}

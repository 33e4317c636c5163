package rollout

import (
	"flag"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/goldcrestspan/goldcrestspan/bundle"
	"github.com/goldcrestspan/goldcrestspan/metastore"
)

var fullModel = flag.Bool("fullmodel", false, "also run the larger models and fleets (minutes, 2 GB)")

// smallBounds are explored without the flag.
var smallBounds = []limits{
	{hosts: 0, operators: 2, attempts: [modelOperators]uint8{2, 2}, outages: 1},
	{hosts: 1, operators: 2, attempts: [modelOperators]uint8{1, 1}, outages: 1, restarts: 1},
	{hosts: 3, operators: 1, attempts: [modelOperators]uint8{1, 0}, outages: 1, restarts: 1},
	{hosts: 2, operators: 2, attempts: [modelOperators]uint8{1, 1}},
}

var largeBounds = []limits{
	{hosts: 1, operators: 2, attempts: [modelOperators]uint8{2, 1}, outages: 1, restarts: 1},
	{hosts: 2, operators: 2, attempts: [modelOperators]uint8{1, 1}, outages: 1, restarts: 1},
	{hosts: 3, operators: 2, attempts: [modelOperators]uint8{1, 1}},
}

// Explores all interleavings of operators, hosts and store faults within the
// bounds. It guards against hosts that revert, conflicting contents of a
// generation, wrong outcomes reported to operators, and lost convergence.
func TestModelInvariants(t *testing.T) {
	bounds := smallBounds
	if *fullModel {
		bounds = append(bounds, largeBounds...)
	}
	total := 0
	for _, l := range bounds {
		states, err := explore(productionRules(), l)
		is.New(t).NoErr(err)
		t.Logf("%d hosts, operators with %v changes, %d outages, %d restarts: %d states", l.hosts, l.attempts, l.outages, l.restarts, states)
		total += states
	}
	t.Logf("%d states", total)
}

// Signed changes that were never accepted must not make a host switch contents
// within a generation.
func TestModelInvariantsWithUnacceptedChanges(t *testing.T) {
	r := productionRules()
	r.offersUnaccepted = true
	states, err := explore(r, limits{hosts: 2, operators: 2, attempts: [modelOperators]uint8{1, 1}})
	is.New(t).NoErr(err)
	t.Logf("%d states", states)
}

// The model check must find a violation when any one rule is broken.
func TestModelDetectsBrokenRules(t *testing.T) {
	hosts := limits{hosts: 2, operators: 1, attempts: [modelOperators]uint8{1, 0}, outages: 1, restarts: 1}
	ops := limits{hosts: 1, operators: 2, attempts: [modelOperators]uint8{1, 1}}
	for name, mutant := range map[string]struct {
		limits limits
		want   string
		change func(*rules)
	}{
		"hosts apply any generation": {hosts, "configuration reverts", func(r *rules) {
			r.apply = func(c *ActiveConfig, ref bundle.Ref) Relation { c.current = ref; return RelationNewer }
		}},
		"hosts apply conflicting content of a generation": {ops, "content changes within a generation", func(r *rules) {
			r.offersUnaccepted = true
			r.apply = func(c *ActiveConfig, ref bundle.Ref) Relation {
				if ref.Generation >= c.current.Generation {
					c.current = ref
				}
				return RelationNewer
			}
		}},
		"hosts never apply": {hosts, "after recovery", func(r *rules) {
			r.apply = func(*ActiveConfig, bundle.Ref) Relation { return RelationOlder }
		}},
		"startup waits for no source": {hosts, "ready before store and peers were asked", func(r *rules) {
			r.ready = func(s *StartupGate, current bundle.Ref) bool { return s.ready || !current.IsZero() }
		}},
		"startup does not wait for the highest reported generation": {hosts, "ready with an older generation than was reported", func(r *rules) {
			r.ready = func(s *StartupGate, current bundle.Ref) bool {
				return s.ready || (s.done[SourceStore] && s.done[SourcePeers] && !current.IsZero())
			}
		}},
		"a host is ready without a configuration": {hosts, "ready without an active configuration", func(r *rules) {
			r.ready = func(s *StartupGate, current bundle.Ref) bool {
				if current.Generation < s.highest.Generation {
					return false
				}
				return s.ready || (s.done[SourceStore] && s.done[SourcePeers])
			}
		}},
		"the head is replaced whatever its parent": {ops, "which is not its parent", func(r *rules) {
			r.onHead = func(s submission, head, headParent bundle.Ref) step {
				if next := s.onHead(head, headParent); next != stepConflict {
					return next
				}
				return stepWriteHead
			}
		}},
		"the head is replaced without an expected version": {ops, "which is not its parent", func(r *rules) { r.unconditionalWrite = true }},
		"a lost reply counts as a failure": {ops, "reported as refused, but it was the head", func(r *rules) {
			r.onWrite = func(s submission, err error) step {
				if err != nil && err != metastore.ErrConflict {
					return stepConflict
				}
				return s.onWrite(err)
			}
		}},
		"a lost reply counts as success": {ops, "reported as accepted, but it never was the head", func(r *rules) {
			r.onWrite = func(submission, error) step { return stepAccepted }
		}},
		"a stale head counts as a conflict": {
			limits{hosts: 0, operators: 2, attempts: [modelOperators]uint8{2, 2}}, "reported as refused, but it was the head", func(r *rules) {
				r.onHead = func(s submission, head, headParent bundle.Ref) step {
					if head.Generation < s.parent.Generation {
						return stepConflict
					}
					return s.onHead(head, headParent)
				}
			},
		},
		"a higher head counts as a conflict": {ops, "reported as refused, but it was the head", func(r *rules) {
			r.onHead = func(s submission, head, headParent bundle.Ref) step {
				if head.Generation > s.self.Generation {
					return stepConflict
				}
				return s.onHead(head, headParent)
			}
		}},
		"a higher ancestor counts as a conflict": {
			limits{hosts: 0, operators: 2, attempts: [modelOperators]uint8{2, 2}}, "reported as refused, but it was the head", func(r *rules) {
				r.onAncestor = func(s submission, ancestor bundle.Ref) step {
					if ancestor.Generation > s.self.Generation {
						return stepConflict
					}
					return s.onAncestor(ancestor)
				}
				// onHead handles the first ancestor.
				r.onHead = func(s submission, head, headParent bundle.Ref) step {
					if head.Generation > s.self.Generation {
						return r.onAncestor(s, headParent)
					}
					return s.onHead(head, headParent)
				}
			},
		},
		"the parent is not written to the history": {
			limits{hosts: 0, operators: 2, attempts: [modelOperators]uint8{2, 2}}, "the history lacks", func(r *rules) { r.skipsHistory = true },
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := productionRules()
			mutant.change(&r)
			states, err := explore(r, mutant.limits)
			is.True(err != nil) // the violation is found
			t.Logf("found after %d states: %v", states, err)
			is.True(strings.Contains(err.Error(), mutant.want))
		})
	}
}

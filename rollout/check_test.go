package rollout

import (
	"flag"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/goldcrestspan/goldcrestspan/bundle"
	"github.com/goldcrestspan/goldcrestspan/metastore"
)

var fullModel = flag.Bool("fullmodel", false, "explore the larger bounds and fleets too (a minute or two, 2 GB)")

// smallBounds are explored by every run of the tests.
var smallBounds = []limits{
	{hosts: 0, ops: 2, attempts: [modelOps]uint8{2, 2}, outages: 1},
	{hosts: 1, ops: 2, attempts: [modelOps]uint8{1, 1}, outages: 1, restarts: 1},
	{hosts: 3, ops: 1, attempts: [modelOps]uint8{1, 0}, outages: 1, restarts: 1},
	{hosts: 2, ops: 2, attempts: [modelOps]uint8{1, 1}},
}

var largeBounds = []limits{
	{hosts: 1, ops: 2, attempts: [modelOps]uint8{2, 1}, outages: 1, restarts: 1},
	{hosts: 2, ops: 2, attempts: [modelOps]uint8{1, 1}, outages: 1, restarts: 1},
	{hosts: 3, ops: 2, attempts: [modelOps]uint8{1, 1}},
}

// Two operators race, replies of the store are lost and late, an operator's
// tool crashes, hosts restart, pause and hear old news, the store goes down:
// in every order of these, no host goes back, no generation has two contents
// in force, nobody is told a wrong outcome, and all heals.
func TestEveryInterleaving(t *testing.T) {
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

// A signed change that was never accepted reaches hosts, from a faulty peer or
// a person's mistake. No host may swap contents within a generation.
func TestEveryInterleavingWithLeakedChanges(t *testing.T) {
	r := productionRules()
	r.leaks = true
	states, err := explore(r, limits{hosts: 2, ops: 2, attempts: [modelOps]uint8{1, 1}})
	is.New(t).NoErr(err)
	t.Logf("%d states", states)
}

// Each guard is taken out once; the exploration must find the harm, or it
// would say nothing about the guards that are there.
func TestBrokenGuardsAreFound(t *testing.T) {
	hosts := limits{hosts: 2, ops: 1, attempts: [modelOps]uint8{1, 0}, outages: 1, restarts: 1}
	ops := limits{hosts: 1, ops: 2, attempts: [modelOps]uint8{1, 1}}
	for name, mutant := range map[string]struct {
		limits limits
		want   string
		change func(*rules)
	}{
		"hosts apply whatever comes": {hosts, "configuration reverts", func(r *rules) {
			r.apply = func(c *Core, ref bundle.Ref) Verdict { c.inForce = ref; return VerdictNewer }
		}},
		"hosts apply another content of a generation": {ops, "content changes within a generation", func(r *rules) {
			r.leaks = true
			r.apply = func(c *Core, ref bundle.Ref) Verdict {
				if ref.Generation >= c.inForce.Generation {
					c.inForce = ref
				}
				return VerdictNewer
			}
		}},
		"hosts never apply": {hosts, "after links healed", func(r *rules) {
			r.apply = func(*Core, bundle.Ref) Verdict { return VerdictOlder }
		}},
		"a start waits for no source": {hosts, "ready before store and peers were asked", func(r *rules) {
			r.ready = func(s *Start, inForce bundle.Ref) bool { return s.ready || !inForce.IsZero() }
		}},
		"a start does not wait for the highest named": {hosts, "ready with less than was named", func(r *rules) {
			r.ready = func(s *Start, inForce bundle.Ref) bool {
				return s.ready || (s.settled[SourceStore] && s.settled[SourcePeers] && !inForce.IsZero())
			}
		}},
		"a host is ready with nothing": {hosts, "ready with nothing in force", func(r *rules) {
			r.ready = func(s *Start, inForce bundle.Ref) bool {
				if inForce.Generation < s.highest.Generation {
					return false
				}
				return s.ready || (s.settled[SourceStore] && s.settled[SourcePeers])
			}
		}},
		"the head moves from any parent": {ops, "which its author never saw", func(r *rules) {
			r.onHead = func(s submission, head, headParent bundle.Ref) step {
				if next := s.onHead(head, headParent); next != stepConflict {
					return next
				}
				return stepWriteHead
			}
		}},
		"the head moves without an expected version": {ops, "which its author never saw", func(r *rules) { r.unguarded = true }},
		"a lost reply counts as a failure": {ops, "told refused, and it was the head", func(r *rules) {
			r.onWrite = func(s submission, err error) step {
				if err != nil && err != metastore.ErrConflict {
					return stepConflict
				}
				return s.onWrite(err)
			}
		}},
		"a lost reply counts as success": {ops, "told accepted, and it never was the head", func(r *rules) {
			r.onWrite = func(submission, error) step { return stepAccepted }
		}},
		"a stale head counts as a conflict": {
			limits{hosts: 0, ops: 2, attempts: [modelOps]uint8{2, 2}}, "told refused, and it was the head", func(r *rules) {
				r.onHead = func(s submission, head, headParent bundle.Ref) step {
					if head.Generation < s.parent.Generation {
						return stepConflict
					}
					return s.onHead(head, headParent)
				}
			},
		},
		"a head above counts as a conflict": {ops, "told refused, and it was the head", func(r *rules) {
			r.onHead = func(s submission, head, headParent bundle.Ref) step {
				if head.Generation > s.self.Generation {
					return stepConflict
				}
				return s.onHead(head, headParent)
			}
		}},
		"an ancestor above counts as a conflict": {
			limits{hosts: 0, ops: 2, attempts: [modelOps]uint8{2, 2}}, "told refused, and it was the head", func(r *rules) {
				r.onAncestor = func(s submission, ancestor bundle.Ref) step {
					if ancestor.Generation > s.self.Generation {
						return stepConflict
					}
					return s.onAncestor(ancestor)
				}
				// The first ancestor is judged with the head.
				r.onHead = func(s submission, head, headParent bundle.Ref) step {
					if head.Generation > s.self.Generation {
						return r.onAncestor(s, headParent)
					}
					return s.onHead(head, headParent)
				}
			},
		},
		"the parent is not put into the history": {
			limits{hosts: 0, ops: 2, attempts: [modelOps]uint8{2, 2}}, "the history lacks", func(r *rules) { r.skipsHistory = true },
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := productionRules()
			mutant.change(&r)
			states, err := explore(r, mutant.limits)
			is.True(err != nil) // the harm is found
			t.Logf("found after %d states: %v", states, err)
			is.True(strings.Contains(err.Error(), mutant.want))
		})
	}
}

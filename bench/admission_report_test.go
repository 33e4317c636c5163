package bench

import (
	"fmt"
	"os"
	"testing"
	"time"
)

func TestAdmissionReport(t *testing.T) {
	for _, c := range admissionCases() {
		if want := os.Getenv("ADMIT_CASE"); want != "" && want != c.Name {
			continue
		}
		c.Length = 32 * time.Second
		others := newGroup()
		var all, flood *Group = newGroup(), newGroup()
		var good float64
		cls := map[int]*Group{}
		for seed := uint64(1); seed <= 3; seed++ {
			r := Run(c, admissionPolicies()[0], seed)
			good += capacityUsed(c, r, r.All) / 3
			all.merge(r.All)
			for name, g := range r.Callers {
				if name == "caller-00" {
					flood.merge(g)
				} else {
					others.merge(g)
				}
			}
			for k, g := range r.Classes {
				if cls[k] == nil {
					cls[k] = newGroup()
				}
				cls[k].merge(g)
			}
		}
		fmt.Printf("%-24s goodput/capacity %.3f refused %d others p50 %v p99 %v refused %d | caller-00 p99 %v goodput %.3f\n", c.Name, good, all.Refused, others.Latency(.5), others.Latency(.99), others.Refused, flood.Latency(.99), flood.Goodput())
		if len(cls) > 1 {
			for k, g := range cls {
				fmt.Printf("   class %d p50 %v p99 %v goodput %.3f full %.3f arrived %d\n", k, g.Latency(.5), g.Latency(.99), g.Goodput(), g.FullShare(), g.Arrived)
			}
		}
	}
}

func (g *Group) merge(o *Group) {
	g.Arrived += o.Arrived
	g.Refused += o.Refused
	g.Ended += o.Ended
	g.Full += o.Full
	g.latency.Merge(o.latency)
	g.refusal.Merge(o.refusal)
}

func capacityUsed(c Case, r *Result, g *Group) float64 {
	return float64(g.Full) / r.Length.Seconds() / c.Shape.Capacity()
}

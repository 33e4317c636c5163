package testbed

import (
	"fmt"
	"time"

	"github.com/goldcrestspan/goldcrestspan/standin"
)

// leavingGrace is how long a leaving server may get new calls. Hosts read the host
// list about once a second.
const leavingGrace = 4 * time.Second

// ServerLeaving records that a backend server was announced as leaving for good.
// Finish checks that it got no new calls after leavingGrace.
func (c *Checker) ServerLeaving(server string, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leavingSince[server] = at
}

// ObserveGeneration records the configuration generation of a host and checks that
// it never decreases. host must be unique for each incarnation of a host.
func (c *Checker) ObserveGeneration(host string, generation uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if generation < c.generations[host] {
		c.addViolation(GuaranteeMonotonicGeneration, "-", fmt.Sprintf("%s went from generation %d back to %d", host, c.generations[host], generation))
	}
	c.generations[host] = max(c.generations[host], generation)
}

func (c *Checker) checkLeaving(runs []standin.Run) {
	for _, run := range runs {
		at, leaving := c.leavingSince[run.Server]
		if !leaving || !run.Started.After(at.Add(leavingGrace)) {
			continue
		}
		late := run.Started.Sub(at).Round(time.Millisecond)
		c.addViolation(GuaranteeNoNewWork, run.RequestText, fmt.Sprintf("%s got work %s after it was announced as leaving", run.Server, late))
	}
}

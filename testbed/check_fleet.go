package testbed

import (
	"fmt"
	"time"

	"github.com/goldcrestspan/goldcrestspan/standin"
)

// leavingGrace is the "few seconds" after which a leaving server may get no
// new work: hosts hear of it from a list that they read about once a second.
const leavingGrace = 4 * time.Second

// ServerLeaving notes that a backend server was announced as leaving and does not come
// back. Finish finds the work that it was given too late.
func (c *Checker) ServerLeaving(server string, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.left[server] = at
}

// ObserveGeneration notes the generation that a host serves from. host must change
// with the host's incarnation: a restarted host starts without any.
func (c *Checker) ObserveGeneration(host string, generation uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if generation < c.highest[host] {
		c.add(PromiseRising, "-", fmt.Sprintf("%s went from generation %d back to %d", host, c.highest[host], generation))
	}
	c.highest[host] = max(c.highest[host], generation)
}

func (c *Checker) checkLeaving(runs []standin.Run) {
	for _, run := range runs {
		at, leaving := c.left[run.Server]
		if !leaving || !run.Started.After(at.Add(leavingGrace)) {
			continue
		}
		late := run.Started.Sub(at).Round(time.Millisecond)
		c.add(PromiseLeaving, run.RequestText, fmt.Sprintf("%s got work %s after it was announced as leaving", run.Server, late))
	}
}

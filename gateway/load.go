package gateway

import (
	"context"
	"syscall"
	"time"
)

const (
	// loadEvery is how often the host measures its own load.
	loadEvery = 300 * time.Millisecond
	// loadEasing is the part of the way that the load told to others falls with
	// each lower measurement: from full to the half in 2 s.
	loadEasing = 0.1
)

// easedLoad is the load that is told after a measurement: a higher one at once, a
// lower one step by step.
//
// Load: a burst of eight times the usual traffic. Harm prevented: hosts at their
// limit are joined by others seconds later, when the burst is over; and after a
// lull of a moment the others are left again, and callers move to and fro.
func easedLoad(told, measured float64) float64 {
	if measured >= told {
		return measured
	}
	return told + loadEasing*(measured-told)
}

// measureLoad tells the other hosts which share of its processor this one
// uses, in thousandths, and this host how many attempts it makes.
func (g *Gateway) measureLoad(ctx context.Context) error {
	ticker := time.NewTicker(loadEvery)
	defer ticker.Stop()
	usedBefore, at := processorTime(), g.options.Now()
	told, rate := 0.0, 0.0
	madeBefore := g.attempts.Load()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return nil
		}
		used, now := processorTime(), g.options.Now()
		passed := now.Sub(at)
		share := max(0, (used-usedBefore).Seconds()/passed.Seconds()/g.tuning.Load().CPUCores)
		usedBefore, at = used, now
		g.shareBudget()
		g.lookAtWarming()
		told = easedLoad(told, share)
		g.told.Store(uint32(1000 * told))
		g.members.SetLoad(g.told.Load())
		made := g.attempts.Load()
		rate = easedLoad(rate, float64(made-madeBefore)/passed.Seconds())
		madeBefore = made
		if g.options.OnAttemptRate != nil {
			g.options.OnAttemptRate(rate)
		}
	}
}

// load is the share of its processor that this host uses, as the others hear it.
func (g *Gateway) load() float64 { return float64(g.told.Load()) / 1000 }

// processorTime is the processor time that this process has used.
func processorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0 // the load then reads as idle, and no host is added for it
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

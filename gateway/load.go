package gateway

import (
	"context"
	"syscall"
	"time"
)

// loadEvery is how often the host measures its own load.
const loadEvery = time.Second

// measureLoad tells the other hosts which share of its processor this one
// uses, in thousandths.
func (g *Gateway) measureLoad(ctx context.Context) error {
	ticker := time.NewTicker(loadEvery)
	defer ticker.Stop()
	usedBefore, at := processorTime(), g.options.Now()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return nil
		}
		used, now := processorTime(), g.options.Now()
		share := (used - usedBefore).Seconds() / now.Sub(at).Seconds() / g.tuning.Load().Processor
		usedBefore, at = used, now
		g.shareBudget()
		g.members.SetLoad(uint32(1000 * max(share, 0)))
	}
}

// processorTime is the processor time that this process has used.
func processorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0 // the load then reads as idle, and no host is added for it
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

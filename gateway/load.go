package gateway

import (
	"context"
	"syscall"
	"time"
)

const (
	// loadInterval is how often the host measures its own load.
	loadInterval = 300 * time.Millisecond
	// loadDecay is the fraction by which the reported load approaches a lower measurement: from
	// full to half in 2 s.
	loadDecay = 0.1
)

// smoothedLoad follows a rising load at once and a falling one gradually: other hosts join
// early in a burst, and a short lull does not move callers back and forth.
func smoothedLoad(reported, measured float64) float64 {
	if measured >= reported {
		return measured
	}
	return reported + loadDecay*(measured-reported)
}

// measureLoad reports this host's CPU load to the peers and its rate of attempts to
// OnAttemptRate.
func (g *Gateway) measureLoad(ctx context.Context) error {
	ticker := time.NewTicker(loadInterval)
	defer ticker.Stop()
	lastCPU, lastTime := cpuTime(), g.options.Now()
	reportedLoad, rate := 0.0, 0.0
	lastAttempts := g.attempts.Load()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return nil
		}
		cpu, now := cpuTime(), g.options.Now()
		elapsed := now.Sub(lastTime)
		share := max(0, (cpu-lastCPU).Seconds()/elapsed.Seconds()/g.reloadable.Load().CPUCores)
		lastCPU, lastTime = cpu, now
		g.divideBudget()
		g.updateWarming()
		reportedLoad = smoothedLoad(reportedLoad, share)
		g.reportedLoad.Store(uint32(1000 * reportedLoad))
		g.members.SetLoad(g.reportedLoad.Load())
		total := g.attempts.Load()
		rate = smoothedLoad(rate, float64(total-lastAttempts)/elapsed.Seconds())
		lastAttempts = total
		if g.options.OnAttemptRate != nil {
			g.options.OnAttemptRate(rate)
		}
	}
}

// load returns this host's CPU load as reported to the peers.
func (g *Gateway) load() float64 { return float64(g.reportedLoad.Load()) / 1000 }

// cpuTime returns the CPU time used by this process.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0 // the host then reports itself as idle
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

package goldcrestspan

import (
	"context"
	"runtime"
	"syscall"
	"time"
)

// loadInterval is short enough to follow a burst and long enough for a steady
// CPU share.
const loadInterval = 500 * time.Millisecond

// permille is the load of a saturated host; loads are in thousandths of it.
const permille = 1000

// reportLoad publishes the host's load through the membership: the greater of CPU
// utilization and requests in flight over the concurrency limit.
func (h *Host) reportLoad(ctx context.Context) {
	ticker := time.NewTicker(loadInterval)
	defer ticker.Stop()
	used, measuredAt := cpuTime(), time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		nextUsed, nextAt := cpuTime(), time.Now()
		cpu := permilleOf(nextUsed-used, nextAt.Sub(measuredAt)*time.Duration(runtime.GOMAXPROCS(0)))
		requests := permille * int(h.inFlight.Load()) / h.components.Settings.Limits.MaxConcurrent
		h.components.Member.SetLoad(uint32(min(max(cpu, requests), permille)))
		used, measuredAt = nextUsed, nextAt
		h.components.Advisor.UpdateLoads(h.components.Now(), h.components.Member.View())
	}
}

func permilleOf(part, whole time.Duration) int {
	if whole <= 0 {
		return 0
	}
	return int(permille * part / whole)
}

// cpuTime returns the user and system CPU time of this process.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

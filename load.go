package goldcrestspan

import (
	"context"
	"runtime"
	"syscall"
	"time"
)

// loadEvery is how often the host measures its own load for the advice to
// callers: often enough to follow a burst, and a processor time over it is
// steady.
const loadEvery = 500 * time.Millisecond

// permille is the load of a host that can take no more.
const permille = 1000

// measureLoad tells membership the host's load: the greater of the processor
// time used and the requests in flight, each against what there is.
func (h *Host) measureLoad(ctx context.Context) {
	ticker := time.NewTicker(loadEvery)
	defer ticker.Stop()
	used, at := processorTime(), time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		nextUsed, nextAt := processorTime(), time.Now()
		processor := share(nextUsed-used, nextAt.Sub(at)*time.Duration(runtime.GOMAXPROCS(0)))
		requests := permille * int(h.inFlight.Load()) / h.parts.Settings.Limits.MaxConcurrent
		h.parts.Member.SetLoad(uint32(min(max(processor, requests), permille)))
		used, at = nextUsed, nextAt
		h.parts.Advisor.UpdateLoads(h.parts.Now(), h.parts.Member.View())
	}
}

func share(part, whole time.Duration) int {
	if whole <= 0 {
		return 0
	}
	return int(permille * part / whole)
}

// processorTime is the user and system time of this process so far.
func processorTime() time.Duration {
	var usage syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

package load

import (
	"syscall"
	"time"
)

// processorTime is what the process has used so far, user and system.
func processorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// peakMemory is the largest resident size of the process so far, in bytes.
func peakMemory() int64 {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	const kilobyte = 1024
	return usage.Maxrss * kilobyte
}

package load

import (
	"syscall"
	"time"
)

// cpuTime returns the user and system CPU time of the process so far.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// peakMemory returns the peak resident set size of the process in bytes.
func peakMemory() int64 {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	const kilobyte = 1024
	return usage.Maxrss * kilobyte
}

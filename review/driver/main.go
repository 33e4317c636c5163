// Command driver plays one review case: it starts entry hosts as separate processes against
// stand-ins of the platform, on loopback, and checks one rule by what callers and backend
// servers saw. It exits with 1 if the rule was broken, 0 if it held and 2 if the case could
// not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// scenario is one case. It reports breaches with fleet.breach.
type scenario func(f *fleet, trouble bool) error

var scenarios = map[string]scenario{
	"extra-refusal":      extraRefusal,
	"settings-in-a-stop": settingsInAStop,
	"removed-route":      removedRoute,
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || scenarios[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: driver CASE RECORD-FILE")
		return exitFailed
	}
	play := scenarios[os.Args[1]]
	record, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer record.close()
	f, err := newFleet(record)
	if err != nil {
		record.printf("case could not run: %v", err)
		return exitFailed
	}
	defer f.close()
	go closeOnSignal(f)
	trouble := os.Getenv("TROUBLE") != "0"
	record.printf("case %s, trouble %v", os.Args[1], trouble)
	if err := play(f, trouble); err != nil {
		record.printf("case could not run: %v", err)
		return exitFailed
	}
	breaches := f.breachCount()
	record.printf("breaches: %d", breaches)
	if breaches > 0 {
		return exitBroken
	}
	return exitHeld
}

// closeOnSignal ends the hosts if the driver itself is stopped.
func closeOnSignal(f *fleet) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	<-signals
	f.close()
	os.Exit(exitFailed)
}

// waitUntil polls until the condition holds or the timeout has passed.
func waitUntil(timeout time.Duration, condition func() bool) bool {
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if condition() {
			return true
		}
	}
	return condition()
}

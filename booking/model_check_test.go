package booking

import (
	"flag"
	"testing"
	"time"
)

// deep selects explorations that take minutes and gigabytes, not seconds.
var deep = flag.Bool("deep", false, "explore the larger models of bookings")

// explorations together cover late duplicates, lost messages, pauses, crashes,
// planned stops, ambiguous writes, stale reads and full tables.
var explorations = map[string]modelOptions{
	"ticket, crashes":  {crashes: 1, duplicates: 1, entries: 8, bytes: 8},
	"ticket, stop":     {duplicates: 1, stop: true, entries: 8, bytes: 8},
	"ticket, eviction": {duplicates: 1, otherBookings: 2, entries: 8, bytes: 1},
	"ticket, no room":  {duplicates: 1, busy: true, entries: 1, bytes: 8},
	"key, concurrent":  {keys: true, ambiguous: 1, stale: 1, entries: 8, bytes: 8},
	"key, crashes":     {keys: true, resend: true, crashes: 1, ambiguous: 1, entries: 8, bytes: 8},
	"key, resent":      {keys: true, resend: true, ambiguous: 2, stale: 1, entries: 8, bytes: 8},
}

var deepExplorations = map[string]modelOptions{
	"ticket, crashes":  {crashes: 2, duplicates: 2, entries: 8, bytes: 8},
	"ticket, stop":     {crashes: 1, duplicates: 2, stop: true, entries: 8, bytes: 8},
	"ticket, eviction": {crashes: 1, duplicates: 2, otherBookings: 2, entries: 8, bytes: 1},
	"ticket, no room":  {crashes: 1, duplicates: 2, busy: true, otherBookings: 1, entries: 1, bytes: 8},
	"key, concurrent":  {keys: true, crashes: 1, duplicates: 1, ambiguous: 2, stale: 1, entries: 8, bytes: 8},
	"key, resent":      {keys: true, resend: true, crashes: 1, duplicates: 1, ambiguous: 2, stale: 1, entries: 8, bytes: 8},
}

// No interleaving may run a booking twice, or answer "not run" to one that ran.
func TestModelInvariants(t *testing.T) {
	chosen := explorations
	if *deep {
		chosen = deepExplorations
	}
	for name, options := range chosen {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			begin := time.Now()
			states, violation := explore(options)
			t.Logf("%d states in %v", states, time.Since(begin).Round(time.Millisecond))
			if violation != "" {
				t.Fatal(violation)
			}
		})
	}
}

// The model check must find a violation when any one rule is broken.
func TestModelDetectsBrokenRules(t *testing.T) {
	for broken, exploration := range map[rule]string{
		ruleFloor:               "ticket, eviction",
		ruleEvictionRaisesFloor: "ticket, eviction",
		ruleTableFull:           "ticket, no room",
		ruleIncarnation:         "ticket, crashes",
		ruleUnknownFinal:        "ticket, crashes",
		ruleNotRunFinal:         "ticket, crashes",
		ruleRecordBeforeRun:     "ticket, crashes",
		ruleForwardLost:         "ticket, crashes",
		ruleStopping:            "ticket, stop",
		ruleHandOver:            "ticket, stop",
		ruleReadClaim:           "key, concurrent",
		ruleNotFound:            "key, concurrent",
		ruleResent:              "key, resent",
	} {
		t.Run(string(broken), func(t *testing.T) {
			t.Parallel()
			options := explorations[exploration]
			options.broken = broken
			states, violation := explore(options)
			if violation == "" {
				t.Fatalf("no violation in %d states", states)
			}
			t.Logf("without %q: violation after %d states: %s", broken, states, violation)
		})
	}
}

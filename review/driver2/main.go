// Command driver2 plays the scripted cases of the second review: it starts the stand-ins of the
// platform, of backend servers and of callers on loopback, runs entry hosts as separate processes,
// and checks one rule from what the stand-ins have seen.
package main

import (
	"flag"
	"fmt"
	"os"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// caseFunc plays a case and reports whether its rule was broken.
type caseFunc func(s *system, trouble bool) (broken bool, err error)

var cases = map[string]caseFunc{
	"config-hang":       playConfigHang,
	"removed-service":   playRemovedService,
	"rejected-watchers": playRejectedWatchers,
	"killed-home":       playKilledHome,
	"cut-watches":       playCutWatches,
}

func main() {
	name := flag.String("case", "", "case to play")
	binary := flag.String("binary", "", "path of the program that entry hosts run")
	recordPath := flag.String("record", "record.txt", "file for what was sent, answered and run")
	trouble := flag.Bool("trouble", true, "whether the disruption takes place")
	seed := flag.Uint64("seed", 1, "seed of arrivals and service times")
	flag.Parse()
	os.Exit(run(*name, *binary, *recordPath, *trouble, *seed))
}

func run(name, binary, recordPath string, trouble bool, seed uint64) int {
	play, known := cases[name]
	if !known {
		fmt.Fprintf(os.Stderr, "unknown case %q\n", name)
		return exitFailed
	}
	s, err := newSystem(binary, recordPath, seed)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer s.close()
	s.closeOnSignal()
	broken, err := play(s, trouble)
	if err != nil {
		s.record.note("could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	if broken {
		s.record.note("the rule was broken")
		return exitBroken
	}
	s.record.note("the rule held")
	return exitHeld
}

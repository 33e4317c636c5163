package load_test

import (
	"flag"
	"math/rand/v2"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/goldcrestspan/goldcrestspan/bundle"
	"github.com/goldcrestspan/goldcrestspan/load"
	"github.com/goldcrestspan/goldcrestspan/standin"
	"github.com/goldcrestspan/goldcrestspan/testbed"
)

var (
	soakDuration = flag.Duration("soak", 25*time.Second, "how long the soak of faults sends requests")
	soakSeed     = flag.Uint64("soak-seed", 0, "seed of the soak of faults; 0 runs the fixed seeds")
)

// soakSeeds are the fixed seeds; seeds that found a defect are added, none is
// removed.
var soakSeeds = []uint64{1}

const (
	soakIndex = "slots"
	// soakUtilization is low enough that refusals come from faults only.
	soakUtilization = 0.15
	soakHosts       = 4
	// longDeadline is far longer than any request takes without faults.
	longDeadline = 4 * time.Second
)

// soakShape has four services of two servers each and every kind of route.
func soakShape() load.Shape {
	stream := func(route, class string, share float64, prefer bundle.PartialStrategy, minCoverage float64, booking bool) load.Stream {
		return load.Stream{
			Index: soakIndex, Route: route, Class: class, Role: "desk",
			Share: share, Prefer: prefer, MinCoverage: minCoverage, Booking: booking,
		}
	}
	return load.Shape{
		Name: "soak",
		Groups: []testbed.ServiceGroup{{
			Index: soakIndex, Services: 4, Servers: 2, Slots: 2, Connections: 25,
			Time: standin.ServiceTime{Base: time.Millisecond, Mean: 2 * time.Millisecond, Straggler: 40 * time.Millisecond, StragglerShare: 0.02},
		}},
		Classes: []bundle.Class{
			{Name: "interactive", ReservedShare: 0.5, DefaultDeadline: bundle.Duration(longDeadline / 4)},
			{Name: "standard", ReservedShare: 0.5, DefaultDeadline: bundle.Duration(longDeadline)},
		},
		CallersOfRole: map[string]int{"desk": 3},
		Streams: []load.Stream{
			stream("picks", "interactive", 0.4, bundle.PreferLatency, 0.5, false),
			stream("lists", "standard", 0.3, bundle.PreferCoverage, 1, false),
			stream("book", "standard", 0.3, bundle.PreferCoverage, 1, true),
		},
	}
}

// overlappingFaults returns pairs of faults; the second begins during the first.
func overlappingFaults() [][2]load.Kind {
	return [][2]load.Kind{
		{load.KindStoreDown, load.KindHostKill},
		{load.KindStoreSlow, load.KindRace},
		{load.KindHostsEmpty, load.KindHostStop},
		{load.KindHostsLag, load.KindLost},
		{load.KindRepartition, load.KindSilent},
		{load.KindSlow, load.KindCrash},
		{load.KindDrain, load.KindBadReplies},
		{load.KindStoreSilent, load.KindLostWrite},
		{load.KindPoison, load.KindBundle},
		{load.KindRepartition, load.KindHostKill},
		{load.KindPoison, load.KindSilent},
	}
}

// soakEvents draws the order of the pairs and their servers. A host is started
// before one is stopped or killed, the server that leaves has no other fault, and
// no service loses both of its servers.
func soakEvents(seed uint64, length time.Duration) []load.Event {
	random := rand.New(rand.NewPCG(seed, 2))
	pairs := overlappingFaults()
	random.Shuffle(len(pairs), func(i, j int) { pairs[i], pairs[j] = pairs[j], pairs[i] })
	step := length / time.Duration(len(pairs)+2)
	leavingServer := testbed.ServiceName(soakIndex, 0) + "-0"
	events := []load.Event{{At: bundle.Duration(step / 2), Kind: load.KindLeave, Server: leavingServer}}
	for i, pair := range pairs {
		at := step * time.Duration(i+1)
		first := 1 + random.IntN(3)
		events = append(events, soakEvent(pair[0], at, step, first, random))
		events = append(events, soakEvent(pair[1], at+step/4, step/2, 1+first%3, random))
		if pair[1] == load.KindHostKill || pair[1] == load.KindHostStop {
			events = append(events, load.Event{At: bundle.Duration(at), Kind: load.KindHostStart})
		}
	}
	return events
}

func soakEvent(kind load.Kind, at, length time.Duration, service int, random *rand.Rand) load.Event {
	e := load.Event{
		At: bundle.Duration(at), Kind: kind, For: bundle.Duration(length),
		Factor: 10, Delay: bundle.Duration(2 * time.Second), Count: 6,
	}
	switch kind {
	case load.KindSlow, load.KindLost, load.KindCrash, load.KindDrain, load.KindSilent, load.KindBadReplies:
		e.Server = testbed.ServiceName(soakIndex, service) + []string{"-0", "-1"}[random.IntN(2)]
	case load.KindRepartition:
		e.Index = soakIndex
	}
	return e
}

// Guards against wrong answers and repeated bookings while faults of every kind
// overlap: compares every answer with what the backend servers ran.
func TestSoakOfFaults(t *testing.T) {
	seeds := soakSeeds
	if *soakSeed != 0 {
		seeds = []uint64{*soakSeed}
	}
	for _, seed := range seeds {
		soak(t, seed, *soakDuration)
	}
}

func soak(t *testing.T, seed uint64, length time.Duration) {
	is := is.New(t)
	events := soakEvents(seed, length)
	log := newRunLog(t)
	report, err := load.Run(t.Context(), load.Options{
		Shape: soakShape(), Hosts: soakHosts, Utilization: soakUtilization, Scale: 1,
		Duration: length, Seed: seed, Events: events, RunTier: true, Logger: log.logger,
	})
	if report == nil {
		t.Fatal(err)
	}
	defer log.closeAndKeep(t, report)
	for _, violation := range report.Violations {
		t.Errorf("seed %d: %s", seed, violation)
	}
	is.Equal(len(report.Events), len(events)) // every event was applied
	for _, kind := range load.Kinds() {
		is.True(slices.ContainsFunc(events, func(e load.Event) bool { return e.Kind == kind }))
	}
	for _, row := range report.Sides[0].Rows {
		t.Logf("seed %d: %s %d requests, %.1f%% answered, %v", seed, row.Name, row.Count, 100*row.Answered, row.Codes)
		is.True(row.Answered > 0.7) // faults cost answers, but not most of them
	}
	t.Logf("seed %d: poison requests ran %d times", seed, report.PoisonRuns)
	is.True(report.PoisonRuns > 0)
	is.True(report.PoisonRuns <= maxPoisonRuns)
}

// runLog holds the hosts' log of a run, kept for diagnosis if the test fails.
type runLog struct {
	logger *zap.Logger
	file   *os.File
}

func newRunLog(t *testing.T) *runLog {
	t.Helper()
	file, err := os.CreateTemp("", "goldcrestspan-soak-*.log")
	if err != nil {
		t.Fatal(err)
	}
	core := zapcore.NewCore(zapcore.NewJSONEncoder(zap.NewProductionEncoderConfig()), zapcore.AddSync(file), zapcore.InfoLevel)
	return &runLog{logger: zap.New(core), file: file}
}

// closeAndKeep appends the report to the log and keeps the file if the test has
// failed; otherwise it removes the file.
func (l *runLog) closeAndKeep(t *testing.T, report *load.Report) {
	t.Helper()
	if !t.Failed() {
		_ = l.file.Close()
		_ = os.Remove(l.file.Name())
		return
	}
	if err := report.WriteJSON(l.file); err != nil {
		t.Errorf("report: %v", err)
	}
	t.Logf("hosts' log and report: %s", l.file.Name())
	_ = l.file.Close()
}

// maxPoisonRuns allows each of the two poison requests to crash both servers of
// each of the four services once.
const maxPoisonRuns = 2 * 4 * 2

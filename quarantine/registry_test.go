package quarantine

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/goldcrestspan/goldcrestspan/backend"
	"github.com/goldcrestspan/goldcrestspan/bundle"
	"github.com/goldcrestspan/goldcrestspan/ident"
	"github.com/goldcrestspan/goldcrestspan/result"
)

func crashOf(server string, incarnation uint64, now time.Time, suspects ...Fingerprint) Crash {
	c := Crash{Server: Server{Name: server, Service: simService, Incarnation: incarnation}}
	for _, f := range suspects {
		c.Suspects = append(c.Suspects, Suspect{f, now.Add(-10 * time.Millisecond)})
	}
	return c
}

// registryWithVerdict returns a registry that has quarantined the request poison.
func registryWithVerdict(cfg *bundle.Config) (*Registry, time.Time) {
	registry := NewRegistry(cfg)
	registry.RecordCrash(start, crashOf("a", 1, start, poison))
	now := start.Add(2 * time.Second)
	registry.RecordCrash(now, crashOf("b", 1, now, poison))
	return registry, now
}

func TestFingerprintRoundTrip(t *testing.T) {
	is := is.New(t)
	f := FingerprintOf("search", "screens", []byte("x"))
	parsed, err := ParseFingerprint(f.String())
	is.NoErr(err)
	is.Equal(parsed, f)
	is.True(f != FingerprintOf("searchs", "creens", []byte("x")))
	_, err = ParseFingerprint("bad")
	is.True(err != nil)
}

func TestVerdictExpires(t *testing.T) {
	is := is.New(t)
	registry, now := registryWithVerdict(testBundle())
	is.Equal(registry.Check(now, poison).Code, result.Quarantined)
	is.Equal(registry.Check(now, 1), nil)
	is.Equal(len(registry.Entries(now)), 1)
	later := now.Add(10*time.Minute + time.Second)
	is.Equal(registry.Check(later, poison), nil)
	is.Equal(len(registry.ActiveEvidence(later)), 0)
}

// Guards against a tie between two suspects that is never resolved, or resolved
// against the one that was answered.
func TestAnswerBreaksTieBetweenSuspects(t *testing.T) {
	is := is.New(t)
	registry := NewRegistry(testBundle())
	registry.RecordCrash(start, crashOf("a", 1, start, 1, poison))
	now := start.Add(2 * time.Second)
	_, quarantined := registry.RecordCrash(now, crashOf("b", 1, now, 1, poison))
	is.True(!quarantined)
	f, quarantined := registry.RecordSuccess(now.Add(time.Second), 1, simService)
	is.True(quarantined)
	is.Equal(f, poison)
	is.True(!registry.IsSuspected(now, 1, simService))
}

// Guards against quarantining a request that ran on two servers of a rack that
// lost power.
func TestMassCrashGivesNoVerdict(t *testing.T) {
	is := is.New(t)
	registry := NewRegistry(testBundle())
	for i := range 3 {
		now := start.Add(time.Duration(i) * time.Minute)
		other := crashOf("z", uint64(i), now)
		other.Service = "transit-planner-00"
		registry.RecordCrash(now, other)
		_, quarantined := registry.RecordCrash(now, crashOf([]string{"a", "b"}[i%2], uint64(i), now, 7))
		is.True(!quarantined)
	}
}

// Guards against counting the crashes of a request's two servers in one power
// loss as two events.
func TestOneEventGivesNoVerdict(t *testing.T) {
	is := is.New(t)
	registry := NewRegistry(testBundle())
	registry.RecordCrash(start, crashOf("a", 1, start, 7))
	now := start.Add(20 * time.Millisecond)
	_, quarantined := registry.RecordCrash(now, crashOf("b", 1, now, 7))
	is.True(!quarantined)
	is.True(registry.IsSuspected(now, 7, simService))
}

// Guards against quarantining a long-running request in a service that crashes
// by itself.
func TestCrashLoopGivesNoVerdict(t *testing.T) {
	is := is.New(t)
	registry := NewRegistry(testBundle())
	for i, suspects := range [][]Fingerprint{{7}, {}, {}, {}, {7}} {
		now := start.Add(time.Duration(i) * 5 * time.Second)
		_, quarantined := registry.RecordCrash(now, crashOf([]string{"a", "b"}[i/3], uint64(i), now, suspects...))
		is.True(!quarantined)
	}
}

// Guards against lasting suspicion when connections to a running server are
// reset on the network.
func TestLaterAnswerRetractsCrash(t *testing.T) {
	is := is.New(t)
	registry, tracker := NewRegistry(testBundle()), NewTracker()
	server := Server{Name: "a", Service: simService, Incarnation: 1}
	tracker.AttemptStarted(start, 1, server, 7)
	tracker.AttemptStarted(start, 2, server, 8)
	is.Equal(tracker.AttemptEnded(start, 1, result.OutcomeUnknown, backend.FaultConnectionLost, 0).Crashed, nil) // one break alone
	event := tracker.AttemptEnded(start, 2, result.OutcomeUnknown, backend.FaultConnectionLost, 0)
	is.Equal(len(event.Crashed.Suspects), 2)
	registry.RecordCrash(start, *event.Crashed)
	is.True(registry.IsSuspected(start, 7, simService))
	tracker.AttemptStarted(start, 3, server, 9)
	event = tracker.AttemptEnded(start, 3, result.OutcomeRan, backend.FaultNone, 1)
	registry.RetractCrash(*event.Recovered)
	is.True(!registry.IsSuspected(start, 7, simService))
}

// Guards against retracting a crash for an answer that was sent before it.
func TestAnswerSentBeforeCrashRetractsNothing(t *testing.T) {
	is := is.New(t)
	registry, tracker := NewRegistry(testBundle()), NewTracker()
	server := Server{Name: "a", Service: simService, Incarnation: 1}
	tracker.AttemptStarted(start, 1, server, 7)
	tracker.AttemptStarted(start, 2, server, poison)
	tracker.AttemptStarted(start, 3, server, 8)
	now := start.Add(10 * time.Millisecond)
	is.Equal(tracker.AttemptEnded(now, 1, result.OutcomeUnknown, backend.FaultConnectionLost, 0).Crashed, nil)
	event := tracker.AttemptEnded(now, 2, result.OutcomeUnknown, backend.FaultConnectionLost, 0)
	is.True(event.Crashed != nil)
	registry.RecordCrash(now, *event.Crashed)
	is.Equal(tracker.AttemptEnded(now, 3, result.OutcomeRan, backend.FaultNone, 1), Event{})
	is.True(registry.IsSuspected(now, poison, simService))
	tracker.AttemptStarted(now, 4, server, 9) // the server did not crash
	event = tracker.AttemptEnded(now, 4, result.OutcomeRan, backend.FaultNone, 1)
	is.Equal(event.Recovered, &server)
}

// newBrokenTracker returns a tracker that has seen the connection of an attempt break.
func newBrokenTracker(server Server) *Tracker {
	tracker := NewTracker()
	tracker.AttemptStarted(start, 1, server, poison)
	tracker.AttemptEnded(start, 1, result.OutcomeUnknown, backend.FaultConnectionLost, 0)
	return tracker
}

// Guards against taking a successor at the address of a crashed server, which no list names yet,
// for the server itself: it refuses requests that are meant for the other.
func TestRefusalOfASuccessorRetractsNothing(t *testing.T) {
	is := is.New(t)
	server := Server{Name: "a", Service: simService}
	tracker := newBrokenTracker(server)
	is.True(tracker.ConnectRefused(start, "a").Crashed != nil)
	now := start.Add(3 * time.Second)
	tracker.AttemptStarted(now, 2, server, 7)
	is.Equal(tracker.AttemptEnded(now, 2, result.OutcomeRefused, backend.FaultDraining, 0), Event{})
}

// Guards against missing a crash whose server is back before its port is tried.
func TestRefusalOfASuccessorProvesACrash(t *testing.T) {
	is := is.New(t)
	server := Server{Name: "a", Service: simService}
	tracker := newBrokenTracker(server)
	now := start.Add(3 * time.Second)
	tracker.AttemptStarted(now, 2, server, 7)
	event := tracker.AttemptEnded(now, 2, result.OutcomeRefused, backend.FaultDraining, 0)
	is.True(event.Crashed != nil)
	is.Equal(event.Crashed.Suspects[0].Fingerprint, poison)
}

// Guards against taking a server that has started again under its name, which no list says yet,
// for the process that crashed: its replies don't tell them apart.
func TestAnswerAfterARestartUnderTheSameNameRetractsNothing(t *testing.T) {
	is := is.New(t)
	server := Server{Name: "a", Service: simService, Incarnation: 1}
	tracker := newBrokenTracker(server)
	is.True(tracker.ConnectRefused(start, "a").Crashed != nil)
	now := start.Add(3 * time.Second)
	tracker.AttemptStarted(now, 2, server, 7)
	is.Equal(tracker.AttemptEnded(now, 2, result.OutcomeRan, backend.FaultNone, 0), Event{})
}

// Guards against losing the suspect when an answer from before a break clears
// that break.
func TestAnswerSentBeforeBreakDoesNotClearIt(t *testing.T) {
	is := is.New(t)
	tracker := NewTracker()
	server := Server{Name: "a", Service: simService, Incarnation: 1}
	tracker.AttemptStarted(start, 1, server, poison)
	tracker.AttemptStarted(start, 2, server, 8)
	now := start.Add(10 * time.Millisecond)
	tracker.AttemptEnded(now, 1, result.OutcomeUnknown, backend.FaultConnectionLost, 0)
	tracker.AttemptEnded(now, 2, result.OutcomeRan, backend.FaultNone, 1)
	event := tracker.ConnectRefused(now, "a")
	is.True(event.Crashed != nil)
	is.Equal(event.Crashed.Suspects[0].Fingerprint, poison)
}

// Guards against clearing a request that was cancelled but still ran on the
// server.
func TestCancelledRequestIsStillSuspect(t *testing.T) {
	is := is.New(t)
	tracker := NewTracker()
	server := Server{Name: "a", Service: simService, Incarnation: 1}
	tracker.AttemptStarted(start, 1, server, poison)
	tracker.AttemptEnded(start, 1, result.OutcomeUnknown, backend.FaultCancelled, 0)
	event := tracker.ObserveIncarnation(start.Add(time.Second), "a", 2)
	is.Equal(event.Crashed.Suspects[0].Fingerprint, poison)
	is.Equal(tracker.ObserveIncarnation(start.Add(time.Second), "a", 2), Event{})
}

func TestOverrideReleasesAndRefuses(t *testing.T) {
	is := is.New(t)
	cfg, err := bundle.Compile(2, bundle.Documents{Quarantine: []bundle.QuarantineOverride{
		{Fingerprint: poison.String(), Refuse: false, Reason: "mended"},
		{Fingerprint: Fingerprint(1).String(), Refuse: true, Reason: "known to crash"},
	}})
	is.NoErr(err)
	registry, now := registryWithVerdict(testBundle())
	registry.Reconfigure(cfg)
	is.Equal(registry.Check(now, poison), nil)
	is.Equal(registry.Check(now, 1).Code, result.Quarantined)
}

// Guards against an expired verdict that is revived by a late copy of its evidence.
func TestLateEvidenceDoesNotReviveVerdict(t *testing.T) {
	is := is.New(t)
	from, now := registryWithVerdict(testBundle())
	evidence := from.ActiveEvidence(now)
	is.Equal(len(evidence), 2)
	to := NewRegistry(testBundle())
	is.Equal(to.Merge(now, evidence), evidence)
	is.Equal(len(to.Merge(now, evidence)), 0)
	is.Equal(to.Check(now, poison).Code, result.Quarantined)
	later := now.Add(11 * time.Minute)
	to.Merge(later, evidence)
	is.Equal(to.Check(later, poison), nil)
	is.Equal(len(from.Merge(later, evidence)), 0) // nor at its origin
}

// Guards against a second run of a query that crashed a server of each of its
// services while other requests are answered.
func TestLostQueryIsQuarantinedOnceOthersAreAnswered(t *testing.T) {
	is := is.New(t)
	registry := NewRegistry(testBundle())
	registry.RecordCrash(start, crashOf("a", 1, start, poison))
	registry.RecordLostQuery(start, poison, []string{"a", "b", "c", "d"})
	now := start.Add(time.Millisecond)
	_, quarantined := registry.RecordLegSuccess(now, now, 1, "a")
	is.True(!quarantined)
	f, quarantined := registry.RecordLegSuccess(now, now, 1, "b")
	is.True(quarantined)
	is.Equal(f, poison)
	is.Equal(registry.Check(now, poison).Code, result.Quarantined)
}

// Guards against missing a lost query because its entry host saw the loss of its
// legs before it saw a crash.
func TestQueryLostBeforeCrashIsSeenIsQuarantined(t *testing.T) {
	is := is.New(t)
	registry := NewRegistry(testBundle())
	registry.RecordLostQuery(start, poison, []string{"a", "b", "c", "d"})
	now := start.Add(time.Millisecond)
	registry.RecordLegSuccess(now, now, 1, "a")
	_, quarantined := registry.RecordLegSuccess(now, now, 1, "b")
	is.True(!quarantined) // no crash was seen
	registry.RecordCrash(now, crashOf("a", 1, now, poison))
	f, quarantined := registry.RecordLegSuccess(now, now, 1, "b")
	is.True(quarantined)
	is.Equal(f, poison)
}

// Guards against quarantining a query that lost all its legs in a power loss:
// answers to older queries, or after the restart, confirm nothing.
func TestOutageDoesNotQuarantineLostQuery(t *testing.T) {
	is := is.New(t)
	registry := NewRegistry(testBundle())
	registry.RecordCrash(start, crashOf("a", 1, start, 7))
	registry.RecordLostQuery(start, 7, []string{"a", "b", "c"})
	for _, service := range []string{"a", "b", "c"} {
		_, quarantined := registry.RecordLegSuccess(start.Add(time.Millisecond), start.Add(-time.Second), 1, service)
		is.True(!quarantined)
		later := start.Add(3 * time.Second)
		_, quarantined = registry.RecordLegSuccess(later, later, 1, service)
		is.True(!quarantined)
	}
}

// Guards against quarantining a query that lost all its legs with silent
// connections, without any crash.
func TestSilentConnectionsDoNotQuarantineLostQuery(t *testing.T) {
	is := is.New(t)
	registry := NewRegistry(testBundle())
	registry.RecordLostQuery(start, 7, []string{"a", "b", "c"})
	for _, service := range []string{"a", "b", "c"} {
		_, quarantined := registry.RecordLegSuccess(start.Add(time.Millisecond), start.Add(time.Millisecond), 1, service)
		is.True(!quarantined)
	}
}

// For any order of ends, the tracker keeps no ended attempt, and a crash has only
// suspects that ran on that server.
func TestTrackerForgetsEndedAttempts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tracker := NewTracker()
		now := start
		open := map[ident.AttemptID]string{}
		faults := []backend.Fault{backend.FaultNone, backend.FaultConnectionLost, backend.FaultUnreachable, backend.FaultDeadline, backend.FaultCancelled}
		for i := range rapid.IntRange(1, 100).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "ms")) * time.Millisecond)
			id := ident.AttemptID(i)
			name := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "server")
			tracker.AttemptStarted(now, id, Server{Name: name, Service: simService, Incarnation: 1}, Fingerprint(name[0]))
			open[id] = name
			if !rapid.Bool().Draw(t, "end") {
				continue
			}
			fault := rapid.SampledFrom(faults).Draw(t, "fault")
			outcome := map[bool]result.Outcome{true: result.OutcomeRan, false: result.OutcomeUnknown}[fault == backend.FaultNone]
			event := tracker.AttemptEnded(now, id, outcome, fault, 0)
			delete(open, id)
			if event.Crashed == nil {
				continue
			}
			for _, suspect := range event.Crashed.Suspects {
				if suspect.Fingerprint != Fingerprint(event.Crashed.Name[0]) {
					t.Fatalf("crash of %s has suspect %v", event.Crashed.Name, suspect)
				}
			}
		}
		for id := range open {
			tracker.AttemptEnded(now, id, result.OutcomeRefused, backend.FaultShed, 0)
		}
		if len(tracker.attempts) != 0 {
			t.Fatalf("attempts left: %v", tracker.attempts)
		}
	})
}

// Guards against retrying, on a third server, the leg that was lost with the
// crash that gave the verdict.
func TestSuspectedWhileVerdictIsInForce(t *testing.T) {
	is := is.New(t)
	registry, now := registryWithVerdict(testBundle())
	is.True(registry.IsSuspected(now, poison, simService))
	is.True(registry.IsSuspected(now, poison, "another service"))
	is.True(!registry.IsSuspected(now, 1, simService))
	is.True(!registry.IsSuspected(now.Add(10*time.Minute+time.Second), poison, simService))
}

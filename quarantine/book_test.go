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

func died(server string, incarnation uint64, now time.Time, blamed ...Fingerprint) Crash {
	d := Crash{Server: Server{Name: server, Service: simService, Incarnation: incarnation}}
	for _, f := range blamed {
		d.Suspects = append(d.Suspects, Suspect{f, now.Add(-10 * time.Millisecond)})
	}
	return d
}

func condemnedBook(cfg *bundle.Config) (*Registry, time.Time) {
	b := NewRegistry(cfg)
	b.RecordCrash(start, died("a", 1, start, poison))
	now := start.Add(2 * time.Second)
	b.RecordCrash(now, died("b", 1, now, poison))
	return b, now
}

func TestFingerprintsReadBack(t *testing.T) {
	is := is.New(t)
	f := FingerprintOf("search", "screens", []byte("x"))
	back, err := ParseFingerprint(f.String())
	is.NoErr(err)
	is.Equal(back, f)
	is.True(f != FingerprintOf("searchs", "creens", []byte("x")))
	_, err = ParseFingerprint("bad")
	is.True(err != nil)
}

func TestVerdictExpires(t *testing.T) {
	is := is.New(t)
	b, now := condemnedBook(testBundle())
	is.Equal(b.Check(now, poison).Code, result.Quarantined)
	is.Equal(b.Check(now, 1), nil)
	is.Equal(len(b.Entries(now)), 1)
	later := now.Add(10*time.Minute + time.Second)
	is.Equal(b.Check(later, poison), nil)
	is.Equal(len(b.ActiveEvidence(later)), 0)
}

// Two requests run on a server when it dies, and again on the next one. Both
// look the same; then one of them is answered.
func TestTieIsBrokenByAnAnswer(t *testing.T) {
	is := is.New(t)
	b := NewRegistry(testBundle())
	b.RecordCrash(start, died("a", 1, start, 1, poison))
	now := start.Add(2 * time.Second)
	_, condemned := b.RecordCrash(now, died("b", 1, now, 1, poison))
	is.True(!condemned)
	f, condemned := b.RecordSuccess(now.Add(time.Second), 1, simService)
	is.True(condemned)
	is.Equal(f, poison)
	is.True(!b.IsSuspected(now, 1, simService))
}

// A rack loses its power: both servers of a service die, and servers of other
// services with them. The request that ran on both is not to blame.
func TestMassDeathBlamesNobody(t *testing.T) {
	is := is.New(t)
	b := NewRegistry(testBundle())
	for i := range 3 {
		now := start.Add(time.Duration(i) * time.Minute)
		other := died("z", uint64(i), now)
		other.Service = "transit-planner-00"
		b.RecordCrash(now, other)
		_, condemned := b.RecordCrash(now, died([]string{"a", "b"}[i%2], uint64(i), now, 7))
		is.True(!condemned)
	}
}

// Both servers of a service lose their power within a few milliseconds of
// each other; a request had a hedge on the second one. That is one event,
// however many servers it took.
func TestOneEventCondemnsNobody(t *testing.T) {
	is := is.New(t)
	b := NewRegistry(testBundle())
	b.RecordCrash(start, died("a", 1, start, 7))
	now := start.Add(20 * time.Millisecond)
	_, condemned := b.RecordCrash(now, died("b", 1, now, 7))
	is.True(!condemned)
	is.True(b.IsSuspected(now, 7, simService))
}

// A service crashes by itself every few seconds. A request that runs for long
// is there at two of the five deaths; it is not their cause.
func TestCrashLoopOfItsOwnBlamesNobody(t *testing.T) {
	is := is.New(t)
	b := NewRegistry(testBundle())
	for i, blamed := range [][]Fingerprint{{7}, {}, {}, {}, {7}} {
		now := start.Add(time.Duration(i) * 5 * time.Second)
		_, condemned := b.RecordCrash(now, died([]string{"a", "b"}[i/3], uint64(i), now, blamed...))
		is.True(!condemned)
	}
}

// A device between the hosts resets all connections to a server, which lives.
// The request in flight is suspected, until the server's next answer.
func TestServerThatAnswersAgainTakesTheBlameBack(t *testing.T) {
	is := is.New(t)
	b, track := NewRegistry(testBundle()), NewTracker()
	server := Server{Name: "a", Service: simService, Incarnation: 1}
	track.AttemptStarted(start, 1, server, 7)
	track.AttemptStarted(start, 2, server, 8)
	is.Equal(track.AttemptEnded(start, 1, result.OutcomeUnknown, backend.FaultConnectionLost, 0).Crashed, nil) // one break alone
	event := track.AttemptEnded(start, 2, result.OutcomeUnknown, backend.FaultConnectionLost, 0)
	is.Equal(len(event.Crashed.Suspects), 2)
	b.RecordCrash(start, *event.Crashed)
	is.True(b.IsSuspected(start, 7, simService))
	track.AttemptStarted(start, 3, server, 9)
	event = track.AttemptEnded(start, 3, result.OutcomeRan, backend.FaultNone, 1)
	b.RetractCrash(*event.Recovered)
	is.True(!b.IsSuspected(start, 7, simService))
}

// Guards against an answer that was sent before the crash and is read after it: it says
// nothing of the server's life.
func TestAnswerFromBeforeTheCrashTakesNoBlameBack(t *testing.T) {
	is := is.New(t)
	b, track := NewRegistry(testBundle()), NewTracker()
	server := Server{Name: "a", Service: simService, Incarnation: 1}
	track.AttemptStarted(start, 1, server, 7)
	track.AttemptStarted(start, 2, server, poison)
	track.AttemptStarted(start, 3, server, 8)
	now := start.Add(10 * time.Millisecond)
	is.Equal(track.AttemptEnded(now, 1, result.OutcomeUnknown, backend.FaultConnectionLost, 0).Crashed, nil)
	event := track.AttemptEnded(now, 2, result.OutcomeUnknown, backend.FaultConnectionLost, 0)
	is.True(event.Crashed != nil)
	b.RecordCrash(now, *event.Crashed)
	is.Equal(track.AttemptEnded(now, 3, result.OutcomeRan, backend.FaultNone, 1), Event{})
	is.True(b.IsSuspected(now, poison, simService))
	track.AttemptStarted(now, 4, server, 9) // the server lives after all
	event = track.AttemptEnded(now, 4, result.OutcomeRan, backend.FaultNone, 1)
	is.Equal(event.Recovered, &server)
}

// Guards against a break that is forgotten for an answer from before it, so that the server's
// restart finds nobody to blame.
func TestAnswerFromBeforeTheBreakDoesNotHideIt(t *testing.T) {
	is := is.New(t)
	track := NewTracker()
	server := Server{Name: "a", Service: simService, Incarnation: 1}
	track.AttemptStarted(start, 1, server, poison)
	track.AttemptStarted(start, 2, server, 8)
	now := start.Add(10 * time.Millisecond)
	track.AttemptEnded(now, 1, result.OutcomeUnknown, backend.FaultConnectionLost, 0)
	track.AttemptEnded(now, 2, result.OutcomeRan, backend.FaultNone, 1)
	event := track.ConnectRefused(now, "a")
	is.True(event.Crashed != nil)
	is.Equal(event.Crashed.Suspects[0].Fingerprint, poison)
}

// The request was cancelled a moment before the server died: the server had
// not heard of it yet and crashed on it all the same.
func TestCancelledRequestIsStillBlamed(t *testing.T) {
	is := is.New(t)
	track := NewTracker()
	server := Server{Name: "a", Service: simService, Incarnation: 1}
	track.AttemptStarted(start, 1, server, poison)
	track.AttemptEnded(start, 1, result.OutcomeUnknown, backend.FaultCancelled, 0)
	event := track.ObserveIncarnation(start.Add(time.Second), "a", 2)
	is.Equal(event.Crashed.Suspects[0].Fingerprint, poison)
	is.Equal(track.ObserveIncarnation(start.Add(time.Second), "a", 2), Event{})
}

func TestOperatorsOverrideInBothDirections(t *testing.T) {
	is := is.New(t)
	cfg, err := bundle.Compile(2, bundle.Documents{Quarantine: []bundle.QuarantineOverride{
		{Fingerprint: poison.String(), Refuse: false, Reason: "mended"},
		{Fingerprint: Fingerprint(1).String(), Refuse: true, Reason: "known to crash"},
	}})
	is.NoErr(err)
	b, now := condemnedBook(testBundle())
	b.Reconfigure(cfg)
	is.Equal(b.Check(now, poison), nil)
	is.Equal(b.Check(now, 1).Code, result.Quarantined)
}

// A verdict reaches the other hosts; it expires there, and a late copy of the
// news arrives. The request must not be refused for another ten minutes.
func TestAbsorbedVerdictIsNotRevivedByLateNews(t *testing.T) {
	is := is.New(t)
	from, now := condemnedBook(testBundle())
	news := from.ActiveEvidence(now)
	is.Equal(len(news), 2)
	to := NewRegistry(testBundle())
	is.Equal(to.Merge(now, news), news)
	is.Equal(len(to.Merge(now, news)), 0)
	is.Equal(to.Check(now, poison).Code, result.Quarantined)
	later := now.Add(11 * time.Minute)
	to.Merge(later, news)
	is.Equal(to.Check(later, poison), nil)
	is.Equal(len(from.Merge(later, news)), 0) // nor at its origin
}

// One query crashes a server of each of its services; a moment later the
// services' other servers answer everyone else. It must not be sent again.
func TestQueryThatLostEveryLegIsCondemnedOnceOthersAreAnswered(t *testing.T) {
	is := is.New(t)
	b := NewRegistry(testBundle())
	b.RecordCrash(start, died("a", 1, start, poison))
	b.RecordLostQuery(start, poison, []string{"a", "b", "c", "d"})
	now := start.Add(time.Millisecond)
	_, condemned := b.RecordLegSuccess(now, now, 1, "a")
	is.True(!condemned)
	f, condemned := b.RecordLegSuccess(now, now, 1, "b")
	is.True(condemned)
	is.Equal(f, poison)
	is.Equal(b.Check(now, poison).Code, result.Quarantined)
}

// Guards against a query that is sent again since its root saw the loss of its legs before
// it saw a server's death.
func TestQueryThatIsLostBeforeADeathIsSeenIsCondemned(t *testing.T) {
	is := is.New(t)
	b := NewRegistry(testBundle())
	b.RecordLostQuery(start, poison, []string{"a", "b", "c", "d"})
	now := start.Add(time.Millisecond)
	b.RecordLegSuccess(now, now, 1, "a")
	_, condemned := b.RecordLegSuccess(now, now, 1, "b")
	is.True(!condemned) // no death was seen
	b.RecordCrash(now, died("a", 1, now, poison))
	f, condemned := b.RecordLegSuccess(now, now, 1, "b")
	is.True(condemned)
	is.Equal(f, poison)
}

// All servers lose their power while a query has just started, so all its
// legs are lost. Another query, half answered before, ends a moment later; and
// everything is back after three seconds. Neither confirms anything.
func TestOutageCondemnsNoLostQuery(t *testing.T) {
	is := is.New(t)
	b := NewRegistry(testBundle())
	b.RecordCrash(start, died("a", 1, start, 7))
	b.RecordLostQuery(start, 7, []string{"a", "b", "c"})
	for _, service := range []string{"a", "b", "c"} {
		_, condemned := b.RecordLegSuccess(start.Add(time.Millisecond), start.Add(-time.Second), 1, service)
		is.True(!condemned)
		later := start.Add(3 * time.Second)
		_, condemned = b.RecordLegSuccess(later, later, 1, service)
		is.True(!condemned)
	}
}

// Every connection of a host goes silent, and new ones work. A query loses
// all its legs without any server having died.
func TestSilentConnectionsCondemnNoLostQuery(t *testing.T) {
	is := is.New(t)
	b := NewRegistry(testBundle())
	b.RecordLostQuery(start, 7, []string{"a", "b", "c"})
	for _, service := range []string{"a", "b", "c"} {
		_, condemned := b.RecordLegSuccess(start.Add(time.Millisecond), start.Add(time.Millisecond), 1, service)
		is.True(!condemned)
	}
}

// Whatever ends in whatever order: nothing of an attempt is left, and a
// death blames only what ran on that server.
func TestTrackerKeepsNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		track := NewTracker()
		now := start
		open := map[ident.AttemptID]string{}
		faults := []backend.Fault{backend.FaultNone, backend.FaultConnectionLost, backend.FaultUnreachable, backend.FaultDeadline, backend.FaultCancelled}
		for i := range rapid.IntRange(1, 100).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "ms")) * time.Millisecond)
			attempt := ident.AttemptID(i)
			name := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "server")
			track.AttemptStarted(now, attempt, Server{Name: name, Service: simService, Incarnation: 1}, Fingerprint(name[0]))
			open[attempt] = name
			if !rapid.Bool().Draw(t, "end") {
				continue
			}
			fault := rapid.SampledFrom(faults).Draw(t, "fault")
			outcome := map[bool]result.Outcome{true: result.OutcomeRan, false: result.OutcomeUnknown}[fault == backend.FaultNone]
			event := track.AttemptEnded(now, attempt, outcome, fault, 0)
			delete(open, attempt)
			if event.Crashed == nil {
				continue
			}
			for _, blame := range event.Crashed.Suspects {
				if blame.Fingerprint != Fingerprint(event.Crashed.Name[0]) {
					t.Fatalf("death of %s blames %v", event.Crashed.Name, blame)
				}
			}
		}
		for attempt := range open {
			track.AttemptEnded(now, attempt, result.OutcomeRefused, backend.FaultShed, 0)
		}
		if len(track.attempts) != 0 {
			t.Fatalf("left: %v", track.attempts)
		}
	})
}

// A request's second death in a service gives the verdict, and its leg there is lost with
// it. The home asks whether to retry the leg on the service's third server, which would
// crash as well. It must not, for as long as the verdict holds; others may be retried.
func TestLegLostWithTheVerdictIsNotRetried(t *testing.T) {
	is := is.New(t)
	b, now := condemnedBook(testBundle())
	is.True(b.IsSuspected(now, poison, simService))
	is.True(b.IsSuspected(now, poison, "another service"))
	is.True(!b.IsSuspected(now, 1, simService))
	is.True(!b.IsSuspected(now.Add(10*time.Minute+time.Second), poison, simService))
}

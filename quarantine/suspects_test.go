package quarantine

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/goldcrestspan/goldcrestspan/backend"
	"github.com/goldcrestspan/goldcrestspan/bundle"
	"github.com/goldcrestspan/goldcrestspan/ident"
	"github.com/goldcrestspan/goldcrestspan/result"
)

// longestBackoff is the time after a report from which on no host holds a suspect back.
const longestBackoff = suspectBackoff

func newTestSuspects() *Suspects { return NewSuspects(NewRegistry(testBundle())) }

// crashUnder records crashes of servers with the requests in flight.
func (s *Suspects) crashUnder(now time.Time, servers int, suspects ...Fingerprint) (announced []PastReport) {
	for i := range servers {
		announced = append(announced, s.RecordCrash(now, crashOf(fmt.Sprintf("server-%d-%d", now.UnixMilli(), i), 1, now, suspects...))...)
	}
	return announced
}

func codeOf(a Admission) result.Code {
	if a.Refusal == nil {
		return 0
	}
	return a.Refusal.Code
}

// decideAndAdmit lets the host decide like the coordinator, then admits a request.
func (s *Suspects) decideAndAdmit(now time.Time, f Fingerprint) Admission {
	if s.Check(now, f) == nil {
		s.decide(now, f)
	}
	return s.Admit(now, f)
}

// Guards against a request that is sent to all shards again after it has crashed servers.
func TestSuspectIsHeldBackThenRunsAsCanary(t *testing.T) {
	is := is.New(t)
	s := newTestSuspects()
	s.crashUnder(start, 20, poison)
	held := s.Admit(start.Add(time.Millisecond), poison)
	is.Equal(codeOf(held), result.Suspected)
	is.True(held.Refusal.RetryAfter >= suspectBackoff-time.Millisecond && held.Refusal.RetryAfter <= longestBackoff)
	is.True(s.Check(start.Add(time.Millisecond), poison) != nil) // queued legs are not sent either

	now := start.Add(longestBackoff)
	is.True(s.Admit(now, poison).Canary)
	is.Equal(codeOf(s.Admit(now, poison)), result.Suspected) // one canary at a time
	is.Equal(s.Check(now, poison), nil)
	s.EndCanary(poison)
	is.True(s.Admit(now, poison).Canary)
}

// Guards against a suspect that is never quarantined: its canary crashes one server each time.
func TestCrashOfCanaryIsProof(t *testing.T) {
	is := is.New(t)
	s := newTestSuspects()
	s.crashUnder(start, 2, poison)
	now := start.Add(longestBackoff)
	is.True(s.Admit(now, poison).Canary)
	reports := s.crashUnder(now.Add(20*time.Millisecond), 1, poison)
	s.EndCanary(poison)
	is.Equal(len(reports), 1)
	is.True(reports[0].Canary)
	refused := s.decideAndAdmit(now.Add(2*longestBackoff), poison)
	is.Equal(codeOf(refused), result.Quarantined)
	is.True(refused.Refusal.RetryAfter > 9*time.Minute)
	is.Equal(len(s.registry.Entries(now.Add(2*longestBackoff))), 1)
}

// Guards against a request that is sent to all shards at once when its verdict ends.
func TestRequestRunsAsCanaryAfterItsVerdict(t *testing.T) {
	is := is.New(t)
	s := newTestSuspects()
	s.crashUnder(start, 2, poison)
	now := start.Add(longestBackoff)
	s.crashUnder(now.Add(20*time.Millisecond), 1, poison)
	is.Equal(codeOf(s.decideAndAdmit(now.Add(longestBackoff+time.Second), poison)), result.Quarantined)
	is.True(s.decideAndAdmit(now.Add(11*time.Minute), poison).Canary)
}

// Guards against holding back a bystander: a request that ran on one crashed server, or that
// another server has answered.
func TestBystandersAreNotSuspects(t *testing.T) {
	is := is.New(t)
	s := newTestSuspects()
	is.Equal(len(s.crashUnder(start, 1, 1)), 0)
	is.Equal(s.Admit(start, 1), Admission{})

	s.RecordAnswer(start, 2) // by one server, before the others crash
	s.RecordCrash(start.Add(5*time.Millisecond), crashOf("a", 1, start, 2))
	s.RecordCrash(start.Add(5*time.Millisecond), crashOf("b", 1, start, 2))
	is.Equal(s.Admit(start, 2), Admission{})

	s.crashUnder(start, 13, 3)
	is.True(s.IsSuspect(start, 3))
	s.RecordAnswer(start.Add(10*time.Millisecond), 3) // after the others crashed
	is.Equal(s.Admit(start.Add(20*time.Millisecond), 3), Admission{})
	s.Merge(start.Add(200*time.Millisecond), PastReport{Report: Report{Fingerprint: 3, Server: "c"}}) // late news
	s.Merge(start.Add(200*time.Millisecond), PastReport{Report: Report{Fingerprint: 3, Server: "d"}})
	is.Equal(s.Admit(start.Add(210*time.Millisecond), 3), Admission{})
}

// Guards against a verdict on a suspect whose canary ran beside the request that crashed the
// server.
func TestCanaryBesideAnotherSuspectIsNoProof(t *testing.T) {
	is := is.New(t)
	s := newTestSuspects()
	s.crashUnder(start, 3, poison, 1)
	now := start.Add(longestBackoff)
	s.RecordCrash(now.Add(20*time.Millisecond), crashOf("shared", 1, now.Add(20*time.Millisecond), poison, 1))
	next := now.Add(20*time.Millisecond + longestBackoff)
	is.True(s.Admit(next, 1).Canary)
	is.True(s.Admit(next, poison).Canary)
	s.RecordAnswer(next.Add(30*time.Millisecond), 1)
	s.crashUnder(next.Add(30*time.Millisecond), 1, poison)
	is.Equal(s.decideAndAdmit(next.Add(2*longestBackoff), 1), Admission{})
	is.Equal(codeOf(s.decideAndAdmit(next.Add(2*longestBackoff), poison)), result.Quarantined)
}

// Guards against a request without a verdict because other requests ran on the servers that its
// canaries crashed.
func TestBystandersDoNotExplainTheCrashOfACanary(t *testing.T) {
	is := is.New(t)
	s := newTestSuspects()
	s.crashUnder(start, 3, poison)
	now := start.Add(longestBackoff)
	is.True(s.Admit(now, poison).Canary)
	s.RecordCrash(now.Add(20*time.Millisecond), crashOf("canary", 1, now, poison, 1))
	s.RecordCrash(now.Add(50*time.Millisecond), crashOf("canary of another host", 1, now, 1))
	s.Merge(now.Add(100*time.Millisecond), PastReport{Report: Report{Fingerprint: poison, Server: "canary of another host", Incarnation: 1, Canary: true}})
	is.True(s.IsSuspect(now.Add(time.Second), 1))
	s.EndCanary(poison)
	is.Equal(codeOf(s.decideAndAdmit(now.Add(longestBackoff+time.Second), poison)), result.Quarantined)
}

// Guards against a request without a verdict because another one, in flight at an earlier crash,
// may still run on the canary's server.
func TestEarlierCrashesOfABystanderDoNotExplainACanary(t *testing.T) {
	is := is.New(t)
	s := newTestSuspects()
	s.crashUnder(start, 3, poison)
	now := start.Add(longestBackoff)
	s.RecordCrash(now.Add(-massCrashWindow), crashOf("earlier", 1, now.Add(-massCrashWindow), 1))
	is.True(s.Admit(now, poison).Canary)
	s.RecordCrash(now.Add(20*time.Millisecond), crashOf("canary", 1, now, poison, 1))
	is.True(s.IsSuspect(now.Add(time.Second), 1))
	s.EndCanary(poison)
	is.Equal(codeOf(s.decideAndAdmit(now.Add(longestBackoff+time.Second), poison)), result.Quarantined)
}

// Guards against taking an old crash for one at the time of a canary, because another host tells
// of it late.
func TestReportsToldLateKeepTheirTime(t *testing.T) {
	is := is.New(t)
	told, other := newTestSuspects(), newTestSuspects()
	told.crashUnder(start, 3, poison)
	now := start.Add(3 * time.Second)
	is.True(told.Admit(now, poison).Canary)
	told.RecordCrash(now, crashOf("canary", 1, now, poison))
	other.RecordCrash(start, crashOf("old", 1, start, 1))
	for _, r := range other.RecordCrash(now, crashOf("canary", 1, now, 1)) {
		told.Merge(now.Add(50*time.Millisecond), r)
	}
	is.True(told.IsSuspect(now.Add(time.Second), 1))
	is.Equal(codeOf(told.decideAndAdmit(now.Add(longestBackoff+time.Second), poison)), result.Quarantined)
}

// Guards against a verdict on a suspect whose canary ran on a server that another request crashed
// among its first.
func TestCanaryBesideFirstCrashesOfAnotherRequestIsNoProof(t *testing.T) {
	is := is.New(t)
	s := newTestSuspects()
	s.crashUnder(start, 3, 1)
	now := start.Add(longestBackoff)
	is.True(s.Admit(now, 1).Canary)
	s.RecordCrash(now.Add(10*time.Millisecond), crashOf("shared", 1, now, 1, poison))
	s.RecordCrash(now.Add(15*time.Millisecond), crashOf("other", 1, now, poison))
	s.EndCanary(1)
	is.True(s.decideAndAdmit(now.Add(2*longestBackoff), 1).Canary)
}

// Guards against a verdict on a suspect whose canary ran when many servers lost power.
func TestCanaryInOutageIsNoProof(t *testing.T) {
	is := is.New(t)
	s := newTestSuspects()
	s.crashUnder(start, 3, 1)
	now := start.Add(longestBackoff)
	s.crashUnder(now.Add(20*time.Millisecond), 1, 1)
	for other := range Fingerprint(maxOtherCrashes + 1) {
		s.RecordCrash(now.Add(50*time.Millisecond), crashOf(fmt.Sprint("other", other), 1, now.Add(50*time.Millisecond), 100+other))
	}
	is.True(s.decideAndAdmit(now.Add(2*longestBackoff), 1).Canary)
}

// Guards against hosts that repeat what another host has seen already.
func TestReportsOfOtherHostsCount(t *testing.T) {
	is := is.New(t)
	seen, told := newTestSuspects(), newTestSuspects()
	reports := seen.crashUnder(start, 20, poison)
	is.Equal(len(reports), verdictServers) // enough for the others, whatever the search's size
	for _, r := range reports {
		told.Merge(start, r)
		told.Merge(start, r) // news come more than once
	}
	is.Equal(codeOf(told.Admit(start, poison)), result.Suspected)
	now := start.Add(longestBackoff)
	for _, r := range seen.crashUnder(now, 1, poison) {
		told.Merge(now, r)
	}
	is.Equal(codeOf(told.decideAndAdmit(now.Add(longestBackoff), poison)), result.Quarantined)
}

// Guards against suspicion that rests on a server that did not crash.
func TestRetractedCrashClearsSuspicion(t *testing.T) {
	is := is.New(t)
	s := newTestSuspects()
	s.RecordCrash(start, crashOf("a", 1, start, 1))
	s.RecordCrash(start, crashOf("b", 1, start, 1))
	is.True(s.IsSuspect(start, 1))
	s.RetractCrash(Server{Name: "b", Service: simService, Incarnation: 1})
	is.Equal(s.Admit(start, 1), Admission{})
}

// Guards against holding back a request that an operator has declared innocent.
func TestReleasedRequestIsNotHeldBack(t *testing.T) {
	is := is.New(t)
	cfg, err := bundle.Compile(1, bundle.Documents{Quarantine: []bundle.QuarantineOverride{{Fingerprint: poison.String()}}})
	is.NoErr(err)
	s := NewSuspects(NewRegistry(cfg))
	s.crashUnder(start, 20, poison)
	is.Equal(s.Admit(start, poison), Admission{})
	is.Equal(s.Check(start, poison), nil)
}

// Guards against servers that a tracker remembers for good, where each start has a new name.
func TestTrackerForgetsServersThatAreGone(t *testing.T) {
	is := is.New(t)
	tracker := NewTracker()
	tracker.AttemptStarted(start, 1, Server{Name: "a"}, 1)
	tracker.AttemptStarted(start, 2, Server{Name: "b"}, 1)
	tracker.AttemptEnded(start, 2, result.OutcomeRan, 0, 0)
	tracker.Retain(start, func(string) bool { return false })
	is.Equal(len(tracker.servers), 1) // an attempt at the other one is open
}

// Guards against a search that crashes so many servers at once that the crash of its canary is
// not recorded, and that is tried again and again.
func TestCanaryOfALargeSearchIsProof(t *testing.T) {
	is := is.New(t)
	s := newTestSuspects()
	s.crashUnder(start, 4*maxReports, poison)
	now := start.Add(longestBackoff)
	is.True(s.Admit(now, poison).Canary)
	is.Equal(len(s.crashUnder(now.Add(20*time.Millisecond), 1, poison)), 1)
	s.EndCanary(poison)
	is.Equal(codeOf(s.decideAndAdmit(now.Add(30*time.Millisecond), poison)), result.Suspected)
	is.Equal(codeOf(s.decideAndAdmit(now.Add(2*longestBackoff), poison)), result.Quarantined)
}

// BenchmarkUnsuspectedRequest measures what a request costs that has no report against it: its
// fingerprint, the decision on arrival, and one attempt with its answer.
func BenchmarkUnsuspectedRequest(b *testing.B) {
	s, tracker := newTestSuspects(), NewTracker()
	server := Server{Name: "a", Service: simService, Incarnation: 1}
	for i := range b.N {
		f := FingerprintOf(fmt.Sprintf("GET /slots/%x", i), "screens", nil)
		s.Admit(start, f)
		id := ident.AttemptID(i)
		tracker.AttemptStarted(start, id, server, f)
		s.Empty()
		tracker.AttemptEnded(start, id, result.OutcomeRan, backend.FaultNone, 0)
		s.RecordAnswer(start, f)
	}
}

package quarantine

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/goldcrestspan/goldcrestspan/result"
)

// newTestLeases returns the leases of a coordinator whose first reports on the request are older
// than the backoff.
func newTestLeases(suspects ...Fingerprint) (l *Leases, now time.Time) {
	l = NewLeases(newTestSuspects())
	l.SetCoordinator(start.Add(-time.Minute), true)
	for _, f := range suspects {
		l.suspects.crashUnder(start.Add(time.Duration(f)), 3, f)
	}
	return l, start.Add(2 * suspectBackoff)
}

func request(f Fingerprint, host, service string) CanaryRequest {
	return CanaryRequest{Fingerprint: f, Host: host, Service: service, Duration: time.Second}
}

func (d CanaryDecision) granted() bool { return d.Refusal == nil && !d.Cleared }

func (d CanaryDecision) code() result.Code { return codeOf(Admission{Refusal: d.Refusal}) }

// Guards against canaries of one request on several hosts, each of which crashes a server.
func TestOneCanaryOfARequestAtATime(t *testing.T) {
	is := is.New(t)
	l, now := newTestLeases(poison)
	is.True(l.Acquire(now, request(poison, "a", "x")).granted())
	is.Equal(l.Acquire(now, request(poison, "b", "y")).code(), result.Suspected)
	l.Release(now, poison, "b", CanaryUnsent, Findings{}) // has none
	is.Equal(l.Acquire(now, request(poison, "b", "y")).code(), result.Suspected)
	l.Release(now, poison, "a", CanaryUnsent, Findings{})
	is.True(l.Acquire(now, request(poison, "b", "y")).granted())
}

// Guards against a crash that two canaries explain to each other.
func TestCanariesOfTwoRequestsRunOnDifferentServices(t *testing.T) {
	is := is.New(t)
	l, now := newTestLeases(1, 2)
	is.True(l.Acquire(now, request(1, "a", "x")).granted())
	is.Equal(l.Acquire(now, request(2, "b", "x")).code(), result.Suspected)
	is.True(l.Acquire(now, request(2, "b", "y")).granted())
}

// Guards against a request that nobody may run any more, because the host of its canary was lost.
func TestLeaseOfALostHostEnds(t *testing.T) {
	is := is.New(t)
	l, now := newTestLeases(poison)
	is.True(l.Acquire(now, request(poison, "a", "x")).granted())
	is.True(!l.Acquire(now.Add(999*time.Millisecond), request(poison, "b", "y")).granted())
	is.True(l.Acquire(now.Add(time.Second), request(poison, "b", "y")).granted())
}

// Guards against a second canary beside the one that a lost coordinator has allowed.
func TestNewCoordinatorWaitsForCanariesOfTheOneBefore(t *testing.T) {
	is := is.New(t)
	l, now := newTestLeases(poison)
	l.SetCoordinator(now, false)
	is.Equal(l.Acquire(now, request(poison, "a", "x")).code(), result.Suspected)
	l.SetCoordinator(now, true)
	l.SetCoordinator(now.Add(time.Second), true) // no change
	is.Equal(l.Acquire(now.Add(takeoverDelay-time.Millisecond), request(poison, "a", "x")).code(), result.Suspected)
	is.True(l.Acquire(now.Add(takeoverDelay), request(poison, "a", "x")).granted())
}

// Guards against a request that crashes a server for each host before all of them refuse it.
func TestOneCrashedCanaryIsAVerdictForAllHosts(t *testing.T) {
	is := is.New(t)
	l, now := newTestLeases(poison)
	host := newTestSuspects()
	host.crashUnder(start, 3, poison)
	is.True(l.Acquire(now, request(poison, "a", "x")).granted())
	host.crashUnder(now.Add(20*time.Millisecond), 1, poison)
	l.Release(now.Add(30*time.Millisecond), poison, "a", CanaryLost, host.Findings(now.Add(30*time.Millisecond), poison))
	is.Equal(l.Acquire(now.Add(40*time.Millisecond), request(poison, "b", "y")).code(), result.Suspected)

	later := now.Add(20*time.Millisecond + suspectBackoff)
	verdict := l.Acquire(later, request(poison, "b", "y"))
	is.Equal(verdict.code(), result.Quarantined)
	other := newTestSuspects()
	other.Quarantine(later, poison, verdict.Evidence)
	is.Equal(codeOf(other.Admit(later, poison)), result.Quarantined)
}

// Guards against a second canary before the host that saw the first one's crash has reported it.
func TestNextCanaryWaitsAfterALostOne(t *testing.T) {
	is := is.New(t)
	l, now := newTestLeases(poison)
	is.True(l.Acquire(now, request(poison, "a", "x")).granted())
	l.Release(now, poison, "a", CanaryLost, Findings{})
	is.True(!l.Acquire(now.Add(suspectBackoff-time.Millisecond), request(poison, "b", "y")).granted())
	is.True(l.Acquire(now.Add(suspectBackoff), request(poison, "b", "y")).granted())
}

// Guards against holding back a proper request on each host until it has run there as a canary.
func TestAnsweredCanaryClearsTheRequestForAllHosts(t *testing.T) {
	is := is.New(t)
	l, now := newTestLeases(1)
	is.True(l.Acquire(now, request(1, "a", "x")).granted())
	l.Release(now.Add(30*time.Millisecond), 1, "a", CanaryAnswered, Findings{})
	host := newTestSuspects()
	host.crashUnder(start, 3, 1)
	later := now.Add(time.Minute)
	decision := l.Acquire(later, CanaryRequest{Fingerprint: 1, Host: "b", Service: "x", Duration: time.Second, Findings: host.Findings(later, 1)})
	is.True(decision.Cleared)
}

// Guards against a verdict on a proper request whose canary ran when many servers lost power, if
// only another host has seen that.
func TestOutageSeenByAnotherHostExplainsACanary(t *testing.T) {
	is := is.New(t)
	l, now := newTestLeases(1)
	is.True(l.Acquire(now, request(1, "a", "x")).granted())
	host := newTestSuspects()
	host.crashUnder(start, 3, 1)
	host.crashUnder(now, 1, 1)
	l.Release(now, 1, "a", CanaryLost, host.Findings(now, 1))

	other := newTestSuspects()
	other.crashUnder(now.Add(time.Millisecond), maxOtherCrashes+1)
	later := now.Add(suspectBackoff)
	ask := request(1, "b", "y")
	ask.Findings = other.Findings(later, 1)
	is.True(l.Acquire(later, ask).granted())
}

// Guards against a coordinator whose memory grows with the suspects.
func TestLeasesAreBounded(t *testing.T) {
	is := is.New(t)
	l, now := newTestLeases()
	for f := range Fingerprint(maxLeases + 1) {
		l.suspects.crashUnder(start, 2, f)
		granted := l.Acquire(now, request(f, "a", f.String())).granted()
		is.Equal(granted, f < maxLeases)
	}
}

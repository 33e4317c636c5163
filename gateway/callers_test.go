package gateway

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against counting a new connection's round trip or a retry's wait as server time:
// both show in the remaining timeout that the caller states.
func TestElapsedTimeOfACaller(t *testing.T) {
	is := is.New(t)
	var timeouts callerTimeouts
	now := time.Unix(1000, 0)
	is.Equal(timeouts.elapsed(now, "search", 0), time.Duration(0)) // not stated
	is.Equal(timeouts.elapsed(now, "search", 2*time.Second), time.Duration(0))
	is.Equal(timeouts.elapsed(now, "search", 1994*time.Millisecond), 6*time.Millisecond)
	is.Equal(timeouts.elapsed(now, "search", 1400*time.Millisecond), 600*time.Millisecond)
	is.Equal(timeouts.elapsed(now, "lookup", time.Second), time.Duration(0)) // another class
}

// Guards against taking callers with a newly shortened timeout for retries for longer than the
// old timeout is kept.
func TestShortenedTimeoutReplacesTheOldOne(t *testing.T) {
	is := is.New(t)
	var timeouts callerTimeouts
	now := time.Unix(1000, 0)
	timeouts.elapsed(now, "search", 2*time.Second)
	is.Equal(timeouts.elapsed(now.Add(time.Second), "search", time.Second), time.Second)
	now = now.Add(timeoutWindow)
	timeouts.elapsed(now, "search", time.Second)
	now = now.Add(timeoutWindow)
	is.Equal(timeouts.elapsed(now, "search", time.Second), time.Duration(0))
	timeouts.prune(map[string]time.Duration{"lookup": 0})
	is.Equal(len(timeouts.classes), 0)
}

// The first request on a connection sets its round trip; later ones may have waited for other
// reasons.
func TestRoundTripOfAConnectionIsSetOnce(t *testing.T) {
	is := is.New(t)
	var c Connection
	is.Equal(c.rtt(), time.Duration(0))
	c.recordRoundTrip(0)
	c.recordRoundTrip(6 * time.Millisecond)
	c.recordRoundTrip(20 * time.Millisecond)
	is.Equal(c.rtt(), 6*time.Millisecond)
	var nilConnection *Connection
	nilConnection.recordRoundTrip(time.Millisecond)
	is.Equal(nilConnection.rtt(), time.Duration(0))
}

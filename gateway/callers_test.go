package gateway

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// A caller's clock runs before its request arrives: a new connection takes a
// round trip, and one that was refused has waited. Both show in what it says it
// has left, beside what others of its class begin with.
func TestTimeThatACallerHasUsed(t *testing.T) {
	is := is.New(t)
	var times callerTimes
	now := time.Unix(1000, 0)
	is.Equal(times.used(now, "search", 0), time.Duration(0)) // it does not say
	is.Equal(times.used(now, "search", 2*time.Second), time.Duration(0))
	is.Equal(times.used(now, "search", 1994*time.Millisecond), 6*time.Millisecond)
	is.Equal(times.used(now, "search", 1400*time.Millisecond), 600*time.Millisecond)
	is.Equal(times.used(now, "lookup", time.Second), time.Duration(0)) // another class
}

// An operator's callers begin to allow less time. They must not be taken for
// callers that come back, for longer than the old ones are remembered.
func TestShorterTimesAreTheNewUsualSoon(t *testing.T) {
	is := is.New(t)
	var times callerTimes
	now := time.Unix(1000, 0)
	times.used(now, "search", 2*time.Second)
	is.Equal(times.used(now.Add(time.Second), "search", time.Second), time.Second)
	now = now.Add(budgetMemory)
	times.used(now, "search", time.Second)
	now = now.Add(budgetMemory)
	is.Equal(times.used(now, "search", time.Second), time.Duration(0))
	times.forget(map[string]time.Duration{"lookup": 0})
	is.Equal(len(times.classes), 0)
}

// The first request on a connection tells its way; a later one, which had waited
// longer for another reason, does not change it.
func TestWayOfAConnectionIsLearntOnce(t *testing.T) {
	is := is.New(t)
	var c Connection
	is.Equal(c.way(), time.Duration(0))
	c.learn(0)
	c.learn(6 * time.Millisecond)
	c.learn(20 * time.Millisecond)
	is.Equal(c.way(), 6*time.Millisecond)
	var none *Connection
	none.learn(time.Millisecond)
	is.Equal(none.way(), time.Duration(0))
}

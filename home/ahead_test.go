package home

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// A server sheds at full slots. If each leg were sent a little early to save
// the round trip, it would be refused every time, and refusals cost more than
// the trip.
func TestServerThatShedsIsSeldomProbed(t *testing.T) {
	is := is.New(t)
	a := ahead{nextProbe: start.Add(firstProbe)}
	probes := 0
	for now := start; now.Before(start.Add(10 * time.Minute)); now = now.Add(10 * time.Millisecond) {
		if a.allowed(now) > 0 {
			a.sent()
			is.Equal(a.allowed(now), 0) // one probe at a time
			a.ended(now, true)
			probes++
		}
	}
	is.True(probes >= 10 && probes <= 16)
}

func TestServerThatQueuesIsSentOneAhead(t *testing.T) {
	b := newBench(t, config(), 1)
	b.pass(firstProbe)
	for range 5 {
		b.submit(interactive, time.Minute, true)
	}
	b.is.Equal(len(b.running), 3) // two slots and the probe
	for range 3 {
		b.finish(b.running[0], ran())
	}
	for range 5 {
		b.submit(interactive, time.Minute, true)
	}
	b.is.Equal(len(b.running), 3)
	refused := b.running[2]
	b.finish(refused, shed())
	b.is.Equal(len(b.running), 2)
	b.is.Equal(b.home.servers[0].refusals, 0) // the home's excess, not overload
}

// A leg is sent ahead and waits at the server behind a straggler. Its wait
// must not count as the server's service time, or the server looks slow.
func TestWaitAtTheServerIsNoServiceTime(t *testing.T) {
	b := newBench(t, config(), 1)
	b.pass(firstProbe)
	for range 3 {
		b.submit(interactive, time.Minute, true)
	}
	waits := b.home.attempts[b.running[2].Attempt]
	b.pass(500 * time.Millisecond)
	b.is.Equal(waits.ran(b.now), time.Duration(0))
	b.finish(b.running[0], ran())
	b.pass(5 * time.Millisecond)
	b.is.Equal(waits.ran(b.now), 5*time.Millisecond)
}

package bench

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func shortened(c Case) Case {
	c.Length, c.Warmup = 2*time.Second, time.Second/2
	return c
}

// Guards against runs that differ for the same seed.
func TestRunIsDeterministic(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := shortened(steadyCase("steady-70", BookingDesk(), 0.7))
	for _, policy := range Policies() {
		a, b := Run(c, policy, 7), Run(c, policy, 7)
		is.Equal(a.Run, b.Run)
		is.Equal(a.Busy, b.Busy)
		is.Equal(a.All.Latency(0.99), b.All.Latency(0.99))
	}
}

// Guards against queries that are counted twice or not at all.
func TestEveryQueryIsCountedOnce(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	for _, c := range Cases() {
		g := Run(shortened(c), Policies()[0], 3).All
		is.Equal(g.Arrived, g.Ended+g.Refused+g.Lost)
		is.Equal(g.AfterDeadline, 0)
	}
}

// Guards against arrival rates that do not match the case's load.
func TestSlotUtilizationMatchesLoad(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := shortened(steadyCase("steady-50", BookingDesk(), 0.5))
	r := Run(c, QueueBaseline("ideal, no hedge", queueOptions{}), 5)
	slots := c.Shape.Services * c.Shape.Servers * c.Shape.Slots
	used := r.Busy.Seconds() / (r.Length.Seconds() * float64(slots))
	is.True(used > 0.45 && used < 0.55)
}

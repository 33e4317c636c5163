package admit

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/goldcrestspan/goldcrestspan/result"
)

// Screens of the largest town send three times what those of the smallest do,
// at 70% load. They hear "over your share", come back later, and their picks
// are late or missing, though a third of the slots is idle: legs already wait
// a little at that load, and the difference was taken for a flood.
func TestEverydaySkewIsNoFlood(t *testing.T) {
	const (
		length  = 30 * time.Second
		service = 40 * time.Millisecond
		wait    = 16 * time.Millisecond // four slots at 72% load
		perHost = 14.0                  // requests a second, of all callers
	)
	is := is.New(t)
	c := testController(Limits{1000, 1 << 20})
	random := rand.New(rand.NewPCG(1, 2))
	refused := 0
	for now := start; now.Before(start.Add(length)); {
		now = now.Add(time.Duration(random.ExpFloat64() / perHost * float64(time.Second)))
		pass, refusal := c.Admit(now, ask(skewedCaller(random), 0, now.Add(2*time.Second)))
		if refusal != nil && refusal.Code == result.CallerOverShare {
			refused++
		}
		legs := make([]LegTiming, 20)
		for i := range legs {
			legs[i] = LegTiming{Service: "a", Time: service + wait, QueueTime: wait}
		}
		c.Release(now, pass, Completion{Answered: true, Legs: legs})
	}
	is.Equal(refused, 0)
}

// skewedCaller draws from three callers that send 6, 3 and 2 parts of 11.
func skewedCaller(random *rand.Rand) string {
	switch n := random.IntN(11); {
	case n < 6:
		return "split"
	case n < 9:
		return "rijeka"
	default:
		return "zadar"
	}
}

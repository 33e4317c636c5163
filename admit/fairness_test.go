package admit

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/goldcrestspan/goldcrestspan/result"
)

// Guards against throttling a caller that sends three times as much as others
// while slots are still free.
func TestModerateSkewIsNotThrottled(t *testing.T) {
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
		permit, refusal := c.Admit(now, newRequest(skewedCaller(random), 0, now.Add(2*time.Second)))
		if refusal != nil && refusal.Code == result.CallerOverShare {
			refused++
		}
		legs := make([]LegTiming, 20)
		for i := range legs {
			legs[i] = LegTiming{Service: "a", Time: service + wait, QueueTime: wait}
		}
		c.Release(now, permit, Completion{Answered: true, Legs: legs})
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

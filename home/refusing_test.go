package home

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/goldcrestspan/goldcrestspan/ident"
)

// Half of a service's servers refuse two in five of their requests for seconds,
// whatever their load. They look idle, get most legs, and each refusal costs a
// retry: once the budget is spent, searches fail within milliseconds though the
// other servers have room.
func TestServersThatRefuseGetLessWork(t *testing.T) {
	cfg := config()
	cfg.ChargeRefusals = true
	b := newBench(t, cfg, 4)
	b.practise(200)
	refused, failed := 0, 0
	rnd := rand.New(rand.NewPCG(1, 1))
	ends := make(map[ident.AttemptID]plannedEnd)
	const legs = 4000
	for range legs {
		b.took(b.home.Submit(b.now, b.idempotentLeg(500*time.Millisecond), nil))
		for until := b.now.Add(time.Millisecond); b.now.Before(until); b.pass(250 * time.Microsecond) {
			for _, started := range slices.Clone(b.running) {
				end, planned := ends[started.Attempt]
				if !planned {
					end = plannedEnd{at: b.now.Add(5 * time.Millisecond), end: ran()}
					if (started.Server == "s0" || started.Server == "s1") && rnd.IntN(5) < 2 {
						end = plannedEnd{at: b.now.Add(250 * time.Microsecond), end: shed()}
					}
					ends[started.Attempt] = end
				}
				if b.now.Before(end.at) {
					continue
				}
				if end.end == shed() {
					refused++
				}
				failed += len(kinds(b.finish(started, end.end), ActionFail))
			}
		}
	}
	t.Logf("refused %d, failed %d of %d", refused, failed, legs)
	b.is.True(refused < legs/12)
	b.is.Equal(failed, 0)
}

// plannedEnd is how an attempt of a test will end, and when.
type plannedEnd struct {
	at  time.Time
	end AttemptResult
}

func (b *bench) idempotentLeg(in time.Duration) Leg {
	leg := b.nextLeg(interactive, in)
	leg.Idempotent = true
	return leg
}

// A server that refused for a while is well again. It must get its share of the
// work back, or the service stays as small as it was.
func TestServerThatRefusedIsTakenBack(t *testing.T) {
	b := newBench(t, config(), 2)
	b.practise(200)
	s := b.home.find("s0")
	for range 50 {
		s.refused(b.now, time.Millisecond, 0)
	}
	b.pass(mostPause)
	at := map[string]int{}
	const rounds = 2400 // 12 s
	for range rounds {
		b.submit(interactive, time.Second, true)
		b.submit(interactive, time.Second, true)
		b.submit(interactive, time.Second, true)
		b.pass(5 * time.Millisecond)
		for len(b.running) > 0 {
			at[b.running[0].Server]++
			b.finish(b.running[0], ran())
		}
	}
	b.is.True(s.refusing.share(b.now) < 0.05)
	b.is.True(at["s0"] > rounds/4) // one of three, once it is tried again
}

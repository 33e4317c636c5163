package rollout

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"github.com/goldcrestspan/goldcrestspan/bundle"
	"github.com/goldcrestspan/goldcrestspan/standin"
)

// faultMixSeeds is how many random sequences of faults the test runs.
const faultMixSeeds = 25

// Random faults of the store, of hosts and of links while operators submit
// changes. No host may revert, no generation may have two contents, reported
// outcomes must be true, and all hosts must converge on the head.
func TestRandomFaults(t *testing.T) {
	seeds := uint64(faultMixSeeds)
	if *fullModel {
		seeds *= 40
	}
	for seed := range seeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { runFaultMix(t, seed) })
		})
	}
}

type faultMix struct {
	*fleet
	random   *rand.Rand
	faults   standin.PlatformFaults
	reported map[bundle.Ref]bool // reported outcome of a submit: accepted or not
}

func runFaultMix(t *testing.T, seed uint64) {
	m := &faultMix{fleet: newFleet(t, 6, 3), random: rand.New(rand.NewPCG(seed, 1)), reported: map[bundle.Ref]bool{}}
	m.accept(testDocuments(20), "first")
	m.startAll()
	defer m.stopAll()
	outcomes := make(chan func(), 100)
	submits := 0
	for range 60 {
		m.injectFault()
		if m.random.IntN(3) == 0 {
			submits++
			routes := 5 + m.random.IntN(30)
			go func() { outcomes <- m.submitChange(routes) }()
		}
		time.Sleep(time.Duration(m.random.Int64N(int64(2 * time.Second))))
	}
	m.clearFaults()
	for range submits {
		(<-outcomes)()
	}
	last := m.accept(testDocuments(3), "last")
	m.waitActive(20*time.Second, last, len(m.hosts))
	m.checkHosts()
	m.checkReported()
}

// injectFault starts or ends a random fault of the store, a host or a link.
func (m *faultMix) injectFault() {
	a, b := m.hosts[m.random.IntN(len(m.hosts))], m.hosts[m.random.IntN(len(m.hosts))]
	switch m.random.IntN(9) {
	case 0:
		m.faults.Down = !m.faults.Down
	case 1:
		m.faults.Delay = time.Duration(m.random.IntN(2)) * 700 * time.Millisecond
	case 2:
		m.faults.ReadLag = time.Duration(m.random.IntN(2)) * 10 * time.Second
	case 3:
		m.faults.LoseReplies = m.random.IntN(3)
	case 4:
		m.faults.LoseWrites = m.random.IntN(3)
	case 5:
		a.paused.Store(!a.paused.Load())
	case 6:
		m.checkBeforeRestart(a)
		a.stop()
		a.start(m.store)
	case 7:
		m.setBlocked(a.address, b.address, true)
	case 8:
		m.setBlocked(a.address, b.address, false)
	}
	m.store.SetFaults(m.faults)
}

// checkBeforeRestart checks the generations of a host before a restart clears
// them.
func (m *faultMix) checkBeforeRestart(host *fleetHost) {
	is.New(m.t).NoErr(checkIncreasing(host.generations()))
}

func checkIncreasing(generations []uint64) error {
	for i := 1; i < len(generations); i++ {
		if generations[i] <= generations[i-1] {
			return errors.Errorf("generation %d was followed by generation %d", generations[i-1], generations[i])
		}
	}
	return nil
}

func (f *fleet) setBlocked(from, to string, blocked bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.blocked[[2]string{from, to}] = blocked
}

func (m *faultMix) clearFaults() {
	m.mu.Lock()
	clear(m.blocked)
	m.mu.Unlock()
	m.store.SetFaults(standin.PlatformFaults{})
	for _, host := range m.hosts {
		host.paused.Store(false)
	}
}

// submitChange submits a change and returns a function that records the reported
// outcome.
func (m *faultMix) submitChange(routes int) func() {
	nothing := func() {}
	ctx, cancel := context.WithTimeout(m.ctx, 15*time.Second)
	defer cancel()
	change, err := Propose(ctx, m.store, testDocuments(routes), bundle.Proposal{Author: "ana", Reason: fmt.Sprint("routes ", routes)})
	if err != nil {
		return nothing
	}
	change = change.Sign(m.keys.ana).Sign(m.keys.marko)
	ref, _, err := refOf(change.Signed)
	if err != nil {
		return nothing
	}
	_, err = Submit(ctx, m.store, m.keys.signers, change)
	var conflict *ConflictError
	switch {
	case err == nil:
		return func() { m.reported[ref] = true }
	case errors.As(err, &conflict):
		return func() { m.reported[ref] = false }
	default:
		return nothing
	}
}

func (m *faultMix) checkHosts() {
	is := is.New(m.t)
	for _, host := range m.hosts {
		is.NoErr(checkIncreasing(host.generations()))
		is.Equal(host.agent.Alarm(), "") // no conflicting content was seen
	}
}

// checkReported compares the reported outcomes with the history.
func (m *faultMix) checkReported() {
	is := is.New(m.t)
	history, err := History(m.ctx, m.store, 1000)
	is.NoErr(err)
	accepted := make(map[bundle.Ref]bool)
	for _, a := range history {
		accepted[a.Ref] = true
	}
	for ref, reported := range m.reported {
		// Identical changes of two operators are one change with one outcome.
		is.Equal(reported, accepted[ref])
	}
	m.t.Logf("%d generations, %d reported outcomes", len(history), len(m.reported))
}

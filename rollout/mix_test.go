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

// mixSeeds are the mixes of faults that each run of the tests goes through.
const mixSeeds = 25

// Any two faults come together: the store is down, slow or stale, loses
// replies; hosts pause, restart and lose each other, one way too; two operators
// submit all the while. No host goes back, no generation has two contents, what
// operators were told is true, and in the end all hosts have the head.
func TestMixesOfFaults(t *testing.T) {
	seeds := uint64(mixSeeds)
	if *fullModel {
		seeds *= 40
	}
	for seed := range seeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { runMix(t, seed) })
		})
	}
}

type mix struct {
	*fleet
	random *rand.Rand
	faults standin.PlatformFaults
	told   map[bundle.Ref]bool // accepted or refused
}

func runMix(t *testing.T, seed uint64) {
	m := &mix{fleet: newFleet(t, 6, 3), random: rand.New(rand.NewPCG(seed, 1)), told: map[bundle.Ref]bool{}}
	m.accept(testDocuments(20), "first")
	m.startAll()
	defer m.stopAll()
	outcomes := make(chan func(), 100)
	submits := 0
	for range 60 {
		m.disturb()
		if m.random.IntN(3) == 0 {
			submits++
			routes := 5 + m.random.IntN(30)
			go func() { outcomes <- m.tryChange(routes) }()
		}
		time.Sleep(time.Duration(m.random.Int64N(int64(2 * time.Second))))
	}
	m.heal()
	for range submits {
		(<-outcomes)()
	}
	last := m.accept(testDocuments(3), "last")
	m.within(20*time.Second, last, len(m.hosts))
	m.checkHosts()
	m.checkTold()
}

// disturb changes one thing about the store or a host.
func (m *mix) disturb() {
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
		m.keep(a)
		a.stop()
		a.start(m.store)
	case 7:
		m.setCut(a.address, b.address, true)
	case 8:
		m.setCut(a.address, b.address, false)
	}
	m.store.SetFaults(m.faults)
}

// keep checks the life of a host that is about to be restarted.
func (m *mix) keep(host *fleetHost) {
	is.New(m.t).NoErr(rising(host.generations()))
}

func rising(generations []uint64) error {
	for i := 1; i < len(generations); i++ {
		if generations[i] <= generations[i-1] {
			return errors.Errorf("a host went from generation %d to %d", generations[i-1], generations[i])
		}
	}
	return nil
}

func (f *fleet) setCut(from, to string, cut bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cut[[2]string{from, to}] = cut
}

func (m *mix) heal() {
	m.mu.Lock()
	clear(m.cut)
	m.mu.Unlock()
	m.store.SetFaults(standin.PlatformFaults{})
	for _, host := range m.hosts {
		host.paused.Store(false)
	}
}

// tryChange submits and returns how to note what the operator was told.
func (m *mix) tryChange(routes int) func() {
	nothing := func() {}
	ctx, cancel := context.WithTimeout(m.ctx, 15*time.Second)
	defer cancel()
	change, err := Propose(ctx, m.store, testDocuments(routes), bundle.Proposal{Author: "ana", Reason: fmt.Sprint("routes ", routes)})
	if err != nil {
		return nothing
	}
	change = change.Sign(m.people.ana).Sign(m.people.marko)
	ref, _, err := refOf(change.Signed)
	if err != nil {
		return nothing
	}
	_, err = Submit(ctx, m.store, m.people.signers, change)
	var conflict *ConflictError
	switch {
	case err == nil:
		return func() { m.told[ref] = true }
	case errors.As(err, &conflict):
		return func() { m.told[ref] = false }
	default:
		return nothing
	}
}

func (m *mix) checkHosts() {
	is := is.New(m.t)
	for _, host := range m.hosts {
		is.NoErr(rising(host.generations()))
		is.Equal(host.agent.Alarm(), "") // no second content of a generation was seen
	}
}

// checkTold compares what operators were told with the history.
func (m *mix) checkTold() {
	is := is.New(m.t)
	history, err := History(m.ctx, m.store, 1000)
	is.NoErr(err)
	accepted := make(map[bundle.Ref]bool)
	for _, a := range history {
		accepted[a.Ref] = true
	}
	for ref, told := range m.told {
		// Two operators may make the very same change: one of them is then told
		// of the other's success.
		is.Equal(told, accepted[ref])
	}
	m.t.Logf("%d generations, %d operators told", len(history), len(m.told))
}

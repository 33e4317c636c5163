package entry

import (
	"encoding/json"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/goldcrestspan/goldcrestspan/ident"
	"github.com/goldcrestspan/goldcrestspan/member"
)

func testRand() *rand.Rand { return rand.New(rand.NewPCG(3, 4)) }

func TestLeavingAndDeadHostsAreOutAtOnce(t *testing.T) {
	is := is.New(t)
	view := &member.View{}
	for i, state := range []member.State{member.StateAlive, member.StateSuspect, member.StateLeaving, member.StateDead} {
		view.Hosts = append(view.Hosts, member.Host{ID: ident.HostID(address(i)), CallerAddress: address(i), State: state})
	}
	advice := NewAdvisor().Advise(view, AdviceRequest{Key: "x"}, keepAdvice, testRand())
	is.Equal(len(advice.Hosts), 2)
	for _, host := range advice.Hosts {
		is.True(host.Address == address(0) || host.Address == address(1))
	}
	none := NewAdvisor().Advise(&member.View{}, AdviceRequest{Key: "x"}, keepAdvice, testRand())
	is.Equal(len(none.Hosts), 0)
}

// A stopping host waits as long as callers may keep advice; an answer kept
// for longer would reach it after it has gone.
func TestAdviceIsNeverKeptLongerThanThePolicySays(t *testing.T) {
	is := is.New(t)
	f := newFleet(1, 3, 0, 0, 1)
	rnd := testRand()
	seen := map[int64]bool{}
	for range 200 {
		ms := NewAdvisor().Advise(f.view, AdviceRequest{Key: "x"}, keepAdvice, rnd).TTLMillis
		is.True(ms <= keepAdvice.Milliseconds() && ms >= keepAdvice.Milliseconds()*3/4)
		seen[ms] = true
	}
	is.True(len(seen) > 150)
}

func TestAdviceNamesFewHostsOfALargeFleet(t *testing.T) {
	is := is.New(t)
	f := newFleet(1, 200, 0, 0, 1)
	advice := NewAdvisor().Advise(f.view, AdviceRequest{Key: "x", Region: "jadran", Zone: zone(1)}, keepAdvice, testRand())
	is.Equal(len(advice.Hosts), mostHosts)
	again := NewAdvisor().Advise(f.view, AdviceRequest{Key: "x", Region: "jadran", Zone: zone(1)}, keepAdvice, testRand())
	is.Equal(advice.Hosts, again.Hosts) // the same on every host
	text, err := json.Marshal(advice)
	is.NoErr(err)
	var back Advice
	is.NoErr(json.Unmarshal(text, &back))
	is.Equal(back, advice)
}

// A host reports nonsense. It must not lose its callers at once.
func TestOneStepIsBounded(t *testing.T) {
	is := is.New(t)
	f := newFleet(1, 3, 0, 0, 1)
	f.view.Hosts[0].LoadPermille = 1 << 31
	a := NewAdvisor()
	for i := range 10 {
		a.UpdateLoads(start.Add(time.Duration(i)*time.Second), f.view)
		a.UpdateLoads(start.Add(time.Duration(i)*time.Second), f.view) // the same second counts once
	}
	is.True(a.factor(f.view.Hosts[0].ID) > 0.73)
}

func BenchmarkAdviseOverTargetFleet(b *testing.B) {
	f := newFleet(1, 3400, 0, 0, 1)
	a := NewAdvisor()
	rnd := testRand()
	b.ReportAllocs()
	for b.Loop() {
		a.Advise(f.view, AdviceRequest{Key: "x", Region: "jadran", Zone: zone(1)}, keepAdvice, rnd)
	}
}

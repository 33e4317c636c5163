package home

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

const maxAllocsPerLeg = 6 // leg, attempt and the growth of maps

// host is the homes of one entry host.
func host(services, servers int) []*bench {
	homes := make([]*bench, services)
	for i := range homes {
		b := &bench{home: New(config(), 0), now: start}
		for s := range servers {
			b.servers = append(b.servers, ServerSpec{Name: fmt.Sprintf("svc%04d-s%d", i, s), Incarnation: 1, SameZone: s == 0})
		}
		b.home.SetServers(b.now, b.servers, nil)
		homes[i] = b
	}
	return homes
}

// serve takes a leg through one home: submit, start, answer.
func (b *bench) serve(acts []Action) []Action {
	b.next++
	b.now = b.now.Add(time.Millisecond)
	acts = b.home.Submit(b.now, Leg{ID: b.next, Class: interactive, Deadline: b.now.Add(time.Second), Idempotent: true, Bytes: 100}, acts[:0])
	attempt := acts[0].Attempt
	b.now = b.now.Add(5 * time.Millisecond)
	return b.home.Finish(b.now, attempt, ran(), acts[:0])
}

func TestPlacementAllocatesNothing(t *testing.T) {
	is := is.New(t)
	b := newBench(t, config(), 7)
	b.practise(100)
	c := &b.home.classes[interactive]
	l := &leg{Leg: Leg{Deadline: b.now.Add(time.Second)}}
	allocs := testing.AllocsPerRun(1000, func() { b.home.place(c, l, 0, b.now) })
	is.Equal(allocs, 0.0)
}

func TestAllocationsOfALegAreBounded(t *testing.T) {
	is := is.New(t)
	b := host(1, 2)[0]
	acts := make([]Action, 0, 8)
	for range 1000 {
		acts = b.serve(acts)
	}
	allocs := testing.AllocsPerRun(5000, func() { acts = b.serve(acts) })
	is.True(allocs <= maxAllocsPerLeg)
}

// BenchmarkPlacement is one placement decision among the servers of a service.
func BenchmarkPlacement(b *testing.B) {
	for _, servers := range []int{2, 7} {
		b.Run(fmt.Sprintf("servers=%d", servers), func(b *testing.B) {
			home := host(50, servers)[0]
			acts := make([]Action, 0, 8)
			for range 1000 {
				acts = home.serve(acts)
			}
			c := &home.home.classes[interactive]
			l := &leg{Leg: Leg{Deadline: home.now.Add(time.Second)}}
			b.ReportAllocs()
			for b.Loop() {
				home.home.place(c, l, 0, home.now)
			}
		})
	}
}

// BenchmarkLeg is a leg's whole way through the homes of a host that knows
// many services.
func BenchmarkLeg(b *testing.B) {
	for _, services := range []int{50, 500, 5000} {
		b.Run(fmt.Sprintf("services=%d", services), func(b *testing.B) {
			homes := host(services, 2)
			acts := make([]Action, 0, 8)
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				acts = homes[i%services].serve(acts)
				i++
			}
		})
	}
}

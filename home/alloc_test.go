package home

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

const maxAllocsPerLeg = 6 // leg, attempt and map growth

// newHomes returns the homes of one entry host.
func newHomes(services, servers int) []*harness {
	homes := make([]*harness, services)
	for i := range homes {
		h := &harness{home: New(config(), 0), now: start}
		for s := range servers {
			h.servers = append(h.servers, ServerSpec{Name: fmt.Sprintf("svc%04d-s%d", i, s), Incarnation: 1, SameZone: s == 0})
		}
		h.home.SetServers(h.now, h.servers, nil)
		homes[i] = h
	}
	return homes
}

// runLeg submits a leg, which starts at once, and answers it.
func (h *harness) runLeg(acts []Action) []Action {
	h.lastID++
	h.now = h.now.Add(time.Millisecond)
	acts = h.home.Submit(h.now, Leg{ID: h.lastID, Class: interactive, Deadline: h.now.Add(time.Second), Idempotent: true, Bytes: 100}, acts[:0])
	attempt := acts[0].Attempt
	h.now = h.now.Add(5 * time.Millisecond)
	return h.home.Finish(h.now, attempt, ran(), acts[:0])
}

func TestPlacementDoesNotAllocate(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, config(), 7)
	h.runLegs(100)
	c := &h.home.classes[interactive]
	l := &leg{Leg: Leg{Deadline: h.now.Add(time.Second)}}
	allocs := testing.AllocsPerRun(1000, func() { h.home.place(c, l, 0, h.now) })
	is.Equal(allocs, 0.0)
}

func TestAllocationsPerLeg(t *testing.T) {
	is := is.New(t)
	h := newHomes(1, 2)[0]
	acts := make([]Action, 0, 8)
	for range 1000 {
		acts = h.runLeg(acts)
	}
	allocs := testing.AllocsPerRun(5000, func() { acts = h.runLeg(acts) })
	is.True(allocs <= maxAllocsPerLeg)
}

// BenchmarkPlacement measures one placement decision among the servers of a service.
func BenchmarkPlacement(b *testing.B) {
	for _, servers := range []int{2, 7} {
		b.Run(fmt.Sprintf("servers=%d", servers), func(b *testing.B) {
			h := newHomes(50, servers)[0]
			acts := make([]Action, 0, 8)
			for range 1000 {
				acts = h.runLeg(acts)
			}
			c := &h.home.classes[interactive]
			l := &leg{Leg: Leg{Deadline: h.now.Add(time.Second)}}
			b.ReportAllocs()
			for b.Loop() {
				h.home.place(c, l, 0, h.now)
			}
		})
	}
}

// BenchmarkLeg measures a leg from submit to answer on a host with many services.
func BenchmarkLeg(b *testing.B) {
	for _, services := range []int{50, 500, 5000} {
		b.Run(fmt.Sprintf("services=%d", services), func(b *testing.B) {
			homes := newHomes(services, 2)
			acts := make([]Action, 0, 8)
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				acts = homes[i%services].runLeg(acts)
				i++
			}
		})
	}
}

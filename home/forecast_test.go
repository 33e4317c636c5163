package home

import (
	"testing"
	"time"
)

// Guards against a forecast that ignores the queue, or stays high when slots are free.
func TestForecastFollowsTheQueue(t *testing.T) {
	h := newHarness(t, config(), 1)
	h.disableProbes()
	h.runLegs(200)
	h.is.Equal(h.home.Forecast(h.now, interactive).QueueTime, time.Duration(0))
	typical := h.home.classes[interactive].ownQuantiles.typical
	h.is.True(h.home.Forecast(h.now, interactive).ServiceTime >= typical)
	for range config().SlotsPerServer {
		h.submit(interactive, time.Second, true)
	}
	before := h.home.Forecast(h.now, interactive).QueueTime
	h.is.True(before > 0) // the slots are taken
	for range 5 {
		leg := h.newLeg(interactive, time.Second)
		leg.SoftDeadline = h.now.Add(500 * time.Millisecond)
		h.submitLeg(leg)
		wait := h.home.Forecast(h.now, interactive).QueueTime
		h.is.True(wait > before)
		before = wait
	}
	for len(h.running) > 0 {
		h.finish(h.running[0], ran())
	}
	h.is.Equal(h.home.Forecast(h.now, interactive).QueueTime, time.Duration(0))
}

// Guards against a forecast from the past start rate after all servers of a service
// stopped answering.
func TestForecastGrowsWhileNothingStarts(t *testing.T) {
	h := newHarness(t, config(), 1)
	h.disableProbes()
	h.runLegs(200)
	for range 6 {
		leg := h.newLeg(interactive, 10*time.Second)
		leg.SoftDeadline = h.now.Add(8 * time.Second)
		h.submitLeg(leg)
	}
	h.finish(h.running[0], ran()) // starts one leg while others wait
	h.finish(h.running[0], ran())
	before := h.home.Forecast(h.now, interactive).QueueTime
	h.now = h.now.Add(400 * time.Millisecond)
	h.is.True(h.home.Forecast(h.now, interactive).QueueTime > before+400*time.Millisecond)
}

// Guards against sending queries to a service whose servers all stopped answering, and
// against never probing it again.
func TestServiceWithOverdueServersIsUnresponsive(t *testing.T) {
	h := newHarness(t, config(), 2)
	h.disableProbes()
	h.runLegs(200)
	for range 4 {
		h.submit(interactive, 10*time.Second, true)
	}
	h.is.True(!h.home.Forecast(h.now, interactive).Unresponsive) // they have just started
	h.now = h.now.Add(2 * unresponsiveAfter)
	h.is.True(h.home.Forecast(h.now, interactive).Unresponsive)
	h.finish(h.running[0], ran())
	h.is.True(!h.home.Forecast(h.now, interactive).Unresponsive) // one of them answers
}

func TestServiceWithoutServersIsUnresponsive(t *testing.T) {
	h := newHarness(t, config(), 0)
	h.is.True(h.home.Forecast(h.now, interactive).Unresponsive)
}

// Guards against taking a service for unresponsive while the service times of its class
// aren't known.
func TestServiceWithUnknownTimesIsNotUnresponsive(t *testing.T) {
	h := newHarness(t, config(), 1)
	h.disableProbes()
	h.submit(interactive, 10*time.Second, true)
	h.submit(interactive, 10*time.Second, true)
	h.now = h.now.Add(4 * unresponsiveAfter)
	h.is.True(!h.home.Forecast(h.now, interactive).Unresponsive)
}

// BenchmarkForecast measures the forecast, which is made for each shard of each search.
func BenchmarkForecast(b *testing.B) {
	h := newHomes(1, 2)[0]
	var acts []Action
	for range 200 {
		acts = h.runLeg(acts)
	}
	b.ReportAllocs()
	for b.Loop() {
		h.home.Forecast(h.now, interactive)
	}
}

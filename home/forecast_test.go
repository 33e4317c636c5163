package home

import (
	"testing"
	"time"
)

// Searches come faster than a service answers them. Whoever asks must hear of the
// queue before the next one joins it: the forecast grows with each that waits, and
// is nothing as soon as a slot is free.
func TestForecastFollowsTheQueue(t *testing.T) {
	b := newBench(t, config(), 1)
	b.withoutProbes()
	b.practise(200)
	b.is.Equal(b.home.Forecast(b.now, interactive).QueueTime, time.Duration(0))
	typical := b.home.classes[interactive].own.typical
	b.is.True(b.home.Forecast(b.now, interactive).ServiceTime >= typical)
	for range config().SlotsPerServer {
		b.submit(interactive, time.Second, true)
	}
	before := b.home.Forecast(b.now, interactive).QueueTime
	b.is.True(before > 0) // the slots are taken
	for range 5 {
		leg := b.nextLeg(interactive, time.Second)
		leg.SoftDeadline = b.now.Add(500 * time.Millisecond)
		b.take(leg)
		wait := b.home.Forecast(b.now, interactive).QueueTime
		b.is.True(wait > before)
		before = wait
	}
	for len(b.running) > 0 {
		b.finish(b.running[0], ran())
	}
	b.is.Equal(b.home.Forecast(b.now, interactive).QueueTime, time.Duration(0))
}

// All servers of a service fall silent with their slots full: nothing starts any
// more, so no start tells that the pace is gone. The forecast must grow with the
// silence, or queries are sent into a queue that does not move.
func TestForecastGrowsWhileNothingStarts(t *testing.T) {
	b := newBench(t, config(), 1)
	b.withoutProbes()
	b.practise(200)
	for range 6 {
		leg := b.nextLeg(interactive, 10*time.Second)
		leg.SoftDeadline = b.now.Add(8 * time.Second)
		b.take(leg)
	}
	b.finish(b.running[0], ran()) // a start that leaves others waiting
	b.finish(b.running[0], ran())
	before := b.home.Forecast(b.now, interactive).QueueTime
	b.now = b.now.Add(400 * time.Millisecond)
	b.is.True(b.home.Forecast(b.now, interactive).QueueTime > before+400*time.Millisecond)
}

// Every server of a service goes dark with requests in hand. Searches that need
// it must hear so before they use the slots of nineteen other services, and the
// first one after a server may be tried again must be let in to find out.
func TestServiceWhoseServersAllOweAnswersIsSilent(t *testing.T) {
	b := newBench(t, config(), 2)
	b.withoutProbes()
	b.practise(200)
	for range 4 {
		b.submit(interactive, 10*time.Second, true)
	}
	b.is.True(!b.home.Forecast(b.now, interactive).Unresponsive) // they have only begun
	b.now = b.now.Add(2 * silentAfter)
	b.is.True(b.home.Forecast(b.now, interactive).Unresponsive)
	b.finish(b.running[0], ran())
	b.is.True(!b.home.Forecast(b.now, interactive).Unresponsive) // one of them answers
}

// A service has no server at all: that is known before anything is sent.
func TestServiceWithoutServersIsSilent(t *testing.T) {
	b := newBench(t, config(), 0)
	b.is.True(b.home.Forecast(b.now, interactive).Unresponsive)
}

// Requests of a new class take seconds, and nothing is known of it yet. Its
// service must not be taken for silent because nothing was answered so far.
func TestServiceOfUnknownTimesIsNotSilent(t *testing.T) {
	b := newBench(t, config(), 1)
	b.withoutProbes()
	b.submit(interactive, 10*time.Second, true)
	b.submit(interactive, 10*time.Second, true)
	b.now = b.now.Add(4 * silentAfter)
	b.is.True(!b.home.Forecast(b.now, interactive).Unresponsive)
}

// BenchmarkForecast is asked once for each shard of each search, before its legs.
func BenchmarkForecast(b *testing.B) {
	h := host(1, 2)[0]
	var acts []Action
	for range 200 {
		acts = h.serve(acts)
	}
	b.ReportAllocs()
	for b.Loop() {
		h.home.Forecast(h.now, interactive)
	}
}

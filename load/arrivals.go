package load

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"
)

// request is one arrival, the same for both sides of a comparison.
type request struct {
	stream Stream
	caller string
	body   []byte
	// intended is when an open loop sends it; times count from here, so that
	// a late sender hides nothing (coordinated omission).
	intended time.Time
	wait     time.Duration
	// key spreads bookings over the shards.
	key uint64
}

func (r request) deadline() time.Time { return r.intended.Add(r.wait) }

// row is the report's row that the request counts in.
func (r request) row() string {
	if r.stream.Booking {
		return classBooking
	}
	return r.stream.Class
}

// arrivals draws independent Poisson processes, merged into one.
type arrivals struct {
	shape  Shape
	random *rand.Rand
	rates  []float64 // by group
	total  float64
	made   int
}

func newArrivals(shape Shape, share float64, seed uint64) *arrivals {
	a := &arrivals{shape: shape, random: rand.New(rand.NewPCG(seed, 1))}
	for _, group := range shape.Groups {
		rate := shape.rate(group, share)
		a.rates = append(a.rates, rate)
		a.total += rate
	}
	return a
}

// run hands over every arrival at its time, until the run ends.
func (a *arrivals) run(ctx context.Context, start time.Time, length time.Duration, send func(request)) {
	next := start
	for {
		next = next.Add(time.Duration(a.random.ExpFloat64() / a.total * float64(time.Second)))
		if next.Sub(start) >= length || ctx.Err() != nil {
			return
		}
		r := a.draw(next)
		time.Sleep(time.Until(next))
		send(r)
	}
}

func (a *arrivals) draw(at time.Time) request {
	stream := a.drawStream(a.shape.Groups[drawIndex(a.random, a.rates)].Index)
	key := a.random.Uint64()
	a.made++
	return request{
		stream:   stream,
		caller:   a.drawCaller(stream.Role),
		body:     fmt.Appendf(nil, `{"key":"item-%016x","n":%d}`, key, a.made),
		intended: at,
		wait:     a.shape.wait(stream.Class),
		key:      key,
	}
}

func (a *arrivals) drawStream(index string) Stream {
	var streams []Stream
	var shares []float64
	for _, stream := range a.shape.Streams {
		if stream.Index == index {
			streams = append(streams, stream)
			shares = append(shares, stream.Share)
		}
	}
	return streams[drawIndex(a.random, shares)]
}

// drawCaller takes the i-th caller of a role with a weight of 1/i: a few
// callers send most of the requests.
func (a *arrivals) drawCaller(role string) string {
	weights := make([]float64, a.shape.CallersOfRole[role])
	for i := range weights {
		weights[i] = 1 / float64(i+1)
	}
	return callerName(role, drawIndex(a.random, weights))
}

// drawIndex draws a position by weight.
func drawIndex(random *rand.Rand, weights []float64) int {
	total := 0.0
	for _, weight := range weights {
		total += weight
	}
	at := random.Float64() * total
	for i, weight := range weights {
		if at -= weight; at < 0 {
			return i
		}
	}
	return len(weights) - 1
}

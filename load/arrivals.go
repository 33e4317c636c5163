package load

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"
)

// request is one arrival; the entry hosts and the direct callers get the same ones.
type request struct {
	stream Stream
	caller string
	body   []byte
	// intended is the scheduled send time. Latencies count from it, so that a
	// delayed sender does not hide them (coordinated omission).
	intended time.Time
	timeout  time.Duration
	// key selects the shard of a booking.
	key uint64
}

func (r request) deadline() time.Time { return r.intended.Add(r.timeout) }

// rowName returns the row of the report in which the request is counted.
func (r request) rowName() string {
	if r.stream.Booking {
		return classBooking
	}
	return r.stream.Class
}

// arrivals generates independent Poisson processes, one for each group, merged
// into one.
type arrivals struct {
	shape  Shape
	random *rand.Rand
	rates  []float64 // requests per second, by group
	total  float64
	count  int
}

func newArrivals(shape Shape, utilization float64, seed uint64) *arrivals {
	a := &arrivals{shape: shape, random: rand.New(rand.NewPCG(seed, 1))}
	for _, group := range shape.Groups {
		arrivalRate := shape.arrivalRate(group, utilization)
		a.rates = append(a.rates, arrivalRate)
		a.total += arrivalRate
	}
	return a
}

// run calls send for every arrival at its time, until the duration has passed or
// ctx is done.
func (a *arrivals) run(ctx context.Context, start time.Time, duration time.Duration, send func(request)) {
	next := start
	for {
		next = next.Add(time.Duration(a.random.ExpFloat64() / a.total * float64(time.Second)))
		if next.Sub(start) >= duration || ctx.Err() != nil {
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
	a.count++
	return request{
		stream:   stream,
		caller:   a.drawCaller(stream.Role),
		body:     fmt.Appendf(nil, `{"key":"item-%016x","n":%d}`, key, a.count),
		intended: at,
		timeout:  a.shape.timeout(stream.Class),
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

// drawCaller picks the i-th caller of a role with weight 1/i, so that a few
// callers send most of the requests.
func (a *arrivals) drawCaller(role string) string {
	weights := make([]float64, a.shape.CallersOfRole[role])
	for i := range weights {
		weights[i] = 1 / float64(i+1)
	}
	return callerName(role, drawIndex(a.random, weights))
}

// drawIndex returns a random index, distributed by the weights.
func drawIndex(random *rand.Rand, weights []float64) int {
	total := 0.0
	for _, weight := range weights {
		total += weight
	}
	remaining := random.Float64() * total
	for i, weight := range weights {
		if remaining -= weight; remaining < 0 {
			return i
		}
	}
	return len(weights) - 1
}

package home

import (
	"math"
	"time"
)

const (
	// observedHalfLife is how fast observations of a server are forgotten, so
	// that a server that was slow is tried again within seconds of recovering.
	observedHalfLife = 2 * time.Second
	// observedMax bounds the weight of the past: the mean follows a change
	// within as many requests.
	observedMax = 32
	// priorWeight is how many observations the service's mean counts for at a
	// server of which little is known.
	priorWeight = 1
	// knownCount is the weight of completions from which a mean says something.
	knownCount = 3
)

// meanTime estimates a mean service time from completed requests and the ages
// of unfinished ones: total time divided by completions. A server that stops
// answering looks slower with every moment, without a completion.
type meanTime struct {
	total float64 // seconds
	count float64 // completions
	at    time.Time
}

// observe adds time spent; completed is false for a request that was
// cancelled, of which only the time so far is known.
func (m *meanTime) observe(now time.Time, spent time.Duration, completed bool) {
	m.decay(now)
	m.total += spent.Seconds()
	if completed {
		m.count++
	}
	if m.count > observedMax {
		m.total *= observedMax / m.count
		m.count = observedMax
	}
}

func (m *meanTime) decay(now time.Time) {
	f := m.decayed(now)
	m.total *= f
	m.count *= f
	m.at = now
}

func (m *meanTime) decayed(now time.Time) float64 {
	if m.at.IsZero() || !now.After(m.at) {
		return 1
	}
	return math.Exp2(-float64(now.Sub(m.at)) / float64(observedHalfLife))
}

// known reports whether there are enough recent completions to judge others by.
func (m *meanTime) known(now time.Time) bool { return m.count*m.decayed(now) >= knownCount }

// mean is the estimate in seconds, given the summed ages of requests that
// still run and the estimate to lean on without observations.
func (m *meanTime) mean(now time.Time, ages, prior float64) float64 {
	f := m.decayed(now)
	return (m.total*f + ages + prior*priorWeight) / (m.count*f + priorWeight)
}

// Buckets of a histogram: bucketsPerOctave to each doubling from bucketLeast.
const (
	bucketLeast      = 100 * time.Microsecond
	bucketsPerOctave = 8
	bucketCount      = 20 * bucketsPerOctave // up to 100 s
	// histogramMax is the number of samples at which all are halved, so that
	// the quantiles follow the last few thousand requests.
	histogramMax = 8192
	// histogramLeast is the number of samples below which a quantile says
	// nothing yet.
	histogramLeast = 50
)

// histogram holds service times of a class at healthy servers.
type histogram struct {
	buckets [bucketCount]float64
	total   float64
}

func (h *histogram) add(d time.Duration) {
	h.buckets[bucketOf(d)]++
	h.total++
	if h.total < histogramMax {
		return
	}
	for i := range h.buckets {
		h.buckets[i] /= 2
	}
	h.total /= 2
}

func bucketOf(d time.Duration) int {
	if d <= bucketLeast {
		return 0
	}
	i := int(bucketsPerOctave * math.Log2(float64(d)/float64(bucketLeast)))
	return min(i, bucketCount-1)
}

// quantile is the upper end of the bucket that holds it; false with too few
// samples.
func (h *histogram) quantile(q float64) (time.Duration, bool) {
	if h.total < histogramLeast {
		return 0, false
	}
	sum := 0.0
	for i, n := range h.buckets {
		sum += n
		if sum >= q*h.total {
			return bucketEnd(i), true
		}
	}
	return bucketEnd(bucketCount - 1), true
}

func bucketEnd(i int) time.Duration {
	return time.Duration(float64(bucketLeast) * math.Exp2(float64(i+1)/bucketsPerOctave))
}

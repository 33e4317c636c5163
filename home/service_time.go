package home

import (
	"math"
	"time"
)

const (
	// serviceTimeHalfLife is the half-life of the observations of a server: a server
	// that was slow is tried again within seconds of recovering.
	serviceTimeHalfLife = 2 * time.Second
	// maxServerWeight and maxClassWeight cap the weight of past observations, so that a
	// mean follows a change within as many requests. Where a server turns 5 to 12 times
	// slower, each leg sent to it before that shows is late, and one in 20 legs decides a
	// search; the mean of a class serves as a measure and needs less noise.
	maxServerWeight = 6
	maxClassWeight  = 32
	// priorWeight is the weight of the service's mean at a server, in observations.
	priorWeight = 1
	// minMeanWeight is the weight from which a mean is used to judge other servers.
	minMeanWeight = 3
)

// meanTime estimates a mean service time as total time divided by completions. Ages of
// unfinished requests can be added to the total, so that a server that stops answering
// looks slower without any completion.
type meanTime struct {
	total float64 // seconds
	count float64 // completions
	at    time.Time
}

// add adds a request's time, with past observations weighing at most maxWeight. completed
// is false for a cancelled request, whose age is only a lower bound.
func (m *meanTime) add(now time.Time, spent time.Duration, completed bool, maxWeight float64) {
	m.decay(now)
	m.total += spent.Seconds()
	if completed {
		m.count++
	}
	if m.count > maxWeight {
		m.total *= maxWeight / m.count
		m.count = maxWeight
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
	return math.Exp2(-float64(now.Sub(m.at)) / float64(serviceTimeHalfLife))
}

// known reports whether there are enough recent completions to judge other servers by.
func (m *meanTime) known(now time.Time) bool { return m.count*m.decayed(now) >= minMeanWeight }

// mean returns the estimate in seconds, given the total age of running requests and the
// prior, in seconds.
func (m *meanTime) mean(now time.Time, ages, prior float64) float64 {
	f := m.decayed(now)
	return (m.total*f + ages + prior*priorWeight) / (m.count*f + priorWeight)
}

// Histogram buckets are exponential: bucketsPerOctave for each doubling from minBucket.
const (
	minBucket        = 100 * time.Microsecond
	bucketsPerOctave = 8
	bucketCount      = 20 * bucketsPerOctave // up to 100 s
	// maxHistogramSamples is the number of samples at which all counts are halved, so
	// that the quantiles follow recent requests.
	maxHistogramSamples = 8192
	// minHistogramSamples is the number of samples below which no quantile is reported.
	minHistogramSamples = 50
)

// histogram holds the service times of a class at healthy servers.
type histogram struct {
	buckets [bucketCount]float64
	total   float64
}

func (h *histogram) add(d time.Duration) {
	h.buckets[bucketIndex(d)]++
	h.total++
	if h.total < maxHistogramSamples {
		return
	}
	for i := range h.buckets {
		h.buckets[i] /= 2
	}
	h.total /= 2
}

func bucketIndex(d time.Duration) int {
	if d <= minBucket {
		return 0
	}
	i := int(bucketsPerOctave * math.Log2(float64(d)/float64(minBucket)))
	return min(i, bucketCount-1)
}

// quantile returns the upper bound of the bucket that holds the quantile, and false
// with too few samples.
func (h *histogram) quantile(q float64) (time.Duration, bool) {
	if h.total < minHistogramSamples {
		return 0, false
	}
	sum := 0.0
	for i, n := range h.buckets {
		sum += n
		if sum >= q*h.total {
			return bucketUpperBound(i), true
		}
	}
	return bucketUpperBound(bucketCount - 1), true
}

func bucketUpperBound(i int) time.Duration {
	return time.Duration(float64(minBucket) * math.Exp2(float64(i+1)/bucketsPerOctave))
}

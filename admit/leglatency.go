package admit

import (
	"math"
	"time"

	"github.com/goldcrestspan/goldcrestspan/result"
)

const (
	// Histogram buckets grow geometrically from firstBucketBound up to 33 s,
	// past the longest deadline. A quantile is at most 25% off.
	latencyBuckets   = 54
	firstBucketBound = 250 * time.Microsecond
	bucketGrowth     = 1.25

	// latencyWindow is the length of one histogram window; the last one to
	// two windows count.
	latencyWindow = time.Second
	// timeoutPenaltyBuckets are added to the bucket of a leg without a reply,
	// whose true latency is not known: three buckets, twice as long.
	timeoutPenaltyBuckets = 3
	// tailCacheTTL is how long the cumulative shares of a histogram are
	// cached, since a request may have many legs.
	tailCacheTTL = 50 * time.Millisecond
	// minHistogramLegs is how many legs a service must have in its histogram
	// before a request can be refused because of it.
	minHistogramLegs = 16

	// maxExpectedMissing is the expected number of missing legs, above what
	// the route can do without, from which a request is refused: at ln 2,
	// fewer than half of such requests would get their answer.
	maxExpectedMissing = math.Ln2

	// maxServices bounds the memory for services of older snapshots.
	maxServices = 100_000
)

// legLatencies are the leg latencies of each service for one class: queue
// wait, service time and hops together. Classes have separate histograms,
// since the homes' queues serve them by priority.
type legLatencies map[string]*latencyHistogram

// latencyHistogram counts the legs of the last one to two windows by latency.
type latencyHistogram struct {
	windowStart       time.Time // of current
	current, previous [latencyBuckets]float64

	tailComputedAt time.Time
	tail           [latencyBuckets]float64 // share of legs in later buckets
}

func newLegLatencies() legLatencies { return make(legLatencies) }

func (l legLatencies) add(now time.Time, leg *LegTiming) {
	histogram := l[leg.Service]
	if histogram == nil {
		if len(l) >= maxServices {
			clear(l)
		}
		histogram = &latencyHistogram{windowStart: now}
		l[leg.Service] = histogram
	}
	histogram.rotate(now)
	bucket := latencyBucket(leg.Time)
	if leg.TimedOut {
		bucket = min(bucket+timeoutPenaltyBuckets, latencyBuckets-1)
	}
	histogram.current[bucket]++
}

func (h *latencyHistogram) rotate(now time.Time) {
	age := now.Sub(h.windowStart)
	if age < latencyWindow {
		return
	}
	h.previous = h.current
	if age >= 2*latencyWindow {
		h.previous = [latencyBuckets]float64{}
	}
	h.current = [latencyBuckets]float64{}
	h.windowStart = now
}

// shareAbove is the share of the service's legs that took longer than the
// bucket; zero when there are too few samples.
func (h *latencyHistogram) shareAbove(now time.Time, bucket int) float64 {
	if now.Sub(h.tailComputedAt) >= tailCacheTTL {
		h.rotate(now)
		h.computeTail()
		h.tailComputedAt = now
	}
	return h.tail[bucket]
}

func (h *latencyHistogram) computeTail() {
	total := 0.0
	for i := latencyBuckets - 1; i >= 0; i-- {
		h.tail[i] = total
		total += h.current[i] + h.previous[i]
	}
	if total < minHistogramLegs {
		h.tail = [latencyBuckets]float64{}
		return
	}
	for i := range h.tail {
		h.tail[i] /= total
	}
}

func latencyBucket(d time.Duration) int {
	if d <= firstBucketBound {
		return 0
	}
	i := int(math.Ceil(math.Log(float64(d)/float64(firstBucketBound)) / math.Log(bucketGrowth)))
	return min(i, latencyBuckets-1)
}

// checkLegs refuses a request whose slowest services would not answer by its
// deadline. When a service is slow or lost, such a request would use a slot of
// every service and still get no answer.
func (c *Controller) checkLegs(now time.Time, cl *class, left time.Duration, request Request) *result.Error {
	bound := float64(len(request.Services)-request.MinLegs) + maxExpectedMissing
	bucket := latencyBucket(left)
	missing := 0.0
	for _, service := range request.Services {
		if histogram := cl.legs[service]; histogram != nil {
			missing += histogram.shareAbove(now, bucket)
		}
	}
	if missing <= bound {
		return nil
	}
	refusal := result.Errorf(result.DeadlineUnmeetable, "about %.0f of %d shards would not answer in time", math.Ceil(missing), len(request.Services))
	refusal.RetryAfter = c.addJitter(latencyWindow)
	return refusal
}

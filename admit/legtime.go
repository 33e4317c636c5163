package admit

import (
	"math"
	"time"

	"github.com/goldcrestspan/goldcrestspan/result"
)

const (
	// Buckets of leg times: the first ends at 250 microseconds, each is a
	// quarter wider than the one before, and the last ends at 33 s, past the
	// longest deadline. A quantile is at most 25% off.
	legBuckets      = 54
	firstLegBucket  = 250 * time.Microsecond
	legBucketGrowth = 1.25

	// legWindow is how long a measured leg counts at least; the older half
	// is dropped each time it has passed.
	legWindow = time.Second
	// missedBuckets is how much longer than its time a leg without a reply is
	// taken to need: three buckets, twice as long. It was given up, so the
	// true time is not known.
	missedBuckets = 3
	// lateFor is how long the shares of late legs are kept before they are
	// added up again: at 92 legs a request, adding up each time would cost
	// more than all other decisions together.
	lateFor = 50 * time.Millisecond
	// fewestLegs is how many legs a service must have measured before it can
	// get a request refused.
	fewestLegs = 16

	// hopelessLegs is the mean number of missing legs, above what the route
	// can do without, from which a request is refused: at ln 2, fewer than
	// half of such requests would get their answer.
	hopelessLegs = math.Ln2

	// maxServices bounds the memory for services of older snapshots.
	maxServices = 100_000
)

// legTimes are the measured leg times of each service for one class: queue
// wait, service and hops together, as a request feels them. Classes are kept
// apart, since the homes serve them in different order: with one measure for
// all, the long wait of exports would get screens refused.
type legTimes map[string]*legTime

// legTime counts the legs of the last one to two windows by duration.
type legTime struct {
	since          time.Time // start of the recent window
	recent, before [legBuckets]float64

	lateAt time.Time           // when over was added up
	over   [legBuckets]float64 // share of legs in later buckets
}

func newLegTimes() legTimes { return make(legTimes) }

func (t legTimes) add(now time.Time, leg *LegTiming) {
	service := t[leg.Service]
	if service == nil {
		if len(t) >= maxServices {
			clear(t)
		}
		service = &legTime{since: now}
		t[leg.Service] = service
	}
	service.rotate(now)
	bucket := legBucket(leg.Time)
	if leg.TimedOut {
		bucket = min(bucket+missedBuckets, legBuckets-1)
	}
	service.recent[bucket]++
}

func (l *legTime) rotate(now time.Time) {
	age := now.Sub(l.since)
	if age < legWindow {
		return
	}
	l.before = l.recent
	if age >= 2*legWindow {
		l.before = [legBuckets]float64{}
	}
	l.recent = [legBuckets]float64{}
	l.since = now
}

// late is the share of the service's legs that took longer than the bucket;
// zero when too little was measured to say.
func (l *legTime) late(now time.Time, bucket int) float64 {
	if now.Sub(l.lateAt) >= lateFor {
		l.rotate(now)
		l.addUp()
		l.lateAt = now
	}
	return l.over[bucket]
}

func (l *legTime) addUp() {
	total := 0.0
	for i := legBuckets - 1; i >= 0; i-- {
		l.over[i] = total
		total += l.recent[i] + l.before[i]
	}
	if total < fewestLegs {
		l.over = [legBuckets]float64{}
		return
	}
	for i := range l.over {
		l.over[i] /= total
	}
}

func legBucket(d time.Duration) int {
	if d <= firstLegBucket {
		return 0
	}
	i := int(math.Ceil(math.Log(float64(d)/float64(firstLegBucket)) / math.Log(legBucketGrowth)))
	return min(i, legBuckets-1)
}

// judgeLegs refuses a request that its slowest services would keep past its
// deadline.
//
// Load: one service is slow or lost, or the deadline is shorter than the
// straggler among very many legs. Harm prevented: the request uses a slot of
// every service and still gives its caller nothing, or learns it only at the
// deadline. Limits: the mean number of legs over the time left, from the last
// two seconds' legs, above what the route can do without; at ln 2 fewer than
// half such requests would get their answer. Below, trying is better than
// refusing. What is measured ages out within two seconds, and one request of
// a class is always let in, so a service that recovers is found.
func (c *Controller) judgeLegs(now time.Time, cl *class, left time.Duration, ask Request) *result.Error {
	bound := float64(len(ask.Services)-ask.MinLegs) + hopelessLegs
	bucket := legBucket(left)
	missing := 0.0
	for _, service := range ask.Services {
		if measured := cl.legs[service]; measured != nil {
			missing += measured.late(now, bucket)
		}
	}
	if missing <= bound {
		return nil
	}
	refusal := result.Errorf(result.DeadlineUnmeetable, "about %.0f of %d shards would not answer in time", math.Ceil(missing), len(ask.Services))
	refusal.RetryAfter = c.spread(legWindow)
	return refusal
}

package admit

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/goldcrestspan/goldcrestspan/result"
)

const (
	// callerExpiry is how long a silent caller counts as active.
	callerExpiry = 4 * time.Second
	// maxCallers bounds the memory for the callers of one class.
	maxCallers = 10_000

	// saturatedFloodRatio is how many times the demand per weight of light
	// callers makes a flood while slots are scarce. Refusing smaller
	// differences costs more goodput than it gives to other callers.
	saturatedFloodRatio = 3.0
	// idleFloodRatio is the same while slots are free, where moderate skew
	// between callers harms nobody.
	idleFloodRatio = 8.0
	// scarcePressure is the pressure from which slots are scarce: legs wait
	// as long as they are served.
	scarcePressure = 1.0
	// scarceIntervals is how many control intervals in a row must be scarce
	// before saturatedFloodRatio applies, so that a short burst does not count.
	scarceIntervals = 10
	// lightQuantile is the part of all active weight that counts as light callers.
	lightQuantile = 0.25
	// noiseDeviations is how many standard deviations of a Poisson count a
	// caller may be over a limit: few requests say little.
	noiseDeviations = 2.0

	// throttlePressure is the pressure from which floods are throttled: about
	// two thirds of the slots in use, where other callers' tail latency has
	// hardly grown yet.
	throttlePressure = 0.25
	// rateLimitDecrease and rateLimitIncrease are the factors by which the
	// rate limit moves in each control interval: down fast and up slowly, so
	// that it does not oscillate.
	rateLimitDecrease = 0.7
	rateLimitIncrease = 1.05
	// overShareMargin is how far over an equal share a caller may be while the
	// backlog is close to its limit.
	overShareMargin = 1.25

	// bucketDepth is the burst that a throttled caller may send, in time at
	// its rate; minBucketTokens is the least, in requests.
	bucketDepth     = 200 * time.Millisecond
	minBucketTokens = 1.0
)

// callers is the demand of each caller in a class.
type callers struct {
	byName map[string]*caller
	// rateLimit is the rate per unit of weight that flooding callers are
	// limited to; infinite while none is throttled.
	rateLimit float64
	// lightDemand is the demand per second and weight of the light callers.
	lightDemand float64
	// floodRatio is the multiple of lightDemand that is a flood now.
	floodRatio float64
	// scarceCount is for how many control intervals slots have been scarce.
	scarceCount int
	// fairRate is the rate per weight if all active callers got equal shares.
	fairRate float64
	sorted   []*caller // reused between control intervals
}

type caller struct {
	name       string
	weight     float64
	arrivals   decayingRate
	admitted   decayingRate
	refused    decayingRate
	tokens     float64
	refilledAt time.Time
}

func newCallers() *callers {
	return &callers{byName: make(map[string]*caller), rateLimit: math.Inf(1), floodRatio: idleFloodRatio}
}

func (cs *callers) len() int { return len(cs.byName) }

func (cs *callers) recordArrival(now time.Time, name string, weight float64) *caller {
	c := cs.byName[name]
	if c == nil {
		if len(cs.byName) >= maxCallers {
			clear(cs.byName)
		}
		c = &caller{name: name, refilledAt: now}
		cs.byName[name] = c
	}
	c.weight = max(weight, math.SmallestNonzeroFloat32)
	c.arrivals.add(now, 1)
	return c
}

// demand is the caller's requests a second for each unit of its weight.
func (c *caller) demand(now time.Time) float64 { return c.arrivals.perSecond(now) / c.weight }

// updateRateLimit adjusts the rate limit of flooding callers, which would raise
// every other caller's tail latency. The limit falls while pressure is high and
// rises otherwise, so that a flood may use idle capacity, and is never less than an
// equal share of the class's admitted rate.
func (cs *callers) updateRateLimit(now time.Time, admitted, pressure float64) {
	weight, maxDemand := cs.sortByDemand(now)
	if weight == 0 {
		cs.rateLimit = math.Inf(1)
		return
	}
	cs.fairRate = admitted / weight
	cs.lightDemand = cs.demandOfLightCallers(now, weight)
	cs.updateFloodRatio(pressure)
	switch {
	case pressure > throttlePressure:
		cs.rateLimit = min(cs.rateLimit, maxDemand) * rateLimitDecrease
	case cs.rateLimit < maxDemand:
		cs.rateLimit *= rateLimitIncrease
	default:
		cs.rateLimit = math.Inf(1)
	}
	cs.rateLimit = max(cs.rateLimit, cs.fairRate)
}

// updateFloodRatio lowers the ratio once slots have been scarce for a while.
func (cs *callers) updateFloodRatio(pressure float64) {
	cs.scarceCount++
	if pressure <= scarcePressure {
		cs.scarceCount = 0
	}
	cs.floodRatio = idleFloodRatio
	if cs.scarceCount >= scarceIntervals {
		cs.floodRatio = saturatedFloodRatio
	}
}

// sortByDemand drops silent callers and sorts the rest by ascending demand.
func (cs *callers) sortByDemand(now time.Time) (weight, maxDemand float64) {
	cs.sorted = cs.sorted[:0]
	for name, c := range cs.byName {
		if now.Sub(c.arrivals.updatedAt) > callerExpiry {
			delete(cs.byName, name)
			continue
		}
		cs.sorted = append(cs.sorted, c)
	}
	slices.SortFunc(cs.sorted, func(a, b *caller) int {
		return cmp.Or(cmp.Compare(a.demand(now), b.demand(now)), cmp.Compare(a.name, b.name))
	})
	for _, c := range cs.sorted { // in sorted order, so that the float sum is deterministic
		weight += c.weight
		maxDemand = c.demand(now)
	}
	return weight, maxDemand
}

func (cs *callers) demandOfLightCallers(now time.Time, weight float64) float64 {
	cumulative := 0.0
	for _, c := range cs.sorted {
		cumulative += c.weight
		if cumulative >= lightQuantile*weight {
			return c.demand(now)
		}
	}
	return 0
}

// isFlooding reports whether the caller asks for far more than the light
// callers. The only caller of a class is never flooding.
func (cs *callers) isFlooding(now time.Time, c *caller) bool {
	lightDemand := cs.lightDemand * c.weight * rateTimeConstant.Seconds()
	return len(cs.byName) > 1 && c.arrivals.recent(now) > cs.floodRatio*lightDemand+noiseDeviations*math.Sqrt(lightDemand)+noiseDeviations
}

// fairShare is how many recent requests of the caller would be an equal share.
func (cs *callers) fairShare(c *caller) float64 {
	return cs.fairRate * c.weight * rateTimeConstant.Seconds()
}

// isOverShare reports whether the caller got clearly more than an equal share.
func (cs *callers) isOverShare(now time.Time, c *caller) bool {
	share := cs.fairShare(c)
	return len(cs.byName) > 1 && c.admitted.recent(now) > overShareMargin*share+noiseDeviations*math.Sqrt(share)+noiseDeviations
}

// isOverScarceShare is isOverShare without its margin for chance, for a class with a latency
// limit: a host may have so few requests in flight that the margin is most of them.
func (cs *callers) isOverScarceShare(now time.Time, c *caller) bool {
	share := cs.fairShare(c)
	return len(cs.byName) > 1 && c.admitted.recent(now) > overShareMargin*share+1
}

// isUnderShare reports whether the caller has not got its share. The only caller of a class
// has none to defend.
func (cs *callers) isUnderShare(now time.Time, c *caller) bool {
	share := cs.fairShare(c)
	return len(cs.byName) > 1 && c.admitted.recent(now)+1 <= max(1, share)
}

// checkShare limits a flooding caller to the rate limit by a token bucket.
func (c *Controller) checkShare(now time.Time, cl *class, requester *caller, left time.Duration) *result.Error {
	cs := cl.callers
	if math.IsInf(cs.rateLimit, 1) || !cs.isFlooding(now, requester) {
		return nil
	}
	if requester.takeToken(now, cs.rateLimit*requester.weight) {
		return nil
	}
	return c.refuseOverShare(now, cl, requester, left)
}

func (c *Controller) refuseOverShare(now time.Time, cl *class, requester *caller, left time.Duration) *result.Error {
	refusal := result.Errorf(result.CallerOverShare, "caller %s is over its share of class %s while others wait", requester.name, cl.name)
	allowed := max(min(cl.callers.rateLimit, math.MaxFloat32), cl.callers.fairRate) * requester.weight
	retried := requester.refused.perSecond(now) / max(allowed, minCapacity)
	refusal.Reason = ReasonShare
	if cl.limited {
		refusal.RetryAfter = c.spreadRetries(now, cl, left)
		return refusal
	}
	refusal.RetryAfter = c.addJitter(seconds(min(retried, maxRetryAfter.Seconds())))
	return refusal
}

// takeToken takes a token, if there is one, from the bucket that fills at perSecond.
func (c *caller) takeToken(now time.Time, perSecond float64) bool {
	depth := max(minBucketTokens, perSecond*bucketDepth.Seconds())
	c.tokens = min(depth, c.tokens+perSecond*now.Sub(c.refilledAt).Seconds())
	c.refilledAt = now
	if c.tokens < 1 {
		return false
	}
	c.tokens--
	return true
}

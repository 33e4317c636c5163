package admit

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/goldcrestspan/goldcrestspan/result"
)

const (
	// callerMemory is how long a silent caller counts as active.
	callerMemory = 4 * time.Second
	// maxCallers bounds the memory for callers in one class; the bundle
	// names them, so there are far fewer.
	maxCallers = 10_000

	// saturatedSkew is how many times the demand of the light callers, weight
	// for weight, makes a caller's demand a flood while slots are scarce. Below
	// it the difference is everyday, and refusing it would cost more goodput
	// than it gives others.
	saturatedSkew = 3.0
	// idleSkew is the same while slots are left: three callers of which the
	// first sends three times what the last does are everyday there, and to
	// hold the first back cost 12% of a class's answers at 70% load, and
	// tripled its p99 by the callers' second tries.
	idleSkew = 8.0
	// scarcePressure is where slots become scarce: legs wait as long as they
	// are served, which four slots reach at about 84% load.
	scarcePressure = 1.0
	// scarceIntervals is how many control intervals in a row make slots
	// scarce: a second, which a burst of a host's few queries seldom lasts.
	scarceIntervals = 10
	// lightQuantile is the part of all active weight that counts as the
	// light callers, whom a flood would hurt.
	lightQuantile = 0.25
	// noise is how many standard deviations of a Poisson count a caller may
	// be over before it counts: few requests say little.
	noise = 2.0

	// floodPressure is the pressure at which floods are cut. Legs that wait
	// a quarter of their service time mean two thirds of the slots in use:
	// the other callers' tail has hardly grown yet.
	floodPressure = 0.25
	// levelCut and levelRise move the level each control interval, down
	// quickly and up slowly, so that it does not swing around the pressure.
	levelCut  = 0.7
	levelRise = 1.05
	// shareMargin is how far over its share a caller may be while others are
	// close to the limit of the backlog.
	shareMargin = 1.25

	// bucketDepth is the burst that a cut caller may still send, in time at
	// its rate; leastBucket the same in requests.
	bucketDepth = 200 * time.Millisecond
	leastBucket = 1.0
)

// callers is the demand of each caller in a class.
type callers struct {
	byName map[string]*caller
	// level is the rate per unit of weight that flooding callers are held
	// to; infinite while nothing is cut.
	level float64
	// light is the demand per second and weight of the light callers.
	light float64
	// skew is the demand, in demands of the light callers, that is a flood now.
	skew float64
	// scarce is for how many control intervals slots have been scarce.
	scarce int
	// fair is the rate per weight at which all active callers would be equal.
	fair  float64
	order []*caller // scratch
}

type caller struct {
	name     string
	weight   float64
	asked    rate
	admitted rate
	refused  rate
	tokens   float64
	filled   time.Time
}

func newCallers() *callers {
	return &callers{byName: make(map[string]*caller), level: math.Inf(1), skew: idleSkew}
}

func (cs *callers) len() int { return len(cs.byName) }

func (cs *callers) arrive(now time.Time, name string, weight float64) *caller {
	from := cs.byName[name]
	if from == nil {
		if len(cs.byName) >= maxCallers {
			clear(cs.byName)
		}
		from = &caller{name: name, filled: now}
		cs.byName[name] = from
	}
	from.weight = max(weight, math.SmallestNonzeroFloat32)
	from.asked.add(now, 1)
	return from
}

// demand is the caller's requests a second for each unit of its weight.
func (from *caller) demand(now time.Time) float64 { return from.asked.perSecond(now) / from.weight }

// reckonLevel finds the light callers' demand and moves the level at which
// floods are cut. admitted is the class's rate.
//
// Load: one caller sends twenty times its share. Harm prevented: its excess
// fills the queues, and every other caller's tail grows by the same wait.
// Limits: the level falls while legs wait over a quarter of their service
// time, and rises otherwise, so a flood may use what the others leave idle;
// it never falls below an equal share of what is admitted, so a flooding
// caller keeps its own share.
func (cs *callers) reckonLevel(now time.Time, admitted, pressure float64) {
	weight, top := cs.sortByDemand(now)
	if weight == 0 {
		cs.level = math.Inf(1)
		return
	}
	cs.fair = admitted / weight
	cs.light = cs.lightDemand(now, weight)
	cs.reckonSkew(pressure)
	switch {
	case pressure > floodPressure:
		cs.level = min(cs.level, top) * levelCut
	case cs.level < top:
		cs.level *= levelRise
	default:
		cs.level = math.Inf(1)
	}
	cs.level = max(cs.level, cs.fair)
}

// reckonSkew tells floods from everyday differences by whether slots have been
// scarce for a while.
func (cs *callers) reckonSkew(pressure float64) {
	cs.scarce++
	if pressure <= scarcePressure {
		cs.scarce = 0
	}
	cs.skew = idleSkew
	if cs.scarce >= scarceIntervals {
		cs.skew = saturatedSkew
	}
}

// sortByDemand drops silent callers and orders the rest, lightest first.
func (cs *callers) sortByDemand(now time.Time) (weight, top float64) {
	cs.order = cs.order[:0]
	for name, from := range cs.byName {
		if now.Sub(from.asked.at) > callerMemory {
			delete(cs.byName, name)
			continue
		}
		cs.order = append(cs.order, from)
	}
	slices.SortFunc(cs.order, func(a, b *caller) int {
		return cmp.Or(cmp.Compare(a.demand(now), b.demand(now)), cmp.Compare(a.name, b.name))
	})
	for _, from := range cs.order { // in order, so that sums are the same each run
		weight += from.weight
		top = from.demand(now)
	}
	return weight, top
}

func (cs *callers) lightDemand(now time.Time, weight float64) float64 {
	passed := 0.0
	for _, from := range cs.order {
		passed += from.weight
		if passed >= lightQuantile*weight {
			return from.demand(now)
		}
	}
	return 0
}

// floods reports whether the caller asks for far more than the light callers.
// A caller alone in its class floods nobody.
func (cs *callers) floods(now time.Time, from *caller) bool {
	light := cs.light * from.weight * rateMemory.Seconds()
	return len(cs.byName) > 1 && from.asked.recent(now) > cs.skew*light+noise*math.Sqrt(light)+noise
}

// overShare reports whether the caller got clearly more than an equal share.
func (cs *callers) overShare(now time.Time, from *caller) bool {
	share := cs.fair * from.weight * rateMemory.Seconds()
	return len(cs.byName) > 1 && from.admitted.recent(now) > shareMargin*share+noise*math.Sqrt(share)+noise
}

// judgeShare holds a flooding caller to the level, by a token bucket.
func (c *Controller) judgeShare(now time.Time, cl *class, from *caller) *result.Error {
	cs := cl.callers
	if math.IsInf(cs.level, 1) || !cs.floods(now, from) {
		return nil
	}
	if from.spend(now, cs.level*from.weight) {
		return nil
	}
	return c.refuseShare(now, cl, from)
}

func (c *Controller) refuseShare(now time.Time, cl *class, from *caller) *result.Error {
	refusal := result.Errorf(result.CallerOverShare, "caller %s is over its share of class %s while others wait", from.name, cl.name)
	allowed := max(min(cl.callers.level, math.MaxFloat32), cl.callers.fair) * from.weight
	returning := from.refused.perSecond(now) / max(allowed, leastCapacity)
	refusal.RetryAfter = c.spread(seconds(min(returning, maxComeBack.Seconds())))
	return refusal
}

// spend takes a token, if there is one, from the bucket that fills at perSecond.
func (from *caller) spend(now time.Time, perSecond float64) bool {
	depth := max(leastBucket, perSecond*bucketDepth.Seconds())
	from.tokens = min(depth, from.tokens+perSecond*now.Sub(from.filled).Seconds())
	from.filled = now
	if from.tokens < 1 {
		return false
	}
	from.tokens--
	return true
}

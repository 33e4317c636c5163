package quota

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "github.com/goldcrestspan/goldcrestspan/internal/seeded" // fixes the seed of rapid
)

const (
	// lossDetection is the least time after which hosts drop a silent one from their views: a
	// failed probe and the suspicion in a small fleet.
	lossDetection = 2100 * time.Millisecond
	// gossipDelay is how long the hosts need to learn of a change of one.
	gossipDelay = time.Second
	// configDelay is how long a configuration takes to be in force everywhere.
	configDelay = 4 * time.Second
)

// drill plays failures on a fleet while all callers flood it.
type drill struct {
	*fleet
	limits  []limitChange
	initial Limit
	lost    [][]bool      // by host: which hosts its view lacks
	lostAt  [][]time.Time // by host: when that changed
	changed []time.Time   // by host: when it began or ceased to be heard
	heard   []bool
	due     []dueEvent
	runs    []time.Time
}

type dueEvent struct {
	at time.Time
	do func(now time.Time)
}

// limitChange is a limit that is in force somewhere from then on, and at its end everywhere.
type limitChange struct {
	limit         Limit
	from, to      time.Time // in force somewhere; zero: for ever
	everywhere    time.Time
	appliedByHost []time.Time
}

func newDrill(hosts, advised int, limit Limit, seed uint64) *drill {
	d := &drill{fleet: newFleet(hosts, advised, limit, seed), initial: limit}
	d.limits = []limitChange{{limit: limit, appliedByHost: make([]time.Time, hosts)}}
	for range hosts {
		d.lost = append(d.lost, make([]bool, hosts))
		d.lostAt = append(d.lostAt, make([]time.Time, hosts))
	}
	d.changed, d.heard = make([]time.Time, hosts), make([]bool, hosts)
	return d
}

// reconcile bounds how long a view is wrong, whatever was missed.
func (d *drill) reconcile(now time.Time) {
	for i, h := range d.hosts {
		if heard := h.runs() && !h.cut; heard != d.heard[i] {
			d.heard[i], d.changed[i] = heard, now
		}
	}
	for i := range d.hosts {
		for j := range d.hosts {
			if i == j || !d.heard[i] || d.lost[i][j] != d.heard[j] {
				continue
			}
			latest := max(d.lostAt[i][j].UnixNano(), d.changed[i].UnixNano(), d.changed[j].UnixNano())
			patience := gossipDelay
			if !d.heard[j] {
				patience += lossDetection
			}
			if now.Sub(time.Unix(0, latest)) >= patience {
				d.lost[i][j] = !d.heard[j]
				d.lostAt[i][j] = now
				d.publish(now, i)
			}
		}
	}
}

func (d *drill) at(at time.Time, do func(now time.Time)) { d.due = append(d.due, dueEvent{at, do}) }

func (d *drill) within(limit time.Duration) time.Duration {
	return time.Duration(d.random.Int64N(int64(limit)))
}

// learn lets every other host learn within the delay of views that host i is lost or back.
func (d *drill) learn(now time.Time, i int, lost bool, still func() bool) {
	for j := range d.hosts {
		if j != i {
			d.at(now.Add(d.within(gossipDelay)), func(now time.Time) {
				if still() && d.hosts[j].runs() && !d.hosts[j].cut && d.lost[j][i] != lost {
					d.lost[j][i] = lost
					d.lostAt[j][i] = now
					d.publish(now, j)
				}
			})
		}
	}
}

func (d *drill) publish(now time.Time, j int) {
	var lost []int
	for i, isLost := range d.lost[j] {
		if isLost {
			lost = append(lost, i)
		}
	}
	d.setView(now, j, d.viewWithout(lost...))
}

// suspect lets the others drop host i from their views if it is still silent.
func (d *drill) suspect(now time.Time, i int, silent func() bool) {
	d.at(now.Add(lossDetection), func(now time.Time) {
		if silent() {
			d.learn(now, i, true, silent)
		}
	})
}

func (d *drill) kill(now time.Time, i int) {
	h := d.hosts[i]
	if h.dead {
		return
	}
	h.dead = true
	started := h.startedAt
	d.suspect(now, i, func() bool { return h.dead && h.startedAt.Equal(started) })
}

func (d *drill) restart(now time.Time, i int) {
	h := d.hosts[i]
	if !h.dead {
		return
	}
	limit := d.limitAt(now, i)
	d.start(now, i, limit)
	d.catchUp(now, i)
	d.learn(now, i, false, func() bool { return !h.dead })
}

// catchUp gives host i the view of another one.
func (d *drill) catchUp(now time.Time, i int) {
	if d.hosts[i].dead {
		return
	}
	for j := range d.lost[i] {
		d.lost[i][j] = d.hosts[j].dead // if no other host runs
	}
	for j, other := range d.hosts {
		if j != i && other.runs() && !other.cut {
			copy(d.lost[i], d.lost[j])
			d.lost[i][i] = false
			break
		}
	}
	d.publish(now, i)
}

func (d *drill) pause(now time.Time, i int, length time.Duration) {
	h := d.hosts[i]
	if h.frozen || h.dead {
		return
	}
	d.freeze(i)
	d.suspect(now, i, func() bool { return h.frozen })
	d.at(now.Add(length), func(now time.Time) {
		if h.dead {
			return
		}
		d.resume(now, i)
		for range 20 { // requests that waited in its connections
			d.request(now, i)
		}
		d.at(now.Add(d.within(gossipDelay)), func(now time.Time) { d.catchUp(now, i) })
		d.learn(now, i, false, func() bool { return h.runs() })
	})
}

func (d *drill) cutOff(now time.Time, i int, length time.Duration) {
	h := d.hosts[i]
	if h.cut || h.dead {
		return
	}
	h.cut = true
	d.suspect(now, i, func() bool { return h.cut })
	d.at(now.Add(length), func(now time.Time) {
		h.cut = false
		d.at(now.Add(d.within(gossipDelay)), func(now time.Time) { d.catchUp(now, i) })
		d.learn(now, i, false, func() bool { return !h.dead && !h.cut })
	})
}

func (d *drill) changeLimit(now time.Time, limit Limit) {
	last := &d.limits[len(d.limits)-1]
	if limit == last.limit || !last.everywhere.IsZero() && now.Before(last.everywhere) {
		return
	}
	last.to = now.Add(configDelay)
	change := limitChange{limit: limit, from: now, everywhere: last.to}
	before := make(map[string]Limit)
	if last.limit.Bounded() {
		before[testCustomer] = last.limit
	}
	for i := range d.hosts {
		at := now.Add(d.within(configDelay))
		change.appliedByHost = append(change.appliedByHost, at)
		d.at(at, func(now time.Time) {
			if !d.hosts[i].dead {
				d.configure(now, i, before, limit)
			}
		})
	}
	d.limits = append(d.limits, change)
}

// limitAt is the limit in force at a host.
func (d *drill) limitAt(now time.Time, host int) Limit {
	limit := d.initial
	for _, change := range d.limits {
		if !now.Before(change.appliedByHost[host]) {
			limit = change.limit
		}
	}
	return limit
}

// request offers one request; some that are admitted do not run, and are returned later.
func (d *drill) request(now time.Time, host int) {
	if !d.limitAt(now, host).Bounded() {
		if d.hosts[host].runs() {
			d.runs = append(d.runs, now)
		}
		return
	}
	ok, giveBack := d.admit(now, host)
	switch {
	case !ok:
	case d.random.Float64() < 0.1:
		d.at(now.Add(d.within(8*time.Second)), giveBack)
	default:
		d.runs = append(d.runs, now)
	}
}

func (d *drill) play(length time.Duration, perSecond float64) {
	for t := time.Duration(0); t < length; t += step {
		now := epoch.Add(t)
		for i := 0; i < len(d.due); i++ {
			if event := d.due[i]; !event.at.After(now) {
				d.due = slices.Delete(d.due, i, i+1)
				i--
				event.do(now)
			}
		}
		d.advance(now)
		d.reconcile(now)
		for range poisson(d.random, perSecond*step.Seconds()) {
			d.request(now, d.random.IntN(d.advised))
		}
	}
}

// check compares every window with the largest limit that was in force anywhere in it or in the
// window before: a lower one binds one window after it is in force everywhere.
func (d *drill) check(t *rapid.T) {
	for i, start := range d.runs {
		end := start.Add(specified.Window)
		n := 0
		for ; i+n < len(d.runs) && d.runs[i+n].Before(end); n++ {
		}
		var limit Limit
		unlimited := false
		for _, change := range d.limits {
			if change.from.After(end) || !change.to.IsZero() && change.to.Add(specified.Window).Before(start) {
				continue
			}
			unlimited = unlimited || !change.limit.Bounded()
			limit.PerSecond, limit.Burst = max(limit.PerSecond, change.limit.PerSecond), max(limit.Burst, change.limit.Burst)
		}
		allowed := (limit.PerSecond*specified.Window.Seconds()+limit.Burst)*(1+specified.Overshoot) + specified.Slack
		if !unlimited && float64(n) > allowed {
			t.Fatalf("%d requests run in the window from %v on, %.1f allowed by %v", n, start.Sub(epoch), allowed, limit)
		}
	}
}

// Guards against a flood that gets more than the bound because of any sequence of few failures.
func TestBoundHoldsThroughFailures(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := []Limit{{PerSecond: 0.1}, {PerSecond: 1, Burst: 5}, {PerSecond: 5, Burst: 50}, {PerSecond: 30, Burst: 30}, {PerSecond: 100}}
		limit := rapid.SampledFrom(limits).Draw(t, "limit")
		advised := rapid.SampledFrom([]int{3, 8}).Draw(t, "advised")
		hosts := advised + rapid.IntRange(0, 3).Draw(t, "others")
		d := newDrill(hosts, advised, limit, rapid.Uint64().Draw(t, "seed"))
		d.loss = 0.02
		const warmup = 8 * time.Second
		for range rapid.IntRange(1, 5).Draw(t, "events") {
			at := epoch.Add(warmup + time.Duration(rapid.IntRange(0, 12_000).Draw(t, "at"))*time.Millisecond)
			// Half of the events happen to the customer's grantor.
			grantor := slices.Index(d.hosts, d.grantorOf(d.hosts[0]))
			target := rapid.OneOf(rapid.Just(grantor), rapid.IntRange(0, hosts-1)).Draw(t, "host")
			length := time.Duration(rapid.IntRange(100, 7_000).Draw(t, "length")) * time.Millisecond
			switch rapid.SampledFrom([]string{"lose", "restart", "freeze", "cut off", "lose all", "join", "views differ", "limit"}).Draw(t, "event") {
			case "lose":
				d.at(at, func(now time.Time) { d.kill(now, target) })
			case "restart":
				d.at(at, func(now time.Time) { d.kill(now, target) })
				d.at(at.Add(length), func(now time.Time) { d.restart(now, target) })
			case "freeze":
				d.at(at, func(now time.Time) { d.pause(now, target, length) })
			case "cut off":
				d.at(at, func(now time.Time) { d.cutOff(now, target, length) })
			case "lose all":
				for i := range d.hosts {
					d.at(at, func(now time.Time) { d.kill(now, i) })
					d.at(at.Add(length/4+d.within(time.Second)), func(now time.Time) { d.restart(now, i) })
				}
			case "join": // a host that is lost from the start on joins
				d.kill(epoch, target)
				d.at(at, func(now time.Time) { d.restart(now, target) })
			case "views differ": // some wrongly take a host for lost, and learn better
				d.at(at, func(now time.Time) {
					d.learn(now, target, true, func() bool { return true })
					d.at(now.Add(gossipDelay), func(now time.Time) {
						d.learn(now, target, false, func() bool { return d.hosts[target].runs() })
					})
				})
			case "limit":
				next := rapid.SampledFrom(append(limits, Limit{})).Draw(t, "next")
				d.at(at, func(now time.Time) { d.changeLimit(now, next) })
			}
		}
		d.play(warmup+20*time.Second, min(60*limit.PerSecond, 400)+10)
		d.check(t)
	})
}

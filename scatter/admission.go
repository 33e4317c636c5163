package scatter

import (
	"encoding/binary"
	"fmt"
	"math"
	"strings"
	"time"

	"github.com/goldcrestspan/goldcrestspan/leg"
	"github.com/goldcrestspan/goldcrestspan/result"
)

// RequiredShards is how many of the shards an answer must have for the coverage, 0 to 1.
func RequiredShards(coverage float64, total int) int {
	const rounding = 1e-9 // 0.55 of 20 shards are 11, and a little more as a float
	return int(math.Ceil(coverage*float64(total) - rounding))
}

// waitShare is the part of the time to the target, less the time that a leg runs,
// that a leg may be forecast to wait in a queue.
//
// Load: a queue of some ten legs, of which each host sees its own. Harm prevented:
// a query that is let in at the last moment is late at the one service in twenty
// that is slower than its forecast. In the model of GoodputCase at eight times
// a third of the capacity 0.98 of the capacity went into answers in time, with 0.4
// 0.96, with 0.8 0.95, with 1.0 0.76.
const waitShare = 0.6

// Admission is what is decided of a query before any of its legs is sent.
type Admission struct {
	Refuse bool
	// Optional shards can't be in the answer in time; nil: all can.
	Optional []bool
}

// DecideAdmission weighs the forecasts of a query's shards, in their order, against the
// time that is left for legs to be in time.
//
// Load: services above their capacity for seconds, by a burst or since half of
// their servers are slow. Harm prevented: each query's legs use the slots of
// twenty services, and a query that then lacks three of them in time has taken
// them from others for nothing. In the model of two hosts (GoodputCase) at
// four times a third of the capacity 0.45 of the capacity went into answers in
// time, 0.97 with this decision. Limits: what is late since a server is slow, and not
// since others are before it, takes nothing from anybody and goes on; and so does
// a query that can do without the shards that are late.
func DecideAdmission(plan *Plan, left time.Duration, forecasts []leg.Forecast) Admission {
	spare := len(forecasts) - RequiredShards(plan.MinCoverage, len(forecasts))
	var decided Admission
	late := 0
	for i, f := range forecasts {
		if f.Unresponsive || f.QueueTime > 0 && f.QueueTime > time.Duration(waitShare*float64(left-f.ServiceTime)) {
			decided.leaveOut(i, len(forecasts))
			late++
		}
	}
	decided.Refuse = late > spare
	for i, f := range forecasts {
		if late < spare && f.ServiceTime > left && !decided.leavesOut(i) {
			decided.leaveOut(i, len(forecasts))
			late++
		}
	}
	return decided
}

func (a *Admission) leaveOut(shard, total int) {
	if a.Optional == nil {
		a.Optional = make([]bool, total)
	}
	a.Optional[shard] = true
}

func (a *Admission) leavesOut(shard int) bool { return a.Optional != nil && a.Optional[shard] }

// admit decides whether the query's legs are sent.
func (r *run) admit() bool {
	if r.work.SoftDeadline.IsZero() || !r.asksMany() {
		return true
	}
	forecasts := r.forecasts()
	decided := DecideAdmission(&r.work.Plan, r.due().Sub(r.started), forecasts)
	r.optional = decided.Optional
	if !decided.Refuse {
		return true
	}
	r.refuse(r.describe(decided, forecasts))
	return false
}

func (r *run) forecasts() []leg.Forecast {
	shards := r.work.Snapshot.Shards
	forecasts := make([]leg.Forecast, len(shards))
	for i, shard := range shards {
		forecasts[i] = r.c.homes.Forecast(shard.Service, r.work.Class)
	}
	return forecasts
}

// silentShards counts the shards without a result whose services are silent.
func (r *run) silentShards() (n int) {
	for i, shard := range r.work.Snapshot.Shards {
		if !r.query.Settled(i) && r.c.homes.Forecast(shard.Service, r.work.Class).Unresponsive {
			n++
		}
	}
	return n
}

// mostDescribed bounds the shards that a refusal names.
const mostDescribed = 8

// describe names the shards that decided, for whoever asks why.
func (r *run) describe(decided Admission, forecasts []leg.Forecast) string {
	var text strings.Builder
	late := 0
	for i, optional := range decided.Optional {
		if !optional {
			continue
		}
		if late < mostDescribed {
			fmt.Fprintf(&text, " %s:%s", r.work.Snapshot.Shards[i].Service, forecasts[i])
		}
		late++
	}
	return fmt.Sprintf("%d shards would be late, wait+run in ms:%s", late, text.String())
}

// comeBackLeast and comeBackMost bound when a refused caller is asked back, as
// parts of the time that it has left: late enough for a queue to drain, early
// enough that its second answer is in time, and drawn, so that a burst does not
// come back as one.
const (
	comeBackLeast = 0.10
	comeBackMost  = 0.30
)

// RetryAfter is when a query that was refused at now may be sent again.
func RetryAfter(plan *Plan, now time.Time) time.Duration {
	drawn := float64(binary.BigEndian.Uint32(plan.Request[12:])) / (1 << 32)
	part := comeBackLeast + drawn*(comeBackMost-comeBackLeast)
	return time.Duration(part * float64(plan.Deadline.Sub(now)))
}

// refuse ends the query before any leg is sent.
func (r *run) refuse(why string) {
	r.query.Refuse(result.Overloaded, why, RetryAfter(&r.work.Plan, r.started))
}

package scatter

import (
	"encoding/binary"
	"fmt"
	"math"
	"strings"
	"time"

	"github.com/goldcrestspan/goldcrestspan/admit"
	"github.com/goldcrestspan/goldcrestspan/leg"
	"github.com/goldcrestspan/goldcrestspan/result"
)

// RequiredShards is how many of the shards an answer needs for the coverage, 0 to 1.
func RequiredShards(coverage float64, total int) int {
	const rounding = 1e-9 // 0.55 of 20 shards must be 11, not 12
	return int(math.Ceil(coverage*float64(total) - rounding))
}

// maxQueueTimeShare is the part of the slack, the time to the soft deadline less
// the leg's service time, that the forecast queue time may take. The rest is a
// margin for services that are slower than their forecast: a query that is let in at the
// last moment is late at the one service in twenty that is.
const maxQueueTimeShare = 0.6

// Admission is the decision on a query before any of its legs is sent.
type Admission struct {
	Refuse bool
	// Silent is set if too many services are unresponsive, whatever their queues: capacity is
	// not short then.
	Silent bool
	// Optional marks the shards that can't answer in time; nil: all can.
	Optional []bool
}

// DecideAdmission refuses a query that would lack too many shards in time, by the
// forecasts of its shards in their order. While services are overloaded, it would
// use slots of all the others for nothing. A service that is slow but has no queue
// is no reason to refuse, since the query takes no slot from others there. In a model of
// two hosts at four times a third of the capacity, 0.97 of the capacity goes into answers
// in time, and 0.45 without this decision.
func DecideAdmission(plan *Plan, left time.Duration, forecasts []leg.Forecast) Admission {
	spare := len(forecasts) - RequiredShards(plan.MinCoverage, len(forecasts))
	var admission Admission
	late, silent := 0, 0
	queueTimeShare := maxQueueTimeShare
	if plan.QueueShare > 0 {
		queueTimeShare *= plan.QueueShare
	}
	for i, f := range forecasts {
		if f.Unresponsive || f.QueueTime > 0 && f.QueueTime > time.Duration(queueTimeShare*float64(left-f.ServiceTime)) {
			admission.markOptional(i, len(forecasts))
			late++
		}
		if f.Unresponsive {
			silent++
		}
	}
	admission.Refuse, admission.Silent = late > spare, silent > spare
	for i, f := range forecasts {
		if late < spare && f.ServiceTime > left && !admission.isOptional(i) {
			admission.markOptional(i, len(forecasts))
			late++
		}
	}
	return admission
}

func (a *Admission) markOptional(shard, total int) {
	if a.Optional == nil {
		a.Optional = make([]bool, total)
	}
	a.Optional[shard] = true
}

func (a *Admission) isOptional(shard int) bool { return a.Optional != nil && a.Optional[shard] }

// admit decides whether the query's legs are sent.
func (r *run) admit() bool {
	if r.spec.SoftDeadline.IsZero() || !r.isMultiShard() {
		return true
	}
	forecasts := r.forecasts()
	admission := DecideAdmission(&r.spec.Plan, r.softCutOff().Sub(r.started), forecasts)
	r.optional = admission.Optional
	if !admission.Refuse {
		return true
	}
	reason := admit.ReasonForecast
	if admission.Silent {
		reason = admit.ReasonSilent
	}
	r.refuse(reason, r.describeLate(admission, forecasts))
	return false
}

func (r *run) forecasts() []leg.Forecast {
	shards := r.spec.Snapshot.Shards
	forecasts := make([]leg.Forecast, len(shards))
	for i, shard := range shards {
		forecasts[i] = r.c.homes.Forecast(shard.Service, r.spec.Class)
	}
	return forecasts
}

// countUnresponsiveShards counts the shards without a result whose services are
// unresponsive.
func (r *run) countUnresponsiveShards() (n int) {
	for i, shard := range r.spec.Snapshot.Shards {
		if !r.query.Settled(i) && r.c.homes.Forecast(shard.Service, r.spec.Class).Unresponsive {
			n++
		}
	}
	return n
}

// maxDescribedShards bounds the shards that a refusal names.
const maxDescribedShards = 8

// describeLate lists the late shards with their forecasts, for the refusal.
func (r *run) describeLate(admission Admission, forecasts []leg.Forecast) string {
	var text strings.Builder
	late := 0
	for i, optional := range admission.Optional {
		if !optional {
			continue
		}
		if late < maxDescribedShards {
			fmt.Fprintf(&text, " %s:%s", r.spec.Snapshot.Shards[i].Service, forecasts[i])
		}
		late++
	}
	return fmt.Sprintf("%d shards would be late, wait+run in ms:%s", late, text.String())
}

// RetryAfter is the retry delay of a query that was refused at now, where the pace of the
// class is not known. It is spread by the request id, so that a burst is not retried as one.
func RetryAfter(plan *Plan, now time.Time) time.Duration {
	jitter := float64(binary.BigEndian.Uint32(plan.Request[12:])) / (1 << 32)
	left := plan.Deadline.Sub(now)
	return admit.SpreadRetry(left, left, jitter)
}

// refuse ends the query before any leg is sent.
func (r *run) refuse(reason, detail string) {
	delay := RetryAfter(&r.spec.Plan, r.started)
	if r.spec.RetryAfter != nil {
		delay = r.spec.RetryAfter(r.started)
	}
	r.query.Refuse(result.Overloaded, detail, delay)
	r.query.Answer().Reason = reason
}

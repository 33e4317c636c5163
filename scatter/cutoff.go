package scatter

import (
	"time"

	"github.com/goldcrestspan/goldcrestspan/bundle"
)

const (
	// latencyReserve is the part of a latency route's time that is kept for
	// sending the answer to the caller.
	latencyReserve = 0.10
	// coverageReserve is the same for a coverage route, which waits longer for
	// its last shards.
	coverageReserve = 0.04
	// minReserve covers writing the answer and the network delay to the most distant
	// callers, 3 ms.
	minReserve = 4 * time.Millisecond
	// maxReserve bounds the reserve of long deadlines.
	maxReserve = 100 * time.Millisecond
)

// FinalCutOff is when a query ends with the parts that it has.
func FinalCutOff(plan Plan) time.Time {
	return CutOff(plan.Started, plan.Deadline, plan.Prefer)
}

const (
	// defaultCallerRTT is used while the round trip to the caller is not known: it is 2 to
	// 8 ms.
	defaultCallerRTT = 5 * time.Millisecond
	// writeReserve and writeReserveShare are kept for writing the answer and for
	// a timer that fires late on a busy host: a fixed time, and a part of the
	// time to the soft deadline.
	writeReserve      = 3 * time.Millisecond
	writeReserveShare = 0.03
	// stragglerReserveShare is added to writeReserveShare while every query waits for
	// stragglers until its soft cut-off. Queues on the way to the caller are then as long
	// as those to the servers, and they would make all answers late at once.
	stragglerReserveShare = 0.12
	// maxReserveShare bounds the whole reserve, as a part of the time to the
	// soft deadline.
	maxReserveShare = 0.3
)

// SoftCutOff is when a query that has its minimum coverage answers, so that the
// answer reaches the caller by the soft deadline: one straggler among many shards
// must not delay the whole answer past it. The reserve covers writing the answer
// and the network round trip, which counts on the caller's clock. It is larger under load,
// when most queries wait for stragglers: an answer with fewer shards in time is then worth
// more than a late one, while on a calm day the last shards are worth waiting for.
func SoftCutOff(plan Plan) time.Time {
	rtt := plan.CallerRTT
	if rtt == 0 {
		rtt = defaultCallerRTT
	}
	total := float64(plan.SoftDeadline.Sub(plan.Started))
	share := writeReserveShare + plan.StragglerShare*stragglerReserveShare
	reserve := rtt + writeReserve + time.Duration(share*total)
	return plan.SoftDeadline.Add(-min(reserve, time.Duration(maxReserveShare*total)))
}

// CutOff is when a query answers with the parts that it has, so that the answer
// reaches the caller before its deadline even when one of many shards straggles.
func CutOff(started, deadline time.Time, prefer bundle.PartialStrategy) time.Time {
	share := latencyReserve
	if prefer == bundle.PreferCoverage {
		share = coverageReserve
	}
	left := deadline.Sub(started)
	reserve := time.Duration(share * float64(left))
	reserve = min(max(reserve, minReserve), maxReserve)
	return deadline.Add(-reserve)
}

package scatter

import (
	"time"

	"github.com/goldcrestspan/goldcrestspan/bundle"
)

const (
	// latencyReserve is the part of a latency route's time that is kept for
	// the way back to the caller.
	latencyReserve = 0.10
	// coverageReserve is the same for a coverage route, which spends nearly
	// all its time on the last shards.
	coverageReserve = 0.04
	// minReserve covers writing the answer and one way to a client: the
	// users' longest is 3 ms.
	minReserve = 4 * time.Millisecond
	// maxReserve bounds the reserve of long deadlines.
	maxReserve = 100 * time.Millisecond
)

// FinalCutOff is when a query answers with what it has, or says that it can't.
func FinalCutOff(plan Plan) time.Time {
	return CutOff(plan.Started, plan.Deadline, plan.Prefer)
}

const (
	// usualWay stands in for a caller's round trip that is not known: the users'
	// are 2 to 8 ms.
	usualWay = 5 * time.Millisecond
	// writeReserve and writeShare are kept for writing the answer and a timer that
	// fires late on a busy host: a fixed time, and a part of the time to the target.
	writeReserve = 3 * time.Millisecond
	writeShare   = 0.03
	// mostTargetShare bounds what is kept of the time to the target in all.
	mostTargetShare = 0.3
)

// TargetCutOff is when a query that has the least coverage answers, so that
// the answer is with the caller at the target.
//
// Load: one straggler among 20 to 92 shards. Harm prevented: the whole answer
// comes late and is worth a tenth, for the sake of a twentieth of it. Limits: the
// request's way to this host and the answer's way back are on the caller's clock,
// and as much as this host may take to write the answer.
func TargetCutOff(plan Plan) time.Time {
	way := plan.CallerRTT
	if way == 0 {
		way = usualWay
	}
	whole := float64(plan.SoftDeadline.Sub(plan.Started))
	reserve := way + writeReserve + time.Duration(writeShare*whole)
	return plan.SoftDeadline.Add(-min(reserve, time.Duration(mostTargetShare*whole)))
}

// CutOff is when a query answers with what it has, so that the answer is with
// the caller before its deadline.
//
// Load: one straggler among 20 to 92 shards decides most answers' latency.
// Harm prevented: an answer that comes after the deadline is lost work, and a
// screen that gets nothing shows nothing. Limits: a latency route keeps 10% of
// the time for the way back, a coverage route 4%; never under 4 ms, one way to
// the users' farthest clients and the writing, and never over 100 ms.
func CutOff(now, deadline time.Time, prefer bundle.PartialStrategy) time.Time {
	share := latencyReserve
	if prefer == bundle.PreferCoverage {
		share = coverageReserve
	}
	left := deadline.Sub(now)
	reserve := time.Duration(share * float64(left))
	reserve = min(max(reserve, minReserve), maxReserve)
	return deadline.Add(-reserve)
}

package scatter

import (
	"encoding/binary"
	"math"
	"time"

	"github.com/goldcrestspan/goldcrestspan/leg"
	"github.com/goldcrestspan/goldcrestspan/result"
)

// spare is how many shards an answer may lack.
func (p *Plan) spare() int {
	total := len(p.Snapshot.Shards)
	return total - LeastParts(p.LeastCoverage, total)
}

// LeastParts is how many of the shards an answer must have for the coverage, 0 to 1.
func LeastParts(coverage float64, total int) int {
	const rounding = 1e-9 // 0.55 of 20 shards are 11, and a little more as a float
	return int(math.Ceil(coverage*float64(total) - rounding))
}

// strained is a shard whose service lately was above its capacity.
type strained struct {
	position int
	strain   leg.Strain
}

func (r *run) strained() (list []strained) {
	if r.work.Target.IsZero() || len(r.work.Snapshot.Shards) < 2 {
		return nil
	}
	for i, shard := range r.work.Snapshot.Shards {
		if strain := r.c.homes.Strain(shard.Service, r.work.Class); strain != (leg.Strain{}) {
			list = append(list, strained{i, strain})
		}
	}
	return list
}

// chooseOptional marks the shards of strained services that the query could do
// without, as many as it may lack, and returns the other strained ones.
//
// Load: several services are above their capacity at once. Harm prevented: each
// leaves out legs of its own choice, and a query that may lack two shards lacks
// three. Limits: no more than the query may lack, so that an answer stays an
// answer; another choice for each query, so that the relief is spread evenly.
// A service that has capacity answers optional legs like any other.
func (r *run) chooseOptional(list []strained) (needed []strained) {
	spare := min(r.work.spare(), len(list))
	if spare <= 0 {
		return list
	}
	r.optional = make([]bool, len(r.work.Snapshot.Shards))
	first := int(binary.BigEndian.Uint32(r.work.Request[8:])) % len(list)
	for k := range spare {
		r.optional[list[(first+k)%len(list)].position] = true
	}
	for _, s := range list {
		if !r.optional[s.position] {
			needed = append(needed, s)
		}
	}
	return needed
}

// refusePart is the part of what a service loses that is refused at the start;
// the rest is decided by its queue, which knows of the next free slot.
const refusePart = 0.7

// hopeless reports whether a service that the query can't do without will
// surely lose its leg: the homes put back the lowest request ids first, and the
// share of lost legs says up to which.
//
// Load: a burst of twice the capacity. Harm prevented: queries wait for a
// service until their deadline and then fail. Refused before anything is sent
// they have not run, and may come back within their time: 0.027 of a day's
// requests failed in place of 0.039. Limit: queries that would only be late are
// not refused, since a late answer is worth more to their callers than coming
// back; refusing them too cost 0.03 of a day's worth.
func (r *run) hopeless(needed []strained) bool {
	rank := float64(binary.BigEndian.Uint32(r.work.Request[:])) / (1 << 32)
	for _, s := range needed {
		if rank < refusePart*s.strain.Lost {
			return true
		}
	}
	return false
}

// refuse ends the query before any leg is sent. Its caller is told to come back
// after one to two target times, drawn, so that a burst does not come back as one.
func (r *run) refuse() {
	spread := float64(binary.BigEndian.Uint32(r.work.Request[12:])) / (1 << 32)
	wait := time.Duration((1 + spread) * float64(r.work.Target.Sub(r.work.Started)))
	r.query.Refuse(result.Overloaded, "services are above their capacity", wait)
}

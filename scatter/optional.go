package scatter

import (
	"encoding/binary"
	"math"
)

// spare is how many shards an answer may lack.
func (p *Plan) spare() int {
	total := len(p.Snapshot.Shards)
	const rounding = 1e-9
	return total - int(math.Ceil(p.LeastCoverage*float64(total)-rounding))
}

// chooseOptional marks the shards of strained services that the query could do
// without, as many as it may lack.
//
// Load: several services are above their capacity at once. Harm prevented: each
// leaves out legs of its own choice, and a query that may lack two shards lacks
// three. Limits: no more than the query may lack, so that an answer stays an
// answer; another choice for each query, so that the relief is spread evenly.
// A service that has capacity answers optional legs like any other.
func (r *run) chooseOptional() {
	spare := r.work.spare()
	if spare == 0 || r.work.Target.IsZero() {
		return
	}
	var strained []int
	for i, shard := range r.work.Snapshot.Shards {
		if r.c.homes.Strained(shard.Service) {
			strained = append(strained, i)
		}
	}
	if len(strained) == 0 {
		return
	}
	r.optional = make([]bool, len(r.work.Snapshot.Shards))
	first := binary.BigEndian.Uint64(r.work.Request[8:])
	for k := range min(spare, len(strained)) {
		r.optional[strained[(first+uint64(k))%uint64(len(strained))]] = true
	}
}

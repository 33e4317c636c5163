package scatter

import (
	"encoding/binary"

	"github.com/goldcrestspan/goldcrestspan/leg"
	"github.com/goldcrestspan/goldcrestspan/result"
)

// noCanary is the shard of a query without a canary.
const noCanary = -1

// CanaryPermit is the answer to a query that may have to run as a canary: on one server of one
// shard, before it is sent to any others.
type CanaryPermit struct {
	// Refusal says why the query must not run now; nil if it may.
	Refusal *result.Error
	// Unneeded is set if the query may run like any other.
	Unneeded bool
}

// startCanary sends the canary's leg if it is permitted to.
func (r *run) startCanary() {
	shard := 0
	if r.isMultiShard() {
		shard = r.chooseCanary()
	}
	permit := r.spec.Canary(r.spec.Snapshot.Shards[shard].Service)
	switch {
	case permit.Refusal != nil:
		r.query.Refuse(permit.Refusal.Code, permit.Refusal.Detail, permit.Refusal.RetryAfter)
	case permit.Unneeded:
		r.sendAllExcept(noCanary)
	default:
		r.canary = shard
		r.sendHome(shard)
	}
}

// chooseCanary returns the shard whose leg is sent before the others, spread by the request
// id. Shards that would answer late are avoided.
func (r *run) chooseCanary() int {
	shards := len(r.spec.Snapshot.Shards)
	first := int(binary.BigEndian.Uint32(r.spec.Request[:]) % uint32(shards))
	for n := range shards {
		i := (first + n) % shards
		if r.optional == nil || !r.optional[i] {
			return i
		}
	}
	return first
}

// maxServers bounds the backend servers that may run a leg. A canary runs on one.
func (r *run) maxServers(shard int) int {
	if shard == r.canary {
		return 1
	}
	return r.spec.MaxServers
}

// endCanary sends the other legs if the canary was answered; otherwise the query has no
// other leg.
func (r *run) endCanary(res leg.Result) {
	sent := r.canary
	r.canary = noCanary
	if r.query.classify(res) == VerdictAccepted {
		r.sendAllExcept(sent)
		return
	}
	r.query.MarkUnsent(sent, result.Suspected, "not sent: the shard that was asked first gave no answer")
}

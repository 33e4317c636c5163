package scatter

import (
	"github.com/goldcrestspan/goldcrestspan/ident"
	"github.com/goldcrestspan/goldcrestspan/result"
)

// failOver sends a leg to another home when the one that has it is lost, and reports
// whether it did. Without it, every query's leg for the services of a lost entry
// host would be missing until membership notices. A leg fails over only once,
// and one that may have run only if it is idempotent. The home may still run it, or have run
// it on any servers that it was allowed; where their number is limited, the leg fails over only to
// the server that was reserved for this.
func (r *run) failOver(res legResult) bool {
	if !homeLost(res.result.Code) || r.failedOver[res.shard] {
		return false
	}
	if !res.result.Outcome.NotRun() && !r.spec.Idempotent {
		return false
	}
	if !res.result.Outcome.NotRun() && r.maxServers(res.shard) > 0 && r.reserved[res.shard] == "" {
		return false
	}
	other := r.otherHome(res.shard)
	if other == "" {
		return false
	}
	r.failedOver[res.shard] = true
	r.mayHaveRun[res.shard] = !res.result.Outcome.NotRun()
	r.c.counter.Failover()
	r.send(res.shard, other)
	return true
}

// homeLost reports whether a host is not the service's home or did not respond.
func homeLost(code result.Code) bool {
	return code == result.HomeUnavailable || code == result.NotReady
}

// otherHome is the home to try when the one that the leg was sent to is lost: the
// service's home if it has changed since the leg was sent, otherwise the fallback.
func (r *run) otherHome(shard int) ident.HostID {
	home, fallback := r.c.homes.Lookup(r.spec.Snapshot.Shards[shard].Service)
	if home != r.sentTo[shard] {
		return home
	}
	return fallback
}

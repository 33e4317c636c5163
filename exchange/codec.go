// Package exchange carries legs between entry hosts: one long-lived drpc
// stream for each pair of hosts that have work for each other, on which the
// frames of many queries are batched. A leg goes to the home of its service, or to
// one backend server that the sender has chosen and the receiver is near to.
package exchange

import (
	"time"

	"github.com/goldcrestspan/goldcrestspan/exchange/exchangepb"
	"github.com/goldcrestspan/goldcrestspan/ident"
	"github.com/goldcrestspan/goldcrestspan/leg"
	"github.com/goldcrestspan/goldcrestspan/result"
	"github.com/goldcrestspan/goldcrestspan/snapshot"
)

// encodeRequest writes the time that is left, not the time of day: the hosts'
// clocks may differ.
func encodeRequest(id uint64, r leg.Request, now time.Time) *exchangepb.LegRequest {
	return &exchangepb.LegRequest{
		Leg:          id,
		RequestId:    r.Request[:],
		Service:      r.Service,
		Index:        r.Index,
		Shard:        uint32(r.Shard),
		Snapshot:     uint64(r.Snapshot),
		Class:        r.Class,
		DeadlineInNs: int64(r.Deadline.Sub(now)),
		Idempotent:   r.Idempotent,
		Body:         r.Body,
		Caller:       r.Caller,
		Fingerprint:  r.Fingerprint,
	}
}

func decodeRequest(m *exchangepb.LegRequest, now time.Time) leg.Request {
	r := leg.Request{
		Service:     m.GetService(),
		Index:       m.GetIndex(),
		Shard:       snapshot.ShardID(m.GetShard()),
		Snapshot:    snapshot.Version(m.GetSnapshot()),
		Class:       m.GetClass(),
		Caller:      m.GetCaller(),
		Deadline:    now.Add(time.Duration(m.GetDeadlineInNs())),
		Idempotent:  m.GetIdempotent(),
		Fingerprint: m.GetFingerprint(),
		Body:        m.GetBody(),
	}
	copy(r.Request[:], m.GetRequestId())
	return r
}

func encodeResult(id uint64, r leg.Result) *exchangepb.LegReply {
	held := make([]uint64, len(r.HeldSnapshots))
	for i, version := range r.HeldSnapshots {
		held[i] = uint64(version)
	}
	return &exchangepb.LegReply{
		Leg:          id,
		RequestId:    r.Request[:],
		Shard:        uint32(r.Shard),
		Snapshot:     uint64(r.Snapshot),
		Outcome:      uint32(r.Outcome),
		Code:         uint32(r.Code),
		Detail:       r.Detail,
		Body:         r.Body,
		Digest:       r.Digest,
		Attempts:     uint32(r.Attempts),
		Hedges:       uint32(r.Hedges),
		RetryAfterNs: int64(r.RetryAfter),
		Held:         held,
		WaitNs:       int64(r.QueueTime),
	}
}

func decodeResult(m *exchangepb.LegReply) leg.Result {
	held := make([]snapshot.Version, len(m.GetHeld()))
	for i, version := range m.GetHeld() {
		held[i] = snapshot.Version(version)
	}
	r := leg.Result{
		Shard:         snapshot.ShardID(m.GetShard()),
		Snapshot:      snapshot.Version(m.GetSnapshot()),
		Outcome:       result.Outcome(m.GetOutcome()),
		Code:          result.Code(m.GetCode()),
		Detail:        m.GetDetail(),
		Body:          m.GetBody(),
		Digest:        m.GetDigest(),
		Attempts:      int(m.GetAttempts()),
		Hedges:        int(m.GetHedges()),
		RetryAfter:    time.Duration(m.GetRetryAfterNs()),
		HeldSnapshots: held,
		QueueTime:     time.Duration(m.GetWaitNs()),
	}
	copy(r.Request[:], m.GetRequestId())
	return r
}

func hello(host ident.HostID, incarnation ident.Incarnation) *exchangepb.Frame {
	return &exchangepb.Frame{
		Hello: &exchangepb.Hello{Host: string(host), Incarnation: uint64(incarnation)},
	}
}

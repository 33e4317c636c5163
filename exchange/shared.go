package exchange

import (
	"time"

	"github.com/goldcrestspan/goldcrestspan/exchange/exchangepb"
	"github.com/goldcrestspan/goldcrestspan/forward"
	"github.com/goldcrestspan/goldcrestspan/leg"
	"github.com/goldcrestspan/goldcrestspan/result"
	"github.com/goldcrestspan/goldcrestspan/snapshot"
)

// Messages of a search's legs to the homes of their services. What the legs have in common is
// sent once, with the head.

func encodeShare(r leg.Request, now time.Time) *exchangepb.Share {
	share := &exchangepb.Share{
		RequestId:    r.Request[:],
		Snapshot:     uint64(r.Snapshot),
		Class:        r.Class,
		DeadlineInNs: int64(r.Deadline.Sub(now)),
		MaxServers:   uint32(r.MaxServers),
	}
	if !r.SoftDeadline.IsZero() {
		share.DueInNs = int64(r.SoftDeadline.Sub(now))
	}
	if merge := r.Forward.Merge; merge != nil {
		share.Greatest, share.Services = uint32(merge.TopK), uint32(merge.Services)
	}
	return share
}

// decodeShare returns the template of a search's legs, which differ in service and shard.
func decodeShare(m *exchangepb.Share, head *forward.Request, now time.Time) leg.Request {
	head.Merge = &forward.Merge{TopK: int(m.GetGreatest()), Services: int(m.GetServices())}
	r := leg.Request{
		Snapshot:   snapshot.Version(m.GetSnapshot()),
		Class:      m.GetClass(),
		Deadline:   now.Add(time.Duration(m.GetDeadlineInNs())),
		Idempotent: true,
		MaxServers: int(m.GetMaxServers()),
		Forward:    head,
		Caller:     head.Customer,
	}
	if m.GetDueInNs() != 0 {
		r.SoftDeadline = now.Add(time.Duration(m.GetDueInNs()))
	}
	copy(r.Request[:], m.GetRequestId())
	return r
}

func encodeShared(id uint64, head uint32, r leg.Request) *exchangepb.LegRequest {
	return &exchangepb.LegRequest{
		Leg: id, Head: head, Service: r.Service, Shard: uint32(r.Shard), Body: r.Body, Rest: r.FullAnswer, Optional: r.Optional,
		Reserved: r.ReservedServer,
	}
}

func encodeSharedReply(id uint64, r leg.Result, forecast leg.Forecast) *exchangepb.LegReply {
	m := &exchangepb.LegReply{
		Leg:          id,
		Snapshot:     uint64(r.Snapshot),
		Outcome:      uint32(r.Outcome),
		Code:         uint32(r.Code),
		Detail:       r.Detail,
		Body:         r.Body,
		Digest:       r.Digest,
		Attempts:     uint32(r.Attempts),
		Hedges:       uint32(r.Hedges),
		RetryAfterNs: int64(r.RetryAfter),
		WaitNs:       int64(r.QueueTime),
		Cut:          r.Truncated,
		Forecast: &exchangepb.Forecast{
			WaitUs: forecast.QueueTime.Microseconds(), RunUs: forecast.ServiceTime.Microseconds(), Preferred: forecast.PreferredServer,
		},
	}
	if r.Reply != nil {
		m.Signature = r.Reply.Signature
	}
	return m
}

// decodeSharedReply builds the result of a leg whose request the sender still has.
func decodeSharedReply(m *exchangepb.LegReply, request leg.Request) leg.Result {
	r := leg.Failed(request, result.Code(m.GetCode()), result.Outcome(m.GetOutcome()), m.GetDetail())
	r.Snapshot = snapshot.Version(m.GetSnapshot())
	r.Body, r.Digest, r.Truncated = m.GetBody(), m.GetDigest(), m.GetCut()
	r.Attempts, r.Hedges = int(m.GetAttempts()), int(m.GetHedges())
	r.RetryAfter, r.QueueTime = time.Duration(m.GetRetryAfterNs()), time.Duration(m.GetWaitNs())
	r.Reply = &forward.Reply{Body: r.Body, Signature: m.GetSignature()}
	if f := m.GetForecast(); f != nil {
		r.Forecast = &leg.Forecast{
			QueueTime:   time.Duration(f.GetWaitUs()) * time.Microsecond,
			ServiceTime: time.Duration(f.GetRunUs()) * time.Microsecond,

			PreferredServer: f.GetPreferred(),
		}
	}
	return r
}

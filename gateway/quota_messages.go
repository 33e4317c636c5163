package gateway

import (
	"math"
	"time"

	"github.com/pkg/errors"

	"github.com/goldcrestspan/goldcrestspan/quota"
	"github.com/goldcrestspan/goldcrestspan/quota/quotapb"
)

func encodeAsks(asks []quota.Ask) *quotapb.ReportRequest {
	m := &quotapb.ReportRequest{}
	for _, ask := range asks {
		encoded := &quotapb.Ask{Customer: ask.Customer, Needed: count(ask.Needed), Ahead: count(ask.Ahead), Refused: count(ask.Refused)}
		for _, r := range ask.Returned {
			encoded.Returned = append(encoded.Returned, &quotapb.Return{Grantor: r.Grantor, Seq: r.Seq, Count: count(r.Count)})
		}
		m.Asks = append(m.Asks, encoded)
	}
	return m
}

func decodeAsks(m *quotapb.ReportRequest) []quota.Ask {
	var asks []quota.Ask
	for _, encoded := range m.GetAsks() {
		ask := quota.Ask{
			Customer: encoded.GetCustomer(), Needed: int(encoded.GetNeeded()), Ahead: int(encoded.GetAhead()), Refused: int(encoded.GetRefused()),
		}
		for _, r := range encoded.GetReturned() {
			ask.Returned = append(ask.Returned, quota.Return{Grantor: r.GetGrantor(), Seq: r.GetSeq(), Count: int(r.GetCount())})
		}
		asks = append(asks, ask)
	}
	return asks
}

func encodeGrants(instance uint64, grants []quota.Grant) *quotapb.ReportReply {
	m := &quotapb.ReportReply{Grantor: instance}
	for _, grant := range grants {
		m.Grants = append(m.Grants, &quotapb.Grant{
			Count: count(grant.Count), Seq: grant.Seq, NotGrantor: grant.NotGrantor,
			RoomInMs: ceilMilliseconds(grant.RoomIn), RetryInMs: ceilMilliseconds(grant.RetryIn),
			SpacingUs: uint32(min(grant.Spacing/time.Microsecond, math.MaxUint32)), Slots: count(grant.Slots),
		})
	}
	return m
}

// decodeGrants decodes the answers to so many asks.
func decodeGrants(m *quotapb.ReportReply, asks int) (instance uint64, grants []quota.Grant, err error) {
	if len(m.GetGrants()) != asks {
		return 0, nil, errors.Errorf("%d answers to %d questions about limits", len(m.GetGrants()), asks)
	}
	for _, encoded := range m.GetGrants() {
		grants = append(grants, quota.Grant{
			Count: int(encoded.GetCount()), Seq: encoded.GetSeq(), NotGrantor: encoded.GetNotGrantor(),
			RoomIn: duration(encoded.GetRoomInMs()), RetryIn: duration(encoded.GetRetryInMs()),
			Spacing: time.Duration(encoded.GetSpacingUs()) * time.Microsecond, Slots: int(encoded.GetSlots()),
		})
	}
	return m.GetGrantor(), grants, nil
}

func encodeHandovers(handovers []quota.Handover) *quotapb.HandOverRequest {
	m := &quotapb.HandOverRequest{}
	for _, h := range handovers {
		m.Handovers = append(m.Handovers, &quotapb.Handover{Customer: h.Customer, Level: h.Level, Settled: h.Settled, Issued: count(h.Issued)})
	}
	return m
}

func decodeHandovers(m *quotapb.HandOverRequest) (handovers []quota.Handover) {
	for _, h := range m.GetHandovers() {
		handovers = append(handovers, quota.Handover{Customer: h.GetCustomer(), Level: h.GetLevel(), Settled: h.GetSettled(), Issued: int(h.GetIssued())})
	}
	return handovers
}

func count(n int) uint32 { return uint32(min(max(n, 0), math.MaxInt32)) }

// ceilMilliseconds rounds up, so that room that is promised is there.
func ceilMilliseconds(d time.Duration) uint32 {
	return uint32(min((max(d, 0)+time.Millisecond-1)/time.Millisecond, math.MaxInt32))
}

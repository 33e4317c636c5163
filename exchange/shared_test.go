package exchange

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/goldcrestspan/goldcrestspan/forward"
	"github.com/goldcrestspan/goldcrestspan/ident"
	"github.com/goldcrestspan/goldcrestspan/leg"
	"github.com/goldcrestspan/goldcrestspan/result"
)

// Guards against encoding absolute times or losing fields of a leg on its way to a home and back.
func TestLegOfASearchIsEncodedWhole(t *testing.T) {
	is := is.New(t)
	now := time.Date(2026, time.January, 1, 0, 0, 0, 0, time.UTC)
	sent := leg.Request{
		Request: ident.NewRequestID(), Service: "s", Shard: 7, Snapshot: 12, Class: "class", Deadline: now.Add(time.Second), SoftDeadline: now.Add(80 * time.Millisecond),
		Idempotent: true, Optional: true, MaxServers: 2, Body: []byte("body"),
		Forward: &forward.Request{
			AttemptID: "attempt", Method: "GET", Target: "/s/x?y", Host: "x.example", Header: map[string][]string{"A": {"b"}},
			Merge: &forward.Merge{TopK: 20, Services: 180},
		},
	}
	head := encodeHead(1, sent, now)
	later := now.Add(time.Hour) // the other host's clock
	in := &inbound{server: &Server{now: func() time.Time { return later }, Forecast: func(string, string) leg.Forecast { return leg.Forecast{} }}, out: newOutbox(), heads: map[uint32]*inboundHead{}}
	in.heads[1] = in.newHead(head)
	defer in.endHead(1)
	got, batcher := in.decode(encodeShared(3, 1, sent))
	is.True(batcher != nil)
	want := sent
	want.Deadline, want.SoftDeadline = later.Add(time.Second), later.Add(80*time.Millisecond)
	is.Equal(got, want)

	res := leg.Failed(got, 0, result.OutcomeRan, "")
	res.Snapshot, res.Body, res.Digest = 12, []byte("records"), leg.Digest([]byte("records"))
	res.Attempts, res.Hedges, res.Truncated, res.QueueTime = 2, 1, true, time.Millisecond
	res.Reply = &forward.Reply{Body: res.Body, Signature: "signature"}
	decoded := decodeSharedReply(encodeSharedReply(3, res, leg.Forecast{QueueTime: time.Millisecond, ServiceTime: 2 * time.Millisecond}), sent)
	res.Forecast = &leg.Forecast{QueueTime: time.Millisecond, ServiceTime: 2 * time.Millisecond}
	is.Equal(decoded, res)
}

// Guards against a crash when a peer refers to a head that it never sent.
func TestLegWithoutItsHeadIsRefused(t *testing.T) {
	is := is.New(t)
	in := &inbound{server: &Server{now: time.Now}, heads: map[uint32]*inboundHead{}}
	got, batcher := in.decode(encodeShared(3, 9, leg.Request{Service: "s"}))
	is.True(got.Forward == nil)
	is.True(batcher == nil)
}

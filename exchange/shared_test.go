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

// A leg crosses to the home of its service and back. What the home runs must be what
// the root asked for, with the time that is left and not the time of day, and what the
// root hears must count for the leg that it knows, whatever comes back.
func TestLegOfASearchCrossesWhole(t *testing.T) {
	is := is.New(t)
	now := time.Date(2026, time.January, 1, 0, 0, 0, 0, time.UTC)
	asked := leg.Request{
		Request: ident.NewRequestID(), Service: "s", Shard: 7, Snapshot: 12, Class: "class", Deadline: now.Add(time.Second), SoftDeadline: now.Add(80 * time.Millisecond),
		Idempotent: true, Optional: true, MaxServers: 2, Body: []byte("body"),
		Forward: &forward.Request{
			AttemptID: "attempt", Method: "GET", Target: "/s/x?y", Host: "x.example", Header: map[string][]string{"A": {"b"}},
			Merge: &forward.Merge{Greatest: 20, Services: 180},
		},
	}
	head := encodeHead(1, asked, now)
	later := now.Add(time.Hour) // the other host's clock
	in := &inbound{server: &Server{now: func() time.Time { return later }, Forecast: func(string, string) leg.Forecast { return leg.Forecast{} }}, out: newOutbox(), heads: map[uint32]*inboundHead{}}
	in.heads[1] = in.newHead(head)
	defer in.endHead(1)
	got, replies := in.decode(encodeShared(3, 1, asked))
	is.True(replies != nil)
	want := asked
	want.Deadline, want.SoftDeadline = later.Add(time.Second), later.Add(80*time.Millisecond)
	is.Equal(got, want)

	ended := leg.Failed(got, 0, result.OutcomeRan, "")
	ended.Snapshot, ended.Body, ended.Digest = 12, []byte("records"), leg.Digest([]byte("records"))
	ended.Attempts, ended.Hedges, ended.Truncated, ended.QueueTime = 2, 1, true, time.Millisecond
	ended.Reply = &forward.Reply{Body: ended.Body, Signature: "signature"}
	heard := decodeSharedReply(encodeSharedReply(3, ended, leg.Forecast{QueueTime: time.Millisecond, ServiceTime: 2 * time.Millisecond}), asked)
	ended.Forecast = &leg.Forecast{QueueTime: time.Millisecond, ServiceTime: 2 * time.Millisecond}
	is.Equal(heard, ended)
}

// A peer names a head that was never sent. Its leg must be refused, not crash the host.
func TestLegWithoutItsHeadIsRefused(t *testing.T) {
	is := is.New(t)
	in := &inbound{server: &Server{now: time.Now}, heads: map[uint32]*inboundHead{}}
	got, replies := in.decode(encodeShared(3, 9, leg.Request{Service: "s"}))
	is.True(got.Forward == nil)
	is.True(replies == nil)
}

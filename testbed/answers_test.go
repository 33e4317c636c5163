package testbed_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/goldcrestspan/goldcrestspan/client"
	"github.com/goldcrestspan/goldcrestspan/metastore"
	"github.com/goldcrestspan/goldcrestspan/result"
	"github.com/goldcrestspan/goldcrestspan/settings"
	"github.com/goldcrestspan/goldcrestspan/snapshot"
	"github.com/goldcrestspan/goldcrestspan/standin"
	"github.com/goldcrestspan/goldcrestspan/testbed"
)

// Sales staff see Monday's and Tuesday's slots in one list. A server answers
// from an older version than it was asked for; the query must not use it.
func TestServerThatAnswersFromAnotherSnapshot(t *testing.T) {
	is := is.New(t)
	bed := small(t, nil)
	for _, standIn := range bed.BackendsOfService(testbed.ServiceName(index, 0)) {
		standIn.SetFaults(standin.BackendFaults{AnswerFrom: 9})
	}
	c := newClient(t, bed.CallerAddresses()...)
	answer, err := ask(t, c, "part", `{}`)
	is.NoErr(err)
	is.Equal(answer.Code, result.Partial)
	is.Equal(answer.Coverage.Have, 3)
	checker := newChecker(bed)
	checker.CheckAnswer([]byte(`{}`), answer)
	broken, _ := checker.Finish()
	is.Equal(len(broken), 0)
}

// The index is repartitioned from four shards to six while queries run. Each
// answer must count its coverage by the map of its own version, and replicas
// that load the new version late must not cost anyone an answer.
func TestRepartitionWhileQueriesRun(t *testing.T) {
	is := is.New(t)
	bed := small(t, func(c *testbed.Config) { c.ManualSnapshots = true })
	traffic := startTraffic(t, bed, "whole")
	await(t, "queries", func() bool { return traffic.sent.Load() > 200 })
	next := bed.ShardMap(index, 2)
	for i := range 2 {
		next.Shards = append(next.Shards, snapshot.Shard{ID: snapshot.ShardID(5 + i), Service: testbed.ServiceName(index, i)})
	}
	is.NoErr(bed.Publish(next))
	for _, standIn := range bed.Backends {
		seen := traffic.sent.Load()
		await(t, "queries between two loads", func() bool { return traffic.sent.Load() > seen+20 })
		standIn.AddSnapshot(index, 2)
	}
	c := newClient(t, bed.CallerAddresses()...)
	await(t, "the new version in answers", func() bool {
		answer, err := ask(t, c, "whole", `{}`)
		return err == nil && answer.Snapshot.Version == 2 && answer.Coverage.Total == 6
	})
	traffic.end(t)
	is.Equal(traffic.failed.Load(), int64(0)) // nobody lost an answer
}

// Both servers of a service are gone. On a route that takes parts the answer
// must name the missing shard; on one that needs all there is a refusal.
func TestLostShard(t *testing.T) {
	is := is.New(t)
	bed := small(t, nil)
	for _, standIn := range bed.BackendsOfService(testbed.ServiceName(index, 2)) {
		is.NoErr(standIn.Close())
	}
	c := newClient(t, bed.CallerAddresses()...)
	answer, err := ask(t, c, "part", `{}`)
	is.NoErr(err)
	is.Equal(answer.Code, result.Partial)
	is.Equal(len(answer.Missing), 1)
	is.Equal(answer.Missing[0].Shard, snapshot.ShardID(3))
	is.True(!answer.Coverage.Complete)
	_, err = ask(t, c, "whole", `{}`)
	is.True(err != nil)
}

// Replies come half, damaged, crossed, late or not at all. Whatever reaches a caller
// must be the whole answer to its own request.
func TestDamagedAndCrossedReplies(t *testing.T) {
	bed := small(t, nil)
	traffic := startTraffic(t, bed, "part")
	for round := range 20 {
		standIn := bed.Backends[round%len(bed.Backends)]
		standIn.SetFaults(standin.BackendFaults{
			TruncatedReplies: round % 2,
			CorruptReplies:   round % 3,
			MisroutedReplies: 2,
			LostReplies:      round % 4 / 3,
			LateBy:           time.Duration(round%5/4) * 30 * time.Millisecond,
		})
		seen := traffic.sent.Load()
		await(t, "queries", func() bool { return traffic.sent.Load() > seen+30 })
	}
	traffic.end(t)
}

// A caller is told "not run" although a server has run its query. Servers shed,
// refuse without a word, fail and leave; each "not run" is compared with what
// the servers recorded.
func TestNotRunIsTrue(t *testing.T) {
	bed := small(t, nil)
	traffic := startTraffic(t, bed, "whole")
	for round := range 16 {
		for _, standIn := range bed.BackendsOfService(testbed.ServiceName(index, round%4)) {
			standIn.SetFaults(standin.BackendFaults{ShedNext: 20, BareRefusals: round % 2})
		}
		seen := traffic.sent.Load()
		await(t, "queries", func() bool { return traffic.sent.Load() > seen+30 })
	}
	for _, standIn := range bed.BackendsOfService(testbed.ServiceName(index, 0)) {
		bed.SetServerState(standIn, metastore.StateLeaving)
		standIn.SetDraining(true)
	}
	seen := traffic.sent.Load()
	await(t, "queries without the service", func() bool { return traffic.sent.Load() > seen+100 })
	traffic.end(t)
}

// A stranger probes for routes. It must not learn which exist, nor get in.
func TestStrangersLearnNothing(t *testing.T) {
	is := is.New(t)
	bed := small(t, nil)
	for _, tc := range []struct{ token, route string }{
		{"token-of-stranger", "whole"}, {"token-of-stranger", "none"},
	} {
		c, err := client.New(client.Options{Seeds: bed.CallerAddresses(), Token: tc.token})
		is.NoErr(err)
		answer, err := ask(t, c, tc.route, `{}`)
		is.True(err != nil)
		is.Equal(answer.Code, result.RouteNotAllowed)
		is.Equal(answer.Detail, "")
	}
	c, err := client.New(client.Options{Seeds: bed.CallerAddresses(), Token: "wrong"})
	is.NoErr(err)
	answer, err := ask(t, c, "whole", `{}`)
	is.True(err != nil)
	is.Equal(answer.Code, result.Unauthorized)
	is.Equal(bed.Record.Count(), 0)
}

// Replies come after the deadline of a query that takes parts. The caller must
// have its partial answer in time, and the late replies must reach nobody.
func TestLateReplies(t *testing.T) {
	is := is.New(t)
	bed := small(t, nil)
	for _, standIn := range bed.BackendsOfService(testbed.ServiceName(index, 1)) {
		standIn.SetFaults(standin.BackendFaults{LateBy: 700 * time.Millisecond})
	}
	c := newClient(t, bed.CallerAddresses()...)
	checker := newChecker(bed)
	for n := range 8 {
		body := fmt.Appendf(nil, `{"n":%d}`, n)
		ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
		answer, err := c.Query(ctx, "part", client.Query{Body: body, Detail: true})
		cancel()
		if err != nil {
			// A busy machine may be late itself; it is told so, with no parts.
			is.True(answer == nil || len(answer.Shards) == 0)
			continue
		}
		is.Equal(answer.Code, result.Partial)
		checker.CheckAnswer(body, answer)
	}
	broken, _ := checker.Finish()
	is.Equal(len(broken), 0)
}

// An export takes longer than a caller may take to send its request. The time
// limit on reading the request must not cut off the answer.
func TestAnswerMayTakeLongerThanReadingTheRequest(t *testing.T) {
	is := is.New(t)
	bed := small(t, func(c *testbed.Config) {
		c.Groups[0].Time = standin.ServiceTime{Base: 700 * time.Millisecond}
		tune := c.ModifySettings
		c.ModifySettings = func(s *settings.Settings) {
			tune(s)
			s.Limits.BodyTimeout = 200 * time.Millisecond
		}
	})
	answer, err := ask(t, newClient(t, bed.CallerAddresses()...), "whole", `{}`)
	is.NoErr(err)
	is.True(answer.Coverage.Complete)
}

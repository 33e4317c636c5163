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

// Backend servers answer from another snapshot than the requested one. Their replies
// must not be used, because an answer must not mix snapshots.
func TestServerThatAnswersFromAnotherSnapshot(t *testing.T) {
	is := is.New(t)
	cluster := startSmall(t, nil)
	for _, standIn := range cluster.BackendsOfService(testbed.ServiceName(indexName, 0)) {
		standIn.SetFaults(standin.BackendFaults{AnswerSnapshot: 9})
	}
	c := newClient(t, cluster.CallerAddresses()...)
	answer, err := query(t, c, "part", `{}`)
	is.NoErr(err)
	is.Equal(answer.Code, result.Partial)
	is.Equal(answer.Coverage.Have, 3)
	checker := newChecker(cluster)
	checker.CheckAnswer([]byte(`{}`), answer)
	violations, _ := checker.Finish()
	is.Equal(len(violations), 0)
}

// The index is repartitioned from four shards to six while queries run. Each answer
// must state the coverage of its own snapshot, and no query may fail while servers
// load the new snapshot one by one.
func TestRepartitionWhileQueriesRun(t *testing.T) {
	is := is.New(t)
	cluster := startSmall(t, func(c *testbed.Config) { c.ManualSnapshots = true })
	traffic := startTraffic(t, cluster, "whole")
	waitFor(t, "queries", func() bool { return traffic.sent.Load() > 200 })
	next := cluster.ShardMap(indexName, 2)
	for i := range 2 {
		next.Shards = append(next.Shards, snapshot.Shard{ID: snapshot.ShardID(5 + i), Service: testbed.ServiceName(indexName, i)})
	}
	is.NoErr(cluster.Publish(next))
	for _, standIn := range cluster.Backends {
		seen := traffic.sent.Load()
		waitFor(t, "queries between two loads", func() bool { return traffic.sent.Load() > seen+20 })
		standIn.AddSnapshot(indexName, 2)
	}
	c := newClient(t, cluster.CallerAddresses()...)
	waitFor(t, "the new version in answers", func() bool {
		answer, err := query(t, c, "whole", `{}`)
		return err == nil && answer.Snapshot.Version == 2 && answer.Coverage.Total == 6
	})
	traffic.finish(t)
	is.Equal(traffic.failed.Load(), int64(0))
}

// All servers of a service are down. A route that allows partial answers must name the
// missing shard; a route that needs all shards must refuse the query.
func TestLostShard(t *testing.T) {
	is := is.New(t)
	cluster := startSmall(t, nil)
	for _, standIn := range cluster.BackendsOfService(testbed.ServiceName(indexName, 2)) {
		is.NoErr(standIn.Close())
	}
	c := newClient(t, cluster.CallerAddresses()...)
	answer, err := query(t, c, "part", `{}`)
	is.NoErr(err)
	is.Equal(answer.Code, result.Partial)
	is.Equal(len(answer.Missing), 1)
	is.Equal(answer.Missing[0].Shard, snapshot.ShardID(3))
	is.True(!answer.Coverage.Complete)
	_, err = query(t, c, "whole", `{}`)
	is.True(err != nil)
}

// Replies are truncated, corrupt, misrouted, late or lost. Callers must only receive
// complete answers to their own queries.
func TestCorruptAndMisroutedReplies(t *testing.T) {
	cluster := startSmall(t, nil)
	traffic := startTraffic(t, cluster, "part")
	for round := range 20 {
		standIn := cluster.Backends[round%len(cluster.Backends)]
		standIn.SetFaults(standin.BackendFaults{
			TruncatedReplies: round % 2,
			CorruptReplies:   round % 3,
			MisroutedReplies: 2,
			LostReplies:      round % 4 / 3,
			ReplyDelay:       time.Duration(round%5/4) * 30 * time.Millisecond,
		})
		seen := traffic.sent.Load()
		waitFor(t, "queries", func() bool { return traffic.sent.Load() > seen+30 })
	}
	traffic.finish(t)
}

// Servers shed calls, send unmarked 503 replies and leave. A query that is reported as
// not run must not be in the servers' record.
func TestNotRunMatchesTheRecord(t *testing.T) {
	cluster := startSmall(t, nil)
	traffic := startTraffic(t, cluster, "whole")
	for round := range 16 {
		for _, standIn := range cluster.BackendsOfService(testbed.ServiceName(indexName, round%4)) {
			standIn.SetFaults(standin.BackendFaults{ShedCalls: 20, Unmarked503s: round % 2})
		}
		seen := traffic.sent.Load()
		waitFor(t, "queries", func() bool { return traffic.sent.Load() > seen+30 })
	}
	for _, standIn := range cluster.BackendsOfService(testbed.ServiceName(indexName, 0)) {
		cluster.SetServerState(standIn, metastore.StateLeaving)
		standIn.SetDraining(true)
	}
	seen := traffic.sent.Load()
	waitFor(t, "queries without the service", func() bool { return traffic.sent.Load() > seen+100 })
	traffic.finish(t)
}

// A caller without permission must not learn which routes exist.
func TestUnauthorizedCallerLearnsNothing(t *testing.T) {
	is := is.New(t)
	cluster := startSmall(t, nil)
	for _, tc := range []struct{ token, route string }{
		{"token-of-stranger", "whole"}, {"token-of-stranger", "none"},
	} {
		c, err := client.New(client.Options{Seeds: cluster.CallerAddresses(), Token: tc.token})
		is.NoErr(err)
		answer, err := query(t, c, tc.route, `{}`)
		is.True(err != nil)
		is.Equal(answer.Code, result.RouteNotAllowed)
		is.Equal(answer.Detail, "")
	}
	c, err := client.New(client.Options{Seeds: cluster.CallerAddresses(), Token: "wrong"})
	is.NoErr(err)
	answer, err := query(t, c, "whole", `{}`)
	is.True(err != nil)
	is.Equal(answer.Code, result.Unauthorized)
	is.Equal(cluster.Record.Count(), 0)
}

// Replies arrive after the deadline of a query that allows a partial answer. The caller
// must get the partial answer in time, without the late replies.
func TestLateReplies(t *testing.T) {
	is := is.New(t)
	cluster := startSmall(t, nil)
	for _, standIn := range cluster.BackendsOfService(testbed.ServiceName(indexName, 1)) {
		standIn.SetFaults(standin.BackendFaults{ReplyDelay: 700 * time.Millisecond})
	}
	c := newClient(t, cluster.CallerAddresses()...)
	checker := newChecker(cluster)
	for n := range 8 {
		body := fmt.Appendf(nil, `{"n":%d}`, n)
		ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
		answer, err := c.Query(ctx, "part", client.Query{Body: body, Detail: true})
		cancel()
		if err != nil {
			// On a slow host the query itself may fail; it must then return no parts.
			is.True(answer == nil || len(answer.Shards) == 0)
			continue
		}
		is.Equal(answer.Code, result.Partial)
		checker.CheckAnswer(body, answer)
	}
	violations, _ := checker.Finish()
	is.Equal(len(violations), 0)
}

// A query takes longer than the timeout for reading a request body. The timeout must
// not apply to the answer.
func TestAnswerMayExceedBodyTimeout(t *testing.T) {
	is := is.New(t)
	cluster := startSmall(t, func(c *testbed.Config) {
		c.Groups[0].Time = standin.ServiceTime{Base: 700 * time.Millisecond}
		modifySettings := c.ModifySettings
		c.ModifySettings = func(s *settings.Settings) {
			modifySettings(s)
			s.Limits.BodyTimeout = 200 * time.Millisecond
		}
	})
	answer, err := query(t, newClient(t, cluster.CallerAddresses()...), "whole", `{}`)
	is.NoErr(err)
	is.True(answer.Coverage.Complete)
}

package testbed_test

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/goldcrestspan/goldcrestspan/backend"
	"github.com/goldcrestspan/goldcrestspan/bundle"
	"github.com/goldcrestspan/goldcrestspan/client"
	"github.com/goldcrestspan/goldcrestspan/settings"
	"github.com/goldcrestspan/goldcrestspan/standin"
	"github.com/goldcrestspan/goldcrestspan/testbed"
)

const (
	indexName   = "slots"
	callerToken = "token-of-desk"
	adviceTTL   = time.Second
	// testTimeout is far above any duration of a passing test, also on a slow host.
	testTimeout = 10 * time.Second
)

// startSmall starts four services with two servers each, and three hosts.
func startSmall(t *testing.T, modify func(*testbed.Config)) *testbed.Cluster {
	t.Helper()
	config := testbed.Config{
		Groups: []testbed.ServiceGroup{{
			Index: indexName, Services: 4, Servers: 2, Slots: 2, Connections: 25,
			Time: standin.ServiceTime{Base: time.Millisecond, Mean: time.Millisecond},
		}},
		Hosts: 3,
		Documents: bundle.Documents{
			Classes: []bundle.Class{{Name: "standard", ReservedShare: 1, DefaultDeadline: bundle.Duration(testTimeout)}},
			Callers: []bundle.Caller{
				{Name: "desk", TokenSHA256: testbed.TokenHash(callerToken)},
				{Name: "stranger", TokenSHA256: testbed.TokenHash("token-of-stranger")},
			},
			Routes: []bundle.Route{
				route("whole", bundle.KindQuery, 1),
				route("part", bundle.KindQuery, 0.5),
				route("book", bundle.KindBooking, 1),
			},
			Policy: bundle.Policy{AdviceTTL: bundle.Duration(adviceTTL)},
		},
		ModifySettings: func(s *settings.Settings) { s.Limits.StopTimeout = testTimeout },
		Seed:           1,
	}
	if modify != nil {
		modify(&config)
	}
	cluster, err := testbed.Start(t.Context(), config)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(cluster.Close)
	return cluster
}

func route(name string, kind bundle.RouteKind, minCoverage float64) bundle.Route {
	return bundle.Route{
		Name: name, Kind: kind, Index: indexName, Callers: []string{"desk"},
		Classes: []string{"standard"}, Prefer: bundle.PreferCoverage, MinCoverage: minCoverage,
	}
}

func newClient(t *testing.T, seeds ...string) *client.Client {
	t.Helper()
	c, err := client.New(client.Options{Seeds: seeds, Token: callerToken})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Close)
	return c
}

// traffic sends queries from several goroutines and checks the replies.
type traffic struct {
	checker *testbed.Checker
	stop    context.CancelFunc
	senders sync.WaitGroup
	sent    atomic.Int64
	failed  atomic.Int64
	lastErr atomic.Value
}

const senderCount = 8

func startTraffic(t *testing.T, cluster *testbed.Cluster, routeName string) *traffic {
	t.Helper()
	ctx, stop := context.WithCancel(t.Context())
	tr := &traffic{stop: stop, checker: newChecker(cluster)}
	for i := range senderCount {
		c := newClient(t, cluster.CallerAddresses()...)
		tr.senders.Add(1)
		go func() {
			defer tr.senders.Done()
			for n := 0; ctx.Err() == nil; n++ {
				tr.query(c, routeName, fmt.Appendf(nil, `{"sender":%d,"n":%d}`, i, n))
			}
		}()
	}
	return tr
}

func newChecker(cluster *testbed.Cluster) *testbed.Checker {
	return testbed.NewChecker(cluster.Record, cluster.ShardCount)
}

func (tr *traffic) query(c *client.Client, routeName string, body []byte) {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	answer, err := c.Query(ctx, routeName, client.Query{Body: body, Detail: true})
	tr.sent.Add(1)
	if err != nil {
		tr.failed.Add(1)
		tr.lastErr.Store(err.Error())
	}
	if answer != nil {
		tr.checker.CheckAnswer(body, answer)
	}
}

// finish stops the senders and reports every violation as a test error.
func (tr *traffic) finish(t *testing.T) {
	t.Helper()
	tr.stop()
	tr.senders.Wait()
	violations, checked := tr.checker.Finish()
	for _, violation := range violations {
		t.Error(violation)
	}
	if checked == 0 {
		t.Error("no reply was checked")
	}
}

// waitFor polls until the condition holds and fails the test on a timeout.
func waitFor(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(2 * testTimeout); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		if condition() {
			return
		}
	}
	t.Fatalf("timed out waiting for %s", what)
}

func query(t *testing.T, c *client.Client, routeName, body string) (*client.Answer, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	return c.Query(ctx, routeName, client.Query{Body: []byte(body), Detail: true})
}

func bodyDigest(body string) string { return backend.Digest([]byte(body)) }

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
	index      = "slots"
	token      = "token-of-desk"
	adviceTime = time.Second
	// patient is a deadline that no healthy run comes near, so that a busy
	// machine changes no verdict.
	patient = 10 * time.Second
)

// small is a bed of four services with two servers each and three hosts.
func small(t *testing.T, change func(*testbed.Config)) *testbed.Cluster {
	t.Helper()
	config := testbed.Config{
		Groups: []testbed.ServiceGroup{{
			Index: index, Services: 4, Servers: 2, Slots: 2, Connections: 25,
			Time: standin.ServiceTime{Base: time.Millisecond, Mean: time.Millisecond},
		}},
		Hosts: 3,
		Documents: bundle.Documents{
			Classes: []bundle.Class{{Name: "standard", ReservedShare: 1, DefaultDeadline: bundle.Duration(patient)}},
			Callers: []bundle.Caller{
				{Name: "desk", TokenSHA256: testbed.TokenHash(token)},
				{Name: "stranger", TokenSHA256: testbed.TokenHash("token-of-stranger")},
			},
			Routes: []bundle.Route{
				route("whole", bundle.KindQuery, 1),
				route("part", bundle.KindQuery, 0.5),
				route("book", bundle.KindBooking, 1),
			},
			Policy: bundle.Policy{AdviceTTL: bundle.Duration(adviceTime)},
		},
		ModifySettings: func(s *settings.Settings) { s.Limits.StopTimeout = patient },
		Seed:           1,
	}
	if change != nil {
		change(&config)
	}
	bed, err := testbed.Start(t.Context(), config)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(bed.Close)
	return bed
}

func route(name string, kind bundle.RouteKind, least float64) bundle.Route {
	return bundle.Route{
		Name: name, Kind: kind, Index: index, Callers: []string{"desk"},
		Classes: []string{"standard"}, Prefer: bundle.PreferCoverage, MinCoverage: least,
	}
}

func newClient(t *testing.T, seeds ...string) *client.Client {
	t.Helper()
	c, err := client.New(client.Options{Seeds: seeds, Token: token})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Close)
	return c
}

// traffic sends queries from several goroutines until it is stopped, and has
// every reply checked.
type traffic struct {
	checker *testbed.Checker
	stop    context.CancelFunc
	work    sync.WaitGroup
	sent    atomic.Int64
	failed  atomic.Int64
	lastErr atomic.Value
}

const senders = 8

func startTraffic(t *testing.T, bed *testbed.Cluster, routeName string) *traffic {
	t.Helper()
	ctx, stop := context.WithCancel(t.Context())
	tr := &traffic{stop: stop, checker: newChecker(bed)}
	for i := range senders {
		c := newClient(t, bed.CallerAddresses()...)
		tr.work.Add(1)
		go func() {
			defer tr.work.Done()
			for n := 0; ctx.Err() == nil; n++ {
				tr.query(c, routeName, fmt.Appendf(nil, `{"sender":%d,"n":%d}`, i, n))
			}
		}()
	}
	return tr
}

func newChecker(bed *testbed.Cluster) *testbed.Checker {
	return testbed.NewChecker(bed.Record, bed.ShardCount)
}

func (tr *traffic) query(c *client.Client, routeName string, body []byte) {
	ctx, cancel := context.WithTimeout(context.Background(), patient)
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

// end stops the senders and fails the test for every broken promise.
func (tr *traffic) end(t *testing.T) {
	t.Helper()
	tr.stop()
	tr.work.Wait()
	broken, checked := tr.checker.Finish()
	for _, b := range broken {
		t.Error(b)
	}
	if checked == 0 {
		t.Error("nothing was checked")
	}
}

// await polls until the condition holds; it fails the test after a time that no
// healthy run comes near.
func await(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(2 * patient); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		if condition() {
			return
		}
	}
	t.Fatalf("waited in vain: %s", what)
}

func ask(t *testing.T, c *client.Client, routeName, body string) (*client.Answer, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), patient)
	defer cancel()
	return c.Query(ctx, routeName, client.Query{Body: []byte(body), Detail: true})
}

func bodyDigest(body string) string { return backend.Digest([]byte(body)) }

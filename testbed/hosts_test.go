package testbed_test

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/goldcrestspan/goldcrestspan/backend"
	"github.com/goldcrestspan/goldcrestspan/client"
	"github.com/goldcrestspan/goldcrestspan/front"
	"github.com/goldcrestspan/goldcrestspan/metastore"
	"github.com/goldcrestspan/goldcrestspan/result"
	"github.com/goldcrestspan/goldcrestspan/standin"
	"github.com/goldcrestspan/goldcrestspan/testbed"
)

// All hosts are replaced one by one under load. No request may fail, although callers
// still use cached advice that names a stopping host.
func TestRollingRestartFailsNoRequest(t *testing.T) {
	is := is.New(t)
	cluster := startSmall(t, nil)
	traffic := startTraffic(t, cluster, "whole")
	for _, old := range cluster.Hosts() {
		newHost, err := cluster.StartHost()
		is.NoErr(err)
		waitFor(t, "the new host", newHost.Serving)
		is.NoErr(old.Stop())
	}
	traffic.finish(t)
	if traffic.failed.Load() > 0 {
		t.Fatalf("%d of %d requests failed, the last with: %v", traffic.failed.Load(), traffic.sent.Load(), traffic.lastErr.Load())
	}
}

// A host crashes while it runs legs for other hosts. The legs must fail over to the
// fallback home, and the answers must stay correct.
func TestKilledHost(t *testing.T) {
	cluster := startSmall(t, nil)
	traffic := startTraffic(t, cluster, "part")
	waitFor(t, "queries", func() bool { return traffic.sent.Load() > 200 })
	cluster.Hosts()[1].Kill()
	seen := traffic.sent.Load()
	waitFor(t, "queries without the host", func() bool { return traffic.sent.Load() > seen+300 })
	waitFor(t, "the other hosts to detect the crash", func() bool {
		for _, host := range cluster.Hosts() {
			for _, other := range host.Status().Hosts {
				if other.State == "alive" && other.Host == "host-2" {
					return false
				}
			}
		}
		return true
	})
	traffic.finish(t)
}

// A booking is sent several times through two hosts at once. It must run once.
func TestBookingSentToTwoHostsAtOnce(t *testing.T) {
	is := is.New(t)
	cluster := startSmall(t, nil)
	addresses := cluster.CallerAddresses()
	one, two := newClient(t, addresses[0]), newClient(t, addresses[1])
	checker := newChecker(cluster)
	for n := range 40 {
		body := []byte(`{"key":"loop-` + string(rune('a'+n%26)) + `","n":` + string(rune('0'+n/26)) + `}`)
		ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
		ticket, err := one.Ticket(ctx, "book")
		is.NoErr(err)
		checker.AddBooking(backend.Digest(body))
		var wg sync.WaitGroup
		for _, c := range []*client.Client{one, two, one, two} {
			wg.Go(func() {
				answer, err := c.Book(ctx, "book", ticket, client.Booking{Body: body})
				if err != nil {
					t.Errorf("booking: %v", err)
					return
				}
				checker.CheckBookingAnswer(body, answer)
			})
		}
		wg.Wait()
		cancel()
	}
	violations, _ := checker.Finish()
	is.Equal(len(violations), 0)
	is.Equal(cluster.Record.Count(), 40)
}

// The server's reply to a booking is lost. Each repetition must report an unknown
// outcome, and the booking must not run again.
func TestBookingWithLostReplyIsUnknown(t *testing.T) {
	is := is.New(t)
	cluster := startSmall(t, nil)
	for _, standIn := range cluster.Backends {
		standIn.SetFaults(standin.BackendFaults{LostReplies: 100})
	}
	c := newClient(t, cluster.CallerAddresses()...)
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	ticket, err := c.Ticket(ctx, "book")
	is.NoErr(err)
	for range 3 {
		answer, err := c.Book(ctx, "book", ticket, client.Booking{Body: []byte(`{"key":"premiere"}`)})
		is.True(err != nil)
		is.Equal(answer.Code, result.OutcomeNotKnown)
	}
	is.Equal(cluster.Record.Count(), 1)
}

// The host that issued a ticket crashes. A booking with it at another host must report
// an unknown outcome, not "not run", and must not run.
func TestBookingWithTicketOfCrashedHost(t *testing.T) {
	is := is.New(t)
	cluster := startSmall(t, nil)
	hosts := cluster.Hosts()
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	ticket := issueTicket(t, hosts[0].CallerAddress())
	hosts[0].Kill()
	answer, err := newClient(t, hosts[1].CallerAddress()).Book(ctx, "book", ticket, client.Booking{Body: []byte(`{"key":"premiere"}`)})
	is.True(err != nil)
	is.Equal(answer.Code.Group(), result.GroupUnknown)
	is.Equal(cluster.Record.Count(), 0)
}

// issueTicket gets a ticket from one host. The client library would follow the advice
// and use another host.
func issueTicket(t *testing.T, address string) string {
	t.Helper()
	is := is.New(t)
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+address+"/v1/tickets/book", nil)
	is.NoErr(err)
	request.Header.Set("Authorization", "Bearer "+callerToken)
	response, err := http.DefaultClient.Do(request)
	is.NoErr(err)
	defer func() { _ = response.Body.Close() }()
	var reply front.TicketReply
	is.NoErr(json.NewDecoder(response.Body).Decode(&reply))
	return reply.Ticket
}

// A backend server is leaving according to the host list but accepts calls. It must
// get no new calls after a few seconds, and no query may fail.
func TestLeavingServerGetsNoNewWork(t *testing.T) {
	is := is.New(t)
	cluster := startSmall(t, nil)
	leavingServer := cluster.Backends[0]
	leavingServer.SetFaults(standin.BackendFaults{HideDraining: true})
	traffic := startTraffic(t, cluster, "whole")
	waitFor(t, "queries", func() bool { return traffic.sent.Load() > 100 })
	cluster.SetServerState(leavingServer, metastore.StateLeaving)
	time.Sleep(3 * time.Second) // the time within which new calls must stop
	limit := time.Now()
	seen := traffic.sent.Load()
	waitFor(t, "more queries", func() bool { return traffic.sent.Load() > seen+200 })
	traffic.finish(t)
	for _, run := range cluster.Record.Runs() {
		if run.Server == leavingServer.Server().Name && run.Started.After(limit) {
			t.Fatalf("%s got work %s after the limit", run.Server, run.Started.Sub(limit))
		}
	}
	is.Equal(traffic.failed.Load(), int64(0))
}

// The store fails right after a bundle was accepted. All hosts must still activate the
// bundle.
func TestBundleIsActivatedDuringStoreOutage(t *testing.T) {
	is := is.New(t)
	cluster := startSmall(t, nil)
	traffic := startTraffic(t, cluster, "whole")
	docs := cluster.Documents()
	docs.Policy.HedgeBudget = 0.01
	submitted, err := cluster.Submit(docs, "smaller hedge budget")
	is.NoErr(err)
	is.Equal(submitted.Ref.Generation, uint64(2))
	waitFor(t, "one host with the new bundle", func() bool {
		for _, host := range cluster.Hosts() {
			if host.Status().Generation == 2 {
				return true
			}
		}
		return false
	})
	cluster.Platform.SetFaults(standin.PlatformFaults{Down: true})
	waitFor(t, "all hosts with the new bundle", func() bool {
		for _, host := range cluster.Hosts() {
			if host.Status().Generation != 2 {
				return false
			}
		}
		return true
	})
	// Hosts that reach each other must keep serving during a long outage.
	time.Sleep(5 * time.Second)
	is.Equal(traffic.failed.Load(), int64(0))
	traffic.finish(t)
}

// A host starts while the platform is down. It must get configuration, snapshots and
// backend servers from its peers, and serve.
func TestHostStartsDuringStoreOutage(t *testing.T) {
	is := is.New(t)
	cluster := startSmall(t, nil)
	cluster.Platform.SetFaults(standin.PlatformFaults{Down: true, HostListDown: true})
	newHost, err := cluster.StartHost()
	is.NoErr(err)
	waitFor(t, "the new host", newHost.Serving)
	answer, err := query(t, newClient(t, newHost.CallerAddress()), "whole", `{}`)
	is.NoErr(err)
	is.True(answer.Coverage.Complete)
}

func lowestGeneration(cluster *testbed.Cluster) (lowest uint64) {
	for _, host := range cluster.Hosts() {
		if g := host.Status().Generation; lowest == 0 || g < lowest {
			lowest = g
		}
	}
	return lowest
}

// Bundles are submitted while the store returns stale reads. The generation of a host
// must never decrease.
func TestGenerationNeverDecreases(t *testing.T) {
	is := is.New(t)
	cluster := startSmall(t, nil)
	docs := cluster.Documents()
	last := uint64(1)
	for round := range 4 {
		cluster.Platform.SetFaults(standin.PlatformFaults{})
		docs.Policy.RetryBudget = 0.1 + float64(round)/100
		_, err := cluster.Submit(docs, "round")
		is.NoErr(err)
		cluster.Platform.SetFaults(standin.PlatformFaults{ReadLag: time.Second})
		waitFor(t, "the next generation everywhere", func() bool {
			lowest := lowestGeneration(cluster)
			is.True(lowest >= last)
			return lowest == last+1
		})
		last++
	}
}

package gateway

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"github.com/goldcrestspan/goldcrestspan/backend"
	"github.com/goldcrestspan/goldcrestspan/customer"
	"github.com/goldcrestspan/goldcrestspan/discover"
	"github.com/goldcrestspan/goldcrestspan/eligible"
	"github.com/goldcrestspan/goldcrestspan/forward"
	"github.com/goldcrestspan/goldcrestspan/freshness"
	"github.com/goldcrestspan/goldcrestspan/leg"
	"github.com/goldcrestspan/goldcrestspan/member"
	"github.com/goldcrestspan/goldcrestspan/observe"
	"github.com/goldcrestspan/goldcrestspan/result"
	"github.com/goldcrestspan/goldcrestspan/route"
	"github.com/goldcrestspan/goldcrestspan/scatter"
)

func testAccount(name string, priority *int, keys ...string) customer.Account {
	a := customer.Account{Customer: customer.Customer{Name: name, Priority: priority}}
	for _, key := range keys {
		a.Credentials = append(a.Credentials, customer.CredentialOf(key))
	}
	return a
}

func testConfiguration(t testing.TB, version uint64, previous *configuration, accounts ...customer.Account) *configuration {
	t.Helper()
	urgent, public := testRoute("b", time.Second), testRoute("c", 2*time.Second)
	urgent.Priority, public.Public = 0, true
	c, err := newConfiguration(1, &route.Config{
		Version: version, Services: []route.Service{{Name: "s"}}, Customers: accounts,
		Routes: []route.Route{testRoute("a", time.Second), urgent, public},
	}, previous)
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// Guards against a request whose class no home knows, and against other class names, which lose
// the latency statistics, where no customer has a priority.
func TestCustomersPriorityTakesPrecedence(t *testing.T) {
	is := is.New(t)
	low := 7
	c := testConfiguration(t, 1, nil, testAccount("a", &low, "k1"), testAccount("b", nil, "k2"))
	for i := range c.table.Config.Routes {
		r := &c.table.Config.Routes[i]
		for _, who := range []*customer.Customer{nil, &c.customers.Customers()[0], &c.customers.Customers()[1]} {
			_, _, known := c.compiled.Class(classOf(r, who))
			is.True(known && c.targets[classOf(r, who)] == r.TargetLatency)
		}
		is.Equal(classOf(r, &c.customers.Customers()[0]), "p7-1s")
		is.Equal(classOf(r, &c.customers.Customers()[1]), classOf(r, nil))
	}
	for _, accounts := range [][]customer.Account{nil, {testAccount("a", nil, "k")}} {
		classes := testConfiguration(t, 1, nil, accounts...).compiled.Classes
		is.True(len(classes) == 2 && classes[0].Name == "p1-1s" && classes[1].Name == "p0-1s")
	}
}

// Guards against a final refusal of a key that may be new, and a removed key that is accepted for
// too long: news of a configuration that is not in force here outweigh contact.
func TestConfigurationIsConfirmedByContactWithoutNews(t *testing.T) {
	is := is.New(t)
	var n freshness.Tracker
	now, timeout := time.Unix(1000, 0), 5*time.Second
	at := func(seconds int) time.Time { return now.Add(time.Duration(seconds) * time.Second) }
	isConfirmed := func(version uint64) bool { return confirmedWithin(now, n.State(now), version, now, timeout) }
	isHeard := func(seconds int) bool { return heardWithin(at(seconds), n.State(at(seconds)), at(seconds), timeout) }
	n.Applied(now, 3)
	is.True(confirmedWithin(at(5), n.State(at(5)), 3, now, timeout) && !confirmedWithin(at(6), n.State(at(6)), 3, now, timeout))
	is.True(!confirmedWithin(now, n.State(now), 3, time.Time{}, timeout)) // never heard anybody
	n.Announced(now, 3, "peer")
	is.True(isConfirmed(3))
	n.Announced(now, 4, "peer")
	n.Announced(at(4), 5, "peer") // behind since the first announcement
	is.True(!isConfirmed(3) && isHeard(5) && !isHeard(6))
	n.Applied(at(6), 5)
	is.True(isConfirmed(5) && isHeard(6))
	n.Announced(at(7), 2, "peer") // a peer that is behind
	is.True(isConfirmed(5))
	n.Arrived(at(7), 6, freshness.Store) // not in force yet
	is.True(!isConfirmed(5))

	g := newTestGateway(t, testConfiguration(t, 3, nil, testAccount("a", nil, "k")))
	g.handleConfigUpdate(member.ConfigUpdate{From: "peer", Store: member.StoreRevisions{ConfigVersion: 4}})
	is.Equal(g.trackers.config.State(time.Now()).Newest, uint64(4))
	is.True(!g.configConfirmed(g.inForce.Load()))
}

func newTestGateway(t testing.TB, c *configuration) *Gateway {
	t.Helper()
	metrics, err := observe.NewCustomerMetrics(prometheus.NewRegistry())
	if err != nil {
		t.Fatal(err)
	}
	g := &Gateway{log: zap.NewNop(), customerMetrics: metrics}
	g.options.Now = time.Now
	g.options.Customers = CustomerOptions{Headers: []string{"Key-Header", "Customer-Header"}, ConfigTimeout: time.Second}
	g.configs = discover.NewFollower(discover.Config{Now: time.Now})
	g.servers = discover.NewFollower(discover.Config{Now: time.Now})
	g.members = member.NewAgent(member.AgentConfig{Now: time.Now, Logger: g.log, Registerer: prometheus.NewRegistry()})
	g.gate = freshness.NewGate(g.options.Customers.ConfigTimeout)
	g.inForce.Store(c)
	g.trackers.config.Applied(g.options.Now(), c.version())
	return g
}

func testQuery(values ...string) *Query {
	return &Query{Authorization: values, Forward: &forward.Request{Header: http.Header{
		"Key-Header": values, "Customer-Header": {"forged"}, "Other": {"kept"},
	}}}
}

// Guards against headers that identify customers and are passed on, also from requests that were
// queued before the configuration listed customers, and a public route that depends on a key.
func TestIdentifyTakesTheHeadersOff(t *testing.T) {
	is := is.New(t)
	c := testConfiguration(t, 1, nil, testAccount("a", nil, "k"))
	g := newTestGateway(t, c)
	private, public, clean := &c.table.Config.Routes[0], &c.table.Config.Routes[2], http.Header{"Other": {"kept"}}
	for _, tc := range []struct {
		route    *route.Route
		key      string
		code     result.Code // 0: let in
		customer string
	}{
		{private, "Bearer k", 0, "a"},
		{private, "Basic k", result.Unauthorized, ""},
		{private, "Bearer other", result.NotReady, ""}, // not confirmed
		{public, "Bearer k", 0, "a"},
		{public, "Bearer other", 0, ""},
	} {
		q := testQuery(tc.key)
		who, refusal := g.identify(c, tc.route, q)
		is.Equal(q.Forward.Header, clean)
		is.True(q.Forward.Customer == tc.customer && (who != nil) == (tc.customer != ""))
		is.Equal(!q.Forward.Credential.IsZero(), tc.route == private && who != nil) // else its removal changes nothing
		is.Equal(refusal != nil, tc.code != 0)
		is.True(refusal == nil || refusal.Code == tc.code)
	}
	call := backend.Call{Forward: testQuery("Bearer k").Forward}
	is.Equal(g.withoutCallerHeaders(call).Forward.Header, clean)
	is.Equal(len(call.Forward.Header), 3) // shared by all attempts
	g.inForce.Store(testConfiguration(t, 1, nil))
	is.Equal(g.withoutCallerHeaders(call).Forward, call.Forward)
}

// Guards against a host that runs requests of removed keys for its peers, or refuses keys there
// that are newer than its configuration.
func TestPeersKeysAreCheckedAgainstWhatThisHostHasHeld(t *testing.T) {
	is := is.New(t)
	before := testConfiguration(t, 1, nil, testAccount("a", nil, "removed", "kept"))
	after := testConfiguration(t, 2, before, testAccount("a", nil, "kept"))
	g := newTestGateway(t, after)
	check := func(key string) eligible.Reason {
		return g.checkKey(&forward.Request{Customer: "a", Credential: customer.CredentialOf(key)})
	}
	is.Equal(check("removed"), eligible.KeyRemoved)
	is.Equal(check("kept"), eligible.Allowed)
	is.Equal(check("newer"), eligible.Allowed)
	is.Equal(g.checkKey(&forward.Request{Customer: "a"}), eligible.Allowed) // on a public route
	g.options.Customers.StrictRevocation = true
	is.Equal(check("kept"), eligible.KeysOutdated)

	unsent := leg.Result{Code: result.BackendsRefused, Outcome: result.OutcomeUnsent}
	ofKey := func(key string) *forward.Request { return &forward.Request{Credential: customer.CredentialOf(key)} }
	is.Equal(g.explainPeerKeyRefusal(ofKey("removed"), unsent).Code, result.Unauthorized)
	is.Equal(g.explainPeerKeyRefusal(ofKey("kept"), unsent).Code, result.NotReady) // runs at its root
	ran := leg.Result{Code: result.OutcomeNotKnown}
	is.Equal(g.explainPeerKeyRefusal(ofKey("removed"), ran).Code, ran.Code)

	answer := &scatter.Answer{Code: result.BackendsRefused}
	f := &forward.Request{Credential: customer.CredentialOf("removed")}
	g.explainKeyRefusal(f, answer)
	is.Equal(answer.Code, result.Unauthorized)
	answer = &scatter.Answer{Code: result.OutcomeNotKnown} // it may have run
	g.explainKeyRefusal(f, answer)
	is.Equal(answer.Code, result.OutcomeNotKnown)

	g.inForce.Store(testConfiguration(t, 3, after))
	is.Equal(check("removed"), eligible.Allowed) // requests need no key any more
	g.inForce.Store(testConfiguration(t, 4, g.inForce.Load(), testAccount("a", nil, "kept")))
	g.options.Customers.StrictRevocation = false
	is.Equal(check("removed"), eligible.KeyRemoved) // remembered meanwhile
}

// Guards against one customer's request that is held back because another's crashed servers, and
// against other fingerprints where no customers are known.
func TestFingerprintsTellCustomersApart(t *testing.T) {
	is := is.New(t)
	of := func(customer string) string {
		return fingerprintOf(&forward.Request{Method: "GET", Target: "/x", Host: "h", Customer: customer}, []byte("body")).String()
	}
	is.Equal(of(""), "2adf80479b0f5d63") // as before customers were known
	is.True(of("a") != of("b"))
	is.True(of("a") != of(""))
}

func BenchmarkIdentify(b *testing.B) {
	for name, accounts := range map[string][]customer.Account{
		"without customers": nil, "with customers": {testAccount("a", nil, "k")},
	} {
		b.Run(name, func(b *testing.B) {
			c := testConfiguration(b, 1, nil, accounts...)
			g := newTestGateway(b, c)
			q := testQuery("Bearer k")
			values := q.Authorization
			b.ReportAllocs()
			for b.Loop() {
				q.Authorization = values
				if _, refusal := g.identify(c, &c.table.Config.Routes[0], q); refusal != nil {
					b.Fatal(refusal)
				}
			}
		})
	}
}

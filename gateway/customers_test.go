package gateway

import (
	"net/http"
	"slices"
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

func classNames(c *configuration) (names []string) {
	for _, class := range c.compiled.Classes {
		names = append(names, class.Name)
	}
	return names
}

// Guards against a request whose class no home knows, and against other class names, which lose
// the latency statistics, where no customer has a priority.
func TestCustomersPriorityTakesPrecedence(t *testing.T) {
	is := is.New(t)
	high, low := 0, 7
	without := testConfiguration(t, 1, nil)
	is.Equal(classNames(without), []string{"p1-1s", "p0-1s"})
	is.Equal(classNames(testConfiguration(t, 1, nil, testAccount("a", nil, "k"))), classNames(without))
	c := testConfiguration(t, 1, nil, testAccount("a", &low, "k1"), testAccount("b", &high, "k2"), testAccount("c", nil, "k3"))
	for i := range c.table.Config.Routes {
		r := &c.table.Config.Routes[i]
		is.True(slices.Contains(classNames(c), classOf(r, nil)))
		for _, who := range c.customers.Customers() {
			is.True(slices.Contains(classNames(c), classOf(r, &who)))
			is.Equal(c.targets[classOf(r, &who)], r.TargetLatency)
		}
		is.Equal(classOf(r, &c.customers.Customers()[0]), "p7-1s")
		is.Equal(classOf(r, &c.customers.Customers()[2]), classOf(r, nil))
	}
}

// Guards against a final refusal of a key that may be new: the configuration counts as confirmed
// only if nobody has announced a newer one and all that was received is in force.
func TestConfigurationIsConfirmedByContactWithoutNews(t *testing.T) {
	is := is.New(t)
	var n configNews
	now := time.Unix(1000, 0)
	confirmed := func(version uint64, ago time.Duration) bool {
		return n.confirmed(now, version, now.Add(-ago), 5*time.Second)
	}
	is.True(confirmed(3, 5*time.Second))
	is.True(!confirmed(3, 6*time.Second))
	is.True(!n.confirmed(now, 3, time.Time{}, 5*time.Second)) // never heard anybody
	n.announced(now, 3, 3)
	is.True(confirmed(3, 0))
	n.announced(now, 4, 3)
	is.True(!confirmed(3, 0)) // the peer has a newer one
	is.True(confirmed(4, 0))
	n.announced(now, 2, 4)
	is.True(confirmed(4, 0)) // a peer that is behind
	n.pending.Add(1)
	is.True(!confirmed(4, 0)) // received, not in force yet
}

// Guards against news of a newer configuration that are not taken into account.
func TestAnnouncedConfigurationMakesThisHostBehind(t *testing.T) {
	is := is.New(t)
	g := newTestGateway(t, testConfiguration(t, 3, nil, testAccount("a", nil, "k")))
	g.handleConfigUpdate(member.ConfigUpdate{From: "peer", Store: member.StoreRevisions{ConfigVersion: 3}})
	is.True(!g.configNews.isBehind(3))
	g.handleConfigUpdate(member.ConfigUpdate{From: "peer", Store: member.StoreRevisions{ConfigVersion: 4}})
	is.True(g.configNews.isBehind(3))
}

// Guards against a host that accepts removed keys for longer than allowed because it hears of
// newer configurations without getting them.
func TestHostThatStaysBehindCountsAsSilent(t *testing.T) {
	is := is.New(t)
	var n configNews
	now := time.Unix(1000, 0)
	heard := func(at time.Time, version uint64) bool { return n.heard(at, version, at, 5*time.Second) }
	is.True(heard(now, 3))
	n.announced(now, 4, 3)
	n.announced(now.Add(4*time.Second), 5, 3) // still behind since the first announcement
	is.True(heard(now.Add(5*time.Second), 3))
	is.True(!heard(now.Add(6*time.Second), 3))
	is.True(heard(now.Add(6*time.Second), 5))
	n.announced(now.Add(7*time.Second), 6, 5)
	is.True(heard(now.Add(8*time.Second), 5))
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
	g.inForce.Store(c)
	return g
}

func testQuery(values ...string) *Query {
	return &Query{Authorization: values, Forward: &forward.Request{Header: http.Header{
		"Key-Header": values, "Customer-Header": {"forged"}, "Other": {"kept"},
	}}}
}

// Guards against headers that identify customers and are passed on, and against identification
// that a public route depends on.
func TestIdentifyTakesTheHeadersOff(t *testing.T) {
	is := is.New(t)
	c := testConfiguration(t, 1, nil, testAccount("a", nil, "k"))
	g := newTestGateway(t, c)
	private, public := &c.table.Config.Routes[0], &c.table.Config.Routes[2]
	for _, tc := range []struct {
		route      *route.Route
		values     []string
		code       result.Code // 0: let in
		customer   string
		credential customer.Credential
	}{
		{private, []string{"Bearer k"}, 0, "a", customer.CredentialOf("k")},
		{private, nil, result.Unauthorized, "", customer.Credential{}},
		{private, []string{"Bearer other"}, result.NotReady, "", customer.Credential{}}, // not confirmed
		{public, []string{"Bearer k"}, 0, "a", customer.Credential{}},                   // its removal changes nothing
		{public, []string{"Bearer other"}, 0, "", customer.Credential{}},
		{public, nil, 0, "", customer.Credential{}},
	} {
		q := testQuery(tc.values...)
		who, refusal := g.identify(c, tc.route, q)
		is.Equal(q.Forward.Header, http.Header{"Other": {"kept"}})
		is.Equal(q.Forward.Customer, tc.customer)
		is.Equal(q.Forward.Credential, tc.credential)
		is.Equal(who != nil, tc.customer != "")
		is.Equal(refusal != nil, tc.code != 0)
		if refusal != nil {
			is.Equal(refusal.Code, tc.code)
		}
	}
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

// Guards against a key on its way to a server in a request that was queued, here or at a peer,
// before the configuration listed customers.
func TestHeadersAreTakenOffRightBeforeSending(t *testing.T) {
	is := is.New(t)
	without := testConfiguration(t, 1, nil)
	g := newTestGateway(t, without)
	call := backend.Call{Forward: testQuery("Bearer k").Forward}
	is.Equal(g.withoutCallerHeaders(call).Forward, call.Forward)
	g.inForce.Store(testConfiguration(t, 2, without, testAccount("a", nil, "k")))
	is.Equal(g.withoutCallerHeaders(call).Forward.Header, http.Header{"Other": {"kept"}})
	is.Equal(len(call.Forward.Header), 3) // shared by all attempts
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

package gateway

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"github.com/goldcrestspan/goldcrestspan/customer"
	"github.com/goldcrestspan/goldcrestspan/ident"
	"github.com/goldcrestspan/goldcrestspan/member"
	"github.com/goldcrestspan/goldcrestspan/peer"
	"github.com/goldcrestspan/goldcrestspan/quota"
	"github.com/goldcrestspan/goldcrestspan/quota/quotapb"
	"github.com/goldcrestspan/goldcrestspan/result"
)

// quotaFleet is the limits of hosts that call each other over loopback connections, at a time
// that the test sets.
type quotaFleet struct {
	hosts []*quotas
	view  *member.View
	clock atomic.Int64
}

func newQuotaFleet(t *testing.T, names ...string) *quotaFleet {
	t.Helper()
	f := &quotaFleet{view: &member.View{}}
	f.clock.Store(time.Unix(1000, 0).UnixNano())
	now := func() time.Time { return time.Unix(0, f.clock.Load()) }
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	bounds := quota.Bounds{Window: 5 * time.Second, Overshoot: 0.1, Slack: 20}
	for i, name := range names {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		metrics, err := newQuotaMetrics(prometheus.NewRegistry())
		if err != nil {
			t.Fatal(err)
		}
		pool := peer.NewPool(nil)
		t.Cleanup(func() { _ = pool.Close() })
		q := &quotas{
			self: ident.HostID(name), grantor: quota.NewGrantor(bounds, uint64(i+1)), accounts: quota.NewAccounts(bounds, func() float64 { return 0.5 }),
			view: func() *member.View { return f.view }, isAlone: func() bool { return true }, peerContact: now,
			creditHosts: func() map[ident.HostID]bool { return nil }, reportUnreachable: func(ident.HostID) {}, pool: pool, ctx: ctx, now: now, log: zap.NewNop(), metrics: metrics,
			wake: make(chan struct{}, 1), answered: make(map[string]chan struct{}), sentAt: make(map[ident.HostID]time.Time), failing: make(map[ident.HostID]bool),
		}
		server := peer.NewServer()
		if err := q.register(server.Mux()); err != nil {
			t.Fatal(err)
		}
		go func() { _ = server.Serve(ctx, listener) }()
		f.hosts = append(f.hosts, q)
		f.view.Hosts = append(f.view.Hosts, member.Host{ID: q.self, PeerAddress: listener.Addr().String()})
	}
	return f
}

func (f *quotaFleet) configure(accounts ...customer.Account) {
	for _, q := range f.hosts {
		q.configure(accounts)
	}
}

func (f *quotaFleet) pass(d time.Duration) { f.clock.Add(int64(d)) }

func limited(perSecond, burst float64) *customer.Customer {
	return &customer.Customer{Name: "acme", Limit: customer.Limit{PerSecond: perSecond, Burst: burst}}
}

// Guards against a limit that counts only one host's requests, and against refusals without a
// time to come back.
func TestLimitHoldsOverHosts(t *testing.T) {
	is := is.New(t)
	f := newQuotaFleet(t, "a", "b", "c")
	who := limited(10, 5)
	f.configure(customer.Account{Customer: *who})
	f.pass(10 * time.Second)
	ran := 0
	for range 60 {
		for _, q := range f.hosts {
			_, refusal := q.take(context.Background(), who, "r")
			if refusal == nil {
				ran++
				continue
			}
			is.Equal(refusal.Code, result.CustomerOverLimit)
			is.True(refusal.Code.NotRun())
			is.True(refusal.RetryAfter > 0)
		}
	}
	is.True(ran >= 5)                     // the burst is there
	is.True(float64(ran) <= 5*(1+0.1)+20) // no time has passed
}

// Guards against a request that runs, or waits for long, although nobody knows whether its
// customer is over its limit.
func TestRequestIsRefusedShortlyIfGrantorDoesNotAnswer(t *testing.T) {
	is := is.New(t)
	f := newQuotaFleet(t, "a", "b")
	who := limited(10, 5)
	f.configure(customer.Account{Customer: *who})
	grantor, _ := f.view.Choose(grantorKey(who.Name))
	asking := f.hosts[0]
	if asking.self == grantor.ID {
		asking = f.hosts[1]
	}
	silent, err := net.Listen("tcp", "127.0.0.1:0") // accepts and says nothing
	is.NoErr(err)
	defer func() { is.NoErr(silent.Close()) }()
	asking.grantors[who.Name] = member.Host{ID: grantor.ID, PeerAddress: silent.Addr().String()}
	reported := make(chan ident.HostID, 1)
	asking.reportUnreachable = func(id ident.HostID) { reported <- id }
	_, refusal := asking.take(context.Background(), who, "r")
	is.Equal(refusal.Code, result.HomeUnavailable)
	is.Equal(<-reported, grantor.ID)
	is.True(refusal.RetryAfter > 0 && refusal.RetryAfter <= time.Second)
}

// Guards against a limit that is used up by requests that did not run.
func TestRequestsThatDidNotRunAreReturned(t *testing.T) {
	is := is.New(t)
	f := newQuotaFleet(t, "a", "b")
	who := limited(1, 5)
	f.configure(customer.Account{Customer: *who})
	f.pass(10 * time.Second)
	g := &Gateway{quotas: f.hosts[0], options: Options{Now: f.hosts[0].now}}
	for range 50 {
		permit, refusal := g.takeQuota(context.Background(), who, "r")
		is.True(refusal == nil)
		g.settleQuota(permit, &Answer{Code: result.Overloaded})
	}
}

// Guards against work for requests without a limit.
func TestCustomersWithoutLimitAreNotCounted(t *testing.T) {
	is := is.New(t)
	g := &Gateway{} // any use of the limits would panic
	for _, who := range []*customer.Customer{nil, {Name: "acme"}} {
		permit, refusal := g.takeQuota(context.Background(), who, "r")
		is.True(refusal == nil)
		is.Equal(permit, quota.Permit{})
	}
	f := newQuotaFleet(t, "a")
	f.configure(customer.Account{Customer: customer.Customer{Name: "acme"}})
	is.True(!f.hosts[0].enabled())
}

// Guards against requests of a customer whose limit a configuration has removed that are refused,
// or still counted.
func TestLimitIsRaisedAndRemovedAtOnce(t *testing.T) {
	is := is.New(t)
	f := newQuotaFleet(t, "a")
	q, who := f.hosts[0], limited(0.1, 0)
	f.configure(customer.Account{Customer: *who})
	f.pass(10 * time.Second)
	var refusal *Answer
	for refusal == nil {
		_, refusal = q.take(context.Background(), who, "r")
	}
	raised := limited(0.1, 50)
	f.configure(customer.Account{Customer: *raised})
	for range 50 {
		_, refusal = q.take(context.Background(), raised, "r")
		is.True(refusal == nil)
	}
	f.configure(customer.Account{Customer: customer.Customer{Name: "acme"}})
	is.Equal(q.accounts.Len(), 0)
}

// Guards against a grantor that is cut off from all hosts and goes on to grant while another one
// has taken over.
func TestCutOffGrantorStops(t *testing.T) {
	is := is.New(t)
	f := newQuotaFleet(t, "a", "b")
	f.configure(customer.Account{Customer: *limited(10, 5)})
	grantor, _ := f.view.Choose(grantorKey("acme"))
	for _, q := range f.hosts {
		if q.self != grantor.ID {
			continue
		}
		f.pass(10 * time.Second)
		q.tick()
		is.True(!q.serve([]quota.Ask{{Customer: "acme", Needed: 1}})[0].NotGrantor)
		lastContact := q.now()
		q.peerContact = func() time.Time { return lastContact }
		f.view.Self = q.self
		f.pass(2 * time.Second)
		q.tick()
		is.True(q.serve([]quota.Ask{{Customer: "acme", Needed: 1}})[0].NotGrantor)
	}
}

// Guards against values that are lost or changed between hosts.
func TestQuotaMessagesSurviveTheWire(t *testing.T) {
	is := is.New(t)
	asks := []quota.Ask{{Customer: "acme", Needed: 3, Ahead: 2, Refused: 7, Returned: []quota.Return{{Grantor: 9, Seq: 4, Count: 1}}}, {Customer: "b"}}
	is.Equal(decodeAsks(encodeAsks(asks)), asks)
	grants := []quota.Grant{
		{Count: 5, Seq: 8, RoomIn: 30 * time.Millisecond, RetryIn: 40 * time.Millisecond, Spacing: 33 * time.Microsecond, Slots: 6},
		{NotGrantor: true},
	}
	instance, decoded, err := decodeGrants(encodeGrants(17, grants), 2)
	is.NoErr(err)
	is.Equal(instance, uint64(17))
	is.Equal(decoded, grants)
	_, _, err = decodeGrants(encodeGrants(17, grants), 3)
	is.True(err != nil) // an answer to other questions
	handovers := []quota.Handover{{Customer: "acme", Level: -2.5, Settled: true, Issued: 4}}
	is.Equal(decodeHandovers(encodeHandovers(handovers)), handovers)
}

// Guards against series for each of many customers.
func TestSeriesAreBoundedByTheLargestCustomers(t *testing.T) {
	is := is.New(t)
	m, err := newQuotaMetrics(prometheus.NewRegistry())
	is.NoErr(err)
	limits := make(map[string]quota.Limit)
	for i := range 1000 {
		limits[string(rune('a'+i%26))+string(rune('a'+i/26%26))+string(rune('a'+i/676))] = quota.Limit{PerSecond: float64(i + 1)}
	}
	m.nameLargest(limits)
	labels := make(map[string]bool)
	for name := range limits {
		labels[m.label(name)] = true
	}
	is.Equal(len(labels), maxNamedCustomers+1)
}

// countingListener counts the bytes of its connections in both directions.
type countingListener struct {
	net.Listener
	bytes *atomic.Int64
}

func (l countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	return countingConn{conn, l.bytes}, err
}

type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// callBytes returns the bytes of a call about one customer, both ways, above TCP.
func callBytes(b *testing.B) int64 {
	b.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	q := &quotas{grantor: quota.NewGrantor(quota.Bounds{Window: time.Second, Slack: 20}, 1<<63), now: time.Now}
	q.grantor.SetLimits(time.Now(), map[string]quota.Limit{"customer-012345": {PerSecond: 1000, Burst: 1000}})
	q.grantor.SetView(time.Now().Add(-time.Hour), func(string) bool { return true })
	if q.metrics, err = newQuotaMetrics(prometheus.NewRegistry()); err != nil {
		b.Fatal(err)
	}
	server := peer.NewServer()
	if err := q.register(server.Mux()); err != nil {
		b.Fatal(err)
	}
	var bytes atomic.Int64
	go func() { _ = server.Serve(ctx, countingListener{listener, &bytes}) }()
	pool := peer.NewPool(nil)
	defer func() { _ = pool.Close() }()
	const calls = 100
	for range calls {
		request := encodeAsks([]quota.Ask{{Customer: "customer-012345", Needed: 1, Ahead: 1}})
		if _, err := quotapb.NewDRPCQuotasClient(pool.Conn(ctx, listener.Addr().String())).Report(ctx, request); err != nil {
			b.Fatal(err)
		}
	}
	return bytes.Load() / calls
}

// BenchmarkQuotaMessages reports the sizes of the messages on one customer.
func BenchmarkQuotaMessages(b *testing.B) {
	asks := encodeAsks([]quota.Ask{{Customer: "customer-012345", Needed: 1, Ahead: 1}})
	reply := encodeGrants(1<<63, []quota.Grant{{Count: 2, Seq: 300_000}})
	two := encodeAsks([]quota.Ask{{Customer: "customer-012345", Needed: 1, Ahead: 1}, {Customer: "customer-543210", Needed: 1, Ahead: 1}})
	for b.Loop() {
		if _, err := proto.Marshal(asks); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(proto.Size(asks)), "B/ask")
	b.ReportMetric(float64(proto.Size(two)-proto.Size(asks)), "B/further-ask")
	b.ReportMetric(float64(proto.Size(reply)), "B/reply")
	b.ReportMetric(float64(callBytes(b)), "B/call-with-framing")
}

// Guards against a planned change of the grantor after which a customer has lost its burst: the
// next grantor goes on with the bucket.
func TestNextGrantorGoesOnWithTheBucket(t *testing.T) {
	is := is.New(t)
	f := newQuotaFleet(t, "a", "b", "c")
	f.configure(customer.Account{Customer: *limited(1, 50)})
	f.pass(time.Minute)
	first, _ := f.view.Choose(grantorKey("acme"))
	byID := make(map[ident.HostID]*quotas)
	for _, q := range f.hosts {
		byID[q.self] = q
		q.tick()
	}
	is.True(byID[first.ID].serve([]quota.Ask{{Customer: "acme", Needed: 1}})[0].Count == 1)
	next := &member.View{Hosts: append([]member.Host(nil), f.view.Hosts...)}
	for i := range next.Hosts {
		if next.Hosts[i].ID == first.ID {
			next.Hosts[i].State = member.StateLeaving
		}
	}
	f.view = next
	for _, q := range f.hosts {
		q.observeView()
	}
	is.True(byID[first.ID].serve([]quota.Ask{{Customer: "acme", Needed: 1}})[0].NotGrantor)
	second, _ := next.Choose(grantorKey("acme"))
	for issued := 0; issued < 45; { // more than a new grantor has; the handover arrives soon
		issued += byID[second.ID].serve([]quota.Ask{{Customer: "acme", Needed: 45}})[0].Count
		time.Sleep(time.Millisecond)
	}
}

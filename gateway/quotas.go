package gateway

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"
	"storj.io/drpc"

	"github.com/goldcrestspan/goldcrestspan/customer"
	"github.com/goldcrestspan/goldcrestspan/ident"
	"github.com/goldcrestspan/goldcrestspan/member"
	"github.com/goldcrestspan/goldcrestspan/observe"
	"github.com/goldcrestspan/goldcrestspan/peer"
	"github.com/goldcrestspan/goldcrestspan/quota"
	"github.com/goldcrestspan/goldcrestspan/quota/quotapb"
	"github.com/goldcrestspan/goldcrestspan/result"
)

const (
	// quotaTick is how often the grantor notices that the process runs.
	quotaTick = 250 * time.Millisecond
	// creditInterval is how often a host checks whether it may use credit.
	creditInterval = time.Second
	// handOverTimeout bounds the call that hands limits over: a later one is of no use.
	handOverTimeout = 500 * time.Millisecond
	// maxGrantorSilence is how long a host that hears no peer grants: others need longer to
	// replace it.
	maxGrantorSilence = 1500 * time.Millisecond
)

// takeQuota counts a request against its customer's limit, or refuses it.
func (g *Gateway) takeQuota(ctx context.Context, who *customer.Customer, request string) (quota.Permit, *Answer) {
	if who == nil || !who.Limit.Bounded() {
		return quota.Permit{}, nil
	}
	return g.quotas.take(ctx, who, request)
}

// settleQuota gives back what was taken for a request that has not run.
func (g *Gateway) settleQuota(permit quota.Permit, answer *Answer) {
	if answer.Code.NotRun() {
		g.quotas.accounts.Return(g.options.Now(), permit)
	}
}

// quotas limits the requests of customers over all hosts; see package quota. Without customers
// with a limit it does nothing.
type quotas struct {
	self     ident.HostID
	grantor  *quota.Grantor
	accounts *quota.Accounts
	view     func() *member.View
	// isAlone reports whether this host has no peer although it has not joined any.
	isAlone     func() bool
	peerContact func() time.Time
	creditHosts func() map[ident.HostID]bool
	// reportUnreachable lets the membership check a grantor that does not answer.
	reportUnreachable func(ident.HostID)
	pool              *peer.Pool
	ctx               context.Context // ends with the host
	now               func() time.Time
	log               *zap.Logger
	metrics           *quotaMetrics
	limits            atomic.Pointer[map[string]quota.Limit]
	since             time.Time // of the first configuration; used by configure
	wake              chan struct{}
	creditAt          time.Time // used by tick

	mu       sync.Mutex
	lastView *member.View           // that serving is of
	serving  uint64                 // digest of the serving hosts
	changed  time.Time              // when that changed, until the first configuration
	observed bool                   // the grantor knows the view
	failing  map[ident.HostID]bool  // grantors that did not answer last
	mayGrant bool                   // what the grantor was last told
	grantors map[string]member.Host // by customer, of the current serving hosts
	answered map[string]chan struct{}
	sentAt   map[ident.HostID]time.Time
}

var _ quotapb.DRPCQuotasServer = (*quotas)(nil)

func (g *Gateway) newQuotas(members *member.Agent, pool *peer.Pool, metrics *quotaMetrics) *quotas {
	bounds := quota.Bounds{
		Window: g.options.Customers.LimitWindow, Overshoot: g.options.Customers.LimitOvershoot, Slack: g.options.Customers.LimitSlack,
	}
	q := &quotas{
		self: ident.HostID(g.options.Name), grantor: quota.NewGrantor(bounds, rand.Uint64()|1),
		accounts: quota.NewAccounts(bounds, rand.Float64), view: members.View, peerContact: members.LastPeerContact,
		isAlone:     func() bool { return members.Joined() || !g.hasOtherSeeds() },
		creditHosts: g.advisedAnywhere, reportUnreachable: members.ReportUnreachable, pool: pool, ctx: g.runCtx, now: g.options.Now, log: g.log, metrics: metrics,
		wake: make(chan struct{}, 1), answered: make(map[string]chan struct{}), sentAt: make(map[ident.HostID]time.Time), failing: make(map[ident.HostID]bool),
	}
	metrics.uses = func() []quota.Use { return q.grantor.Uses(q.now(), metrics.named()) }
	return q
}

// hasOtherSeeds reports whether other hosts are configured as initial peers.
func (g *Gateway) hasOtherSeeds() bool {
	for _, seed := range g.reloadable.Load().Seeds {
		if seed != g.options.PeerListener.Addr().String() {
			return true
		}
	}
	return false
}

// advisedAnywhere returns the hosts that some callers are directed to.
func (g *Gateway) advisedAnywhere() map[ident.HostID]bool {
	regions := map[string]bool{"": true}
	for _, host := range g.members.View().Hosts {
		regions[host.Region] = true
	}
	hosts := make(map[ident.HostID]bool)
	for region := range regions {
		for _, host := range g.hostsFor(AdviceRequest{Region: region}) {
			hosts[host.ID] = true
		}
	}
	return hosts
}

// register adds the service for other hosts.
func (q *quotas) register(mux drpc.Mux) error { return quotapb.DRPCRegisterQuotas(mux, q) }

// enabled reports whether any customer has a limit.
func (q *quotas) enabled() bool {
	limits := q.limits.Load()
	return limits != nil && len(*limits) > 0
}

// configure puts the limits of a configuration in force.
func (q *quotas) configure(accounts []customer.Account) {
	limits := make(map[string]quota.Limit)
	for i := range accounts {
		if limit := accounts[i].Limit; limit.Bounded() {
			limits[accounts[i].Name] = limit
		}
	}
	var before map[string]quota.Limit
	if previous := q.limits.Swap(&limits); previous != nil {
		before = *previous
	}
	now := q.now()
	q.mu.Lock()
	if q.since.IsZero() && q.noteView(q.view()) || q.since.IsZero() && q.changed.IsZero() {
		q.since = now
	} else if q.since.IsZero() {
		q.since = q.changed
	}
	q.mu.Unlock()
	q.grantor.SetLimits(now, limits)
	if len(before) == 0 && len(limits) == 0 {
		return
	}
	q.metrics.nameLargest(limits)
	q.accounts.Reconfigure(before, limits)
	if len(before) == 0 {
		now = q.since // nobody can have granted meanwhile that this host does not know of
	}
	q.observe(now)
	q.wakeUp()
}

// observeView applies the newest view of the membership. Until the first configuration it only
// notes changes, so that the wait of a new grantor begins with the start of a host.
func (q *quotas) observeView() {
	switch {
	case q.enabled():
		q.observe(q.now())
	case q.limits.Load() == nil:
		q.mu.Lock()
		defer q.mu.Unlock()
		q.noteView(q.view())
	}
}

// noteView reports whether other hosts serve than in the last view. q.mu is held.
func (q *quotas) noteView(view *member.View) (changed bool) {
	if view == q.lastView {
		return false
	}
	q.lastView = view
	digest := servingDigest(view)
	if digest == q.serving {
		return false
	}
	q.serving, q.changed = digest, q.now()
	return true
}

// observe applies the newest view, which is in force since then. The view is read under the lock,
// so that an older one never replaces a newer one.
func (q *quotas) observe(since time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	view := q.view()
	changed, mayGrant := q.noteView(view), q.canGrant(view)
	if q.observed && !changed && mayGrant == q.mayGrant {
		return
	}
	if changed || !q.observed {
		q.logGrantorChanges(view)
		q.grantors = make(map[string]member.Host)
	}
	if mayGrant != q.mayGrant {
		q.log.Info("grants of limited requests changed", zap.Bool("may_grant", mayGrant), zap.Bool("minority", view.Minority), zap.Bool("replaced", view.Replaced))
	}
	q.observed, q.mayGrant = true, mayGrant
	if !mayGrant {
		q.grantor.SetView(since, nil)
		return
	}
	handovers := q.grantor.SetView(since, func(name string) bool {
		chosen, ok := view.Choose(grantorKey(name))
		return ok && chosen.ID == q.self
	})
	q.handOver(view, handovers)
}

// handOver tells the next grantors that this host has stopped to grant.
func (q *quotas) handOver(view *member.View, handovers []quota.Handover) {
	byGrantor := make(map[string][]quota.Handover) // by address
	for _, h := range handovers {
		if next, ok := view.Choose(grantorKey(h.Customer)); ok {
			byGrantor[next.PeerAddress] = append(byGrantor[next.PeerAddress], h)
		}
	}
	for address, handovers := range byGrantor {
		go func() {
			ctx, cancel := context.WithTimeout(q.ctx, handOverTimeout)
			defer cancel()
			_, err := quotapb.NewDRPCQuotasClient(q.pool.Conn(ctx, address)).HandOver(ctx, encodeHandovers(handovers))
			if err != nil {
				q.log.Warn("limits were not handed over; the next grantor starts with a small allowance", zap.String("address", address), zap.Int("customers", len(handovers)), observe.ErrorText(err))
			}
		}()
	}
}

// HandOver implements quotapb.DRPCQuotasServer.
func (q *quotas) HandOver(_ context.Context, m *quotapb.HandOverRequest) (*quotapb.HandOverReply, error) {
	q.grantor.Receive(q.now(), decodeHandovers(m))
	return &quotapb.HandOverReply{}, nil
}

const (
	// maxLoggedGrantors bounds the log lines on one change of the view.
	maxLoggedGrantors = 8
	// maxComparedGrantors bounds the customers whose grantors are compared for the log.
	maxComparedGrantors = 256
)

// logGrantorChanges logs which customers that this host has lately asked for have another
// grantor. q.mu is held.
func (q *quotas) logGrantorChanges(view *member.View) {
	logged, changed, compared := 0, 0, 0
	for name, previous := range q.grantors {
		if compared++; compared > maxComparedGrantors {
			break
		}
		next, _ := view.Choose(grantorKey(name))
		if next.ID == previous.ID && next.Incarnation == previous.Incarnation {
			continue
		}
		changed++
		if logged < maxLoggedGrantors {
			logged++
			q.log.Info("grantor of a customer changed", zap.String("customer", name), zap.String("grantor", string(next.ID)), zap.String("previous", string(previous.ID)))
		}
	}
	if changed > logged {
		q.log.Info("grantors of more customers changed", zap.Int("customers", changed-logged))
	}
}

// canGrant reports whether this host is so well connected that the others would not have
// replaced it as a grantor without its knowledge.
func (q *quotas) canGrant(view *member.View) bool {
	if view.Minority || view.Replaced {
		return false
	}
	for i := range view.Hosts {
		if view.Hosts[i].Serving() && view.Hosts[i].ID != view.Self {
			return q.now().Sub(q.peerContact()) <= maxGrantorSilence
		}
	}
	return q.isAlone()
}

// servingDigest identifies the serving hosts and their starts.
func servingDigest(view *member.View) uint64 {
	var digest xxhash.Digest
	for i := range view.Hosts {
		if host := &view.Hosts[i]; host.Serving() {
			_, _ = fmt.Fprintf(&digest, "%s/%d/%s;", host.ID, host.Incarnation, host.PeerAddress)
		}
	}
	return digest.Sum64()
}

// grantorKey is what the hosts choose a customer's grantor by.
func grantorKey(name string) string { return "limit/" + name }

// grantorOf returns the grantor of the customer.
func (q *quotas) grantorOf(name string) (member.Host, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if host, ok := q.grantors[name]; ok {
		return host, true
	}
	host, ok := q.view().Choose(grantorKey(name))
	if ok && q.grantors != nil {
		q.grantors[name] = host
	}
	return host, ok
}

// take counts a request against its customer's limit. It asks the grantor only if this host has
// neither a grant nor credit, and the grantor may have room.
func (q *quotas) take(ctx context.Context, who *customer.Customer, request string) (quota.Permit, *Answer) {
	permit, refusal := q.accounts.Admit(q.now(), who.Name)
	if refusal != nil && refusal.Ask {
		permit, refusal = q.takeAfterAsking(ctx, who.Name)
	} else {
		q.wakeUp()
	}
	if refusal == nil {
		q.metrics.request(who.Name, quotaAdmitted)
		return permit, nil
	}
	if refusal.Until.IsZero() {
		q.metrics.request(who.Name, quotaUnanswered)
		q.logRefusal(request, who, refusal, "the grantor of a customer's limit did not answer")
		return quota.Permit{}, newRefusal(result.HomeUnavailable, "the customer's limit can't be checked: its grantor did not answer", refusal.RetryAfter)
	}
	q.metrics.request(who.Name, quotaRefused)
	q.logRefusal(request, who, refusal, "customer is over its limit")
	detail := fmt.Sprintf("customer %s is over its limit of %g requests per second", who.Name, who.Limit.PerSecond)
	return quota.Permit{}, newRefusal(result.CustomerOverLimit, detail, refusal.RetryAfter)
}

// logRefusal logs the first refusal after each answer of the grantor.
func (q *quotas) logRefusal(request string, who *customer.Customer, refusal *quota.Refusal, message string) {
	if !refusal.First {
		return
	}
	fields := []zap.Field{
		zap.String("request", request), zap.String("customer", who.Name), zap.Float64("per_second", who.Limit.PerSecond), zap.Float64("burst", who.Limit.Burst),
		zap.String("grantor", string(refusal.Grantor)), zap.Duration("retry_after", refusal.RetryAfter),
	}
	if !refusal.Until.IsZero() {
		fields = append(fields, zap.Duration("room_in", refusal.Until.Sub(q.now())))
	}
	q.log.Info(message, fields...)
}

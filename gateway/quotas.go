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
	// customerOverLimit is the result of a request over its customer's limit.
	customerOverLimit = result.CustomerOverLimit
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

// quotaPermit is the permission of one request under its customer's limit.
type quotaPermit = quota.Permit

// takeQuota counts a request against its customer's limit, or refuses it.
func (g *Gateway) takeQuota(ctx context.Context, who *customer.Customer, request string) (quotaPermit, *Answer) {
	if who == nil || !who.Limit.Bounded() {
		return quotaPermit{}, nil
	}
	return g.quotas.take(ctx, who, request)
}

// settleQuota gives back what was taken for a request that has not run.
func (g *Gateway) settleQuota(permit quotaPermit, answer *Answer) {
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
	isAlone     func(*member.View) bool
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
		isAlone:     func(*member.View) bool { return members.Joined() || !g.hasOtherSeeds() },
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
	return q.isAlone(view)
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
func (q *quotas) take(ctx context.Context, who *customer.Customer, request string) (quotaPermit, *Answer) {
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
		return quotaPermit{}, newRefusal(result.HomeUnavailable, "the customer's limit can't be checked: its grantor did not answer", refusal.RetryAfter)
	}
	q.metrics.request(who.Name, quotaRefused)
	q.logRefusal(request, who, refusal, "customer is over its limit")
	detail := fmt.Sprintf("customer %s is over its limit of %g requests per second", who.Name, who.Limit.PerSecond)
	return quotaPermit{}, newRefusal(customerOverLimit, detail, refusal.RetryAfter)
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

// takeAfterAsking waits for the grantor's answer, at most for quota.CallTimeout.
func (q *quotas) takeAfterAsking(ctx context.Context, name string) (quotaPermit, *quota.Refusal) {
	timeout := time.NewTimer(quota.CallTimeout)
	defer timeout.Stop()
	for {
		answered := q.askNow(name)
		final := false
		select {
		case <-answered:
		case <-timeout.C:
			final = true
		case <-ctx.Done():
			final = true
		}
		permit, refusal := q.accounts.AdmitAnswered(q.now(), name, final)
		if refusal == nil || !refusal.Ask {
			return permit, refusal
		}
	}
}

// askNow asks the grantor unless a call is on its way; the channel is closed when it has ended.
func (q *quotas) askNow(name string) <-chan struct{} {
	q.mu.Lock()
	onItsWay := q.answered[name]
	q.mu.Unlock()
	if onItsWay != nil {
		return onItsWay
	}
	ask, ok := q.accounts.AskFor(q.now(), name)
	if !ok {
		// Another request has just asked.
		done := make(chan struct{})
		time.AfterFunc(time.Millisecond, func() { close(done) })
		return done
	}
	host, found := q.grantorOf(name)
	done := q.begin([]quota.Ask{ask})
	if found && host.ID == q.self {
		q.call(host, []quota.Ask{ask}, done, callOnPath)
	} else {
		go q.call(host, []quota.Ask{ask}, done, callOnPath)
	}
	return done
}

// begin notes that asks are on their way.
func (q *quotas) begin(asks []quota.Ask) chan struct{} {
	done := make(chan struct{})
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, ask := range asks {
		q.answered[ask.Customer] = done
	}
	return done
}

// call sends asks to their grantor and applies the answers.
func (q *quotas) call(host member.Host, asks []quota.Ask, done chan struct{}, kind string) {
	defer func() {
		q.mu.Lock()
		defer q.mu.Unlock()
		for _, ask := range asks {
			if q.answered[ask.Customer] == done {
				delete(q.answered, ask.Customer)
			}
		}
		close(done)
	}()
	sent := q.now()
	instance, grants, err := q.ask(host, asks, kind)
	now := q.now()
	if err != nil {
		q.metrics.calls.WithLabelValues(callFailed).Inc()
		if q.noteAnswer(host.ID, false) {
			q.reportUnreachable(host.ID)
			q.log.Warn("the grantor of limits did not answer", zap.String("grantor", string(host.ID)), zap.Int("customers", len(asks)), observe.ErrorText(err))
		}
		for _, ask := range asks {
			q.accounts.Unanswered(now, host.ID, ask)
		}
		return
	}
	if q.noteAnswer(host.ID, true) {
		q.log.Info("the grantor of limits answers again", zap.String("grantor", string(host.ID)))
	}
	for i, ask := range asks {
		q.accounts.Answer(now, sent, host.ID, instance, ask, grants[i])
	}
}

// noteAnswer reports whether a grantor has begun or ceased to answer.
func (q *quotas) noteAnswer(host ident.HostID, answers bool) (changed bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.failing[host] == !answers {
		return false
	}
	if answers {
		delete(q.failing, host)
	} else {
		q.failing[host] = true
	}
	return true
}

// ask carries asks to their grantor.
func (q *quotas) ask(host member.Host, asks []quota.Ask, kind string) (instance uint64, grants []quota.Grant, err error) {
	if host.ID == q.self {
		return q.grantor.Instance(), q.serve(asks), nil
	}
	q.metrics.calls.WithLabelValues(kind).Inc()
	ctx, cancel := context.WithTimeout(q.ctx, quota.CallTimeout)
	defer cancel()
	reply, err := quotapb.NewDRPCQuotasClient(q.pool.Conn(ctx, host.PeerAddress)).Report(ctx, encodeAsks(asks))
	if err != nil {
		return 0, nil, err
	}
	return decodeGrants(reply, len(asks))
}

// serve answers asks as the grantor.
func (q *quotas) serve(asks []quota.Ask) []quota.Grant {
	grants := q.grantor.Serve(q.now(), asks)
	for i, grant := range grants {
		q.metrics.grant(asks[i].Customer, grant.Count)
	}
	return grants
}

// Report implements quotapb.DRPCQuotasServer.
func (q *quotas) Report(_ context.Context, m *quotapb.ReportRequest) (*quotapb.ReportReply, error) {
	return encodeGrants(q.grantor.Instance(), q.serve(decodeAsks(m))), nil
}

// wakeUp lets the next report go out.
func (q *quotas) wakeUp() {
	select {
	case q.wake <- struct{}{}:
	default:
	}
}

// run sends reports while there is something to report, one call to a grantor each
// quota.CallInterval.
func (q *quotas) run(ctx context.Context) error {
	ticker := time.NewTicker(quotaTick)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			q.tick()
		case <-q.wake:
			if q.enabled() && q.report() {
				time.AfterFunc(quota.CallInterval, q.wakeUp)
			}
		case <-ctx.Done():
			return nil
		}
	}
}

// tick follows the process and its connections.
func (q *quotas) tick() {
	now := q.now()
	for id, at := range q.sentAt {
		if now.Sub(at) >= time.Minute {
			delete(q.sentAt, id)
		}
	}
	if !q.enabled() {
		return
	}
	q.grantor.Tick(now)
	q.observeView()
	if now.Sub(q.creditAt) >= creditInterval {
		q.creditAt = now
		hosts := q.creditHosts()
		q.accounts.SetCredit(now, hosts[q.self], len(hosts))
	}
}

// report sends what is due and reports whether more may become due without a request.
func (q *quotas) report() (more bool) {
	now := q.now()
	byGrantor := make(map[ident.HostID][]quota.Ask)
	hosts := make(map[ident.HostID]member.Host)
	for _, name := range q.accounts.Pending(now) {
		more = true
		host, ok := q.grantorOf(name)
		if !ok || now.Sub(q.sentAt[host.ID]) < quota.CallInterval {
			continue
		}
		if ask, due := q.accounts.AskFor(now, name); due {
			byGrantor[host.ID] = append(byGrantor[host.ID], ask)
			hosts[host.ID] = host
		}
	}
	for id, asks := range byGrantor {
		q.sentAt[id] = now
		go q.call(hosts[id], asks, q.begin(asks), callReport)
	}
	return more
}

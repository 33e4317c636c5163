package gateway

import (
	"context"
	"time"

	"go.uber.org/zap"
	"storj.io/drpc"

	"github.com/goldcrestspan/goldcrestspan/ident"
	"github.com/goldcrestspan/goldcrestspan/member"
	"github.com/goldcrestspan/goldcrestspan/observe"
	"github.com/goldcrestspan/goldcrestspan/peer"
	"github.com/goldcrestspan/goldcrestspan/quarantine"
	"github.com/goldcrestspan/goldcrestspan/quarantine/quarantinepb"
	"github.com/goldcrestspan/goldcrestspan/result"
	"github.com/goldcrestspan/goldcrestspan/scatter"
)

const (
	// canaryCallTimeout bounds a call to the coordinator of the canaries.
	canaryCallTimeout = 250 * time.Millisecond
	// canaryCoordinatorKey is what the hosts choose the coordinator by.
	canaryCoordinatorKey = "canaries"
)

// canaries asks the coordinator for the leases of this host's canaries, and grants leases
// while this host is the coordinator; see quarantine.Leases.
type canaries struct {
	self     ident.HostID
	suspects *quarantine.Suspects
	leases   *quarantine.Leases
	view     func() *member.View
	pool     *peer.Pool
	ctx      context.Context // ends with the host
	now      func() time.Time
	log      *zap.Logger
}

var _ quarantinepb.DRPCCanariesServer = (*canaries)(nil)

func newCanaries(g *Gateway, suspects *quarantine.Suspects, members *member.Agent, pool *peer.Pool) *canaries {
	c := &canaries{
		self: ident.HostID(g.options.Name), suspects: suspects, leases: quarantine.NewLeases(suspects),
		view: members.View, pool: pool, ctx: g.runCtx, now: g.options.Now, log: g.log,
	}
	c.observeView(members.View())
	return c
}

// register adds the service for other hosts.
func (c *canaries) register(mux drpc.Mux) error { return quarantinepb.DRPCRegisterCanaries(mux, c) }

// observeView is called with each view of the membership.
func (c *canaries) observeView(view *member.View) {
	coordinator, ok := view.Choose(canaryCoordinatorKey)
	c.leases.SetCoordinator(c.now(), ok && coordinator.ID == c.self)
}

// canary is one request of this host that must run as a canary.
type canary struct {
	*canaries
	request     string // id of the caller's attempt
	fingerprint quarantine.Fingerprint
	duration    time.Duration
	leasedBy    member.Host // if a lease was granted
}

// acquire asks for the lease of the canary.
func (c *canary) acquire(service string) quarantine.CanaryDecision {
	f := c.fingerprint
	coordinator, ok := c.view().Choose(canaryCoordinatorKey)
	if !ok {
		return quarantine.CanaryDecision{Refusal: quarantine.Suspected(f, quarantine.CanaryRetryAfter)}
	}
	request := quarantine.CanaryRequest{
		Fingerprint: f, Host: string(c.self), Service: service,
		Duration: c.duration, Findings: c.suspects.Findings(c.now(), f),
	}
	decision := c.ask(coordinator, request)
	switch {
	case decision.Cleared:
		c.suspects.RecordAnswer(c.now(), f)
	case decision.Refusal == nil:
		c.leasedBy = coordinator
	case decision.Refusal.Code == result.Quarantined:
		c.suspects.Quarantine(c.now(), f, decision.Evidence)
	}
	c.log.Info("asked for a canary", zap.String("request", c.request), zap.Stringer("fingerprint", f),
		zap.String("service", service), zap.String("coordinator", string(coordinator.ID)),
		zap.String("decision", describeDecision(decision)), zap.Duration("retry_after", retryAfterOf(decision)))
	return decision
}

// describeDecision names the coordinator's decision in logs.
func describeDecision(d quarantine.CanaryDecision) string {
	switch {
	case d.Cleared:
		return "cleared"
	case d.Refusal == nil:
		return "granted"
	default:
		return d.Refusal.Code.String()
	}
}

func retryAfterOf(d quarantine.CanaryDecision) time.Duration {
	if d.Refusal == nil {
		return 0
	}
	return d.Refusal.RetryAfter
}

// ask calls the coordinator. Without its answer the request must not run.
func (c *canaries) ask(coordinator member.Host, request quarantine.CanaryRequest) quarantine.CanaryDecision {
	if coordinator.ID == c.self {
		return c.leases.Acquire(c.now(), request)
	}
	ctx, cancel := context.WithTimeout(c.ctx, canaryCallTimeout)
	defer cancel()
	client := quarantinepb.NewDRPCCanariesClient(c.pool.Conn(ctx, coordinator.PeerAddress))
	reply, err := client.Acquire(ctx, encodeCanaryRequest(request))
	if err != nil {
		c.log.Warn("the coordinator of the canaries did not answer", zap.Stringer("fingerprint", request.Fingerprint), zap.String("coordinator", string(coordinator.ID)), observe.ErrorText(err))
		return quarantine.CanaryDecision{Refusal: quarantine.Suspected(request.Fingerprint, quarantine.CanaryRetryAfter)}
	}
	return decodeCanaryDecision(request.Fingerprint, reply)
}

// release returns the lease, if there is one.
func (c *canary) release(end quarantine.CanaryEnd) {
	c.suspects.EndCanary(c.fingerprint)
	if c.leasedBy.ID == "" {
		return
	}
	findings := c.suspects.Findings(c.now(), c.fingerprint)
	if c.leasedBy.ID == c.self {
		c.leases.Release(c.now(), c.fingerprint, string(c.self), end, findings)
		return
	}
	go c.sendRelease(end, findings)
}

// sendRelease tells the coordinator. If that fails, the lease ends by itself.
func (c *canary) sendRelease(end quarantine.CanaryEnd, findings quarantine.Findings) {
	ctx, cancel := context.WithTimeout(c.ctx, canaryCallTimeout)
	defer cancel()
	client := quarantinepb.NewDRPCCanariesClient(c.pool.Conn(ctx, c.leasedBy.PeerAddress))
	_, err := client.Release(ctx, &quarantinepb.ReleaseRequest{
		Fingerprint: uint64(c.fingerprint), Host: string(c.self),
		End: quarantinepb.CanaryEnd(end), Findings: encodeFindings(findings),
	})
	if err != nil {
		c.log.Warn("the lease of a canary was not returned", zap.Stringer("fingerprint", c.fingerprint), zap.String("coordinator", string(c.leasedBy.ID)), observe.ErrorText(err))
	}
}

// canaryEnd tells how a request that ran as a canary has ended.
func canaryEnd(answer *scatter.Answer) quarantine.CanaryEnd {
	switch {
	case len(answer.Parts) > 0:
		return quarantine.CanaryAnswered
	case answer.Code.NotRun():
		return quarantine.CanaryUnsent
	default:
		return quarantine.CanaryLost
	}
}

// Acquire implements quarantinepb.DRPCCanariesServer.
func (c *canaries) Acquire(_ context.Context, m *quarantinepb.AcquireRequest) (*quarantinepb.AcquireReply, error) {
	request := decodeCanaryRequest(m)
	return encodeCanaryDecision(c.leases.Acquire(c.now(), request)), nil
}

// Release implements quarantinepb.DRPCCanariesServer.
func (c *canaries) Release(_ context.Context, m *quarantinepb.ReleaseRequest) (*quarantinepb.ReleaseReply, error) {
	f := quarantine.Fingerprint(m.GetFingerprint())
	c.leases.Release(c.now(), f, m.GetHost(), quarantine.CanaryEnd(m.GetEnd()), decodeFindings(m.GetFindings()))
	return &quarantinepb.ReleaseReply{}, nil
}

package gateway

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/goldcrestspan/goldcrestspan/admit"
	"github.com/goldcrestspan/goldcrestspan/bundle"
	"github.com/goldcrestspan/goldcrestspan/customer"
	"github.com/goldcrestspan/goldcrestspan/drain"
	"github.com/goldcrestspan/goldcrestspan/forward"
	"github.com/goldcrestspan/goldcrestspan/freshness"
	"github.com/goldcrestspan/goldcrestspan/ident"
	"github.com/goldcrestspan/goldcrestspan/quarantine"
	"github.com/goldcrestspan/goldcrestspan/result"
	"github.com/goldcrestspan/goldcrestspan/route"
	"github.com/goldcrestspan/goldcrestspan/scatter"
)

const (
	// recordSize is the size of one record in a shard's part, in bytes.
	recordSize = 16
	// maxRequestsInFlight bounds memory use to half of a small host's; a request takes about
	// 40 KB with the connections of its parts.
	maxRequestsInFlight = 2048
	// otherHostRetryAfter is when a caller may retry at another host.
	otherHostRetryAfter = 50 * time.Millisecond
	// notReadyRetryAfter is when a caller may retry at a host that is starting or overloaded.
	notReadyRetryAfter = 300 * time.Millisecond
)

// Query is one request of a caller.
type Query struct {
	Arrived time.Time
	// Timeout is how long the caller waits; 0 if it does not say.
	Timeout time.Duration
	// Connection is the connection that the request came on; nil if nothing is known of it.
	Connection *Connection
	// Authorization holds the values of the request's authorization header.
	Authorization []string
	credential    customer.Credential // hash of the key, set when the customer is identified
	// Path is the path without the query string.
	Path    string
	Forward *forward.Request
	Body    []byte
}

// Answer is the answer to a Query.
type Answer struct {
	Code   result.Code
	Detail string
	// Reply is the backend server's reply on a single-service route, including replies that
	// report a failure. Nil if the answer is this host's own.
	Reply *forward.Reply
	// Merged is set for an answer from shards.
	Merged *Merged
	// RetryAfter is when a request that has not run may be sent again.
	RetryAfter time.Duration
	// Reason is why a search was refused under load, for logs; empty otherwise.
	Reason string
}

// Merged is the combined answer of several shards.
type Merged struct {
	Records    []byte   // the greatest records, in descending order
	Signatures []string // of the included parts
	Missing    int      // shards not included
}

func newRefusal(code result.Code, detail string, retryAfter time.Duration) *Answer {
	return &Answer{Code: code, Detail: detail, RetryAfter: retryAfter}
}

// Serve answers one request. It returns early when ctx ends because the caller has gone.
func (g *Gateway) Serve(ctx context.Context, q Query) *Answer {
	inFlight := g.inFlight.Add(1)
	defer g.inFlight.Add(-1)
	c := g.inForce.Load()
	if refusal := g.checkAdmission(c, inFlight); refusal != nil {
		g.logRefusal(q, c, refusal)
		return refusal
	}
	r, service, ok := c.table.Match(q.Forward.Host, q.Path)
	if !ok {
		answer := newRefusal(result.RouteNotAllowed, "no route for this host and path", 0)
		g.logRefusal(q, c, answer)
		return answer
	}
	who, refusal := g.identify(c, r, &q)
	if refusal != nil {
		g.logRefusal(q, c, refusal)
		return refusal
	}
	permit, refusal := g.takeQuota(ctx, who, q.Forward.AttemptID)
	if refusal != nil {
		g.countCustomer(who, refusal)
		g.logRefusal(q, c, refusal)
		return refusal
	}
	answer := g.run(ctx, c, r, service, q, who)
	g.countCustomer(who, answer)
	g.settleQuota(permit, answer)
	return answer
}

// ReserveBody reserves memory for a request's body before it is read; release frees it. Many
// concurrent bodies near the size limit would otherwise exhaust the host's memory. A refused
// request has not run.
func (g *Gateway) ReserveBody(bytes int64) (release func(), refusal *Answer) {
	if g.bodyBytes.Add(bytes) > g.reloadable.Load().MaxBodyBytes {
		g.bodyBytes.Add(-bytes)
		return nil, newRefusal(result.Overloaded, "too many bytes of requests in flight", notReadyRetryAfter)
	}
	return func() { g.bodyBytes.Add(-bytes) }, nil
}

// checkAdmission refuses requests while the host starts, stops, is cut off or outdated, or has too
// many in flight. A refused request has not run, so another host may serve it.
func (g *Gateway) checkAdmission(c *configuration, inFlight int64) *Answer {
	switch {
	case c == nil || !g.servers.HasSynced():
		return newRefusal(result.NotReady, "no configuration yet", notReadyRetryAfter)
	case !g.evacuationsListed():
		return newRefusal(result.NotReady, "evacuated zones are not known yet", notReadyRetryAfter)
	case g.phase() >= drain.PhaseRefusing:
		return newRefusal(result.Draining, "this host is stopping", otherHostRetryAfter)
	case g.cutOff():
		return newRefusal(result.CutOff, "neither the store nor a peer is heard", otherHostRetryAfter)
	case inFlight > maxRequestsInFlight:
		return newRefusal(result.Overloaded, "too many requests in flight", notReadyRetryAfter)
	}
	if reason := g.outdated(); reason != freshness.ReasonNone {
		return newRefusal(result.NotReady, string(reason), otherHostRetryAfter)
	}
	return nil
}

func (g *Gateway) run(ctx context.Context, c *configuration, r *route.Route, service string, q Query, who *customer.Customer) *Answer {
	fingerprint := fingerprintOf(q.Forward, q.Body)
	admission := g.crashDetector.admit(fingerprint)
	if refusal := admission.Refusal; refusal != nil {
		answer := newRefusal(refusal.Code, refusal.Detail, refusal.RetryAfter)
		g.logRefusal(q, c, answer)
		return answer
	}
	querySpec := g.querySpec(c, r, service, q, who)
	querySpec.Fingerprint = uint64(fingerprint)
	permit, refusal := g.admitQuery(c, r, who, &querySpec)
	if refusal != nil {
		if admission.Canary {
			g.crashDetector.suspects.EndCanary(fingerprint)
		}
		g.logRefusal(q, c, refusal)
		g.metrics.Request(r.Host, querySpec.Class, refusal.Code, g.options.Now().Sub(q.Arrived))
		return refusal
	}
	var answer *scatter.Answer
	if admission.Canary {
		answer = g.runCanary(ctx, querySpec, fingerprint)
	} else {
		answer = g.coordinators.of(&querySpec).Run(ctx, querySpec)
	}
	g.searches.release(permit, answer)
	if len(answer.Parts) > 0 {
		g.crashDetector.suspects.RecordAnswer(g.options.Now(), fingerprint)
	}
	g.explainKeyRefusal(q.Forward, answer)
	ctx, cancel := context.WithDeadline(ctx, querySpec.Deadline)
	defer cancel()
	out := toAnswer(ctx, r, answer)
	took := g.options.Now().Sub(q.Arrived)
	// The host name stands for the caller; customers are counted by countCustomer.
	g.metrics.Request(r.Host, querySpec.Class, answer.Code, took)
	g.metrics.Coverage(r.Host, querySpec.Class, len(answer.Parts), answer.Total)
	g.logAnswer(c, r, q, fingerprint, answer, took)
	return out
}

// admitQuery admits a query unless it would outlast a planned stop, or its services lack room.
func (g *Gateway) admitQuery(c *configuration, r *route.Route, who *customer.Customer, spec *scatter.QuerySpec) (*admit.Permit, *Answer) {
	if refusal := g.refuseInStop(spec); refusal != nil {
		return nil, refusal
	}
	return g.searches.admit(c, priorityOf(r, who), spec)
}

// runCanary runs a suspect on one server first, if it gets the lease for that.
func (g *Gateway) runCanary(ctx context.Context, spec scatter.QuerySpec, fingerprint quarantine.Fingerprint) *scatter.Answer {
	latest := g.options.Now().Add(quarantine.MaxCanaryDuration)
	if spec.Deadline.After(latest) {
		spec.Deadline = latest
	}
	c := &canary{canaries: g.crashDetector.canaries, request: spec.Forward.AttemptID, fingerprint: fingerprint, duration: spec.Deadline.Sub(g.options.Now())}
	spec.Canary = func(service string) scatter.CanaryPermit {
		decision := c.acquire(service)
		g.crashDetector.countCanary(decision)
		return scatter.CanaryPermit{Refusal: decision.Refusal, Unneeded: decision.Cleared}
	}
	answer := g.coordinators.of(&spec).Run(ctx, spec)
	c.release(canaryEnd(answer))
	return answer
}

func (g *Gateway) querySpec(c *configuration, r *route.Route, service string, q Query, who *customer.Customer) scatter.QuerySpec {
	class := classOf(r, who)
	plan := scatter.Plan{
		Request:     ident.NewRequestID(),
		Snapshot:    c.singleService[service],
		Started:     q.Arrived,
		Deadline:    q.Arrived.Add(timeoutOf(r, q)),
		MinCoverage: 1,
		Prefer:      bundle.PreferCoverage,
		Idempotent:  r.Idempotent,
	}
	if r.TargetLatency > 0 {
		g.setSoftDeadline(&plan, r.TargetLatency, class, q)
	}
	if r.IsFanout() {
		plan.Snapshot = c.shards[r]
		plan.MinCoverage = r.MinCoverage
		plan.Prefer = bundle.PreferLatency
		q.Forward.Merge = &forward.Merge{TopK: r.TopK, Services: len(r.Shards)}
	}
	q.Forward.Regions = r.Regions
	return scatter.QuerySpec{
		Plan:       plan,
		Index:      r.Name,
		Class:      class,
		Caller:     q.Forward.Customer,
		Body:       q.Body,
		MaxServers: r.MaxServers,
		Forward:    q.Forward,
		End:        g.stopEnded,
	}
}

// setSoftDeadline sets when the caller's target latency passes, by the caller's clock. On a new
// connection the clock has run since before the connection was opened; for a retry only the
// round trip is known.
func (g *Gateway) setSoftDeadline(plan *scatter.Plan, target time.Duration, class string, q Query) {
	plan.SoftDeadline = q.Arrived.Add(target)
	elapsed := g.timeouts.elapsed(q.Arrived, class, q.Timeout)
	if elapsed <= min(maxConnectTime, target/2) {
		q.Connection.recordRoundTrip(elapsed)
		plan.SoftDeadline = plan.SoftDeadline.Add(-elapsed)
	}
	plan.CallerRTT = q.Connection.rtt()
}

// defaultTimeout applies if neither the request nor the route has a timeout.
const defaultTimeout = 30 * time.Second

// timeoutOf returns the caller's timeout, bounded by that of the route.
func timeoutOf(r *route.Route, q Query) time.Duration {
	timeout := defaultTimeout
	if r.Timeout > 0 {
		timeout = r.Timeout
	}
	if q.Timeout > 0 {
		timeout = min(timeout, q.Timeout)
	}
	return timeout
}

func toAnswer(ctx context.Context, r *route.Route, answer *scatter.Answer) *Answer {
	var merged *Merged
	if r.IsFanout() && hasAnswer(answer.Code) {
		merged = merge(ctx, r, answer)
	}
	out := &Answer{Code: answer.Code, Detail: answer.Detail, RetryAfter: answer.RetryAfter, Merged: merged}
	switch {
	case !r.IsFanout() && len(answer.Parts) == 1:
		out.Reply = answer.Parts[0].Reply
	case !r.IsFanout() && len(answer.Missing) == 1 && !answer.Code.NotRun():
		out.Reply = answer.Missing[0].Reply
	}
	return out
}

func hasAnswer(code result.Code) bool {
	return code.Group() == result.GroupComplete || code.Group() == result.GroupPartial
}

func (g *Gateway) phase() drain.Phase {
	stop := g.stop.Load()
	if stop == nil {
		return drain.PhaseServing
	}
	return stop.Phase(g.options.Now(), int(g.inFlight.Load()))
}

func (g *Gateway) logRefusal(q Query, c *configuration, a *Answer) {
	g.log.Info("request refused", zap.String("request", q.Forward.AttemptID), zap.String("host", q.Forward.Host),
		zap.String("path", q.Path), logCustomer(q.Forward), logKey(q.credential), zap.Stringer("code", a.Code), zap.String("detail", a.Detail),
		zap.Uint64("config", versionOf(c)), zap.Duration("retry_after", a.RetryAfter),
		zap.String("reason", a.Reason))
}

func versionOf(c *configuration) uint64 {
	if c == nil {
		return 0
	}
	return c.table.Config.Version
}

func (g *Gateway) logAnswer(c *configuration, r *route.Route, q Query, fingerprint quarantine.Fingerprint, a *scatter.Answer, took time.Duration) {
	fields := []zap.Field{
		zap.String("request", q.Forward.AttemptID), zap.Stringer("fingerprint", fingerprint),
		zap.String("route", r.Name), logCustomer(q.Forward), logKey(q.credential), zap.Uint64("config", versionOf(c)),
		zap.Stringer("code", a.Code), zap.Int("parts", len(a.Parts)), zap.Int("total", a.Total),
		zap.Int("attempts", a.Attempts), zap.Int("hedges", a.Hedges),
		zap.Duration("budget", q.Timeout), zap.Duration("took", took),
	}
	if a.Detail != "" {
		fields = append(fields, zap.String("detail", a.Detail), zap.Duration("retry_after", a.RetryAfter))
	}
	if a.Reason != "" {
		fields = append(fields, zap.String("reason", a.Reason))
	}
	if len(a.Missing) > 0 && a.Code != result.Overloaded {
		fields = append(fields, zap.Array("missing", missingList(a.Missing)))
	}
	g.log.Info("request answered", fields...)
}

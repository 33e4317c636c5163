package gateway

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/goldcrestspan/goldcrestspan/bundle"
	"github.com/goldcrestspan/goldcrestspan/drain"
	"github.com/goldcrestspan/goldcrestspan/forward"
	"github.com/goldcrestspan/goldcrestspan/ident"
	"github.com/goldcrestspan/goldcrestspan/result"
	"github.com/goldcrestspan/goldcrestspan/route"
	"github.com/goldcrestspan/goldcrestspan/scatter"
)

const (
	// recordSize is the size of one record in a shard's part, in bytes.
	recordSize = 16
	// maxInFlight bounds the requests in flight: at some 40 KB each, with the
	// connections of their parts, they stay within half of a small host's memory.
	maxInFlight = 2048
	// elsewhereAfter is when a caller may come back to another host.
	elsewhereAfter = 50 * time.Millisecond
	// notReadyAfter is when a caller may come back to a host that is starting.
	notReadyAfter = 300 * time.Millisecond
)

// Query is one request of a caller.
type Query struct {
	Arrived time.Time
	// Timeout is how long the caller waits; 0: as long as the route allows.
	Timeout time.Duration
	// Connection is the one that the request came on; nil: nothing is known of it.
	Connection *Connection
	// Path is the path without the query.
	Path    string
	Forward *forward.Request
	Body    []byte
}

// Answer is the one answer to a Query.
type Answer struct {
	Code   result.Code
	Detail string
	// Reply is the backend server's, of a plain route; also one that says that
	// the request failed. Nil: the answer is this host's own.
	Reply *forward.Reply
	// Merged is set for an answer from shards.
	Merged *Merged
	// RetryAfter is when a request that has not run may be sent again.
	RetryAfter time.Duration
}

// Merged is an answer from several shards.
type Merged struct {
	Records    []byte   // the greatest, falling
	Signatures []string // of the parts that are in it
	Missing    int      // shards that are not
}

func refused(code result.Code, detail string, after time.Duration) *Answer {
	return &Answer{Code: code, Detail: detail, RetryAfter: after}
}

// Serve answers one request. It returns early when ctx ends, which says that
// the caller has gone.
func (g *Gateway) Serve(ctx context.Context, q Query) *Answer {
	inFlight := g.inFlight.Add(1)
	defer g.inFlight.Add(-1)
	c := g.inForce.Load()
	if refusal := g.refuse(c, inFlight); refusal != nil {
		g.logRefusal(q, c, refusal)
		return refusal
	}
	r, service, ok := c.table.Match(q.Forward.Host, q.Path)
	if !ok {
		answer := refused(result.RouteNotAllowed, "no route for this host and path", 0)
		g.logRefusal(q, c, answer)
		return answer
	}
	return g.run(ctx, c, r, service, q)
}

// ReserveBody asks for room for a request's body before it is read, and gives it
// back through release. A refusal says that the request has not run.
//
// Load: many callers send bodies near the limit at once. Harm prevented: they
// are held in memory until their answers, a host of 184 MB is killed, and every
// request on it is lost. A body is refused before it is read, whatever its caller
// had still to send.
func (g *Gateway) ReserveBody(bytes int64) (release func(), refusal *Answer) {
	if g.bodies.Add(bytes) > g.tuning.Load().MaxBodyBytes {
		g.bodies.Add(-bytes)
		return nil, refused(result.Overloaded, "too many bytes of requests in flight", notReadyAfter)
	}
	return func() { g.bodies.Add(-bytes) }, nil
}

// refuse decides at the door whether a request is taken in.
//
// Load: a host that starts, stops, is cut off, or has more in flight than its
// memory holds. Harm prevented: the request waits for what can't come, or is
// answered by an old configuration. Nothing has run, and another host may serve.
func (g *Gateway) refuse(c *configuration, inFlight int64) *Answer {
	switch {
	case c == nil || !g.servers.HasSynced():
		return refused(result.NotReady, "no configuration yet", notReadyAfter)
	case !g.evacuationsListed():
		return refused(result.NotReady, "evacuated zones are not known yet", notReadyAfter)
	case g.phase() >= drain.PhaseRefusing:
		return refused(result.Draining, "this host is stopping", elsewhereAfter)
	case g.cutOff():
		return refused(result.CutOff, "neither the store nor a peer is heard", elsewhereAfter)
	case inFlight > maxInFlight:
		return refused(result.Overloaded, "too many requests in flight", notReadyAfter)
	default:
		return nil
	}
}

func (g *Gateway) run(ctx context.Context, c *configuration, r *route.Route, service string, q Query) *Answer {
	work := g.work(c, r, service, q)
	answer := g.coordinators.of(&work).Run(ctx, work)
	ctx, cancel := context.WithDeadline(ctx, work.Deadline)
	defer cancel()
	out := encode(ctx, r, answer)
	took := g.options.Now().Sub(q.Arrived)
	class := className(r) // the host name stands for the caller, who is not named here
	g.metrics.Request(r.Host, class, answer.Code, took)
	g.metrics.Coverage(r.Host, class, len(answer.Parts), answer.Total)
	g.logAnswer(c, r, q, answer, took)
	return out
}

func (g *Gateway) work(c *configuration, r *route.Route, service string, q Query) scatter.QuerySpec {
	class := className(r)
	plan := scatter.Plan{
		Request:     ident.NewRequestID(),
		Snapshot:    c.single[service],
		Started:     q.Arrived,
		Deadline:    q.Arrived.Add(allowed(r, q)),
		MinCoverage: 1,
		Prefer:      bundle.PreferCoverage,
		Idempotent:  r.Idempotent,
	}
	if r.TargetLatency > 0 {
		g.setTarget(&plan, r.TargetLatency, class, q)
	}
	if r.IsFanout() {
		plan.Snapshot = c.shards[r]
		plan.MinCoverage = r.MinShardShare
		plan.Prefer = bundle.PreferLatency
		q.Forward.Merge = &forward.Merge{Greatest: r.TopK, Services: len(r.Shards)}
	}
	q.Forward.Regions = r.Regions
	return scatter.QuerySpec{
		Plan:       plan,
		Index:      r.Name,
		Class:      class,
		Body:       q.Body,
		MaxServers: r.MaxServers,
		Forward:    q.Forward,
	}
}

// setTarget sets when the caller's target passes, by the caller's clock. It began
// to count before the request was sent: a new connection had to be opened, which
// takes a round trip, and so will the answer's way. Of one that came back before
// only its way is known.
func (g *Gateway) setTarget(plan *scatter.Plan, target time.Duration, class string, q Query) {
	plan.SoftDeadline = q.Arrived.Add(target)
	used := g.callers.used(q.Arrived, class, q.Timeout)
	if used <= min(mostOpening, target/2) {
		q.Connection.learn(used)
		plan.SoftDeadline = plan.SoftDeadline.Add(-used)
	}
	plan.CallerRTT = q.Connection.way()
}

// longestWait is for a request that states no time on a route without one.
const longestWait = 30 * time.Second

// allowed is the time that a request may take: the caller's, and no more than
// the operator lets the route wait.
func allowed(r *route.Route, q Query) time.Duration {
	wait := longestWait
	if r.Timeout > 0 {
		wait = r.Timeout
	}
	if q.Timeout > 0 {
		wait = min(wait, q.Timeout)
	}
	return wait
}

func encode(ctx context.Context, r *route.Route, answer *scatter.Answer) *Answer {
	var parts *Merged
	if r.IsFanout() && answered(answer.Code) {
		parts = merge(ctx, r, answer)
	}
	out := &Answer{Code: answer.Code, Detail: answer.Detail, RetryAfter: answer.RetryAfter, Merged: parts}
	switch {
	case !r.IsFanout() && len(answer.Parts) == 1:
		out.Reply = answer.Parts[0].Reply
	case !r.IsFanout() && len(answer.Missing) == 1 && !answer.Code.NotRun():
		out.Reply = answer.Missing[0].Reply
	}
	return out
}

func answered(code result.Code) bool {
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
		zap.String("path", q.Path), zap.Stringer("code", a.Code), zap.String("detail", a.Detail),
		zap.Uint64("config", versionOf(c)), zap.Duration("retry_after", a.RetryAfter))
}

func versionOf(c *configuration) uint64 {
	if c == nil {
		return 0
	}
	return c.table.Config.Version
}

func (g *Gateway) logAnswer(c *configuration, r *route.Route, q Query, a *scatter.Answer, took time.Duration) {
	fields := []zap.Field{
		zap.String("request", q.Forward.AttemptID), zap.String("route", r.Name), zap.Uint64("config", versionOf(c)),
		zap.Stringer("code", a.Code), zap.Int("parts", len(a.Parts)), zap.Int("total", a.Total),
		zap.Int("attempts", a.Attempts), zap.Int("hedges", a.Hedges),
		zap.Duration("budget", q.Timeout), zap.Duration("took", took),
	}
	if a.Detail != "" {
		fields = append(fields, zap.String("detail", a.Detail), zap.Duration("retry_after", a.RetryAfter))
	}
	if len(a.Missing) > 0 && a.Code != result.Overloaded {
		fields = append(fields, zap.Array("missing", missingList(a.Missing)))
	}
	g.log.Info("request answered", fields...)
}

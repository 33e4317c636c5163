package member

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"
	"storj.io/drpc"

	"github.com/goldcrestspan/goldcrestspan/member/memberpb"
)

// start makes a call beside the control loop and posts its end.
func (a *Agent) start(ctx context.Context, call Call) {
	a.calls.Add(1)
	go func() {
		defer a.calls.Done()
		ctx, cancel := context.WithTimeout(ctx, call.Timeout)
		defer cancel()
		a.make(ctx, call)
	}()
}

func (a *Agent) make(ctx context.Context, call Call) {
	client := memberpb.NewDRPCMemberClient(a.config.Pool.Conn(ctx, call.Address))
	switch {
	case call.Probe != nil:
		a.metrics.sent(call.Probe)
		reply, err := client.Probe(ctx, call.Probe)
		a.metrics.received(reply)
		a.post(func(now time.Time, m *Membership) {
			m.ProbeDone(now, call.Probe.Sequence, unless(err, reply))
		})
	case call.ProbeFor != nil:
		a.metrics.sent(call.ProbeFor)
		reply, err := client.ProbeFor(ctx, call.ProbeFor)
		a.metrics.received(reply)
		a.post(func(now time.Time, m *Membership) {
			m.ProbeForDone(now, call.ProbeFor.Sequence, unless(err, reply))
		})
	case call.Push != nil:
		a.metrics.sent(call.Push)
		_, _ = client.Push(ctx, call.Push) // probes carry the news as well
	case call.Sync != nil:
		a.metrics.sent(call.Sync)
		reply, err := client.Sync(ctx, call.Sync)
		a.metrics.received(reply)
		a.post(func(now time.Time, m *Membership) { m.SyncDone(now, unless(err, reply)) })
	}
}

// unless returns the reply, or nil when the call failed.
func unless[T any](err error, reply *T) *T {
	if err != nil {
		return nil
	}
	return reply
}

// service answers peers' calls by asking the control loop.
type service struct{ agent *Agent }

// Register registers the membership service for peers.
func (a *Agent) Register(mux drpc.Mux) error {
	return errors.Wrap(memberpb.DRPCRegisterMember(mux, &service{agent: a}), "register membership")
}

// errNotServing refuses a peer's call that is meant for another host or life.
var errNotServing = errors.New("member: not the host that was asked for")

// serve runs one request on the control loop.
func serve[Q, R proto.Message](ctx context.Context, a *Agent, request Q, f func(time.Time, *Membership, Q) R) (R, error) {
	var reply, none R
	a.metrics.received(request)
	err := a.ask(ctx, func(now time.Time, m *Membership) { reply = f(now, m, request) })
	if err != nil {
		return none, err
	}
	if !reply.ProtoReflect().IsValid() {
		return none, errNotServing
	}
	a.metrics.sent(reply)
	return reply, nil
}

// Probe answers a peer's probe.
func (s *service) Probe(ctx context.Context, request *memberpb.ProbeRequest) (*memberpb.ProbeReply, error) {
	return serve(ctx, s.agent, request, func(now time.Time, m *Membership, q *memberpb.ProbeRequest) *memberpb.ProbeReply {
		return m.ServeProbe(now, q)
	})
}

// Push takes in a peer's urgent news.
func (s *service) Push(ctx context.Context, request *memberpb.PushRequest) (*memberpb.PushReply, error) {
	return serve(ctx, s.agent, request, func(now time.Time, m *Membership, q *memberpb.PushRequest) *memberpb.PushReply {
		return m.ServePush(now, q)
	})
}

// Sync gives a peer the whole view.
func (s *service) Sync(ctx context.Context, request *memberpb.SyncRequest) (*memberpb.SyncReply, error) {
	return serve(ctx, s.agent, request, func(now time.Time, m *Membership, q *memberpb.SyncRequest) *memberpb.SyncReply {
		return m.ServeSync(now, q)
	})
}

// ProbeFor probes the target for a peer. The number of such probes at one time
// is bounded; above it the peer gets "not reached" from this host.
func (s *service) ProbeFor(ctx context.Context, request *memberpb.ProbeForRequest) (*memberpb.ProbeForReply, error) {
	a := s.agent
	select {
	case a.relays <- struct{}{}:
		defer func() { <-a.relays }()
	default:
		return nil, errors.New("member: too many probes for others")
	}
	outward, err := serve(ctx, a, request, func(now time.Time, m *Membership, q *memberpb.ProbeForRequest) *memberpb.ProbeRequest {
		return m.RelayProbe(now, q)
	})
	if err != nil {
		return nil, err
	}
	limit := a.members.config.DirectTimeout
	probeCtx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	client := memberpb.NewDRPCMemberClient(a.config.Pool.Conn(probeCtx, request.TargetAddress))
	reply, probeErr := client.Probe(probeCtx, outward)
	return serve(ctx, a, request, func(now time.Time, m *Membership, q *memberpb.ProbeForRequest) *memberpb.ProbeForReply {
		return m.RelayDone(now, q, unless(probeErr, reply))
	})
}

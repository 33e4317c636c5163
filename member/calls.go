package member

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"
	"storj.io/drpc"

	"github.com/goldcrestspan/goldcrestspan/member/memberpb"
)

// startCall makes a call in a goroutine and posts its result to the control loop.
func (a *Agent) startCall(ctx context.Context, call Call) {
	a.calls.Add(1)
	go func() {
		defer a.calls.Done()
		ctx, cancel := context.WithTimeout(ctx, call.Timeout)
		defer cancel()
		a.makeCall(ctx, call)
	}()
}

func (a *Agent) makeCall(ctx context.Context, call Call) {
	client := memberpb.NewDRPCMemberClient(a.config.Pool.Conn(ctx, call.Address))
	switch {
	case call.Probe != nil:
		a.metrics.sent(call.Probe)
		reply, err := client.Probe(ctx, call.Probe)
		a.metrics.received(reply)
		a.post(func(now time.Time, m *Membership) {
			m.ProbeDone(now, call.Probe.Sequence, replyOrNil(err, reply))
		})
	case call.ProbeFor != nil:
		a.metrics.sent(call.ProbeFor)
		reply, err := client.ProbeFor(ctx, call.ProbeFor)
		a.metrics.received(reply)
		a.post(func(now time.Time, m *Membership) {
			m.ProbeForDone(now, call.ProbeFor.Sequence, replyOrNil(err, reply))
		})
	case call.Push != nil:
		a.metrics.sent(call.Push)
		_, _ = client.Push(ctx, call.Push) // probes carry the same updates
	case call.Sync != nil:
		a.metrics.sent(call.Sync)
		reply, err := client.Sync(ctx, call.Sync)
		a.metrics.received(reply)
		a.post(func(now time.Time, m *Membership) { m.SyncDone(now, replyOrNil(err, reply)) })
	case call.Recent != nil:
		a.metrics.sent(call.Recent)
		reply, err := client.Recent(ctx, call.Recent)
		a.metrics.received(reply)
		a.post(func(now time.Time, m *Membership) { m.RecentDone(now, call.Recent, replyOrNil(err, reply)) })
	}
}

// replyOrNil returns the reply, or nil if the call failed.
func replyOrNil[T any](err error, reply *T) *T {
	if err != nil {
		return nil
	}
	return reply
}

// service answers peers' calls on the control loop.
type service struct{ agent *Agent }

// Register registers the membership service.
func (a *Agent) Register(mux drpc.Mux) error {
	return errors.Wrap(memberpb.DRPCRegisterMember(mux, &service{agent: a}), "register membership")
}

// errNotServing refuses a call that is meant for another host, or that arrives
// after this one departed or was replaced.
var errNotServing = errors.New("member: not the host that was asked for")

// handle runs one request on the control loop.
func handle[Q, R proto.Message](ctx context.Context, a *Agent, request Q, f func(time.Time, *Membership, Q) R) (R, error) {
	var reply, none R
	a.metrics.received(request)
	err := a.postAndWait(ctx, func(now time.Time, m *Membership) { reply = f(now, m, request) })
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
	return handle(ctx, s.agent, request, func(now time.Time, m *Membership, q *memberpb.ProbeRequest) *memberpb.ProbeReply {
		return m.ServeProbe(now, q)
	})
}

// Push applies a peer's urgent updates.
func (s *service) Push(ctx context.Context, request *memberpb.PushRequest) (*memberpb.PushReply, error) {
	return handle(ctx, s.agent, request, func(now time.Time, m *Membership, q *memberpb.PushRequest) *memberpb.PushReply {
		return m.ServePush(now, q)
	})
}

// Sync sends a peer the complete view.
func (s *service) Sync(ctx context.Context, request *memberpb.SyncRequest) (*memberpb.SyncReply, error) {
	return handle(ctx, s.agent, request, func(now time.Time, m *Membership, q *memberpb.SyncRequest) *memberpb.SyncReply {
		return m.ServeSync(now, q)
	})
}

// Recent answers a peer's comparison of recent updates.
func (s *service) Recent(ctx context.Context, request *memberpb.RecentRequest) (*memberpb.RecentReply, error) {
	return handle(ctx, s.agent, request, func(now time.Time, m *Membership, q *memberpb.RecentRequest) *memberpb.RecentReply {
		return m.ServeRecent(now, q)
	})
}

// ProbeFor probes a target on behalf of a peer. It fails when too many such
// probes are in flight.
func (s *service) ProbeFor(ctx context.Context, request *memberpb.ProbeForRequest) (*memberpb.ProbeForReply, error) {
	a := s.agent
	select {
	case a.relaySlots <- struct{}{}:
		defer func() { <-a.relaySlots }()
	default:
		return nil, errors.New("member: too many probes for others")
	}
	relayed, err := handle(ctx, a, request, func(now time.Time, m *Membership, q *memberpb.ProbeForRequest) *memberpb.ProbeRequest {
		return m.RelayProbe(now, q)
	})
	if err != nil {
		return nil, err
	}
	timeout := a.membership.config.DirectProbeTimeout
	probeCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	client := memberpb.NewDRPCMemberClient(a.config.Pool.Conn(probeCtx, request.TargetAddress))
	reply, probeErr := client.Probe(probeCtx, relayed)
	return handle(ctx, a, request, func(now time.Time, m *Membership, q *memberpb.ProbeForRequest) *memberpb.ProbeForReply {
		return m.RelayDone(now, q, replyOrNil(probeErr, reply))
	})
}

package gateway

import (
	"context"
	"sync/atomic"

	lru "github.com/hashicorp/golang-lru/v2"
	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/goldcrestspan/goldcrestspan/exchange"
	"github.com/goldcrestspan/goldcrestspan/forward"
	"github.com/goldcrestspan/goldcrestspan/homeserver"
	"github.com/goldcrestspan/goldcrestspan/leg"
	"github.com/goldcrestspan/goldcrestspan/result"
	"github.com/goldcrestspan/goldcrestspan/scatter"
)

// peerLegs runs what other hosts send: legs at a server that they name, and legs of
// searches whose services have their home here.
type peerLegs struct {
	far   *farServer
	homes *homeLegs
}

// Run implements leg.Runner.
func (p peerLegs) Run(request leg.Request, done func(leg.Result)) (cancel func()) {
	if request.DirectServer != "" {
		return p.far.Run(request, done)
	}
	return p.homes.Run(request, done)
}

// homeLegs runs legs of other hosts' searches at this host's homes and sends back the
// greatest records only.
type homeLegs struct {
	local *homeserver.Server
	// open counts the legs under way: a planned stop waits for them.
	open atomic.Int64
	kept *lru.Cache[partKey, *forward.Reply]
	legs prometheus.Counter
}

func newHomeLegs(local *homeserver.Server, registry *prometheus.Registry) (*homeLegs, error) {
	kept, err := lru.New[partKey, *forward.Reply](keptParts)
	if err != nil {
		return nil, errors.Wrap(err, "parts kept for roots")
	}
	legs := prometheus.NewCounter(prometheus.CounterOpts{
		Namespace: "goldcrestspan", Name: "home_legs_total",
		Help: "Legs of other hosts' searches that this host ran as the home of their service.",
	})
	return &homeLegs{local: local, kept: kept, legs: legs}, registry.Register(legs)
}

// Run implements leg.Runner.
func (s *homeLegs) Run(request leg.Request, done func(leg.Result)) (cancel func()) {
	if request.Forward == nil {
		done(leg.Failed(request, result.NotReady, result.OutcomeUnsent, "a leg without its request"))
		return func() {}
	}
	if request.FullAnswer {
		return s.whole(request, done)
	}
	s.open.Add(1)
	s.legs.Inc()
	return s.local.Run(request, func(ended leg.Result) {
		s.open.Add(-1)
		done(s.cut(request, unknownHere(ended)))
	})
}

// unknownHere says of a leg that this host can't place, since it has not heard of the
// service or its class yet, that it is no home for it.
//
// Failure: the index is cut into other shards, and a root has the new configuration a
// second before the home. It shows as legs that fail for an unknown service, so that
// the whole search fails. The guard holds because the root then asks itself.
func unknownHere(ended leg.Result) leg.Result {
	if ended.Outcome == result.OutcomeUnsent && (ended.Code == result.NoBackend || ended.Code == result.BadRequest) {
		ended.Code = result.NotReady
	}
	return ended
}

// cut leaves the greatest records in the leg's part, and keeps the whole of it.
func (s *homeLegs) cut(request leg.Request, ended leg.Result) leg.Result {
	most := 0
	if request.Forward.Merge != nil {
		most = request.Forward.Merge.MostPerPart()
	}
	if !ended.HasAnswer() || ended.Reply == nil || most == 0 {
		return ended
	}
	if len(ended.Body) <= most*recordSize && ended.Reply.Rest == nil {
		return ended
	}
	s.kept.Add(homeKey(request), ended.Reply)
	ended.Body, ended.Truncated = scatter.TopK([][]byte{ended.Body}, recordSize, most), true
	ended.Digest = leg.Digest(ended.Body)
	return ended
}

// whole answers with all records of a part that was cut before.
func (s *homeLegs) whole(request leg.Request, done func(leg.Result)) (cancel func()) {
	reply, ok := s.kept.Get(homeKey(request))
	if !ok {
		done(leg.Failed(request, result.NoSnapshot, result.OutcomeUnsent, "the part is not kept any more"))
		return func() {}
	}
	ctx, cancel := context.WithDeadline(context.Background(), request.Deadline)
	go func() {
		defer cancel()
		body, err := reply.Body, error(nil)
		if reply.Rest != nil {
			body, err = reply.Rest(ctx)
		}
		if err != nil {
			done(leg.Failed(request, result.HomeUnavailable, result.OutcomeUnsent, err.Error()))
			return
		}
		ended := leg.Failed(request, 0, result.OutcomeRan, "")
		ended.Body, ended.Digest = body, leg.Digest(body)
		done(ended)
	}()
	return cancel
}

// homeKey names a part by the caller's attempt and its service.
func homeKey(request leg.Request) partKey {
	return partKey{attempt: request.Forward.AttemptID, server: request.Service}
}

// restAt fetches all records of a part that a peer has cut.
func restAt(links *exchange.Client, address string, request leg.Request) func(context.Context) ([]byte, error) {
	request.FullAnswer, request.MaxRecords = true, 0
	return func(ctx context.Context) ([]byte, error) {
		ended := askPeer(ctx, links, address, request)
		if ended.Outcome != result.OutcomeRan {
			return nil, &result.Error{Code: result.HomeUnavailable, Detail: "the rest of a part was not had from " + address}
		}
		return ended.Body, nil
	}
}

// askPeer sends a leg to a peer and waits for its end, at most until ctx ends.
func askPeer(ctx context.Context, links *exchange.Client, address string, request leg.Request) leg.Result {
	results := make(chan leg.Result, 1)
	cancel := links.To(address).Run(request, func(ended leg.Result) { results <- ended })
	select {
	case ended := <-results:
		return ended
	case <-ctx.Done():
		cancel()
		return <-results
	}
}

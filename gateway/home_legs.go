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

// peerLegRunner runs the legs that peers send: legs for a given server, and legs of searches
// whose services have their home on this host.
type peerLegRunner struct {
	proxy *proxyServer
	homes *homeLegRunner
}

// Run implements leg.Runner.
func (p peerLegRunner) Run(request leg.Request, done func(leg.Result)) (cancel func()) {
	if request.DirectServer != "" {
		return p.proxy.Run(request, done)
	}
	return p.homes.Run(request, done)
}

// homeLegRunner runs legs of other hosts' searches at this host's homes and returns only the
// greatest records.
type homeLegRunner struct {
	local *homeserver.Server
	// explainKeyRefusal sets the code of a leg that has not run on account of its key.
	explainKeyRefusal func(*forward.Request, leg.Result) leg.Result
	// running counts running legs; a planned stop waits for them.
	running atomic.Int64
	cache   *lru.Cache[partKey, *forward.Reply]
	counter prometheus.Counter
}

func newHomeLegRunner(local *homeserver.Server, explainKeyRefusal func(*forward.Request, leg.Result) leg.Result, registry *prometheus.Registry) (*homeLegRunner, error) {
	cache, err := lru.New[partKey, *forward.Reply](maxCachedParts)
	if err != nil {
		return nil, errors.Wrap(err, "create cache of full parts")
	}
	counter := prometheus.NewCounter(prometheus.CounterOpts{
		Namespace: "goldcrestspan", Name: "home_legs_total",
		Help: "Legs of other hosts' searches that this host ran as the home of their service.",
	})
	return &homeLegRunner{local: local, explainKeyRefusal: explainKeyRefusal, cache: cache, counter: counter}, registry.Register(counter)
}

// Run implements leg.Runner.
func (s *homeLegRunner) Run(request leg.Request, done func(leg.Result)) (cancel func()) {
	if request.Forward == nil {
		done(leg.Failed(request, result.NotReady, result.OutcomeUnsent, "a leg without its request"))
		return func() {}
	}
	if request.FullAnswer {
		return s.fullPart(request, done)
	}
	request.Fingerprint = uint64(fingerprintOf(request.Forward, request.Body))
	s.running.Add(1)
	s.counter.Inc()
	return s.local.Run(request, func(res leg.Result) {
		s.running.Add(-1)
		done(s.truncate(request, s.explainKeyRefusal(request.Forward, notReadyIfUnknown(res))))
	})
}

// notReadyIfUnknown makes an unsent leg for an unknown service or class fail as not ready:
// the coordinating host, which may have a newer configuration, then runs it itself.
func notReadyIfUnknown(res leg.Result) leg.Result {
	if res.Outcome == result.OutcomeUnsent && (res.Code == result.NoBackend || res.Code == result.BadRequest) {
		res.Code = result.NotReady
	}
	return res
}

// truncate keeps only the greatest records in the leg's result and caches the full reply.
func (s *homeLegRunner) truncate(request leg.Request, res leg.Result) leg.Result {
	limit := 0
	if request.Forward.Merge != nil {
		limit = request.Forward.Merge.MaxPerPart()
	}
	if !res.HasAnswer() || res.Reply == nil || limit == 0 {
		return res
	}
	if len(res.Body) <= limit*recordSize && res.Reply.FetchFull == nil {
		return res
	}
	s.cache.Add(homePartKey(request), res.Reply)
	res.Body, res.Truncated = scatter.TopK([][]byte{res.Body}, recordSize, limit), true
	res.Digest = leg.Digest(res.Body)
	return res
}

// fullPart answers with all records of a part that was truncated before.
func (s *homeLegRunner) fullPart(request leg.Request, done func(leg.Result)) (cancel func()) {
	reply, ok := s.cache.Get(homePartKey(request))
	if !ok {
		done(leg.Failed(request, result.NoSnapshot, result.OutcomeUnsent, "the part is not kept any more"))
		return func() {}
	}
	ctx, cancel := context.WithDeadline(context.Background(), request.Deadline)
	go func() {
		defer cancel()
		body, err := reply.Body, error(nil)
		if reply.FetchFull != nil {
			body, err = reply.FetchFull(ctx)
		}
		if err != nil {
			done(leg.Failed(request, result.HomeUnavailable, result.OutcomeUnsent, err.Error()))
			return
		}
		res := leg.Failed(request, 0, result.OutcomeRan, "")
		res.Body, res.Digest = body, leg.Digest(body)
		done(res)
	}()
	return cancel
}

// homePartKey identifies a part by the caller's attempt and its service.
func homePartKey(request leg.Request) partKey {
	return partKey{attempt: request.Forward.AttemptID, source: request.Service}
}

// fullPartFetcher returns a function that fetches all records of a part that a peer truncated.
func fullPartFetcher(links *exchange.Client, address string, request leg.Request) func(context.Context) ([]byte, error) {
	request.FullAnswer, request.MaxRecords = true, 0
	return func(ctx context.Context) ([]byte, error) {
		res := askPeer(ctx, links, address, request)
		if res.Outcome != result.OutcomeRan {
			return nil, &result.Error{Code: result.HomeUnavailable, Detail: "the rest of a part was not had from " + address}
		}
		return res.Body, nil
	}
}

// askPeer runs a leg at a peer and waits for its result, at most until ctx ends.
func askPeer(ctx context.Context, links *exchange.Client, address string, request leg.Request) leg.Result {
	results := make(chan leg.Result, 1)
	cancel := links.To(address).Run(request, func(res leg.Result) { results <- res })
	select {
	case res := <-results:
		return res
	case <-ctx.Done():
		cancel()
		return <-results
	}
}

package member

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/goldcrestspan/goldcrestspan/member/memberpb"
	"github.com/goldcrestspan/goldcrestspan/peer"
)

const backlogTimeout = 10 * time.Second

// announcingAgent returns an agent that announces what it hears of within the callback, as hosts
// do that put it in force, or have it already. It is not running yet.
func announcingAgent() *Agent {
	var a *Agent
	a = NewAgent(AgentConfig{
		Membership: Config{Self: Host{ID: "self", Incarnation: 1, PeerAddress: "127.0.0.1:1"}},
		Pool:       peer.NewPool(nil),
		Logger:     zap.NewNop(),
		OnConfigUpdate: func(update ConfigUpdate) {
			a.AnnounceConfig(update.Generation, nil)
			a.AnnounceStore(update.Store)
		},
		OnBackendUpdate:  func(update BackendUpdate) { a.AnnounceBackend(update) },
		OnSuspectRequest: func(update SuspectRequestUpdate) { a.AnnounceSuspectRequest(update) },
	})
	return a
}

// push returns a peer's message that announces a configuration.
func push(version uint64) *memberpb.PushRequest {
	return &memberpb.PushRequest{
		Sender: &memberpb.HostNews{Host: "peer", Incarnation: 1, PeerAddress: "127.0.0.1:2"},
		News: &memberpb.News{
			Config:   &memberpb.ConfigNews{Generation: version, ConfigVersion: version},
			Backends: []*memberpb.BackendNews{{Server: fmt.Sprint(version), Incarnation: 1}},
		},
	}
}

// Guards against a control loop that waits for room in its own queue: a host that had stopped for
// some seconds finds more messages than the queue holds, and then never puts a configuration
// in force again.
func TestMessagesThatWaitedDoNotStopTheControlLoop(t *testing.T) {
	for seed := range uint64(20) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			handleBacklog(t, rand.New(rand.NewPCG(seed, 1)))
		})
	}
}

// handleBacklog starts an agent while messages of peers and announcements of this host wait for it,
// in random order and number.
func handleBacklog(t *testing.T, rng *rand.Rand) {
	is := is.New(t)
	a := announcingAgent()
	ctx, cancel := context.WithTimeout(context.Background(), backlogTimeout)
	defer cancel()
	var waiting sync.WaitGroup
	newest := uint64(0)
	for range 1 + rng.IntN(3*eventQueueSize) {
		version := 1 + rng.Uint64N(5)
		newest = max(newest, version)
		switch own := rng.IntN(8) == 0; {
		case own:
			waiting.Go(func() { a.AnnounceStore(StoreRevisions{ConfigVersion: version}) })
		default:
			waiting.Go(func() { _, _ = (&service{agent: a}).Push(ctx, push(version)) })
		}
	}
	time.Sleep(time.Duration(rng.IntN(30)) * time.Millisecond)
	runCtx, stop := context.WithCancel(context.Background())
	defer stop()
	go func() { _ = a.Run(runCtx) }()

	handled := make(chan struct{})
	go func() { waiting.Wait(); close(handled) }()
	select {
	case <-handled:
	case <-ctx.Done():
		t.Fatalf("the control loop did not handle what waited for it; %d events are queued", len(a.events))
	}
	// What was announced last is in force, whatever came before it.
	a.AnnounceStore(StoreRevisions{ConfigVersion: newest + 1})
	is.NoErr(a.postAndWait(ctx, func(time.Time, *Membership) {}))
	waitFor(t, "the last announcement", func() bool {
		var announced uint64
		_ = a.postAndWait(ctx, func(_ time.Time, m *Membership) { announced = m.announced.GetConfigVersion() })
		return announced == newest+1
	})
}

package member

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"
	"go.uber.org/zap"

	"github.com/goldcrestspan/goldcrestspan/ident"
	"github.com/goldcrestspan/goldcrestspan/metastore"
	"github.com/goldcrestspan/goldcrestspan/peer"
)

type running struct {
	*Agent
	stop    func()
	configs chan ConfigUpdate
	lost    chan BackendUpdate
}

type fixedList []metastore.ListedHost

func (l fixedList) Hosts(context.Context, metastore.HostKind) ([]metastore.ListedHost, error) {
	return l, nil
}

func startAgent(t *testing.T, name string, listener net.Listener, seeds []string) *running {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	pool := peer.NewPool(nil)
	r := &running{configs: make(chan ConfigUpdate, 64), lost: make(chan BackendUpdate, 64)}
	r.Agent = NewAgent(AgentConfig{
		Membership: Config{
			Self: Host{
				ID:          ident.HostID(name),
				Incarnation: ident.NewIncarnation(time.Now()),
				PeerAddress: listener.Addr().String(),
				Region:      "jadran",
				Zone:        "split-a",
			},
			Seeds: seeds,
		},
		Pool:            pool,
		HostList:        fixedList{},
		Logger:          zap.NewNop(),
		OnConfigUpdate:  func(n ConfigUpdate) { trySend(r.configs, n) },
		OnBackendUpdate: func(n BackendUpdate) { trySend(r.lost, n) },
	})
	server := peer.NewServer()
	if err := r.Register(server.Mux()); err != nil {
		t.Fatal(err)
	}
	ended := make(chan struct{}, 2)
	go func() { _ = r.Run(ctx); ended <- struct{}{} }()
	go func() { _ = server.Serve(ctx, listener); ended <- struct{}{} }()
	r.stop = func() {
		cancel()
		<-ended
		<-ended
		_ = pool.Close()
	}
	return r
}

func trySend[T any](to chan T, value T) {
	select {
	case to <- value:
	default:
	}
}

func waitFor(t *testing.T, what string, holds func() bool) {
	t.Helper()
	deadline := time.Now().Add(30 * time.Second)
	for !holds() {
		if time.Now().After(deadline) {
			t.Fatalf("still waiting: %s", what)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// Three agents over real sockets find each other, pass news on, and see one
// of them leave and go.
func TestAgentsOverLoopback(t *testing.T) {
	defer goleak.VerifyNone(t)
	is := is.New(t)
	var listeners []net.Listener
	var seeds []string
	for range 3 {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		is.NoErr(err)
		listeners = append(listeners, listener)
		seeds = append(seeds, listener.Addr().String())
	}
	a := startAgent(t, "a", listeners[0], seeds)
	defer a.stop()
	b := startAgent(t, "b", listeners[1], seeds)
	defer b.stop()
	c := startAgent(t, "c", listeners[2], seeds)
	stateOfC := func(at *running) State {
		h, _ := at.View().Find("c")
		return h.State
	}
	waitFor(t, "three hosts everywhere", func() bool {
		return len(a.View().Hosts) == 3 && len(b.View().Hosts) == 3 && len(c.View().Hosts) == 3
	})
	is.True(!a.CutOff(time.Now(), time.Time{}, 30*time.Second))

	a.AnnounceConfig(7, []byte("hash"))
	news := <-b.configs
	is.Equal(news.Generation, uint64(7))
	is.Equal(news.FromAddress, seeds[0])
	b.AnnounceBackend(BackendUpdate{Server: "s1", Incarnation: 4})
	is.Equal(<-a.lost, BackendUpdate{Server: "s1", Incarnation: 4})

	is.NoErr(c.Leave(context.Background()))
	waitFor(t, "c is leaving", func() bool { return stateOfC(a) == StateLeaving && stateOfC(b) == StateLeaving })
	c.stop()
	waitFor(t, "c is gone", func() bool { return stateOfC(a) == StateDead && stateOfC(b) == StateDead })
}

package discover

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/goldcrestspan/goldcrestspan/metastore"
	"github.com/goldcrestspan/goldcrestspan/peer"
)

// silentPeer returns the address of a host that stands still: it accepts connections and answers
// nothing.
func silentPeer(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	return listener.Addr().String()
}

// servingPeer returns the address of a host that serves the objects of a prefix.
func servingPeer(t *testing.T, prefix string, objects []metastore.Object, revision metastore.Revision) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	f := newTestFollower(prefix)
	f.applyChanges(changes{revision: revision, complete: true, objects: objects}, "")
	server := peer.NewServer()
	if err := f.config.Relay.Register(server.Mux(), f); err != nil {
		t.Fatal(err)
	}
	go func() { _ = server.Serve(t.Context(), listener) }()
	return listener.Addr().String()
}

func newTestFollower(prefix string) *Follower {
	return NewFollower(Config{
		Prefix: prefix, Relay: NewRelay(peer.NewPool(nil)), Now: time.Now, Logger: zap.NewNop(),
		OnChange: func([]metastore.Object, metastore.Revision) {},
	})
}

// Guards against a host that stays behind for seconds because the watchers of its zone, which it
// asks one after the other, stand still.
func TestPeersThatStandStillDoNotDelayAChange(t *testing.T) {
	is := is.New(t)
	const prefix = "config/"
	behind := servingPeer(t, prefix, []metastore.Object{object("config/main", 3)}, 3)
	ahead := servingPeer(t, prefix, []metastore.Object{object("config/main", 7)}, 7)
	f := newTestFollower(prefix)
	f.applyChanges(changes{revision: 2, complete: true, objects: []metastore.Object{object("config/main", 2)}}, "")
	started := time.Now()
	peers := []string{silentPeer(t), silentPeer(t), behind, silentPeer(t), ahead}
	is.True(f.askPeers(context.Background(), Hint{Peers: peers, Revision: 7}))
	is.Equal(f.Revision(), metastore.Revision(7))
	is.True(time.Since(started) < 2*fetchTimeout) // fewer than the silent peers would take in a row
}

// Guards against hosts that all fetch a large configuration from several peers at once.
func TestPeersAreAskedOneByOneWhileTheyAnswer(t *testing.T) {
	is := is.New(t)
	const prefix = "config/"
	f := newTestFollower(prefix)
	changed := 0
	f.config.OnChange = func([]metastore.Object, metastore.Revision) { changed++ }
	var peers []string
	for range 3 {
		peers = append(peers, servingPeer(t, prefix, []metastore.Object{object("config/main", 7)}, 7))
	}
	is.True(f.askPeers(context.Background(), Hint{Peers: peers, Revision: 7}))
	is.Equal(f.source, peers[0])
	is.Equal(changed, 1)
	is.True(!f.askPeers(context.Background(), Hint{Peers: peers, Revision: 7})) // nothing to ask for
}

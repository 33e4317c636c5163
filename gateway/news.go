package gateway

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/goldcrestspan/goldcrestspan/discover"
	"github.com/goldcrestspan/goldcrestspan/member"
	"github.com/goldcrestspan/goldcrestspan/metastore"
	"github.com/goldcrestspan/goldcrestspan/observe"
)

// announce tells the peers how new this host's knowledge is.
//
// Failure: a host's watch has lost its other end, or the store turns the host
// away. It shows as nothing at all: the host serves on with what it knew. The
// guard holds because every message between hosts carries these revisions, so
// one host that hears the store makes all others ask, the store or it.
func (g *Gateway) announce() {
	if c := g.inForce.Load(); c != nil {
		g.members.AnnounceConfig(c.revision, nil)
	}
	g.members.AnnounceServers(g.serversAt.Load())
}

// newsPatience is how long a host that hears of a newer change waits for its
// own watch to tell it: the store wakes all watches at once, and changes of
// backend servers are gathered for a quarter of a second.
const newsPatience = 400 * time.Millisecond

// heardNews hears what a peer knows; it runs on the members' control loop.
func (g *Gateway) heardNews(news member.ConfigNews) {
	if !g.catchingUp.CompareAndSwap(false, true) {
		return // the news comes again with the next message
	}
	time.AfterFunc(newsPatience, func() {
		defer g.catchingUp.Store(false)
		g.catchUp(news)
	})
}

func (g *Gateway) catchUp(news member.ConfigNews) {
	if news.ServersRevision > g.servers.Revision() {
		g.log.Info("a peer knows more of the backend servers", zap.String("peer", string(news.From)), zap.Uint64("revision", news.ServersRevision), zap.Uint64("own", g.servers.Revision()))
		g.servers.Again()
	} else {
		g.members.AnnounceServers(g.servers.Revision()) // known already, without a change
	}
	above := uint64(0)
	if c := g.inForce.Load(); c != nil {
		above = c.revision
	}
	if news.Generation <= above {
		return
	}
	g.configs.Again()
	object, err := g.relay.Ask(context.Background(), news.FromAddress, above)
	switch {
	case errors.Is(err, discover.ErrNothingNewer):
	case err != nil:
		g.log.Warn("a peer did not give its configuration", zap.String("peer", string(news.From)), zap.Uint64("revision", news.Generation), observe.Reason(err))
	default:
		g.fromPeer(object, string(news.From))
	}
}

func (g *Gateway) fromPeer(object metastore.Object, peer string) {
	object.Key = g.options.ConfigKey
	g.post(func() { g.applyConfig(object, "peer "+peer) })
}

package gateway

import (
	"context"
	"encoding/json"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/goldcrestspan/goldcrestspan/metastore"
	"github.com/goldcrestspan/goldcrestspan/observe"
)

// hostEntry is what a host writes of itself, so that hosts that start later
// find a peer. It is not removed by a crash: membership says who is alive.
type hostEntry struct {
	PeerAddress string `json:"peer_address"`
}

// registerRetry is the pause after a write or list that failed.
const registerRetry = time.Second

// register writes this host's entry and takes the others' as addresses to
// join at; both once, so the store sees a few calls for each start of a host.
func (g *Gateway) register(ctx context.Context) error {
	for {
		err := g.registerOnce(ctx)
		if err == nil || ctx.Err() != nil {
			return nil
		}
		g.log.Warn("registration failed and is tried again", observe.Reason(err))
		select {
		case <-time.After(registerRetry):
		case <-ctx.Done():
			return nil
		}
	}
}

func (g *Gateway) registerOnce(ctx context.Context) error {
	entries, _, err := g.options.Store.List(ctx, g.options.HostsPrefix)
	if err != nil {
		return errors.Wrap(err, "list hosts")
	}
	own := hostEntry{PeerAddress: g.options.Peers.Addr().String()}
	key := g.options.HostsPrefix + g.options.Name
	var seeds []string
	var version uint64
	for _, object := range entries {
		var entry hostEntry
		if err := json.Unmarshal(object.Value, &entry); err != nil {
			g.log.Warn("a host's entry can't be read", zap.String("key", object.Key), observe.Reason(err))
			continue
		}
		if object.Key == key {
			version = object.Version
			if entry == own {
				continue
			}
		}
		seeds = append(seeds, entry.PeerAddress)
	}
	g.members.AddSeeds(seeds)
	value, err := json.Marshal(own)
	if err != nil {
		return errors.Wrap(err, "encode own entry")
	}
	_, err = g.options.Store.Put(ctx, key, value, version)
	if errors.Is(err, metastore.ErrConflict) {
		return errors.Wrap(err, "own entry was written meanwhile")
	}
	g.log.Info("registered", zap.Int("hosts_listed", len(entries)), observe.Reason(err))
	return errors.Wrap(err, "write own entry")
}

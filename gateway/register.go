package gateway

import (
	"context"
	"encoding/json"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/goldcrestspan/goldcrestspan/internal/wait"
	"github.com/goldcrestspan/goldcrestspan/metastore"
	"github.com/goldcrestspan/goldcrestspan/observe"
)

// hostEntry is what a host writes of itself, so that hosts that start later
// find a peer. It is not removed by a crash: membership says who is alive.
type hostEntry struct {
	PeerAddress string `json:"peer_address"`
}

const (
	// registerRetry is the pause after a write or list that failed.
	registerRetry = time.Second
	// joinWait is how long a host waits to be let in by the peers of its
	// settings before it asks the store for others.
	joinWait = 2 * time.Second
	// meetWait is how long one that was let in waits on: the hosts of a large
	// fleet that starts take some 3 s to know each other, and only those that
	// are to stand in the store then write to it.
	meetWait = 2 * time.Second
	// watcherCheck is how often a host looks whether it is one of the hosts to
	// stand in the store.
	watcherCheck = 5 * time.Second
)

// register writes this host's entry if it is one of those that watch the store, and
// asks for the others' when no peer of the settings answers. It does so once, and again
// when the store was restored, which may have lost the entry. The store so sees a few
// calls for each start of a fleet, however large.
func (g *Gateway) register(ctx context.Context) error {
	if wait.For(ctx, joinWait) && g.members.Joined() {
		wait.For(ctx, meetWait)
	}
	registered, era := false, uint64(0)
	for pause := time.Duration(0); wait.For(ctx, pause); {
		pause = watcherCheck
		if registered && g.configs.Revision().Era() <= era || !g.watches() {
			continue
		}
		written, err := g.registerOnce(ctx)
		if err != nil {
			g.log.Warn("registration failed and is tried again", observe.ErrorText(err))
			pause = registerRetry
			continue
		}
		registered, era = true, written.Era()
	}
	return nil
}

// registerOnce returns the revision of this host's entry.
func (g *Gateway) registerOnce(ctx context.Context) (metastore.Revision, error) {
	entries, _, err := g.options.Store.List(ctx, g.options.HostsPrefix)
	if err != nil {
		return 0, errors.Wrap(err, "list hosts")
	}
	own := hostEntry{PeerAddress: g.options.PeerListener.Addr().String()}
	key := g.options.HostsPrefix + g.options.Name
	var seeds []string
	var version uint64
	for _, object := range entries {
		var entry hostEntry
		if err := json.Unmarshal(object.Value, &entry); err != nil {
			g.log.Warn("a host's entry can't be read", zap.String("key", object.Key), observe.ErrorText(err))
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
		return 0, errors.Wrap(err, "encode own entry")
	}
	written, err := g.options.Store.Put(ctx, key, value, version)
	if errors.Is(err, metastore.ErrConflict) {
		return 0, errors.Wrap(err, "own entry was written meanwhile")
	}
	g.log.Info("registered", zap.Int("hosts_listed", len(entries)), observe.ErrorText(err))
	return written.Revision, errors.Wrap(err, "write own entry")
}

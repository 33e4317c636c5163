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

// hostEntry is a host's entry in the store, by which hosts that start later find a peer. A
// crash does not remove it; membership decides who is alive.
type hostEntry struct {
	PeerAddress string `json:"peer_address"`
}

const (
	// registerRetryDelay is the delay after a failed write or list.
	registerRetryDelay = time.Second
	// joinTimeout is how long a host waits for its configured peers before it reads others
	// from the store.
	joinTimeout = 2 * time.Second
	// membershipWait is how long a host that has joined waits for a complete membership view,
	// so that only the hosts that are to register write to the store.
	membershipWait = 2 * time.Second
	// watcherCheckInterval is how often a host checks whether it should register.
	watcherCheckInterval = 5 * time.Second
)

// register writes this host's entry if it is one of the hosts that watch the store, and adds
// the registered hosts as seeds. It runs once, and again after a restore of the store, which
// may have lost the entry. Even a large fleet therefore makes few store calls at its start.
func (g *Gateway) register(ctx context.Context) error {
	if wait.For(ctx, joinTimeout) && g.members.Joined() {
		wait.For(ctx, membershipWait)
	}
	registered, era := false, uint64(0)
	for delay := time.Duration(0); wait.For(ctx, delay); {
		delay = watcherCheckInterval
		if registered && g.configs.Revision().Era() <= era || !g.isWatcher() {
			continue
		}
		written, err := g.registerOnce(ctx)
		if err != nil {
			g.log.Warn("registration failed; retrying", observe.ErrorText(err))
			delay = registerRetryDelay
			continue
		}
		registered, era = true, written.Era()
	}
	return nil
}

// registerOnce returns the revision of the entry that it wrote.
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
			g.log.Warn("failed to decode a host's entry", zap.String("key", object.Key), observe.ErrorText(err))
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
		return 0, errors.Wrap(err, "own entry was changed concurrently")
	}
	g.log.Info("registered", zap.Int("hosts_listed", len(entries)), observe.ErrorText(err))
	return written.Revision, errors.Wrap(err, "write own entry")
}

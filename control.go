package goldcrestspan

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/goldcrestspan/goldcrestspan/bundle"
)

// joinPoll is how often a starting host looks whether it can join.
const joinPoll = 10 * time.Millisecond

// configure puts a configuration in force in the served path and tells peers.
func (h *Host) configure(config *bundle.Config) {
	h.parts.Local.Refresh()
	h.parts.Admission.Reconfigure(config)
	h.parts.Crashes.book.Reconfigure(config)
	news := h.parts.Rollout.ConfigUpdate()
	h.parts.Member.AnnounceConfig(news.GetGeneration(), news.GetManifestHash())
	h.parts.Log.Info("configuration in force", zap.Uint64("generation", config.Generation))
}

// join waits until the host can serve and then takes part in the membership.
//
// Failure: a starting host that peers know becomes the home of services at
// once, and queries lose those shards until it has its configuration and knows
// the backend servers. It shows as "not ready" for single shards. The guard
// holds because peers only ever hear of hosts that are ready.
func (h *Host) join(ctx context.Context) error {
	ticker := time.NewTicker(joinPoll)
	defer ticker.Stop()
	for h.Config() == nil || h.parts.Catalog.LastContact().IsZero() {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
	go h.measureLoad(ctx)
	return h.parts.Member.Run(ctx)
}

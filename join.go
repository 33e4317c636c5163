package goldcrestspan

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/goldcrestspan/goldcrestspan/bundle"
)

const joinPollInterval = 10 * time.Millisecond

// applyConfig activates a configuration on this host and announces it to peers.
func (h *Host) applyConfig(config *bundle.Config) {
	h.components.HomeServer.Refresh()
	h.components.Admission.Reconfigure(config)
	h.components.CrashDetector.quarantineRegistry.Reconfigure(config)
	update := h.components.Rollout.ConfigUpdate()
	h.components.Member.AnnounceConfig(update.GetGeneration(), update.GetManifestHash())
	h.components.Log.Info("configuration in force", zap.Uint64("generation", config.Generation))
}

// join joins the membership once the host has a configuration and the backend
// servers. Peers make a known host the home of services at once, so joining
// earlier would lose those shards from queries.
func (h *Host) join(ctx context.Context) error {
	ticker := time.NewTicker(joinPollInterval)
	defer ticker.Stop()
	for h.Config() == nil || h.components.Catalog.LastContact().IsZero() {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
	go h.reportLoad(ctx)
	return h.components.Member.Run(ctx)
}

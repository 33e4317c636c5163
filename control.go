package goldcrestspan

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/goldcrestspan/goldcrestspan/bundle"
)

// controlEvery is how often the control goroutine looks for what changed.
const controlEvery = 20 * time.Millisecond

// control puts new configurations in force in the served path.
func (h *Host) control(ctx context.Context) error {
	ticker := time.NewTicker(controlEvery)
	defer ticker.Stop()
	var inForce *bundle.Config
	for {
		if config := h.Config(); config != inForce {
			inForce = config
			h.configure(config)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

func (h *Host) configure(config *bundle.Config) {
	h.parts.Local.Configure(config)
	news := h.parts.Rollout.News()
	h.parts.Member.AnnounceConfig(news.GetGeneration(), news.GetManifestHash())
	h.parts.Log.Info("configuration in force", zap.Uint64("generation", config.Generation))
}

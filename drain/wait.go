package drain

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/goldcrestspan/goldcrestspan/internal/wait"
)

// pollInterval is how often a planned stop checks what is in flight.
const pollInterval = 20 * time.Millisecond

// Wait returns true when the stop is done and false when ctx ends first. It logs each phase.
// inFlight returns the number of requests and legs in flight.
func (s *Stop) Wait(ctx context.Context, now func() time.Time, inFlight func() int, log *zap.Logger) (done bool) {
	log.Info("planned stop began", zap.Duration("at_most", s.Remaining(now())))
	last := PhaseServing
	for ctx.Err() == nil {
		phase := s.Phase(now(), inFlight())
		if phase != last {
			log.Info("planned stop", zap.Stringer("phase", phase), zap.Int("in_flight", inFlight()))
			last = phase
		}
		if phase == PhaseDone {
			return true
		}
		wait.For(ctx, pollInterval)
	}
	return false
}

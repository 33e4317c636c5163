package drain

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/goldcrestspan/goldcrestspan/internal/wait"
)

// poll is how often a planned stop looks at what is in flight.
const poll = 20 * time.Millisecond

// Wait returns when the stop is done, with a line for each phase, or when ctx
// ends, which it reports. busy counts the requests and legs in flight.
func (s *Stop) Wait(ctx context.Context, now func() time.Time, busy func() int, log *zap.Logger) (done bool) {
	log.Info("planned stop began", zap.Duration("at_most", s.Remaining(now())))
	last := PhaseServing
	for ctx.Err() == nil {
		phase := s.Phase(now(), busy())
		if phase != last {
			log.Info("planned stop", zap.Stringer("phase", phase), zap.Int("in_flight", busy()))
			last = phase
		}
		if phase == PhaseDone {
			return true
		}
		wait.For(ctx, poll)
	}
	return false
}

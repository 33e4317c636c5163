package goldcrestspan

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/goldcrestspan/goldcrestspan/drain"
)

// plannedStop leaves the membership, serves until cached advice expires, then
// refuses new work, and returns when nothing is in flight or the time limit is
// reached. Queries that are in flight then are answered with what is known of them.
func (h *Host) plannedStop(ctx context.Context) {
	adviceTTL := time.Duration(0)
	if config := h.Config(); config != nil {
		adviceTTL = time.Duration(config.Policy.AdviceTTL)
	}
	stop := drain.Begin(h.components.Now(), adviceTTL, h.components.Settings.Limits.StopTimeout)
	h.stop.Store(stop)
	h.leaveMembership(ctx)
	done := stop.Wait(ctx, h.components.Now, h.workInFlight, h.components.Log)
	close(h.stopEnded)
	if done {
		h.drainBookings(ctx, stop)
	}
}

// handOverTimeout bounds the transfer of booking records to successor hosts.
const handOverTimeout = 2 * time.Second

// drainBookings waits for running bookings until the stop's time limit and hands
// the records of all bookings over to successors, so that a caller that repeats
// one at another host gets its result.
func (h *Host) drainBookings(ctx context.Context, stop *drain.Stop) {
	executor := h.components.Bookings
	stopCtx, cancel := context.WithTimeout(ctx, max(0, stop.Remaining(h.components.Now())))
	defer cancel()
	if !executor.Stop(stopCtx) {
		h.components.Log.Warn("bookings still running at the time limit of the stop; handing them over as unknown", zap.Int("running", executor.Stats().Running))
	}
	handOverCtx, cancel := context.WithTimeout(ctx, handOverTimeout)
	defer cancel()
	successors := executor.HandOver(handOverCtx)
	h.components.Log.Info("bookings handed over", zap.Int("records", executor.Stats().Records), zap.Int("successors", successors))
}

// stopReplaced begins a planned stop because another process runs under this
// host's name.
func (h *Host) stopReplaced() { close(h.replaced) }

// leaveTimeout bounds the announcement to the peers.
const leaveTimeout = time.Second

func (h *Host) leaveMembership(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	if err := h.components.Member.Leave(ctx); err != nil {
		h.components.Log.Warn("failed to announce the stop to peers", zap.Error(err))
	}
}

// shutdownTimeout bounds the last responses on caller connections.
const shutdownTimeout = time.Second

// shutdownGracefully closes the caller listener and idle connections and lets late
// requests finish, so that their callers get a refusal rather than a broken
// connection, which leaves the outcome unknown.
func shutdownGracefully(ctx context.Context, server *http.Server) {
	shutdownCtx, cancel := context.WithTimeout(ctx, shutdownTimeout)
	defer cancel()
	if server.Shutdown(shutdownCtx) != nil {
		_ = server.Close()
	}
}

// workInFlight returns the number of callers' requests and peers' legs in flight.
func (h *Host) workInFlight() int { return int(h.inFlight.Load()) + h.components.HomeServer.OpenLegs() }

func serve(server *http.Server, listener net.Listener, config *tls.Config) error {
	var err error
	if config == nil {
		err = server.Serve(listener)
	} else {
		server.TLSConfig = config
		err = server.ServeTLS(listener, "", "")
	}
	if errors.Is(err, http.ErrServerClosed) || errors.Is(err, net.ErrClosed) {
		// Closed by a planned stop, or by Abort.
		return nil
	}
	return err
}

func (h *Host) peerListener() net.Listener {
	if h.options.PeerTLS == nil {
		return h.components.Listeners.peers
	}
	return tls.NewListener(h.components.Listeners.peers, h.options.PeerTLS)
}

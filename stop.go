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

// plannedStop leaves the advice, serves on while callers may keep old advice,
// refuses new work, and returns when nothing is in flight or the limit passed.
func (h *Host) plannedStop(live context.Context) {
	keep := time.Duration(0)
	if config := h.Config(); config != nil {
		keep = time.Duration(config.Policy.AdviceTTL)
	}
	stop := drain.Begin(h.parts.Now(), keep, h.parts.Settings.Limits.StopTimeout)
	h.stop.Store(stop)
	h.leave(live)
	if stop.Wait(live, h.parts.Now, h.busy, h.parts.Log) {
		h.stopBookings(live, stop)
	}
}

// handOverWait bounds handing the records of bookings to their successors.
const handOverWait = 2 * time.Second

// stopBookings waits for bookings that run on without their caller, at most
// until the stop's limit, and hands over what became of all of them: a caller
// that repeats one at another host would hear "unknown" otherwise.
func (h *Host) stopBookings(live context.Context, stop *drain.Stop) {
	desk := h.parts.Desk
	limit, cancel := context.WithTimeout(live, max(0, stop.Remaining(h.parts.Now())))
	defer cancel()
	if !desk.Stop(limit) {
		h.parts.Log.Warn("bookings still run at the stop's limit; they are handed over as unknown", zap.Int("running", desk.Stats().Running))
	}
	ctx, cancel := context.WithTimeout(live, handOverWait)
	defer cancel()
	taken := desk.HandOver(ctx)
	h.parts.Log.Info("bookings handed over", zap.Int("records", desk.Stats().Records), zap.Int("successors", taken))
}

// beReplaced begins a planned stop because another process runs under this
// host's name. What is in flight here is finished; new work goes to that one.
func (h *Host) beReplaced() { close(h.replaced) }

// leaveWait bounds telling the peers, which a host that has not joined can't.
const leaveWait = time.Second

func (h *Host) leave(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, leaveWait)
	defer cancel()
	if err := h.parts.Member.Leave(ctx); err != nil {
		h.parts.Log.Warn("peers were not told of the stop", zap.Error(err))
	}
}

// closeWait bounds the last answers on callers' connections.
const closeWait = time.Second

// closeGently closes the callers' listener and its idle connections, and lets a
// request that came in the last moment finish: it is answered by a refusal, and
// a caller whose connection just breaks would not know that it did not run.
func closeGently(live context.Context, server *http.Server) {
	ctx, cancel := context.WithTimeout(live, closeWait)
	defer cancel()
	if server.Shutdown(ctx) != nil {
		_ = server.Close()
	}
}

// busy counts the callers' requests and the peers' legs in flight.
func (h *Host) busy() int { return int(h.inFlight.Load()) + h.parts.Local.OpenLegs() }

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

func (h *Host) peersListener() net.Listener {
	if h.options.PeerTLS == nil {
		return h.parts.Listeners.peers
	}
	return tls.NewListener(h.parts.Listeners.peers, h.options.PeerTLS)
}

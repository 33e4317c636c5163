package gateway

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/goldcrestspan/goldcrestspan/discover"
	"github.com/goldcrestspan/goldcrestspan/freshness"
	"github.com/goldcrestspan/goldcrestspan/member"
	"github.com/goldcrestspan/goldcrestspan/metastore"
	"github.com/goldcrestspan/goldcrestspan/observe"
)

// trackers track the versions of what this host follows: the configuration by the operator's
// version, the rest by the store's revision.
type trackers struct {
	config, servers, evacuations freshness.Tracker
}

// each calls f for each tracker with the name that logs and metrics have for it.
func (t *trackers) each(f func(kind string, tracker *freshness.Tracker)) {
	f("configuration", &t.config)
	f("servers", &t.servers)
	f("evacuations", &t.evacuations)
}

// noteConfigConfirmed is called on the membership control loop.
func (g *Gateway) noteConfigConfirmed(c member.ConfigConfirmation) {
	by := string(c.By)
	if by == "" {
		by = freshness.Store
	}
	g.trackers.config.Confirmed(c.Version, c.At, by)
}

// confirmConfig records that the store has nothing newer than the configuration that has arrived. It
// runs on the goroutine of the configuration's follower.
func (g *Gateway) confirmConfig(at time.Time) {
	g.trackers.config.Confirmed(g.arrivedConfig, at, freshness.Store)
	g.passOnConfirmation()
}

// passOnConfirmation tells the peers what the store has confirmed of the configuration in force.
func (g *Gateway) passOnConfirmation() {
	c, state := g.inForce.Load(), g.trackers.config.State(g.options.Now())
	if c != nil && state.InForce == c.version() && state.Confirmed.By == freshness.Store {
		g.members.ConfirmConfig(member.ConfigConfirmation{At: state.Confirmed.At, Generation: uint64(c.revision), Version: c.version()})
	}
}

// confirmRevisions returns a function that records that the store has nothing newer than the
// revision in force.
func confirmRevisions(tracker *freshness.Tracker) func(at time.Time) {
	return func(at time.Time) { tracker.Confirmed(tracker.State(at).InForce, at, freshness.Store) }
}

// tracked wraps the application of a follower's list, so that one that never ends is seen.
func (g *Gateway) tracked(tracker *freshness.Tracker, follower **discover.Follower, apply func([]metastore.Object, metastore.Revision)) func([]metastore.Object, metastore.Revision) {
	return func(objects []metastore.Object, revision metastore.Revision) {
		tracker.Arrived(g.options.Now(), uint64(revision), (*follower).Source())
		apply(objects, revision)
		tracker.Applied(g.options.Now(), uint64(revision))
	}
}

// rejectConfig records that an arrived configuration can't be put in force.
func (g *Gateway) rejectConfig(object metastore.Object) {
	if order, ok := g.options.Decode.Order(object); ok {
		g.trackers.config.Rejected(order.Sequence)
	}
}

// outdated returns why this host must not serve by what it has in force.
func (g *Gateway) outdated() freshness.Reason {
	now := g.options.Now()
	if reason := g.gate.Check(now, g.trackers.config.State(now), g.trackers.servers.State(now), g.trackers.evacuations.State(now)); reason != freshness.ReasonNone {
		return reason
	}
	return g.gate.CheckLoops(g.members.Loop().Busy, g.loop.State(now, 0).Busy)
}

const (
	// lateAfter is for how long a version is known, and not in force, before it is logged; it is
	// logged again every lateLogInterval.
	lateAfter       = time.Second
	lateLogInterval = 2 * time.Second
)

// watchFreshness shows the gate that this process runs, and logs versions that are not in force in
// time. It waits for none of the goroutines that it reports on.
func (g *Gateway) watchFreshness(ctx context.Context) error {
	ticker := time.NewTicker(g.gate.TickInterval())
	defer ticker.Stop()
	loggedAt := make(map[string]time.Time)
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return nil
		}
		g.checkFreshness(g.options.Now(), loggedAt)
	}
}

// checkFreshness is one round of watchFreshness. It also decides whether this host may send requests
// for other hosts, which don't ask first whether it is ready.
func (g *Gateway) checkFreshness(now time.Time, loggedAt map[string]time.Time) {
	g.gate.Tick(now)
	g.listsOutdated.Store(g.gate.Late(now, g.trackers.servers.State(now), g.trackers.evacuations.State(now)))
	g.trackers.each(func(kind string, tracker *freshness.Tracker) {
		state := tracker.State(now)
		if state.Behind(now) < lateAfter || now.Sub(loggedAt[kind]) < lateLogInterval {
			return
		}
		loggedAt[kind] = now
		g.logLate(now, kind, state)
	})
}

func (g *Gateway) logLate(now time.Time, kind string, s freshness.State) {
	members, control := g.members.Loop(), g.loop.State(now, len(g.events))
	g.log.Warn("a newer version is not in force", zap.String("kind", kind),
		zap.Uint64("in_force", s.InForce), zap.Uint64("newest", s.Newest), zap.String("newest_by", s.NewestBy),
		zap.Duration("known_for", s.Behind(now)), zap.String("obstacle", string(s.Obstacle)),
		zap.String("confirmed_by", s.Confirmed.By), observe.Since("confirmed_ago", now, s.Confirmed.At),
		observe.Since("store_ago", now, g.configs.LastContact()), observe.Since("peers_ago", now, g.members.LastPeerContact()),
		zap.Int("member_queue", members.Queued), zap.Duration("member_busy", members.Busy),
		zap.Int("gateway_queue", control.Queued), zap.Duration("gateway_busy", control.Busy))
}

package goldcrestspan

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"github.com/goldcrestspan/goldcrestspan/bundle"
	"github.com/goldcrestspan/goldcrestspan/discover"
	"github.com/goldcrestspan/goldcrestspan/ident"
	"github.com/goldcrestspan/goldcrestspan/member"
	"github.com/goldcrestspan/goldcrestspan/metastore"
	"github.com/goldcrestspan/goldcrestspan/peer"
	"github.com/goldcrestspan/goldcrestspan/rollout"
	"github.com/goldcrestspan/goldcrestspan/settings"
)

func newMember(s settings.Settings, l *listeners, pool *peer.Pool, list metastore.HostList, now clock, log *zap.Logger, registry *prometheus.Registry, incarnation ident.Incarnation, hooks *runtimeHooks) *member.Agent {
	return member.NewAgent(member.AgentConfig{
		Membership: member.Config{
			Self: member.Host{
				ID:            ident.HostID(s.Host.Name),
				Incarnation:   incarnation,
				PeerAddress:   l.peers.Addr().String(),
				CallerAddress: l.callers.Addr().String(),
				Region:        s.Host.Region,
				Zone:          s.Host.Zone,
			},
			Seeds: s.Peers,
		},
		Pool:            pool,
		HostList:        list,
		Now:             now,
		Logger:          log,
		Registerer:      registry,
		OnConfigUpdate:  func(update member.ConfigUpdate) { hooks.configUpdate(update) },
		OnBackendUpdate: func(update member.BackendUpdate) { hooks.backendUpdate(update) },

		OnReplaced: func() { hooks.replaced() },

		OnSuspectRequest: func(update member.SuspectRequestUpdate) { hooks.suspectUpdate(update) },
	})
}

func newRollout(s settings.Settings, l *listeners, store metastore.Store, pool *peer.Pool, members *member.Agent, now clock, log *zap.Logger, registry *prometheus.Registry, hooks *runtimeHooks) (*rollout.Agent, error) {
	signers, err := bundle.NewSigners(s.Keys.Signers)
	if err != nil {
		return nil, err
	}
	role := discover.NewRole(discover.RoleConfig{
		List:         "configuration",
		Designated:   func() bool { return members.View().IsWatcher(s.Host.Zone, watchersPerZone) },
		Rank:         func() (rank, candidates int) { return members.View().SubstituteRank(s.Host.Zone, watchersPerZone) },
		Hosts:        func() int { return len(members.View().Hosts) },
		PeersContact: func() time.Time { return members.PeersStoreContact(member.ListConfig) },
		OnContact:    func(at time.Time) { members.NoteStoreContact(member.ListConfig, at) },
		Now:          now,
		Logger:       log,
	})
	return rollout.NewAgent(rollout.AgentConfig{
		Address:        l.peers.Addr().String(),
		Store:          store,
		Peers:          pool,
		Signers:        signers,
		IsWatcher:      role.IsWatcher,
		OnStoreContact: role.NoteContact,
		PeerAddresses:  func() []string { return peerAddresses(members.View(), s.Peers) },
		Now:            now,
		Logger:         log,
		Registerer:     registry,
		OnApplied:      func(config *bundle.Config) { hooks.configApplied(config) },
	}), nil
}

// watchersPerZone is the number of hosts in each availability zone that watch the
// platform. Three tolerate one lost and one starting watcher.
const watchersPerZone = 3

// peerAddresses returns the peer listeners of the other serving hosts, or the seeds
// if none is known.
func peerAddresses(view *member.View, seeds []string) []string {
	var addresses []string
	for _, host := range view.Hosts {
		if host.ID != view.Self && host.Serving() {
			addresses = append(addresses, host.PeerAddress)
		}
	}
	if len(addresses) == 0 {
		return seeds
	}
	return addresses
}

package goldcrestspan

import (
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"github.com/goldcrestspan/goldcrestspan/bundle"
	"github.com/goldcrestspan/goldcrestspan/ident"
	"github.com/goldcrestspan/goldcrestspan/member"
	"github.com/goldcrestspan/goldcrestspan/metastore"
	"github.com/goldcrestspan/goldcrestspan/peer"
	"github.com/goldcrestspan/goldcrestspan/rollout"
	"github.com/goldcrestspan/goldcrestspan/settings"
)

func newMember(s settings.Settings, l *listeners, pool *peer.Pool, list metastore.HostList, now clock, log *zap.Logger, registry *prometheus.Registry, incarnation ident.Incarnation, later *late) *member.Agent {
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
		OnConfigUpdate:  func(news member.ConfigUpdate) { later.configNews(news) },
		OnBackendUpdate: func(news member.BackendUpdate) { later.backend(news) },

		OnReplaced: func() { later.replaced() },

		OnSuspectRequest: func(news member.SuspectRequestUpdate) { later.suspect(news) },
	})
}

func newRollout(s settings.Settings, l *listeners, store metastore.Store, pool *peer.Pool, members *member.Agent, now clock, log *zap.Logger, registry *prometheus.Registry, later *late) (*rollout.Agent, error) {
	signers, err := bundle.NewSigners(s.Keys.Signers)
	if err != nil {
		return nil, err
	}
	return rollout.NewAgent(rollout.AgentConfig{
		Address:       l.peers.Addr().String(),
		Store:         store,
		Peers:         pool,
		Signers:       signers,
		IsWatcher:     func() bool { return members.View().IsWatcher(s.Host.Zone, watchersPerZone) },
		PeerAddresses: func() []string { return livePeers(members.View(), s.Peers) },
		Now:           now,
		Logger:        log,
		Registerer:    registry,
		OnApplied:     func(config *bundle.Config) { later.applied(config) },
	}), nil
}

// watchersPerZone hosts of each availability zone watch the platform: one may
// be lost, and another may be starting, without the zone going blind.
const watchersPerZone = 3

// livePeers are the peers' listeners of the other serving hosts; before any is
// known, the addresses of the settings.
func livePeers(view *member.View, seeds []string) []string {
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

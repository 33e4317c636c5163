package rollout

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/goldcrestspan/goldcrestspan/bundle"
	"github.com/goldcrestspan/goldcrestspan/rollout/rolloutpb"
)

func (a *Agent) client(ctx context.Context, address string) rolloutpb.DRPCRolloutClient {
	return rolloutpb.NewDRPCRolloutClient(a.config.Peers.Conn(ctx, address))
}

// randomPeer returns a random peer address, or "" if no peer is known.
func (a *Agent) randomPeer() string {
	addresses := a.randomPeers(1)
	if len(addresses) == 0 {
		return ""
	}
	return addresses[0]
}

// randomPeers returns up to n distinct random peer addresses.
func (a *Agent) randomPeers(n int) []string {
	addresses := append([]string(nil), a.config.PeerAddresses()...)
	n = min(n, len(addresses))
	for i := range n {
		j := i + int(a.jitter(time.Duration(len(addresses)-1-i)))
		addresses[i], addresses[j] = addresses[j], addresses[i]
	}
	return addresses[:n]
}

// notifyPeers announces the active configuration to a few random peers.
func (a *Agent) notifyPeers(t *tasks) {
	ref := a.ActiveRef()
	for _, address := range a.randomPeers(notifyFanout) {
		t.run(func(ctx context.Context) { _ = a.exchangeRefs(ctx, address, ref) })
	}
}

// exchangeRefs announces the active configuration to a peer and handles the
// peer's own in the reply.
func (a *Agent) exchangeRefs(ctx context.Context, address string, ref bundle.Ref) error {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	request := &rolloutpb.NotifyRequest{Address: a.config.Address}
	if !ref.IsZero() {
		request.Generation, request.ManifestHash = ref.Generation, ref.Hash[:]
	}
	reply, err := a.client(ctx, address).Notify(ctx, request)
	if err != nil {
		return errors.Wrapf(err, "notify %s", address)
	}
	if reply.GetGeneration() == 0 {
		return nil
	}
	hash, err := bundle.HashFromBytes(reply.GetManifestHash())
	if err != nil {
		return err
	}
	theirs := bundle.Ref{Generation: reply.GetGeneration(), Hash: hash}
	if theirs != ref {
		a.post(ctx, peerReply{announcement{ref: theirs, from: address}})
	}
	return nil
}

// peerReply is a peer's configuration from a reply. It is an event because
// announcements may be dropped.
type peerReply struct{ announcement }

func (e peerReply) apply(a *Agent, t *tasks) {
	a.handleAnnouncement(t, e.announcement, nil)
}

// queryPeersAtStartup queries a few peers for their active configurations.
func (a *Agent) queryPeersAtStartup(ctx context.Context) {
	addresses := a.waitForPeers(ctx)
	if len(addresses) == 0 {
		a.post(ctx, sourceDone{SourcePeers})
		return
	}
	answers := make(chan error, len(addresses))
	for _, address := range addresses {
		go func() { answers <- a.queryPeerAtStartup(ctx, address) }()
	}
	for range addresses {
		<-answers
	}
	a.post(ctx, sourceDone{SourcePeers})
}

func (a *Agent) queryPeerAtStartup(ctx context.Context, address string) error {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	reply, err := a.client(ctx, address).Notify(ctx, &rolloutpb.NotifyRequest{Address: a.config.Address})
	if err != nil || reply.GetGeneration() == 0 {
		return err
	}
	hash, err := bundle.HashFromBytes(reply.GetManifestHash())
	if err != nil {
		return err
	}
	a.post(ctx, startupPeerReply{announcement{ref: bundle.Ref{Generation: reply.GetGeneration(), Hash: hash}, from: address}})
	return nil
}

// startupPeerReply is a peer's configuration from a reply at startup. The host
// is not ready until that configuration, or a higher one, is active.
type startupPeerReply struct{ announcement }

func (e startupPeerReply) apply(a *Agent, t *tasks) {
	if !a.refused.has(e.ref) {
		a.startup.Observe(e.ref)
	}
	a.handleAnnouncement(t, e.announcement, nil)
}

// waitForPeers waits briefly for membership to learn of a peer.
func (a *Agent) waitForPeers(ctx context.Context) []string {
	const steps = 10
	for range steps {
		if addresses := a.randomPeers(startupPeers); len(addresses) > 0 {
			return addresses
		}
		if pause(ctx, startupPeersTimeout/steps) != nil {
			return nil
		}
	}
	return nil
}

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

// anyPeer draws a peer; empty: none is known.
func (a *Agent) anyPeer() string {
	addresses := a.somePeers(1)
	if len(addresses) == 0 {
		return ""
	}
	return addresses[0]
}

// somePeers draws up to n different peers.
func (a *Agent) somePeers(n int) []string {
	addresses := append([]string(nil), a.config.PeerAddresses()...)
	n = min(n, len(addresses))
	for i := range n {
		j := i + int(a.jitter(time.Duration(len(addresses)-1-i)))
		addresses[i], addresses[j] = addresses[j], addresses[i]
	}
	return addresses[:n]
}

// notify tells a few peers what has come in force here.
func (a *Agent) notify(t *tasks) {
	ref := a.ActiveRef()
	for _, address := range a.somePeers(notifyFanout) {
		t.run(func(ctx context.Context) { _ = a.exchange(ctx, address, ref) })
	}
}

// exchange tells one peer what is in force here and hears what is there.
func (a *Agent) exchange(ctx context.Context, address string, ref bundle.Ref) error {
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
	there := bundle.Ref{Generation: reply.GetGeneration(), Hash: hash}
	if there != ref {
		a.post(ctx, peerNamed{hint{ref: there, from: address}})
	}
	return nil
}

// peerNamed is a peer's answer that must not be dropped, as news may be.
type peerNamed struct{ hint }

func (e peerNamed) apply(a *Agent, t *tasks) {
	a.consider(t, e.hint, nil)
}

// askPeers lets a starting host hear from a few peers what they have in force.
func (a *Agent) askPeers(ctx context.Context) {
	addresses := a.startAddresses(ctx)
	if len(addresses) == 0 {
		a.post(ctx, settled{SourcePeers})
		return
	}
	answers := make(chan error, len(addresses))
	for _, address := range addresses {
		go func() { answers <- a.exchangeAtStart(ctx, address) }()
	}
	for range addresses {
		<-answers
	}
	a.post(ctx, settled{SourcePeers})
}

func (a *Agent) exchangeAtStart(ctx context.Context, address string) error {
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
	a.post(ctx, peerNamedAtStart{hint{ref: bundle.Ref{Generation: reply.GetGeneration(), Hash: hash}, from: address}})
	return nil
}

// peerNamedAtStart holds the host unready until what the peer has is in force.
type peerNamedAtStart struct{ hint }

func (e peerNamedAtStart) apply(a *Agent, t *tasks) {
	if !a.refused.has(e.ref) {
		a.start.Named(e.ref)
	}
	a.consider(t, e.hint, nil)
}

// startAddresses waits a moment for membership to know a peer.
func (a *Agent) startAddresses(ctx context.Context) []string {
	const steps = 10
	for range steps {
		if addresses := a.somePeers(startPeers); len(addresses) > 0 {
			return addresses
		}
		if pause(ctx, startPeersWait/steps) != nil {
			return nil
		}
	}
	return nil
}

package testbed

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"

	"github.com/goldcrestspan/goldcrestspan"
	"github.com/goldcrestspan/goldcrestspan/metastore"
	"github.com/goldcrestspan/goldcrestspan/settings"
)

func (b *Cluster) startHosts() error {
	for range b.config.Hosts {
		if _, err := b.StartHost(); err != nil {
			return err
		}
	}
	return b.awaitReady()
}

// StartHost starts one more entry host; it need not be ready yet.
func (b *Cluster) StartHost() (*RunningHost, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.hostSettings(b.made)
	b.made++
	host, err := goldcrestspan.New(s, goldcrestspan.Options{Logger: b.config.Logger.Named(s.Host.Name)})
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(b.ctx)
	running := &RunningHost{Host: host, cancel: cancel, done: make(chan struct{})}
	go func() {
		running.err = host.Run(ctx)
		close(running.done)
	}()
	b.hosts = append(b.hosts, running)
	b.listEntry(host, s, metastore.StateLive)
	return running, nil
}

func (b *Cluster) listEntry(host *goldcrestspan.Host, s settings.Settings, state metastore.HostState) {
	b.Platform.AddHost(metastore.ListedHost{
		Name:        s.Host.Name,
		Kind:        metastore.KindEntry,
		Address:     host.PeerAddress(),
		Region:      s.Host.Region,
		Zone:        s.Host.Zone,
		State:       state,
		Incarnation: host.Status().Incarnation,
	})
}

func (b *Cluster) hostSettings(i int) settings.Settings {
	s := settings.Defaults()
	s.Host = settings.Host{
		Name:   fmt.Sprintf("host-%d", i+1),
		Region: region,
		Zone:   zones[i%len(zones)],
	}
	s.Listeners = settings.Listeners{Callers: anyPort, Peers: anyPort, Operators: anyPort}
	s.Platform.Addresses = []string{b.PlatformAddress}
	s.TLS.PlainText = true
	for _, key := range b.keys {
		s.Keys.Signers = append(s.Keys.Signers, key.Signer())
	}
	for _, host := range b.hosts {
		s.Peers = append(s.Peers, host.PeerAddress())
	}
	if b.config.ModifySettings != nil {
		b.config.ModifySettings(&s)
	}
	return s
}

func (b *Cluster) awaitReady() error {
	deadline := time.Now().Add(readyWithin)
	for time.Now().Before(deadline) {
		if b.ready() {
			return nil
		}
		time.Sleep(readyPoll)
	}
	return errors.Errorf("the hosts were not ready within %s", readyWithin)
}

// ready wants every host to see all others, so that all agree on the homes.
func (b *Cluster) ready() bool {
	hosts := b.Hosts()
	for _, host := range hosts {
		status := host.Status()
		if !status.Ready || len(status.Hosts) < len(hosts) || !host.Serving() {
			return false
		}
	}
	return true
}

// Hosts are the entry hosts that were started and not ended.
func (b *Cluster) Hosts() []*RunningHost {
	b.mu.Lock()
	defer b.mu.Unlock()
	var live []*RunningHost
	for _, host := range b.hosts {
		if !host.Ended() {
			live = append(live, host)
		}
	}
	return live
}

// CallerAddresses are the callers' listeners of the live hosts.
func (b *Cluster) CallerAddresses() []string {
	var addresses []string
	for _, host := range b.Hosts() {
		addresses = append(addresses, host.CallerAddress())
	}
	return addresses
}

// Stop asks for a planned stop and waits for its end.
func (h *RunningHost) Stop() error {
	h.cancel()
	<-h.done
	return h.err
}

// Kill ends the host as a crash does: every connection breaks, nothing is said.
func (h *RunningHost) Kill() {
	h.Abort()
	<-h.done
}

// Ended reports whether the host has ended.
func (h *RunningHost) Ended() bool {
	select {
	case <-h.done:
		return true
	default:
		return false
	}
}

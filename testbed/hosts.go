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

func (c *Cluster) startHosts() error {
	for range c.config.Hosts {
		if _, err := c.StartHost(); err != nil {
			return err
		}
	}
	return c.waitUntilReady()
}

// StartHost starts another entry host and doesn't wait until it is ready.
func (c *Cluster) StartHost() (*RunningHost, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.hostSettings(c.startedHosts)
	c.startedHosts++
	host, err := goldcrestspan.New(s, goldcrestspan.Options{Logger: c.config.Logger.Named(s.Host.Name)})
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(c.ctx)
	running := &RunningHost{Host: host, cancel: cancel, done: make(chan struct{})}
	go func() {
		running.err = host.Run(ctx)
		close(running.done)
	}()
	c.hosts = append(c.hosts, running)
	c.listEntryHost(host, s, metastore.StateLive)
	return running, nil
}

func (c *Cluster) listEntryHost(host *goldcrestspan.Host, s settings.Settings, state metastore.HostState) {
	c.Platform.AddHost(metastore.ListedHost{
		Name:        s.Host.Name,
		Kind:        metastore.KindEntry,
		Address:     host.PeerAddress(),
		Region:      s.Host.Region,
		Zone:        s.Host.Zone,
		State:       state,
		Incarnation: host.Status().Incarnation,
	})
}

func (c *Cluster) hostSettings(i int) settings.Settings {
	s := settings.Defaults()
	s.Host = settings.Host{
		Name:   fmt.Sprintf("host-%d", i+1),
		Region: region,
		Zone:   zones[i%len(zones)],
	}
	s.Listeners = settings.Listeners{Callers: anyPort, Peers: anyPort, Operators: anyPort}
	s.Platform.Addresses = []string{c.PlatformAddress}
	s.TLS.PlainText = true
	for _, key := range c.keys {
		s.Keys.Signers = append(s.Keys.Signers, key.Signer())
	}
	for _, host := range c.hosts {
		s.Peers = append(s.Peers, host.PeerAddress())
	}
	if c.config.ModifySettings != nil {
		c.config.ModifySettings(&s)
	}
	return s
}

func (c *Cluster) waitUntilReady() error {
	deadline := time.Now().Add(readyTimeout)
	for time.Now().Before(deadline) {
		if c.ready() {
			return nil
		}
		time.Sleep(readyPollInterval)
	}
	return errors.Errorf("hosts not ready after %s", readyTimeout)
}

// ready reports whether every host is serving and sees all others, so that they agree
// on the homes.
func (c *Cluster) ready() bool {
	hosts := c.Hosts()
	for _, host := range hosts {
		status := host.Status()
		if !status.Ready || len(status.Hosts) < len(hosts) || !host.Serving() {
			return false
		}
	}
	return true
}

// Hosts returns the running entry hosts.
func (c *Cluster) Hosts() []*RunningHost {
	c.mu.Lock()
	defer c.mu.Unlock()
	var live []*RunningHost
	for _, host := range c.hosts {
		if !host.Ended() {
			live = append(live, host)
		}
	}
	return live
}

// CallerAddresses returns the addresses of the running hosts for callers.
func (c *Cluster) CallerAddresses() []string {
	var addresses []string
	for _, host := range c.Hosts() {
		addresses = append(addresses, host.CallerAddress())
	}
	return addresses
}

// Stop performs a planned stop.
func (h *RunningHost) Stop() error {
	h.cancel()
	<-h.done
	return h.err
}

// Kill ends the host like a crash: all connections are closed without notice.
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

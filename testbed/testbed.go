// Package testbed runs a complete cluster in one process over loopback: stand-ins
// for the platform and the backend servers, and entry hosts with a signed
// configuration. It is for tests, the demo and the load tool.
package testbed

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/goldcrestspan/goldcrestspan"
	"github.com/goldcrestspan/goldcrestspan/bundle"
	"github.com/goldcrestspan/goldcrestspan/catalog"
	"github.com/goldcrestspan/goldcrestspan/metastore"
	"github.com/goldcrestspan/goldcrestspan/rollout"
	"github.com/goldcrestspan/goldcrestspan/settings"
	"github.com/goldcrestspan/goldcrestspan/snapshot"
	"github.com/goldcrestspan/goldcrestspan/standin"
)

const (
	region            = "local"
	readyTimeout      = 20 * time.Second
	readyPollInterval = 10 * time.Millisecond
	anyPort           = "127.0.0.1:0"
)

var zones = []string{"zone-a", "zone-b", "zone-c"}

// ServiceGroup is a set of identical services that form one index.
type ServiceGroup struct {
	Index       string
	Services    int
	Servers     int // per service
	Slots       int // per server
	Connections int // per server
	// QueueLimit is how many calls can wait at a server; more are refused.
	QueueLimit int
	Time       standin.ServiceTime
}

// Config configures a Cluster.
type Config struct {
	Groups    []ServiceGroup
	Hosts     int
	Documents bundle.Documents
	// ManualSnapshots makes servers hold only the snapshots that are added to them;
	// otherwise they hold all.
	ManualSnapshots bool
	// CrashMarker in a request body crashes the backend server.
	CrashMarker string
	Seed        uint64
	Logger      *zap.Logger
	// ModifySettings modifies a host's settings before it starts.
	ModifySettings func(*settings.Settings)
}

// Cluster is a platform, backend servers and entry hosts that run in this process.
type Cluster struct {
	Platform        *standin.Platform
	PlatformAddress string
	Record          *standin.Record
	Backends        []*standin.Backend // in the order of Config.Groups
	config          Config
	signers         bundle.Signers
	keys            []bundle.SigningKey
	ctx             context.Context

	mu           sync.Mutex
	hosts        []*RunningHost
	startedHosts int
	published    map[publishedKey]int // number of shards
}

type publishedKey struct {
	index   string
	version snapshot.Version
}

// RunningHost is an entry host that was started.
type RunningHost struct {
	*goldcrestspan.Host
	cancel context.CancelFunc
	done   chan struct{}
	err    error
}

// Start starts a cluster and returns when all its hosts are ready.
func Start(ctx context.Context, config Config) (*Cluster, error) {
	if config.Logger == nil {
		config.Logger = zap.NewNop()
	}
	c := &Cluster{
		Platform: standin.NewPlatform(),
		Record:   standin.NewRecord(),
		config:   config,
		ctx:      ctx,

		published: make(map[publishedKey]int),
	}
	for _, step := range []func() error{c.startPlatform, c.makeKeys, c.startBackends, c.publishAll, c.submitFirstBundle, c.startHosts} {
		if err := step(); err != nil {
			c.Close()
			return nil, errors.Wrap(err, "testbed")
		}
	}
	return c, nil
}

func (c *Cluster) startPlatform() error {
	address, err := c.Platform.Start(anyPort)
	c.PlatformAddress = address
	return err
}

func (c *Cluster) makeKeys() error {
	var signerKeys []settings.Signer
	for _, name := range []string{"author", "reviewer"} {
		key, err := bundle.GenerateKey(name)
		if err != nil {
			return err
		}
		c.keys = append(c.keys, key)
		signerKeys = append(signerKeys, key.Signer())
	}
	signers, err := bundle.NewSigners(signerKeys)
	c.signers = signers
	return err
}

// ServiceName returns the name of a group's i-th service.
func ServiceName(group string, i int) string { return fmt.Sprintf("%s-%02d", group, i) }

func (c *Cluster) startBackends() error {
	for _, group := range c.config.Groups {
		for i := range group.Services {
			for j := range group.Servers {
				if err := c.startBackend(group, i, j); err != nil {
					return err
				}
			}
		}
	}
	return nil
}

func (c *Cluster) startBackend(group ServiceGroup, service, server int) error {
	name := ServiceName(group.Index, service)
	config := standin.BackendConfig{
		Name:           fmt.Sprintf("%s-%d", name, server),
		Service:        name,
		Region:         region,
		Zone:           zones[(service+server)%len(zones)],
		Slots:          group.Slots,
		QueueLimit:     group.QueueLimit,
		MaxConnections: group.Connections,
		ServiceTime:    group.Time,
		CrashMarker:    c.config.CrashMarker,
		Seed:           c.config.Seed,
		Record:         c.Record,
	}
	if c.config.ManualSnapshots {
		config.HeldSnapshots = map[string][]snapshot.Version{}
	}
	standIn := standin.NewBackend(config)
	if err := standIn.Start(anyPort); err != nil {
		return err
	}
	c.Backends = append(c.Backends, standIn)
	c.SetServerState(standIn, metastore.StateLive)
	return nil
}

// SetServerState adds a backend server to the host list or changes its state there.
func (c *Cluster) SetServerState(standIn *standin.Backend, state metastore.HostState) {
	server := standIn.Server()
	c.Platform.AddHost(metastore.ListedHost{
		Name:        server.Name,
		Kind:        metastore.KindBackend,
		Address:     server.Address,
		Region:      server.Region,
		Zone:        server.Zone,
		State:       state,
		Service:     server.Service,
		Incarnation: server.Incarnation,
	})
}

// BackendsOfService returns the backend servers of a service.
func (c *Cluster) BackendsOfService(service string) []*standin.Backend {
	var found []*standin.Backend
	for _, standIn := range c.Backends {
		if standIn.Server().Service == service {
			found = append(found, standIn)
		}
	}
	return found
}

func (c *Cluster) publishAll() error {
	for _, group := range c.config.Groups {
		if c.config.ManualSnapshots {
			c.AddSnapshotToAll(group.Index, 1)
		}
		if err := c.Publish(c.ShardMap(group.Index, 1)); err != nil {
			return err
		}
	}
	return nil
}

// AddSnapshotToAll adds a snapshot to all backend servers.
func (c *Cluster) AddSnapshotToAll(index string, version snapshot.Version) {
	for _, standIn := range c.Backends {
		standIn.AddSnapshot(index, version)
	}
}

// ShardMap returns a snapshot with one shard for each service of the index.
func (c *Cluster) ShardMap(index string, version snapshot.Version) *snapshot.Snapshot {
	s := &snapshot.Snapshot{Index: index, Version: version}
	for _, group := range c.config.Groups {
		if group.Index != index {
			continue
		}
		for i := range group.Services {
			s.Shards = append(s.Shards, snapshot.Shard{ID: snapshot.ShardID(i + 1), Service: ServiceName(index, i)})
		}
	}
	return s
}

// Publish stores a snapshot in the platform, as an index builder does.
func (c *Cluster) Publish(s *snapshot.Snapshot) error {
	raw, err := json.Marshal(s)
	if err != nil {
		return err
	}
	c.mu.Lock()
	c.published[publishedKey{s.Index, s.Version}] = len(s.Shards)
	c.mu.Unlock()
	key := fmt.Sprintf("%s%s/%d", catalog.SnapshotPrefix, s.Index, s.Version)
	_, err = c.Platform.Put(c.ctx, key, raw, 0)
	return err
}

// ShardCount returns the number of shards of a snapshot, or 0 if it isn't published.
func (c *Cluster) ShardCount(index string, version snapshot.Version) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.published[publishedKey{index, version}]
}

func (c *Cluster) submitFirstBundle() error {
	docs := c.config.Documents
	for _, group := range c.config.Groups {
		for i := range group.Services {
			docs.Services = append(docs.Services, bundle.Service{
				Name:                 ServiceName(group.Index, i),
				SlotsPerServer:       group.Slots,
				ConnectionsPerServer: group.Connections,
			})
		}
	}
	c.config.Documents = docs
	_, err := c.Submit(docs, "first")
	return err
}

// Documents returns the documents of the first bundle.
func (c *Cluster) Documents() bundle.Documents { return c.config.Documents }

// Submit signs and submits documents as the next generation.
func (c *Cluster) Submit(docs bundle.Documents, reason string) (rollout.SubmitResult, error) {
	change, err := rollout.Propose(c.ctx, c.Platform, docs, bundle.Proposal{
		Author:  c.keys[0].Name,
		Reason:  reason,
		Created: time.Now(),
	})
	if err != nil {
		return rollout.SubmitResult{}, err
	}
	for _, key := range c.keys {
		change = change.Sign(key)
	}
	return rollout.Submit(c.ctx, c.Platform, c.signers, change)
}

// TokenHash returns the hexadecimal SHA-256 of a caller's token.
func TokenHash(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

// Close stops everything immediately, without planned stops.
func (c *Cluster) Close() {
	for _, host := range c.Hosts() {
		host.Kill()
	}
	for _, standIn := range c.Backends {
		_ = standIn.Close()
	}
	_ = c.Platform.Close()
}

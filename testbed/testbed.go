// Package testbed starts the whole system on loopback in one process: a
// platform stand-in, backend server stand-ins in the users' shapes, and entry
// hosts with a signed configuration in force. The demo, the load tool and the
// tests over real sockets use it, and so can embedders' tests.
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
	region = "local"
	// readyWithin bounds the start of the whole bed.
	readyWithin = 20 * time.Second
	readyPoll   = 10 * time.Millisecond
	anyPort     = "127.0.0.1:0"
)

var zones = []string{"zone-a", "zone-b", "zone-c"}

// ServiceGroup is a set of services of one shape, searched together as one index.
type ServiceGroup struct {
	Index       string
	Services    int
	Servers     int // per service
	Slots       int // per server
	Connections int // per server
	// QueueLimit is how many calls a server lets wait; above it it refuses.
	QueueLimit int
	Time       standin.ServiceTime
}

// Config shapes a bed.
type Config struct {
	Groups    []ServiceGroup
	Hosts     int
	Documents bundle.Documents
	// ManualSnapshots makes servers hold only the published snapshots they are told to;
	// otherwise every server answers from any snapshot.
	ManualSnapshots bool
	// CrashMarker in a request's body crashes a backend server.
	CrashMarker string
	Seed        uint64
	Logger      *zap.Logger
	// ModifySettings may change a host's settings before it starts.
	ModifySettings func(*settings.Settings)
}

// Cluster is a running system.
type Cluster struct {
	Platform        *standin.Platform
	PlatformAddress string
	Record          *standin.Record
	Backends        []*standin.Backend // in the order of the groups
	config          Config
	signers         bundle.Signers
	keys            []bundle.SigningKey
	ctx             context.Context

	mu        sync.Mutex
	hosts     []*RunningHost
	made      int
	published map[publishedKey]int // number of shards
}

type publishedKey struct {
	index   string
	version snapshot.Version
}

// RunningHost is one entry host of the bed.
type RunningHost struct {
	*goldcrestspan.Host
	cancel context.CancelFunc
	done   chan struct{}
	err    error
}

// Start starts everything and returns when every host is ready.
func Start(ctx context.Context, config Config) (*Cluster, error) {
	if config.Logger == nil {
		config.Logger = zap.NewNop()
	}
	b := &Cluster{
		Platform: standin.NewPlatform(),
		Record:   standin.NewRecord(),
		config:   config,
		ctx:      ctx,

		published: make(map[publishedKey]int),
	}
	for _, step := range []func() error{b.startPlatform, b.makeKeys, b.startBackends, b.publishAll, b.firstBundle, b.startHosts} {
		if err := step(); err != nil {
			b.Close()
			return nil, errors.Wrap(err, "testbed")
		}
	}
	return b, nil
}

func (b *Cluster) startPlatform() error {
	address, err := b.Platform.Start(anyPort)
	b.PlatformAddress = address
	return err
}

func (b *Cluster) makeKeys() error {
	var public []settings.Signer
	for _, name := range []string{"author", "reviewer"} {
		key, err := bundle.GenerateKey(name)
		if err != nil {
			return err
		}
		b.keys = append(b.keys, key)
		public = append(public, key.Signer())
	}
	signers, err := bundle.NewSigners(public)
	b.signers = signers
	return err
}

// ServiceName is the name of a group's i-th service.
func ServiceName(group string, i int) string { return fmt.Sprintf("%s-%02d", group, i) }

func (b *Cluster) startBackends() error {
	for _, group := range b.config.Groups {
		for i := range group.Services {
			for j := range group.Servers {
				if err := b.startBackend(group, i, j); err != nil {
					return err
				}
			}
		}
	}
	return nil
}

func (b *Cluster) startBackend(group ServiceGroup, service, server int) error {
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
		CrashMarker:    b.config.CrashMarker,
		Seed:           b.config.Seed,
		Record:         b.Record,
	}
	if b.config.ManualSnapshots {
		config.HeldSnapshots = map[string][]snapshot.Version{}
	}
	standIn := standin.NewBackend(config)
	if err := standIn.Start(anyPort); err != nil {
		return err
	}
	b.Backends = append(b.Backends, standIn)
	b.SetServerState(standIn, metastore.StateLive)
	return nil
}

// SetServerState puts a backend server on the host list in a state.
func (b *Cluster) SetServerState(standIn *standin.Backend, state metastore.HostState) {
	server := standIn.Server()
	b.Platform.AddHost(metastore.ListedHost{
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

// BackendsOfService returns the servers of a service.
func (b *Cluster) BackendsOfService(service string) []*standin.Backend {
	var found []*standin.Backend
	for _, standIn := range b.Backends {
		if standIn.Server().Service == service {
			found = append(found, standIn)
		}
	}
	return found
}

func (b *Cluster) publishAll() error {
	for _, group := range b.config.Groups {
		if b.config.ManualSnapshots {
			b.HoldAll(group.Index, 1)
		}
		if err := b.Publish(b.ShardMap(group.Index, 1)); err != nil {
			return err
		}
	}
	return nil
}

// HoldAll makes all servers hold a snapshot.
func (b *Cluster) HoldAll(index string, version snapshot.Version) {
	for _, standIn := range b.Backends {
		standIn.AddSnapshot(index, version)
	}
}

// ShardMap makes the group's plain shard map: one shard for each service.
func (b *Cluster) ShardMap(index string, version snapshot.Version) *snapshot.Snapshot {
	s := &snapshot.Snapshot{Index: index, Version: version}
	for _, group := range b.config.Groups {
		if group.Index != index {
			continue
		}
		for i := range group.Services {
			s.Shards = append(s.Shards, snapshot.Shard{ID: snapshot.ShardID(i + 1), Service: ServiceName(index, i)})
		}
	}
	return s
}

// Publish puts a snapshot into the platform, as an index builder does.
func (b *Cluster) Publish(s *snapshot.Snapshot) error {
	raw, err := json.Marshal(s)
	if err != nil {
		return err
	}
	b.mu.Lock()
	b.published[publishedKey{s.Index, s.Version}] = len(s.Shards)
	b.mu.Unlock()
	key := fmt.Sprintf("%s%s/%d", catalog.SnapshotPrefix, s.Index, s.Version)
	_, err = b.Platform.Put(b.ctx, key, raw, 0)
	return err
}

// ShardCount is the number of shards of a published snapshot; 0: none such.
func (b *Cluster) ShardCount(index string, version snapshot.Version) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.published[publishedKey{index, version}]
}

func (b *Cluster) firstBundle() error {
	docs := b.config.Documents
	for _, group := range b.config.Groups {
		for i := range group.Services {
			docs.Services = append(docs.Services, bundle.Service{
				Name:                 ServiceName(group.Index, i),
				SlotsPerServer:       group.Slots,
				ConnectionsPerServer: group.Connections,
			})
		}
	}
	b.config.Documents = docs
	_, err := b.Submit(docs, "first")
	return err
}

// Documents are those of the first bundle, with the services of the groups.
func (b *Cluster) Documents() bundle.Documents { return b.config.Documents }

// Submit signs and submits documents as the next generation.
func (b *Cluster) Submit(docs bundle.Documents, reason string) (rollout.SubmitResult, error) {
	change, err := rollout.Propose(b.ctx, b.Platform, docs, bundle.Proposal{
		Author:  b.keys[0].Name,
		Reason:  reason,
		Created: time.Now(),
	})
	if err != nil {
		return rollout.SubmitResult{}, err
	}
	for _, key := range b.keys {
		change = change.Sign(key)
	}
	return rollout.Submit(b.ctx, b.Platform, b.signers, change)
}

// TokenHash is the hexadecimal SHA-256 of a caller's token, for documents.
func TokenHash(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

// Close ends everything at once, without planned stops.
func (b *Cluster) Close() {
	for _, host := range b.Hosts() {
		host.Kill()
	}
	for _, standIn := range b.Backends {
		_ = standIn.Close()
	}
	_ = b.Platform.Close()
}

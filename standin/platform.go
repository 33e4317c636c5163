package standin

import (
	"context"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/goldcrestspan/goldcrestspan/internal/wait"
	"github.com/goldcrestspan/goldcrestspan/metastore"
)

// versionsKept bounds the old versions of one object kept for stale reads.
const versionsKept = 64

// PlatformFaults is what is wrong with the platform. Durations are in
// nanoseconds on the wire.
type PlatformFaults struct {
	// Down refuses every call of the object API; nothing takes effect.
	Down bool `json:"down"`
	// HostsDown refuses every call of the host list.
	HostsDown bool `json:"hosts_down"`
	// Delay holds every call back before it takes effect.
	Delay time.Duration `json:"delay_ns"`
	// ReadLag makes gets, lists and watches see the state of that long ago.
	ReadLag time.Duration `json:"read_lag_ns"`
	// LoseReplies lets that many next writes take effect and loses their replies.
	LoseReplies int `json:"lose_replies"`
	// LoseWrites loses that many next writes, which look like lost replies.
	LoseWrites int `json:"lose_writes"`
	// HostListLag makes the host list that old.
	HostListLag time.Duration `json:"host_lag_ns"`
	// HostListEmpty empties the host list.
	HostListEmpty bool `json:"hosts_empty"`
}

// PlatformCalls counts the calls of each kind; a waiting watch is one.
type PlatformCalls struct {
	Get    uint64 `json:"get"`
	Put    uint64 `json:"put"`
	Delete uint64 `json:"delete"`
	List   uint64 `json:"list"`
	Watch  uint64 `json:"watch"`
	Hosts  uint64 `json:"hosts"`
}

// Total is the sum over all kinds.
func (c PlatformCalls) Total() uint64 {
	return c.Get + c.Put + c.Delete + c.List + c.Watch + c.Hosts
}

// Writes is the sum of the writing kinds.
func (c PlatformCalls) Writes() uint64 { return c.Put + c.Delete }

// version is one state of an object; Version 0 in it means deleted.
type version struct {
	object metastore.Object
	at     time.Time
}

type hostsAt struct {
	hosts []metastore.ListedHost
	at    time.Time
}

// Platform is a stand-in of the users' platform: a metastore.Store and a
// metastore.HostList in memory, which Start serves over HTTP too.
type Platform struct {
	mu       sync.Mutex
	objects  map[string][]version // oldest first
	revision metastore.Revision
	hosts    []hostsAt // oldest first
	faults   PlatformFaults
	calls    PlatformCalls
	changed  chan struct{} // closed and replaced at every change

	server platformServer
}

var (
	_ metastore.Store    = (*Platform)(nil)
	_ metastore.HostList = (*Platform)(nil)
)

// NewPlatform makes an empty platform.
func NewPlatform() *Platform {
	return &Platform{
		objects: make(map[string][]version),
		changed: make(chan struct{}),
	}
}

// SetFaults replaces the faults.
func (p *Platform) SetFaults(faults PlatformFaults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = faults
	p.signal()
}

// Faults returns the faults that are left.
func (p *Platform) Faults() PlatformFaults {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faults
}

// Calls returns the counts since the platform was made.
func (p *Platform) Calls() PlatformCalls {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.calls
}

// signal wakes the watches; the lock is held.
func (p *Platform) signal() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// begin counts a call, holds it back and refuses it while the store is down.
func (p *Platform) begin(ctx context.Context, count func(*PlatformCalls)) error {
	p.mu.Lock()
	count(&p.calls)
	delay := p.faults.Delay
	p.mu.Unlock()
	if delay > 0 && !wait.For(ctx, delay) {
		return errors.Wrap(metastore.ErrUnavailable, ctx.Err().Error())
	}
	if p.Faults().Down {
		return metastore.ErrUnavailable
	}
	return nil
}

// Get implements metastore.Store.
func (p *Platform) Get(ctx context.Context, key string) (metastore.Object, error) {
	if err := p.begin(ctx, func(c *PlatformCalls) { c.Get++ }); err != nil {
		return metastore.Object{}, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	object := p.visible(key)
	if object.Version == 0 {
		return metastore.Object{}, errors.Wrap(metastore.ErrNotFound, key)
	}
	return clone(object), nil
}

// ListStale implements metastore.Store; the stand-in is never behind.
func (p *Platform) ListStale(ctx context.Context, prefix string) ([]metastore.Object, metastore.Revision, error) {
	return p.List(ctx, prefix)
}

// List implements metastore.Store.
func (p *Platform) List(ctx context.Context, prefix string) ([]metastore.Object, metastore.Revision, error) {
	if err := p.begin(ctx, func(c *PlatformCalls) { c.List++ }); err != nil {
		return nil, 0, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.below(prefix, func(o metastore.Object) bool { return o.Version != 0 }), p.revision, nil
}

// visible is the object as reads see it; the lock is held.
func (p *Platform) visible(key string) metastore.Object {
	versions := p.objects[key]
	cut := time.Now().Add(-p.faults.ReadLag)
	for i := len(versions) - 1; i >= 0; i-- {
		if p.faults.ReadLag == 0 || !versions[i].at.After(cut) {
			return versions[i].object
		}
	}
	return metastore.Object{Key: key}
}

// below returns copies of the visible objects that fit; the lock is held.
func (p *Platform) below(prefix string, fits func(metastore.Object) bool) []metastore.Object {
	var found []metastore.Object
	for key := range p.objects {
		if !strings.HasPrefix(key, prefix) {
			continue
		}
		if object := p.visible(key); fits(object) {
			found = append(found, clone(object))
		}
	}
	sort.Slice(found, func(i, j int) bool { return found[i].Key < found[j].Key })
	return found
}

func clone(object metastore.Object) metastore.Object {
	object.Value = append([]byte(nil), object.Value...)
	return object
}

// Put implements metastore.Store.
func (p *Platform) Put(ctx context.Context, key string, value []byte, expect uint64) (metastore.Object, error) {
	if err := p.begin(ctx, func(c *PlatformCalls) { c.Put++ }); err != nil {
		return metastore.Object{}, err
	}
	if len(value) > metastore.MaxValueBytes {
		return metastore.Object{}, metastore.ErrTooLarge
	}
	return p.write(key, append([]byte(nil), value...), expect, true)
}

// Delete implements metastore.Store.
func (p *Platform) Delete(ctx context.Context, key string, expect uint64) error {
	if err := p.begin(ctx, func(c *PlatformCalls) { c.Delete++ }); err != nil {
		return err
	}
	_, err := p.write(key, nil, expect, false)
	return err
}

// write is one conditional update or deletion, with its faults.
func (p *Platform) write(key string, value []byte, expect uint64, exists bool) (metastore.Object, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if use(&p.faults.LoseWrites) {
		return metastore.Object{}, metastore.ErrAmbiguous
	}
	current := p.current(key)
	if current.Version != expect {
		return metastore.Object{}, errors.Wrapf(metastore.ErrConflict, "%s is at version %d", key, current.Version)
	}
	p.revision++
	next := metastore.Object{Key: key, Value: value, Revision: p.revision}
	if exists {
		next.Version = uint64(p.revision) // never used before, also after a deletion
	}
	p.store(next)
	if use(&p.faults.LoseReplies) {
		return metastore.Object{}, metastore.ErrAmbiguous
	}
	next.Value = nil
	return next, nil
}

// current is the object as writes see it; the lock is held.
func (p *Platform) current(key string) metastore.Object {
	versions := p.objects[key]
	if len(versions) == 0 {
		return metastore.Object{Key: key}
	}
	return versions[len(versions)-1].object
}

func (p *Platform) store(object metastore.Object) {
	versions := append(p.objects[object.Key], version{object: object, at: time.Now()})
	if len(versions) > versionsKept {
		versions = versions[len(versions)-versionsKept:]
	}
	p.objects[object.Key] = versions
	p.signal()
}

// Watch implements metastore.Store.
func (p *Platform) Watch(ctx context.Context, prefix string, after metastore.Revision) ([]metastore.Object, metastore.Revision, error) {
	if err := p.begin(ctx, func(c *PlatformCalls) { c.Watch++ }); err != nil {
		return nil, after, err
	}
	for {
		objects, revision, changed, lag, err := p.changes(prefix, after)
		if err != nil || len(objects) > 0 {
			return objects, revision, err
		}
		if !awaitChange(ctx, changed, lag) {
			return nil, after, ctx.Err()
		}
	}
}

// changes returns what is new to a watch, and what to wait for if nothing is.
func (p *Platform) changes(prefix string, after metastore.Revision) ([]metastore.Object, metastore.Revision, <-chan struct{}, time.Duration, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.faults.Down {
		return nil, after, nil, 0, metastore.ErrUnavailable
	}
	objects := p.below(prefix, func(o metastore.Object) bool { return o.Revision > after })
	for _, object := range objects {
		after = max(after, object.Revision)
	}
	return objects, after, p.changed, p.faults.ReadLag, nil
}

// awaitChange waits for a change; with stale reads one can come into view
// without an event, so it looks again a few times for each lag.
func awaitChange(ctx context.Context, changed <-chan struct{}, lag time.Duration) bool {
	const looksPerLag = 4
	var look <-chan time.Time
	if lag > 0 {
		timer := time.NewTimer(lag/looksPerLag + 1)
		defer timer.Stop()
		look = timer.C
	}
	select {
	case <-changed:
		return true
	case <-look:
		return true
	case <-ctx.Done():
		return false
	}
}

// Hosts implements metastore.HostList.
func (p *Platform) Hosts(ctx context.Context, kind metastore.HostKind) ([]metastore.ListedHost, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.calls.Hosts++
	if p.faults.HostsDown {
		return nil, metastore.ErrUnavailable
	}
	if p.faults.HostListEmpty {
		return nil, nil
	}
	var found []metastore.ListedHost
	for _, host := range p.visibleHosts() {
		if kind == "" || host.Kind == kind {
			found = append(found, host)
		}
	}
	return found, ctx.Err()
}

func (p *Platform) visibleHosts() []metastore.ListedHost {
	cut := time.Now().Add(-p.faults.HostListLag)
	for i := len(p.hosts) - 1; i >= 0; i-- {
		if p.faults.HostListLag == 0 || !p.hosts[i].at.After(cut) {
			return p.hosts[i].hosts
		}
	}
	return nil
}

// SetHosts replaces the host list.
func (p *Platform) SetHosts(hosts []metastore.ListedHost) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.setHosts(append([]metastore.ListedHost(nil), hosts...))
}

// AddHost adds a host, or replaces the one of the same kind and name.
func (p *Platform) AddHost(host metastore.ListedHost) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.setHosts(append(p.hostsWithout(host.Kind, host.Name), host))
}

// RemoveHost takes a host off the list.
func (p *Platform) RemoveHost(kind metastore.HostKind, name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.setHosts(p.hostsWithout(kind, name))
}

func (p *Platform) hostsWithout(kind metastore.HostKind, name string) []metastore.ListedHost {
	var kept []metastore.ListedHost
	if len(p.hosts) == 0 {
		return kept
	}
	for _, host := range p.hosts[len(p.hosts)-1].hosts {
		if host.Kind != kind || host.Name != name {
			kept = append(kept, host)
		}
	}
	return kept
}

func (p *Platform) setHosts(hosts []metastore.ListedHost) {
	p.hosts = append(p.hosts, hostsAt{hosts: hosts, at: time.Now()})
	if len(p.hosts) > versionsKept {
		p.hosts = p.hosts[len(p.hosts)-versionsKept:]
	}
}

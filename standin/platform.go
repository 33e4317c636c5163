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

// maxVersions limits the versions of an object that are kept for stale reads.
const maxVersions = 64

// PlatformFaults are the faults that the platform injects. Durations are encoded in
// nanoseconds.
type PlatformFaults struct {
	// Down refuses all calls of the object API.
	Down bool `json:"down"`
	// HostListDown refuses all calls of the host list.
	HostListDown bool `json:"hosts_down"`
	// Delay delays each call before it takes effect.
	Delay time.Duration `json:"delay_ns"`
	// ReadLag is the age of the state that gets, lists and watches see.
	ReadLag time.Duration `json:"read_lag_ns"`
	// LoseReplies applies that many next writes but loses their replies.
	LoseReplies int `json:"lose_replies"`
	// LoseWrites drops that many next writes; the caller can't tell them from lost
	// replies.
	LoseWrites int `json:"lose_writes"`
	// HostListLag is the age of the host list that is returned.
	HostListLag time.Duration `json:"host_lag_ns"`
	// HostListEmpty makes the host list empty.
	HostListEmpty bool `json:"hosts_empty"`
}

// PlatformCalls counts calls by kind.
type PlatformCalls struct {
	Get    uint64 `json:"get"`
	Put    uint64 `json:"put"`
	Delete uint64 `json:"delete"`
	List   uint64 `json:"list"`
	Watch  uint64 `json:"watch"`
	Hosts  uint64 `json:"hosts"`
}

// Total returns the number of calls of all kinds.
func (c PlatformCalls) Total() uint64 {
	return c.Get + c.Put + c.Delete + c.List + c.Watch + c.Hosts
}

// Writes returns the number of puts and deletes.
func (c PlatformCalls) Writes() uint64 { return c.Put + c.Delete }

// version is one state of an object; object.Version is 0 if it is deleted.
type version struct {
	object metastore.Object
	at     time.Time
}

type hostListVersion struct {
	hosts []metastore.ListedHost
	at    time.Time
}

// Platform is an in-memory metastore.Store and metastore.HostList. Start serves
// them over HTTP.
type Platform struct {
	mu       sync.Mutex
	objects  map[string][]version // oldest first
	revision metastore.Revision
	hosts    []hostListVersion // oldest first
	faults   PlatformFaults
	calls    PlatformCalls
	changed  chan struct{} // closed and replaced at every change

	server platformServer
}

var (
	_ metastore.Store    = (*Platform)(nil)
	_ metastore.HostList = (*Platform)(nil)
)

// NewPlatform returns an empty platform.
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
	p.notifyWatches()
}

// Faults returns the faults with the remaining counts.
func (p *Platform) Faults() PlatformFaults {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faults
}

// Calls returns the number of calls so far.
func (p *Platform) Calls() PlatformCalls {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.calls
}

// notifyWatches wakes all watches. p.mu must be held.
func (p *Platform) notifyWatches() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// beginCall counts and delays a call, and refuses it while the store is down.
func (p *Platform) beginCall(ctx context.Context, count func(*PlatformCalls)) error {
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
	if err := p.beginCall(ctx, func(c *PlatformCalls) { c.Get++ }); err != nil {
		return metastore.Object{}, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	object := p.readObject(key)
	if object.Version == 0 {
		return metastore.Object{}, errors.Wrap(metastore.ErrNotFound, key)
	}
	return clone(object), nil
}

// ListStale implements metastore.Store. It returns the same as List.
func (p *Platform) ListStale(ctx context.Context, prefix string) ([]metastore.Object, metastore.Revision, error) {
	return p.List(ctx, prefix)
}

// List implements metastore.Store.
func (p *Platform) List(ctx context.Context, prefix string) ([]metastore.Object, metastore.Revision, error) {
	if err := p.beginCall(ctx, func(c *PlatformCalls) { c.List++ }); err != nil {
		return nil, 0, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.listObjects(prefix, func(o metastore.Object) bool { return o.Version != 0 }), p.revision, nil
}

// readObject returns the object as reads see it with ReadLag. p.mu must be held.
func (p *Platform) readObject(key string) metastore.Object {
	versions := p.objects[key]
	cutoff := time.Now().Add(-p.faults.ReadLag)
	for i := len(versions) - 1; i >= 0; i-- {
		if p.faults.ReadLag == 0 || !versions[i].at.After(cutoff) {
			return versions[i].object
		}
	}
	return metastore.Object{Key: key}
}

// listObjects returns copies of the objects that match, as reads see them. p.mu
// must be held.
func (p *Platform) listObjects(prefix string, match func(metastore.Object) bool) []metastore.Object {
	var found []metastore.Object
	for key := range p.objects {
		if !strings.HasPrefix(key, prefix) {
			continue
		}
		if object := p.readObject(key); match(object) {
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
	if err := p.beginCall(ctx, func(c *PlatformCalls) { c.Put++ }); err != nil {
		return metastore.Object{}, err
	}
	if len(value) > metastore.MaxValueBytes {
		return metastore.Object{}, metastore.ErrTooLarge
	}
	return p.write(key, append([]byte(nil), value...), expect, true)
}

// Delete implements metastore.Store.
func (p *Platform) Delete(ctx context.Context, key string, expect uint64) error {
	if err := p.beginCall(ctx, func(c *PlatformCalls) { c.Delete++ }); err != nil {
		return err
	}
	_, err := p.write(key, nil, expect, false)
	return err
}

// write applies a conditional update or deletion, with faults.
func (p *Platform) write(key string, value []byte, expect uint64, exists bool) (metastore.Object, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if consume(&p.faults.LoseWrites) {
		return metastore.Object{}, metastore.ErrAmbiguous
	}
	currentObject := p.currentObject(key)
	if currentObject.Version != expect {
		return metastore.Object{}, errors.Wrapf(metastore.ErrConflict, "%s is at version %d", key, currentObject.Version)
	}
	p.revision++
	next := metastore.Object{Key: key, Value: value, Revision: p.revision}
	if exists {
		next.Version = uint64(p.revision) // unique, also after a deletion
	}
	p.appendVersion(next)
	if consume(&p.faults.LoseReplies) {
		return metastore.Object{}, metastore.ErrAmbiguous
	}
	next.Value = nil
	return next, nil
}

// currentObject returns the latest version of the object. p.mu must be held.
func (p *Platform) currentObject(key string) metastore.Object {
	versions := p.objects[key]
	if len(versions) == 0 {
		return metastore.Object{Key: key}
	}
	return versions[len(versions)-1].object
}

func (p *Platform) appendVersion(object metastore.Object) {
	versions := append(p.objects[object.Key], version{object: object, at: time.Now()})
	if len(versions) > maxVersions {
		versions = versions[len(versions)-maxVersions:]
	}
	p.objects[object.Key] = versions
	p.notifyWatches()
}

// Watch implements metastore.Store.
func (p *Platform) Watch(ctx context.Context, prefix string, after metastore.Revision) ([]metastore.Object, metastore.Revision, error) {
	if err := p.beginCall(ctx, func(c *PlatformCalls) { c.Watch++ }); err != nil {
		return nil, after, err
	}
	for {
		objects, revision, changed, lag, err := p.changes(prefix, after)
		if err != nil || len(objects) > 0 {
			return objects, revision, err
		}
		if !waitForChange(ctx, changed, lag) {
			return nil, after, ctx.Err()
		}
	}
}

// changes returns the objects that changed after a revision, and a channel that is
// closed at the next change.
func (p *Platform) changes(prefix string, after metastore.Revision) ([]metastore.Object, metastore.Revision, <-chan struct{}, time.Duration, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.faults.Down {
		return nil, after, nil, 0, metastore.ErrUnavailable
	}
	objects := p.listObjects(prefix, func(o metastore.Object) bool { return o.Revision > after })
	for _, object := range objects {
		after = max(after, object.Revision)
	}
	return objects, after, p.changed, p.faults.ReadLag, nil
}

// waitForChange waits until a watch should check for changes again. With stale
// reads a change becomes visible without an event, so it also polls.
func waitForChange(ctx context.Context, changed <-chan struct{}, lag time.Duration) bool {
	const checksPerLag = 4
	var recheck <-chan time.Time
	if lag > 0 {
		timer := time.NewTimer(lag/checksPerLag + 1)
		defer timer.Stop()
		recheck = timer.C
	}
	select {
	case <-changed:
		return true
	case <-recheck:
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
	if p.faults.HostListDown {
		return nil, metastore.ErrUnavailable
	}
	if p.faults.HostListEmpty {
		return nil, nil
	}
	var found []metastore.ListedHost
	for _, host := range p.readHosts() {
		if kind == "" || host.Kind == kind {
			found = append(found, host)
		}
	}
	return found, ctx.Err()
}

func (p *Platform) readHosts() []metastore.ListedHost {
	cutoff := time.Now().Add(-p.faults.HostListLag)
	for i := len(p.hosts) - 1; i >= 0; i-- {
		if p.faults.HostListLag == 0 || !p.hosts[i].at.After(cutoff) {
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

// RemoveHost removes a host from the list.
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
	p.hosts = append(p.hosts, hostListVersion{hosts: hosts, at: time.Now()})
	if len(p.hosts) > maxVersions {
		p.hosts = p.hosts[len(p.hosts)-maxVersions:]
	}
}

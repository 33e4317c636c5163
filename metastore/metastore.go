// Package metastore is the boundary to the users' platform: its object API with
// versions, conditional updates and watches, and its lagging host list. The
// platform is the only place where something lasts; entry hosts keep nothing.
package metastore

import (
	"context"

	"github.com/pkg/errors"
)

// MaxValueBytes is the largest value the object API takes.
const MaxValueBytes = 1 << 20

// Errors of a Store. Test for them with errors.Is.
var (
	// ErrNotFound: the key holds no object.
	ErrNotFound = errors.New("metastore: object not found")
	// ErrConflict: the object's version is not the one expected; nothing was written.
	ErrConflict = errors.New("metastore: version conflict")
	// ErrUnavailable: the call surely had no effect (refused, or not sent).
	ErrUnavailable = errors.New("metastore: store unavailable")
	// ErrAmbiguous: a write was sent and its reply was lost. It may have taken
	// effect; the writer must read back before it says anything.
	ErrAmbiguous = errors.New("metastore: write outcome unknown")
	// ErrHistoryGone: the store no longer knows the changes after a revision, or was
	// restored from a backup since.
	ErrHistoryGone = errors.New("metastore: history is gone")
	// ErrTooLarge: the value is over MaxValueBytes; nothing was written.
	ErrTooLarge = errors.New("metastore: value too large")
)

// Object is one versioned value.
type Object struct {
	Key   string `json:"key"`
	Value []byte `json:"value"`
	// Version changes with each write of the key; 0 means that it does not exist.
	Version uint64 `json:"version"`
	// Revision orders the writes of the whole store, see NewRevision; Watch continues
	// from it.
	Revision Revision `json:"revision"`
}

// Store is the platform's object API.
type Store interface {
	// Get reads one object; ErrNotFound when there is none.
	Get(ctx context.Context, key string) (Object, error)
	// Put writes the value if the object's version is still expect; 0 creates
	// only. It returns the new object without its value.
	Put(ctx context.Context, key string, value []byte, expect uint64) (Object, error)
	// Delete removes the object if its version is still expect.
	Delete(ctx context.Context, key string, expect uint64) error
	// List reads all objects below a prefix, in key order, and returns the
	// store's revision at that moment, from which a Watch continues.
	List(ctx context.Context, prefix string) ([]Object, Revision, error)
	// ListStale is List for a reader that can do with what was true seconds ago, and
	// costs the platform less. A Watch continues from the revision that it returns.
	ListStale(ctx context.Context, prefix string) ([]Object, Revision, error)
	// Watch waits until an object below the prefix has a revision above after,
	// or ctx ends, and returns the changed objects and the revision to continue
	// from; it may return none shortly before ctx ends. A deleted object has
	// Version 0. ErrHistoryGone says that the store has forgotten what came
	// after: List again. A waiting watch counts as one call to the platform.
	Watch(ctx context.Context, prefix string, after Revision) ([]Object, Revision, error)
}

// HostKind tells what runs on a listed host.
type HostKind string

// The kinds of listed hosts.
const (
	KindEntry   HostKind = "entry"
	KindBackend HostKind = "backend"
)

// HostState is the host list's view of a host. It lags.
type HostState string

// The states of listed hosts.
const (
	StateLive    HostState = "live"
	StateLeaving HostState = "leaving"
)

// ListedHost is one row of the platform's host list.
type ListedHost struct {
	Name    string    `json:"name"`
	Kind    HostKind  `json:"kind"`
	Address string    `json:"address"` // IP and port; peers' listener for entry hosts
	Region  string    `json:"region"`
	Zone    string    `json:"zone"` // availability zone
	State   HostState `json:"state"`
	// Service is the backend server's service; empty for entry hosts.
	Service string `json:"service,omitempty"`
	// Incarnation tells one life of the host from the next at the same address.
	Incarnation uint64 `json:"incarnation"`
}

// HostList is the platform's list of live and leaving hosts. It lags and can
// be empty or name dead hosts: it is advice beside what hosts hear themselves.
type HostList interface {
	Hosts(ctx context.Context, kind HostKind) ([]ListedHost, error)
}

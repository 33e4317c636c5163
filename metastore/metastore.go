// Package metastore is the interface to the users' platform: its object API with
// versions, conditional updates and watches, and its host list. The platform holds all
// persistent state; entry hosts keep none.
package metastore

import (
	"context"

	"github.com/pkg/errors"
)

// MaxValueBytes is the size limit of a value.
const MaxValueBytes = 1 << 20

// Errors of a Store. Test for them with errors.Is.
var (
	// ErrNotFound means that there is no object with the key.
	ErrNotFound = errors.New("metastore: object not found")
	// ErrConflict means that the object's version is not the expected one; nothing was
	// written.
	ErrConflict = errors.New("metastore: version conflict")
	// ErrUnavailable means that the call had no effect: it was refused or not sent.
	ErrUnavailable = errors.New("metastore: store unavailable")
	// ErrAmbiguous means that the reply to a write was lost. The write may have taken
	// effect; the writer must read the object to find out.
	ErrAmbiguous = errors.New("metastore: write outcome unknown")
	// ErrHistoryGone means that the store no longer has the changes after a revision, or
	// was restored from a backup since.
	ErrHistoryGone = errors.New("metastore: history is gone")
	// ErrTooLarge means that the value exceeds MaxValueBytes; nothing was written.
	ErrTooLarge = errors.New("metastore: value too large")
)

// Object is a versioned value.
type Object struct {
	Key   string `json:"key"`
	Value []byte `json:"value"`
	// Version changes with each write of the key; 0 means that it does not exist.
	Version uint64 `json:"version"`
	// Revision orders the writes of the whole store. A Watch can continue from it.
	Revision Revision `json:"revision"`
}

// Store is the platform's object API.
type Store interface {
	// Get reads an object; ErrNotFound if there is none.
	Get(ctx context.Context, key string) (Object, error)
	// Put writes the value if the object's version is the expected one; 0 only
	// creates. It returns the new object without its value.
	Put(ctx context.Context, key string, value []byte, expectedVersion uint64) (Object, error)
	// Delete removes the object if its version is the expected one.
	Delete(ctx context.Context, key string, expectedVersion uint64) error
	// List reads all objects below a prefix, sorted by key, and returns the store's
	// revision, from which a Watch continues.
	List(ctx context.Context, prefix string) ([]Object, Revision, error)
	// ListStale is a List that may be seconds old and costs the platform less. A Watch
	// continues from the revision that it returns.
	ListStale(ctx context.Context, prefix string) ([]Object, Revision, error)
	// Watch waits until an object below the prefix has a revision above after,
	// or ctx ends, and returns the changed objects and the revision to continue
	// from; it may return no objects shortly before ctx ends. A deleted object has
	// Version 0. After ErrHistoryGone the caller must List again.
	Watch(ctx context.Context, prefix string, after Revision) ([]Object, Revision, error)
}

// HostKind is the kind of process on a listed host.
type HostKind string

// The kinds of listed hosts.
const (
	KindEntry   HostKind = "entry"
	KindBackend HostKind = "backend"
)

// HostState is the state of a host on the host list, which lags.
type HostState string

// The states of listed hosts.
const (
	StateLive    HostState = "live"
	StateLeaving HostState = "leaving"
)

// ListedHost is a row of the platform's host list.
type ListedHost struct {
	Name    string    `json:"name"`
	Kind    HostKind  `json:"kind"`
	Address string    `json:"address"` // IP and port; of the peer listener for entry hosts
	Region  string    `json:"region"`
	Zone    string    `json:"zone"` // availability zone
	State   HostState `json:"state"`
	// Service is the backend server's service; empty for entry hosts.
	Service string `json:"service,omitempty"`
	// Incarnation distinguishes successive processes at the same address.
	Incarnation uint64 `json:"incarnation"`
}

// HostList is the platform's list of live and leaving hosts. It lags, and it may be
// empty or name dead hosts, so it is no proof that a host is alive or dead.
type HostList interface {
	Hosts(ctx context.Context, kind HostKind) ([]ListedHost, error)
}

// Package snapshot owns the index snapshots: the immutable pair of an index
// version and its shard map that a query pins when it is admitted, and the
// choice of the newest one that every shard's replicas are known to hold.
package snapshot

import "github.com/pkg/errors"

// Version numbers the snapshots of one index; later ones are higher.
type Version uint64

// ShardID names a shard within one snapshot's shard map.
type ShardID uint32

// Shard is one part of an index and the service whose backend servers hold it.
type Shard struct {
	ID      ShardID `json:"id"`
	Service string  `json:"service"`
}

// Snapshot is one version of an index with the shard map of that version. It
// is never changed once made: a repartition makes a new Snapshot, so a running
// query can't mix two shard maps.
type Snapshot struct {
	Index   string  `json:"index"`
	Version Version `json:"version"`
	Shards  []Shard `json:"shards"`
}

// Validate refuses a snapshot without shards, version or names, or with a
// shard listed twice, which would make coverage untrue.
func (s *Snapshot) Validate() error {
	if s.Index == "" {
		return errors.New("snapshot: index is empty")
	}
	if s.Version == 0 {
		return errors.Errorf("snapshot of %s: version must be 1 or more", s.Index)
	}
	if len(s.Shards) == 0 {
		return errors.Errorf("snapshot %s@%d: no shards", s.Index, s.Version)
	}
	seen := make(map[ShardID]bool, len(s.Shards))
	for _, shard := range s.Shards {
		if shard.Service == "" {
			return errors.Errorf("snapshot %s@%d: shard %d names no service", s.Index, s.Version, shard.ID)
		}
		if seen[shard.ID] {
			return errors.Errorf("snapshot %s@%d: shard %d is listed twice", s.Index, s.Version, shard.ID)
		}
		seen[shard.ID] = true
	}
	return nil
}

// Package snapshot describes index snapshots, an index version with its shard
// map, and chooses the one that a new query pins: the newest one that replicas
// of every shard hold.
package snapshot

import "github.com/pkg/errors"

// Version numbers the snapshots of one index; later ones are higher.
type Version uint64

// ShardID identifies a shard within one snapshot's shard map.
type ShardID uint32

// Shard is one part of an index and the service whose backend servers hold it.
type Shard struct {
	ID      ShardID `json:"id"`
	Service string  `json:"service"`
}

// Snapshot is one version of an index with its shard map. It is immutable: a
// repartition makes a new Snapshot, so a running query can't mix two shard maps.
type Snapshot struct {
	Index   string  `json:"index"`
	Version Version `json:"version"`
	Shards  []Shard `json:"shards"`
}

// Validate rejects a snapshot without shards, version or names, or with a
// duplicate shard, which would falsify the coverage of answers.
func (s *Snapshot) Validate() error {
	if s.Index == "" {
		return errors.New("snapshot: index is empty")
	}
	if s.Version == 0 {
		return errors.Errorf("snapshot of %s: version must be at least 1", s.Index)
	}
	if len(s.Shards) == 0 {
		return errors.Errorf("snapshot %s@%d: no shards", s.Index, s.Version)
	}
	seen := make(map[ShardID]bool, len(s.Shards))
	for _, shard := range s.Shards {
		if shard.Service == "" {
			return errors.Errorf("snapshot %s@%d: shard %d has no service", s.Index, s.Version, shard.ID)
		}
		if seen[shard.ID] {
			return errors.Errorf("snapshot %s@%d: shard %d is listed twice", s.Index, s.Version, shard.ID)
		}
		seen[shard.ID] = true
	}
	return nil
}

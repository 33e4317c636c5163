package discover

import (
	"time"

	"github.com/goldcrestspan/goldcrestspan/metastore"
)

// peerState is an immutable copy of a Mirror at one revision, from which peers are served.
type peerState struct {
	revision metastore.Revision
	objects  []metastore.Object
	// removed holds the revision of each removal; it is complete for removals
	// after removedSince.
	removed      map[string]metastore.Revision
	removedSince metastore.Revision
	// finalAt is when removals become final; see Mirror.StoreLost.
	finalAt time.Time
}

// changes are what a peer is missing.
type changes struct {
	revision metastore.Revision
	complete bool // objects is the complete list
	objects  []metastore.Object
	removed  []string
	// deferFor is how long removals are not final.
	deferFor time.Duration
}

// changesAfter returns the changes after a revision, or all objects if removals after
// it have been discarded.
func (s *peerState) changesAfter(revision metastore.Revision) changes {
	if revision < s.removedSince || revision == 0 {
		return changes{revision: s.revision, complete: true, objects: s.objects}
	}
	c := changes{revision: s.revision}
	for _, object := range s.objects {
		if object.Revision > revision {
			c.objects = append(c.objects, object)
		}
	}
	for key, at := range s.removed {
		if at > revision {
			c.removed = append(c.removed, key)
		}
	}
	return c
}

package discover

import (
	"time"

	"github.com/goldcrestspan/goldcrestspan/metastore"
)

// known is what a host believes at one revision of the store, for its peers. It
// is immutable.
type known struct {
	revision uint64
	objects  []metastore.Object
	// removed holds the revision at which each removed object was found gone;
	// it is complete for removals after since.
	removed map[string]uint64
	since   uint64
	// doubtUntil: removals may be undone until then, see Mirror.Lost.
	doubtUntil time.Time
}

// changes are what a host lacks.
type changes struct {
	revision uint64
	whole    bool // objects are all there are
	objects  []metastore.Object
	removed  []string
	// doubt is for how long removals may still be undone.
	doubt time.Duration
}

// after lists what has changed after a revision, or everything for a host that
// is further behind than removals are remembered.
func (k *known) after(revision uint64) changes {
	if revision < k.since || revision == 0 {
		return changes{revision: k.revision, whole: true, objects: k.objects}
	}
	c := changes{revision: k.revision}
	for _, object := range k.objects {
		if object.Revision > revision {
			c.objects = append(c.objects, object)
		}
	}
	for key, at := range k.removed {
		if at > revision {
			c.removed = append(c.removed, key)
		}
	}
	return c
}

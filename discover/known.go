package discover

import (
	"time"

	"github.com/goldcrestspan/goldcrestspan/metastore"
)

// known is what a host believes at one revision of the store, for its peers. It
// is immutable.
type known struct {
	revision metastore.Revision
	objects  []metastore.Object
	// removed holds the revision at which each removed object was found gone;
	// it is complete for removals after since.
	removed map[string]metastore.Revision
	since   metastore.Revision
	// doubtUntil: removals may be undone until then, see Mirror.Lost.
	doubtUntil time.Time
}

// changes are what a host lacks.
type changes struct {
	revision metastore.Revision
	whole    bool // objects are all there are
	objects  []metastore.Object
	removed  []string
	// doubt is for how long removals may still be undone.
	doubt time.Duration
}

// after lists what has changed after a revision, or everything for a host that
// is further behind than removals are remembered.
func (k *known) after(revision metastore.Revision) changes {
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

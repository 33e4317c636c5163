package discover

import "github.com/goldcrestspan/goldcrestspan/metastore"

// WriteOrder orders the writes of one object by what its writer says in it. Unlike the
// store's revisions it does not go back when the store is restored from a backup.
type WriteOrder struct {
	// Incarnation is the writer's start; 0: not said.
	Incarnation uint64
	// Sequence rises with the writes of one start.
	Sequence uint64
}

// before reports whether the write was made before the other.
func (o WriteOrder) before(other WriteOrder) bool {
	if o.Incarnation != other.Incarnation {
		return o.Incarnation < other.Incarnation
	}
	return o.Sequence < other.Sequence
}

// OrderOf reads the order of an object's write; false: the object does not say.
type OrderOf func(metastore.Object) (WriteOrder, bool)

// outdated reports whether a restored store has brought the object back from before the
// one that is held. Within an era of the store its revisions order the writes.
func (order OrderOf) outdated(object, held metastore.Object) bool {
	if order == nil || object.Revision.Era() == held.Revision.Era() {
		return false
	}
	written, said := order(object)
	if !said {
		return false
	}
	newest, said := order(held)
	return said && written.before(newest)
}

package discover

import "github.com/goldcrestspan/goldcrestspan/metastore"

// WriteOrder orders the writes of one object by a stamp that the writer puts into it.
// Unlike revisions it does not decrease when the store is restored from a backup.
type WriteOrder struct {
	// Incarnation is the writer's incarnation; 0: unknown.
	Incarnation uint64
	// Sequence increases with the writes of one incarnation.
	Sequence uint64
}

// before reports whether the write was made before the other.
func (o WriteOrder) before(other WriteOrder) bool {
	if o.Incarnation != other.Incarnation {
		return o.Incarnation < other.Incarnation
	}
	return o.Sequence < other.Sequence
}

// WriteOrderFunc reads the WriteOrder of an object; false: it has none.
type WriteOrderFunc func(metastore.Object) (WriteOrder, bool)

// outdated reports whether the object is an older write than the one held, from a store
// that was restored in between. Within an era revisions order the writes.
func (order WriteOrderFunc) outdated(object, held metastore.Object) bool {
	if order == nil || object.Revision.Era() == held.Revision.Era() {
		return false
	}
	writeOrder, ok := order(object)
	if !ok {
		return false
	}
	heldOrder, ok := order(held)
	return ok && writeOrder.before(heldOrder)
}

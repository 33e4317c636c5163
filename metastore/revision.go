package metastore

import (
	"strconv"

	"github.com/pkg/errors"
)

// Revision orders the changes of a store, also across restores from a backup. The upper
// bits hold the era, which each restore increases, the lower bits the store's counter,
// which a restore sets back. A store without eras has era 0. The zero Revision is before
// any change.
type Revision uint64

const (
	counterBits = 40
	maxCounter  = 1<<counterBits - 1
	maxEra      = 1<<(64-counterBits) - 1
)

// NewRevision returns the revision of an era and the store's counter.
func NewRevision(era, counter uint64) (Revision, error) {
	if era > maxEra || counter > maxCounter {
		return 0, errors.Errorf("revision %d of era %d is out of range", counter, era)
	}
	return Revision(era<<counterBits | counter), nil
}

// Era increases with each restore of the store.
func (r Revision) Era() uint64 { return uint64(r) >> counterBits }

// Counter is the store's own counter.
func (r Revision) Counter() uint64 { return uint64(r) & maxCounter }

// String returns the era and the counter, separated by a slash.
func (r Revision) String() string {
	return strconv.FormatUint(r.Era(), 10) + "/" + strconv.FormatUint(r.Counter(), 10)
}

package metastore

import (
	"strconv"

	"github.com/pkg/errors"
)

// A revision holds the store's era in its upper bits and the store's own counter in the
// others. A store that is restored from a backup sets its counter back and raises its
// era, so that revisions order its changes across restores. A store without eras has era 0.
const (
	counterBits = 40
	maxCounter  = 1<<counterBits - 1
	maxEra      = 1<<(64-counterBits) - 1
)

// NewRevision makes the revision of an era and the store's counter.
func NewRevision(era, counter uint64) (uint64, error) {
	if era > maxEra || counter > maxCounter {
		return 0, errors.Errorf("revision %d of era %d is out of range", counter, era)
	}
	return era<<counterBits | counter, nil
}

// Era is the store's era at the revision.
func Era(revision uint64) uint64 { return revision >> counterBits }

// Counter is the store's own counter at the revision.
func Counter(revision uint64) uint64 { return revision & maxCounter }

// FormatRevision is the revision for people: its era, a slash and the store's counter.
func FormatRevision(revision uint64) string {
	return strconv.FormatUint(Era(revision), 10) + "/" + strconv.FormatUint(Counter(revision), 10)
}

package backend

import (
	"sync/atomic"

	"github.com/pkg/errors"
)

// unreservedReplyBytes of each reply are read without a reservation, so that usual replies are
// read also while long ones take all memory.
const unreservedReplyBytes = 64 << 10

var errReplyMemory = errors.New("backend: other replies take the memory for long ones")

// replyMemory limits the bytes of long replies that are read at the same time. A limit on each
// reply alone would let bytes without end from many servers add up.
type replyMemory struct {
	limit, used atomic.Int64
}

// reserve takes n bytes, or none and returns an error.
func (m *replyMemory) reserve(n int64) error {
	if m.used.Add(n) > m.limit.Load() {
		m.used.Add(-n)
		return errReplyMemory
	}
	return nil
}

func (m *replyMemory) release(n int64) { m.used.Add(-n) }

// replyReservation is the part of one reply.
type replyReservation struct {
	memory         *replyMemory
	read, reserved int64
}

// add records n bytes that were read.
func (r *replyReservation) add(n int) error {
	r.read += int64(n)
	missing := r.read - unreservedReplyBytes - r.reserved
	if missing <= 0 {
		return nil
	}
	missing = max(missing, unreservedReplyBytes) // in steps, as all connections share the counter
	if err := r.memory.reserve(missing); err != nil {
		return err
	}
	r.reserved += missing
	return nil
}

func (r *replyReservation) release() {
	r.memory.release(r.reserved)
	r.reserved = 0
}

package booking

import (
	"slices"

	"github.com/goldcrestspan/goldcrestspan/result"
)

// maxHandOverBytes bounds the records that one incarnation hands over.
const maxHandOverBytes = 1 << 20

// recordOverhead is the size in bytes of a record without its answer.
const recordOverhead = 64

// record is the final outcome of a used ticket.
type record struct {
	content Digest
	result  Result
}

// Records holds the outcomes of a stopped incarnation's tickets. It is
// immutable, so any number of hosts may hold it. It does not convey the right to
// run unused tickets: with lost and duplicated messages, two hosts could get
// that right.
type Records struct {
	issued  uint64
	floor   uint64
	records map[uint64]record
}

// handOver returns the records of the newest tickets, up to maxBytes, and raises
// the floor to the first that has no room. It returns false while runs may still
// start, since "never used" would not stay true. A run in progress is recorded
// as unknown.
func (t *ticketTable) handOver(maxBytes int) (Records, bool) {
	if !t.stopping {
		return Records{}, false
	}
	snapshot := Records{issued: t.issued, floor: t.floor, records: make(map[uint64]record)}
	order := slices.Clone(t.order)
	slices.Sort(order)
	room := maxBytes
	for _, sequence := range slices.Backward(order) {
		e := t.entries[sequence]
		if e.phase == phaseIdle {
			continue // never ran, like an unused ticket
		}
		room -= e.bytes + recordOverhead
		if room < 0 {
			snapshot.floor = sequence
			break
		}
		snapshot.records[sequence] = e.finalRecord()
	}
	return snapshot, true
}

// finalRecord returns the record of an entry for which no run will start any
// more.
func (e *entry) finalRecord() record {
	if e.phase == phaseRunning {
		return record{content: e.content, result: Result{
			Code: result.OutcomeNotKnown, Detail: "the entry host stopped while the booking ran",
		}}
	}
	return record{content: e.content, result: e.result}
}

// recall returns the outcome of a ticket of the stopped incarnation. The MAC
// can't be verified here and need not be: without a recorded outcome the result
// reveals nothing, and with one the content must match.
func (r *Records) recall(sequence uint64, content Digest) Result {
	found, used := r.records[sequence]
	switch {
	case sequence <= r.floor:
		return Result{Code: result.OutcomeNotKnown, Detail: "the ticket is too old; whether it ran is no longer known"}
	case !used:
		return Result{Code: result.TicketInvalid, Detail: "the entry host stopped before the ticket was used; take a new one"}
	case found.content != content:
		return Result{Code: result.TicketInvalid, Detail: "the ticket was used for another request"}
	default:
		return found.result
	}
}

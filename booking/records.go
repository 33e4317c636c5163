package booking

import (
	"slices"

	"github.com/goldcrestspan/goldcrestspan/result"
)

// maxHandOverBytes bounds what one stopped life hands over; the newest records
// come first, and the floor is raised over those that find no room.
const maxHandOverBytes = 1 << 20

// recordOverhead is the size of a record beside its answer, in bytes.
const recordOverhead = 64

// record is the final word on one ticket.
type record struct {
	content Digest
	result  Result
}

// Records is what a life of a host knew of its tickets when it had stopped. It
// never changes, since that life starts nothing any more, so any number of
// hosts may hold it and answer from it. The right to run an unused ticket is
// not in it and can't be handed over: the message that carries the right could
// be lost or arrive twice, so the giver would never know whether there are no
// holders of the right, one, or two.
type Records struct {
	issued  uint64
	floor   uint64
	records map[uint64]record
}

// handOver returns what the ledger may hand over; false while it may still start
// a run, because then "never used" would not stay true. A run that has not
// ended is handed over as unknown.
func (l *ledger) handOver(maxBytes int) (Records, bool) {
	if !l.stopping {
		return Records{}, false
	}
	e := Records{issued: l.issued, floor: l.floor, records: make(map[uint64]record)}
	order := slices.Clone(l.order)
	slices.Sort(order)
	room := maxBytes
	for _, sequence := range slices.Backward(order) {
		kept := l.entries[sequence]
		if kept.phase == phaseIdle {
			continue // every run was surely not run: as good as never used
		}
		room -= kept.bytes + recordOverhead
		if room < 0 {
			e.floor = sequence
			break
		}
		e.records[sequence] = kept.final()
	}
	return e, true
}

func (e *entry) final() record {
	if e.phase == phaseRunning {
		return record{content: e.content, result: Result{
			Code: result.OutcomeNotKnown, Detail: "the entry host stopped while the booking ran",
		}}
	}
	return record{content: e.content, result: e.result}
}

// recall answers for a ticket of the stopped life. Its mac can't be checked
// here and need not be: a made-up ticket learns at most that nothing ran, and
// an answer goes only to who knows caller, route and body of the booking.
func (e *Records) recall(sequence uint64, content Digest) Result {
	found, used := e.records[sequence]
	switch {
	case sequence <= e.floor:
		return Result{Code: result.OutcomeNotKnown, Detail: "the ticket is too old; whether it ran is no longer known"}
	case !used:
		return Result{Code: result.TicketInvalid, Detail: "the entry host stopped before the ticket was used; take a new one"}
	case found.content != content:
		return Result{Code: result.TicketInvalid, Detail: "the ticket was used for another request"}
	default:
		return found.result
	}
}

package booking

import (
	"container/heap"
	"crypto/sha256"
	"slices"

	"github.com/goldcrestspan/goldcrestspan/ident"
	"github.com/goldcrestspan/goldcrestspan/result"
)

// maxSendings bounds the sendings of one ticket that are remembered: those
// that wait together, and those that were told "not run".
const maxSendings = 16

// Result is how a booking ended, as its caller is told.
type Result struct {
	Code   result.Code
	Detail string
	Answer []byte // set in the groups complete and partial
}

// digest identifies the content of a booking.
type Digest [sha256.Size]byte

// phase is where the one run of a ticket stands.
type phase uint8

const (
	// phaseIdle: every run so far ended as surely not run.
	phaseIdle phase = iota
	// phaseRunning: a run has begun and has not ended.
	phaseRunning
	// phaseFinished: it ran, or may have run. Final.
	phaseFinished
)

// entry is what is remembered of one ticket that was used.
type entry struct {
	phase   phase
	content Digest
	// waiting are the sendings that the current run will answer.
	waiting []ident.RequestID
	// told are the sendings that were answered "not run".
	told   []ident.RequestID
	result Result // of the last run that ended
	bytes  int
}

// action is what begin asks the shell to do.
type action uint8

const (
	actionRefuse action = iota // answer with the step's result; nothing runs
	actionRun                  // run it and call finish
	actionWait                 // answer with the result of the run that is on
	actionRecord               // answer with the recorded result
)

type step struct {
	action action
	result Result
}

// ledger is the memory of one life of a host about the tickets that it issued.
// It is pure: no goroutine, clock or lock. Issuing takes no memory; only used
// tickets do.
type ledger struct {
	issued   uint64 // the highest sequence number issued
	floor    uint64 // tickets at or below it are forgotten and never run
	entries  map[uint64]*entry
	order    sequences // of entries, lowest first
	bytes    int       // of the recorded answers
	stopping bool

	maxEntries int
	maxBytes   int
}

func newLedger(maxEntries, maxBytes int) *ledger {
	return &ledger{entries: make(map[uint64]*entry), maxEntries: maxEntries, maxBytes: maxBytes}
}

// issue returns the next sequence number.
func (l *ledger) issue() uint64 {
	l.issued++
	return l.issued
}

// begin decides what becomes of one sending of a ticket whose mac is valid.
func (l *ledger) begin(sequence uint64, sending ident.RequestID, content Digest) step {
	if sequence <= l.floor {
		// Forgotten: it may have run, so it must not run, and "not run" must
		// not be said either. The floor is compared before the entries are
		// looked at: a missing entry alone can't tell "never used" from
		// "used and forgotten", and would let a late duplicate run twice.
		return refuse(result.OutcomeNotKnown, "the ticket is too old; whether it ran is no longer known")
	}
	e := l.entries[sequence]
	if e == nil {
		return l.first(sequence, sending, content)
	}
	if e.content != content {
		return refuse(result.TicketInvalid, "the ticket was used for another request")
	}
	switch e.phase {
	case phaseFinished:
		return step{action: actionRecord, result: e.result}
	case phaseRunning:
		return e.join(sending)
	default:
		return l.again(e, sending)
	}
}

func refuse(code result.Code, detail string) step {
	return step{action: actionRefuse, result: Result{Code: code, Detail: detail}}
}

// first is the first sending of a ticket.
func (l *ledger) first(sequence uint64, sending ident.RequestID, content Digest) step {
	if l.stopping {
		// True for good: a ledger that is stopping starts nothing any more.
		return refuse(result.Draining, "the entry host that issued the ticket is stopping")
	}
	if !l.makeRoom(sequence) {
		// Not "not run": a copy of this sending may find room later.
		return refuse(result.OutcomeNotKnown, "too many bookings at once; ask again with the same ticket")
	}
	l.entries[sequence] = &entry{phase: phaseRunning, content: content, waiting: []ident.RequestID{sending}}
	heap.Push(&l.order, sequence)
	return step{action: actionRun}
}

// join lets a duplicate wait for the run that is on.
func (e *entry) join(sending ident.RequestID) step {
	if slices.Contains(e.waiting, sending) {
		return step{action: actionWait}
	}
	if len(e.waiting) >= maxSendings {
		return refuse(result.BookingInProgress, "the first sending is still running")
	}
	e.waiting = append(e.waiting, sending)
	return step{action: actionWait}
}

// again is a sending of a ticket whose runs all ended as surely not run.
func (l *ledger) again(e *entry, sending ident.RequestID) step {
	if slices.Contains(e.told, sending) {
		// A late copy of a sending that was told "not run" must not make that
		// untrue.
		return step{action: actionRecord, result: e.result}
	}
	if l.stopping {
		return refuse(result.Draining, "the entry host that issued the ticket is stopping")
	}
	if len(e.told) >= maxSendings {
		return refuse(result.TicketInvalid, "the ticket was tried too often; take a new one")
	}
	e.phase = phaseRunning
	e.waiting = []ident.RequestID{sending}
	return step{action: actionRun}
}

// finish records how the run ended. Only a code of the group "not run" lets
// the ticket be tried again; everything else is final, unknown above all.
func (l *ledger) finish(sequence uint64, outcome Result) {
	e := l.entries[sequence]
	if e == nil || e.phase != phaseRunning {
		return
	}
	e.result = outcome
	if outcome.Code.NotRun() {
		e.phase = phaseIdle
		e.told = append(e.told, e.waiting...)
		e.waiting = nil
		return
	}
	e.phase = phaseFinished
	e.waiting, e.told = nil, nil
	e.bytes = len(outcome.Answer) + len(outcome.Detail)
	l.bytes += e.bytes
	l.forget(func() bool { return l.bytes > l.maxBytes })
}

// makeRoom forgets old entries until there is room for another, and reports
// whether there is and the sequence is still above the floor.
func (l *ledger) makeRoom(sequence uint64) bool {
	l.forget(func() bool { return len(l.entries) >= l.maxEntries && l.order[0] < sequence })
	return len(l.entries) < l.maxEntries
}

// forget drops the lowest entries while there are too many, and raises the
// floor over each. The floor alone keeps a forgotten ticket from running again;
// a run that has not ended is kept all the same, since its outcome would have
// nowhere to go and its caller would hear "unknown" of a booking that went well.
func (l *ledger) forget(tooMany func() bool) {
	for len(l.order) > 0 && tooMany() {
		lowest := l.order[0]
		e := l.entries[lowest]
		if e.phase == phaseRunning {
			return
		}
		heap.Pop(&l.order)
		delete(l.entries, lowest)
		l.bytes -= e.bytes
		l.floor = lowest
	}
}

// sequences is a min-heap.
type sequences []uint64

// Len implements heap.Interface.
func (s sequences) Len() int { return len(s) }

// Less implements heap.Interface.
func (s sequences) Less(i, j int) bool { return s[i] < s[j] }

// Swap implements heap.Interface.
func (s sequences) Swap(i, j int) { s[i], s[j] = s[j], s[i] }

// Push implements heap.Interface.
func (s *sequences) Push(x any) { *s = append(*s, x.(uint64)) }

// Pop implements heap.Interface.
func (s *sequences) Pop() any {
	old := *s
	last := old[len(old)-1]
	*s = old[:len(old)-1]
	return last
}

package booking

import (
	"container/heap"
	"crypto/sha256"
	"slices"

	"github.com/goldcrestspan/goldcrestspan/ident"
	"github.com/goldcrestspan/goldcrestspan/result"
)

// maxRequestsPerTicket bounds the requests remembered for one ticket: those
// that wait for its run, and those that were answered "not run".
const maxRequestsPerTicket = 16

// Result is the outcome of a booking for its caller.
type Result struct {
	Code   result.Code
	Detail string
	Answer []byte // set in the groups complete and partial
}

// Digest identifies the content of a booking.
type Digest [sha256.Size]byte

// phase is the state of a ticket's entry.
type phase uint8

const (
	// phaseIdle: no run is in progress, and all earlier ones ended "not run".
	phaseIdle phase = iota
	// phaseRunning: a run is in progress.
	phaseRunning
	// phaseFinished is final: the booking ran, or may have run.
	phaseFinished
)

// entry is the record of a used ticket.
type entry struct {
	phase   phase
	content Digest
	// waiting lists the requests that wait for the current run.
	waiting []ident.RequestID
	// answeredNotRun lists the requests that were answered "not run".
	answeredNotRun []ident.RequestID
	result         Result // of the last run that ended
	bytes          int
}

// action is what the caller of begin must do.
type action uint8

const (
	actionRefuse action = iota // answer with the result; nothing runs
	actionRun                  // run the booking and call finish
	actionWait                 // wait for the run in progress
	actionReplay               // answer with the recorded result
)

type decision struct {
	action action
	result Result
}

// ticketTable records the used tickets of one incarnation of a host and decides
// which requests run. It has no goroutines, clock or lock, so that the model
// checker in the tests runs this code.
type ticketTable struct {
	issued   uint64 // highest sequence number issued
	floor    uint64 // tickets up to it don't run: their entries may be evicted
	entries  map[uint64]*entry
	order    sequences // of entries
	bytes    int       // of the recorded results
	stopping bool

	maxEntries int
	maxBytes   int
}

func newTicketTable(maxEntries, maxBytes int) *ticketTable {
	return &ticketTable{entries: make(map[uint64]*entry), maxEntries: maxEntries, maxBytes: maxBytes}
}

// issue returns the next sequence number.
func (t *ticketTable) issue() uint64 {
	t.issued++
	return t.issued
}

// begin decides what to do with a request whose ticket has a valid MAC.
func (t *ticketTable) begin(sequence uint64, requestID ident.RequestID, content Digest) decision {
	if sequence <= t.floor {
		// The ticket may have been used and evicted, so it must neither run
		// nor be answered "not run". A missing entry alone would not tell an
		// evicted ticket from an unused one.
		return refuse(result.OutcomeNotKnown, "the ticket is too old; whether it ran is no longer known")
	}
	e := t.entries[sequence]
	if e == nil {
		return t.beginFirst(sequence, requestID, content)
	}
	if e.content != content {
		return refuse(result.TicketInvalid, "the ticket was used for another request")
	}
	switch e.phase {
	case phaseFinished:
		return decision{action: actionReplay, result: e.result}
	case phaseRunning:
		return e.join(requestID)
	default:
		return t.beginAgain(e, requestID)
	}
}

func refuse(code result.Code, detail string) decision {
	return decision{action: actionRefuse, result: Result{Code: code, Detail: detail}}
}

// beginFirst handles the first request of a ticket.
func (t *ticketTable) beginFirst(sequence uint64, requestID ident.RequestID, content Digest) decision {
	if t.stopping {
		// "Not run" stays true, since no run starts any more.
		return refuse(result.Draining, "the entry host that issued the ticket is stopping")
	}
	if !t.makeRoom(sequence) {
		// Not "not run": a duplicate of this request may find room later.
		return refuse(result.OutcomeNotKnown, "too many bookings at once; ask again with the same ticket")
	}
	t.entries[sequence] = &entry{phase: phaseRunning, content: content, waiting: []ident.RequestID{requestID}}
	heap.Push(&t.order, sequence)
	return decision{action: actionRun}
}

// join makes a request wait for the run in progress.
func (e *entry) join(requestID ident.RequestID) decision {
	if slices.Contains(e.waiting, requestID) {
		return decision{action: actionWait}
	}
	if len(e.waiting) >= maxRequestsPerTicket {
		return refuse(result.BookingInProgress, "the first sending is still running")
	}
	e.waiting = append(e.waiting, requestID)
	return decision{action: actionWait}
}

// beginAgain handles a request of a ticket whose earlier runs all ended "not
// run".
func (t *ticketTable) beginAgain(e *entry, requestID ident.RequestID) decision {
	if slices.Contains(e.answeredNotRun, requestID) {
		// A late duplicate of a request that was answered "not run" must not
		// run.
		return decision{action: actionReplay, result: e.result}
	}
	if t.stopping {
		return refuse(result.Draining, "the entry host that issued the ticket is stopping")
	}
	if len(e.answeredNotRun) >= maxRequestsPerTicket {
		return refuse(result.TicketInvalid, "the ticket was tried too often; take a new one")
	}
	e.phase = phaseRunning
	e.waiting = []ident.RequestID{requestID}
	return decision{action: actionRun}
}

// finish records the outcome of a run. Only after a code of the group "not run"
// may the ticket run again; an unknown outcome is final too.
func (t *ticketTable) finish(sequence uint64, outcome Result) {
	e := t.entries[sequence]
	if e == nil || e.phase != phaseRunning {
		return
	}
	e.result = outcome
	if outcome.Code.NotRun() {
		e.phase = phaseIdle
		e.answeredNotRun = append(e.answeredNotRun, e.waiting...)
		e.waiting = nil
		return
	}
	e.phase = phaseFinished
	e.waiting, e.answeredNotRun = nil, nil
	e.bytes = len(outcome.Answer) + len(outcome.Detail)
	t.bytes += e.bytes
	t.evict(func() bool { return t.bytes > t.maxBytes })
}

// makeRoom evicts entries older than the sequence until there is room for
// another, and reports whether there is.
func (t *ticketTable) makeRoom(sequence uint64) bool {
	t.evict(func() bool { return len(t.entries) >= t.maxEntries && t.order[0] < sequence })
	return len(t.entries) < t.maxEntries
}

// evict drops the lowest entries while tooMany returns true, and raises the
// floor to each. It stops at a run in progress, whose outcome would be lost.
func (t *ticketTable) evict(tooMany func() bool) {
	for len(t.order) > 0 && tooMany() {
		lowest := t.order[0]
		e := t.entries[lowest]
		if e.phase == phaseRunning {
			return
		}
		heap.Pop(&t.order)
		delete(t.entries, lowest)
		t.bytes -= e.bytes
		t.floor = lowest
	}
}

// sequences is a min-heap of sequence numbers.
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

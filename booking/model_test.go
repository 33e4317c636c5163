package booking

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/goldcrestspan/goldcrestspan/ident"
	"github.com/goldcrestspan/goldcrestspan/result"
)

// The model checker explores every interleaving of two requests for one booking,
// over the production ticket table and claim decisions. It has no clock: a host
// may pause for any time, and every wait may end at any moment.
const (
	modelHosts    = 3
	modelRequests = 2
)

// rule names a rule that a broken model leaves out.
type rule string

const (
	ruleNone                rule = ""
	ruleFloor               rule = "tickets up to the floor are refused before the lookup"
	ruleEvictionRaisesFloor rule = "eviction raises the floor"
	ruleIncarnation         rule = "another incarnation of the issuer does not run the ticket"
	ruleUnknownFinal        rule = "an unknown outcome is final"
	ruleNotRunFinal         rule = "a request that was answered 'not run' never runs"
	ruleRecordBeforeRun     rule = "a run is recorded before it starts"
	ruleReadClaim           rule = "an ambiguous claim is read"
	ruleNotFound            rule = "not finding an ambiguous claim does not allow a run"
	ruleForwardLost         rule = "a failed forward is not 'not run'"
	ruleResent              rule = "a resent key with the store down is not 'not run'"
	ruleTableFull           rule = "a full table does not answer 'not run'"
	ruleHandOver            rule = "only a stopped host hands its records over"
	ruleStopping            rule = "a stopping host starts no run"
)

// modelOptions bound one exploration.
type modelOptions struct {
	keys          bool // idempotency keys in place of a ticket of host 0
	resend        bool // the second request follows the answer to the first
	crashes       uint8
	duplicates    uint8 // of messages between hosts
	ambiguous     uint8 // writes to the store without a reply
	stale         uint8 // reads that don't see the claim
	otherBookings uint8 // other bookings on host 0, which cause evictions
	stop          bool  // host 0 may begin a planned stop
	busy          bool  // host 0 runs another booking with an older ticket
	entries       int   // capacity of each ticket table
	bytes         int   // capacity for answers of each table; an answer has one byte
	broken        rule
}

type modelTicket struct {
	host, incarnation uint8
	sequence          uint64
}

type requestPhase uint8

const (
	requestNew requestPhase = iota
	requestClaim
	requestReadClaim
	requestTicket
	requestWaitLocal
	requestWaitForward
	requestAnswered
)

// modelRequest is a request and the state of its handler.
type modelRequest struct {
	phase         requestPhase
	host          uint8
	tries         uint8
	ticket        modelTicket
	code          result.Code
	ownExecutions uint8 // executions caused by this request
}

type modelRun struct {
	sequence uint64
	request  uint8
	executed bool
}

type modelHost struct {
	incarnation uint8
	ticketTable *ticketTable
	runs        []modelRun
}

type modelMessage struct {
	reply   bool
	request uint8
	ticket  modelTicket
	code    result.Code
}

type modelState struct {
	hosts    [modelHosts]modelHost
	requests [modelRequests]modelRequest
	messages []modelMessage
	// abandoned lists the requests whose run was abandoned, but may still execute
	// on a backend server.
	abandoned     []uint8
	claim         modelTicket // incarnation 0: the key is not claimed
	delayedClaims []modelTicket
	executions    uint8
	crashes       uint8
	duplicates    uint8
	ambiguous     uint8
	stale         uint8
	otherBookings uint8
	busy          bool
	// records were handed over by the first incarnation of host 0.
	records   *Records
	violation string
}

func newModelState(o modelOptions) *modelState {
	s := &modelState{
		crashes: o.crashes, duplicates: o.duplicates,
		ambiguous: o.ambiguous, stale: o.stale, otherBookings: o.otherBookings,
	}
	for i := range s.hosts {
		s.hosts[i] = modelHost{incarnation: 1, ticketTable: newTicketTable(o.entries, o.bytes)}
	}
	if o.busy {
		table := s.hosts[0].ticketTable
		table.begin(table.issue(), ident.RequestID{0xff}, Digest{0xff})
		s.busy = true
	}
	if !o.keys {
		ticket := modelTicket{host: 0, incarnation: 1, sequence: s.hosts[0].ticketTable.issue()}
		for i := range s.requests {
			s.requests[i].ticket = ticket
		}
	}
	return s
}

func (s *modelState) clone() *modelState {
	c := *s
	for i := range c.hosts {
		c.hosts[i].ticketTable = cloneTicketTable(s.hosts[i].ticketTable)
		c.hosts[i].runs = slices.Clone(s.hosts[i].runs)
	}
	c.messages = slices.Clone(s.messages)
	c.abandoned = slices.Clone(s.abandoned)
	c.delayedClaims = slices.Clone(s.delayedClaims)
	return &c
}

func cloneTicketTable(table *ticketTable) *ticketTable {
	c := *table
	c.entries = make(map[uint64]*entry, len(table.entries))
	for sequence, e := range table.entries {
		copied := *e
		copied.waiting = slices.Clone(e.waiting)
		copied.answeredNotRun = slices.Clone(e.answeredNotRun)
		c.entries[sequence] = &copied
	}
	c.order = slices.Clone(table.order)
	return &c
}

func modelRequestID(i uint8) ident.RequestID { return ident.RequestID{i + 1} }

// key encodes the state; states with the same key are visited once.
func (s *modelState) key() string {
	b := make([]byte, 0, 256)
	for i := range s.hosts {
		b = s.hosts[i].appendKey(b)
	}
	for _, r := range s.requests {
		b = append(b, byte(r.phase), r.host, r.tries, r.ownExecutions)
		b = appendTicket(b, r.ticket)
		b = binary.AppendUvarint(b, uint64(r.code))
	}
	messages := slices.Clone(s.messages)
	slices.SortFunc(messages, compareMessages)
	b = append(b, byte(len(messages)))
	for _, message := range messages {
		b = append(b, boolByte(message.reply), message.request)
		b = appendTicket(b, message.ticket)
		b = binary.AppendUvarint(b, uint64(message.code))
	}
	b = append(b, boolByte(s.busy))
	b = appendRecords(b, s.records)
	b = append(b, byte(len(s.abandoned)))
	b = append(b, s.abandoned...)
	b = appendTicket(b, s.claim)
	b = append(b, byte(len(s.delayedClaims)))
	for _, t := range s.delayedClaims {
		b = appendTicket(b, t)
	}
	return string(append(b, s.executions, s.crashes, s.duplicates, s.ambiguous, s.stale, s.otherBookings))
}

func appendRecords(b []byte, r *Records) []byte {
	if r == nil {
		return append(b, 0)
	}
	b = append(b, 1, byte(r.issued), byte(r.floor))
	for sequence := range r.issued + 1 {
		if found, ok := r.records[sequence]; ok {
			b = append(b, byte(sequence))
			b = binary.AppendUvarint(b, uint64(found.result.Code))
		}
	}
	return b
}

func compareMessages(a, b modelMessage) int {
	return cmp.Or(
		cmp.Compare(boolByte(a.reply), boolByte(b.reply)),
		cmp.Compare(a.request, b.request),
		cmp.Compare(a.code, b.code),
		cmp.Compare(a.ticket.host, b.ticket.host),
		cmp.Compare(a.ticket.incarnation, b.ticket.incarnation),
		cmp.Compare(a.ticket.sequence, b.ticket.sequence),
	)
}

func appendTicket(b []byte, t modelTicket) []byte {
	return append(b, t.host, t.incarnation, byte(t.sequence))
}

func (h *modelHost) appendKey(b []byte) []byte {
	table := h.ticketTable
	b = append(b, h.incarnation, byte(table.issued), byte(table.floor), boolByte(table.stopping), byte(len(table.entries)), byte(len(h.runs)))
	order := slices.Clone(table.order)
	slices.Sort(order)
	for _, sequence := range order {
		e := table.entries[sequence]
		if e == nil {
			continue
		}
		b = append(b, byte(sequence), byte(e.phase), e.content[0], byte(len(e.waiting)), byte(len(e.answeredNotRun)))
		for _, id := range append(slices.Clone(e.waiting), e.answeredNotRun...) {
			b = append(b, id[0])
		}
		b = binary.AppendUvarint(b, uint64(e.result.Code))
	}
	for _, r := range h.runs {
		b = append(b, byte(r.sequence), r.request, boolByte(r.executed))
	}
	return b
}

func boolByte(v bool) byte {
	if v {
		return 1
	}
	return 0
}

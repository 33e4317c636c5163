package exchange

import (
	"maps"
	"slices"
	"time"

	"github.com/goldcrestspan/goldcrestspan/backend"
	"github.com/goldcrestspan/goldcrestspan/exchange/exchangepb"
	"github.com/goldcrestspan/goldcrestspan/forward"
	"github.com/goldcrestspan/goldcrestspan/leg"
	"github.com/goldcrestspan/goldcrestspan/result"
)

// Messages of legs at a given backend server. They omit what the sender knows of its own leg,
// since traffic between zones is billed.

func encodeDirect(id uint64, head uint32, r leg.Request, now time.Time) *exchangepb.LegRequest {
	return &exchangepb.LegRequest{
		Leg:          id,
		Head:         head,
		Server:       r.DirectServer,
		DeadlineInNs: int64(r.Deadline.Sub(now)),
		MostRecords:  uint32(r.MaxRecords),
		Rest:         r.FullAnswer,
		// 0, and not encoded, where servers have no incarnation
		ServerIncarnation: r.DirectIncarnation,
		Body:              r.Body,
	}
}

func decodeDirect(m *exchangepb.LegRequest, head *forward.Request, now time.Time) leg.Request {
	return leg.Request{
		DirectServer:      m.GetServer(),
		Deadline:          now.Add(time.Duration(m.GetDeadlineInNs())),
		Idempotent:        true,
		MaxRecords:        int(m.GetMostRecords()),
		FullAnswer:        m.GetRest(),
		DirectIncarnation: m.GetServerIncarnation(),
		Body:              m.GetBody(),
		Forward:           head,
	}
}

func encodeAttempt(id uint64, r leg.Result) *exchangepb.LegReply {
	a := r.Attempt
	end := &exchangepb.AttemptEnd{
		Outcome:      uint32(a.Outcome),
		Fault:        uint32(a.Fault),
		Cut:          r.Truncated,
		Running:      uint32(a.Reply.Load.Running),
		Queued:       uint32(a.Reply.Load.Queued),
		Slots:        uint32(a.Reply.Load.Slots),
		RetryAfterNs: int64(a.RetryAfter),
	}
	if a.Reply.Forwarded != nil {
		end.Signature = a.Reply.Forwarded.Signature
	}
	return &exchangepb.LegReply{Leg: id, Body: r.Body, Attempt: end}
}

// decodeAttempt builds the result of a leg whose request the sender still has.
func decodeAttempt(m *exchangepb.LegReply, request leg.Request) leg.Result {
	end := m.GetAttempt()
	a := &backend.CallResult{
		Outcome:    result.Outcome(end.GetOutcome()),
		Fault:      backend.Fault(end.GetFault()),
		RetryAfter: time.Duration(end.GetRetryAfterNs()),
	}
	a.Reply.Body = m.GetBody()
	a.Reply.Snapshot = request.Snapshot
	a.Reply.Load = backend.Load{Running: int(end.GetRunning()), Queued: int(end.GetQueued()), Slots: int(end.GetSlots())}
	a.Reply.Forwarded = &forward.Reply{Body: m.GetBody(), Signature: end.GetSignature()}
	r := leg.Failed(request, 0, a.Outcome, "")
	r.Body, r.Attempt, r.Truncated = m.GetBody(), a, end.GetCut()
	return r
}

func encodeHead(id uint32, r leg.Request, now time.Time) *exchangepb.Head {
	f := r.Forward
	head := &exchangepb.Head{Id: id, Method: f.Method, Target: f.Target, Host: f.Host, Attempt: f.AttemptID, Regions: f.Regions}
	for _, name := range slices.Sorted(maps.Keys(f.Header)) {
		head.Headers = append(head.Headers, &exchangepb.Header{Name: name, Values: f.Header[name]})
	}
	if f.Customer != "" {
		head.Customer, head.Credential = f.Customer, f.Credential[:]
	}
	if r.DirectServer == "" {
		head.Share = encodeShare(r, now)
	}
	return head
}

func decodeHead(m *exchangepb.Head) *forward.Request {
	f := &forward.Request{
		Method: m.GetMethod(), Target: m.GetTarget(), Host: m.GetHost(), AttemptID: m.GetAttempt(), Regions: m.GetRegions(),
		Header:   make(map[string][]string, len(m.GetHeaders())),
		Customer: m.GetCustomer(),
	}
	copy(f.Credential[:], m.GetCredential())
	for _, h := range m.GetHeaders() {
		f.Header[h.GetName()] = h.GetValues()
	}
	return f
}

// heads are the forwarded requests that a link's open legs share, so that each is sent once.
type heads struct {
	lastID uint32
	open   map[*forward.Request]*sharedHead
}

type sharedHead struct {
	id   uint32
	legs int
}

// acquire adds a leg to the request's head; first reports that the head must be sent.
func (h *heads) acquire(f *forward.Request) (id uint32, first bool) {
	open := h.open[f]
	if open == nil {
		h.lastID++
		open = &sharedHead{id: h.lastID}
		h.open[f] = open
		first = true
	}
	open.legs++
	return open.id, first
}

// release removes a leg from the request's head; last reports that the head is unused.
func (h *heads) release(f *forward.Request) (id uint32, last bool) {
	open := h.open[f]
	if open == nil {
		return 0, false
	}
	open.legs--
	if open.legs > 0 {
		return open.id, false
	}
	delete(h.open, f)
	return open.id, true
}

package booking

import (
	"context"

	"github.com/goldcrestspan/goldcrestspan/ident"
)

// maxHandedOver is for how many stopped incarnations a host keeps records.
const maxHandedOver = 8

// HostIncarnation identifies one incarnation of a host.
type HostIncarnation struct {
	Host        ident.HostID
	Incarnation ident.Incarnation
}

// HandOver sends the records to the successors and returns how many accepted
// them. It must be called after Stop. Tickets whose records nobody has are
// answered with IssuerGone.
func (e *Executor) HandOver(ctx context.Context) int {
	e.mu.Lock()
	records, stopped := e.ticketTable.handOver(maxHandOverBytes)
	e.mu.Unlock()
	if !stopped {
		return 0
	}
	accepted := 0
	self := HostIncarnation{Host: e.config.Host, Incarnation: e.config.Incarnation}
	for _, address := range e.config.Peers.Successors(self.Host, self.Incarnation) {
		if e.config.Peers.HandOver(ctx, address, self, records) == nil {
			accepted++
		}
	}
	return accepted
}

// acceptRecords keeps the records of a stopped incarnation.
func (e *Executor) acceptRecords(from HostIncarnation, records Records) {
	if from.Host == e.config.Host && from.Incarnation == e.config.Incarnation {
		return // not stopped; its own table is authoritative
	}
	e.handedOver.Add(from, records)
}

// recallLocally looks a ticket up in the records that this host holds.
func (e *Executor) recallLocally(from HostIncarnation, sequence uint64, content Digest) (Result, bool) {
	records, ok := e.handedOver.Get(from)
	if !ok {
		return Result{}, false
	}
	return records.recall(sequence, content), true
}

// recall looks a ticket up in the records of its stopped issuer, on this host
// and then on the successors. It returns false if no reachable host has them.
func (e *Executor) recall(ctx context.Context, t ticket, r Request) (Result, bool) {
	from := HostIncarnation{Host: t.host, Incarnation: t.incarnation}
	content := contentDigest(r.Caller, r.Route, r.Body)
	if outcome, ok := e.recallLocally(from, t.sequence, content); ok {
		return outcome, true
	}
	for _, address := range e.config.Peers.Successors(t.host, t.incarnation) {
		outcome, ok, err := e.config.Peers.Recall(ctx, address, from, t.sequence, content)
		if err == nil && ok {
			return outcome, true
		}
	}
	return Result{}, false
}

package booking

import (
	"context"

	"github.com/goldcrestspan/goldcrestspan/ident"
)

// stoppedLivesKept bounds the stopped lives that a host answers for.
const stoppedLivesKept = 8

// Life is one life of a host.
type Life struct {
	Host        ident.HostID
	Incarnation ident.Incarnation
}

// HandOver gives the records of a stopped desk to the successors, and returns
// how many took them. Call it after Stop and before the process ends. What is
// not handed over is answered with "issuer gone".
func (d *Executor) HandOver(ctx context.Context) int {
	d.mu.Lock()
	records, stopped := d.ledger.handOver(maxHandOverBytes)
	d.mu.Unlock()
	if !stopped {
		return 0
	}
	taken := 0
	own := Life{Host: d.config.Host, Incarnation: d.config.Incarnation}
	for _, address := range d.config.Peers.Successors(own.Host, own.Incarnation) {
		if d.config.Peers.HandOver(ctx, address, own, records) == nil {
			taken++
		}
	}
	return taken
}

// takeOver keeps the records of a stopped life.
func (d *Executor) takeOver(from Life, records Records) {
	if from.Host == d.config.Host && from.Incarnation == d.config.Incarnation {
		return // not stopped: this life's own ledger is the only word on it
	}
	d.stopped.Add(from, records)
}

// recallHere answers from the records that were handed over to this host.
func (d *Executor) recallHere(from Life, sequence uint64, content Digest) (Result, bool) {
	records, ok := d.stopped.Get(from)
	if !ok {
		return Result{}, false
	}
	return records.recall(sequence, content), true
}

// recall asks those who may hold the records of the ticket's issuer, this host
// first; false if nobody reachable does.
func (d *Executor) recall(ctx context.Context, t ticket, r Request) (Result, bool) {
	from := Life{Host: t.host, Incarnation: t.incarnation}
	content := contentOf(r.Caller, r.Route, r.Body)
	if outcome, ok := d.recallHere(from, t.sequence, content); ok {
		return outcome, true
	}
	for _, address := range d.config.Peers.Successors(t.host, t.incarnation) {
		outcome, ok, err := d.config.Peers.Recall(ctx, address, from, t.sequence, content)
		if err == nil && ok {
			return outcome, true
		}
	}
	return Result{}, false
}

package quarantine

import (
	"slices"
	"time"
)

const (
	// leastLost is how many services a query must have lost for the loss of
	// all its legs to be evidence by itself.
	leastLost = 3
	// confirmFor is the time in which other requests must be answered by the
	// same services. Servers that lost their power all together take longer
	// than that to come back.
	confirmFor = time.Second
	// maxLost bounds the queries that wait for their confirmation.
	maxLost = 64
)

// lostQuery is a query of which every leg was lost with its server.
type lostQuery struct {
	fingerprint Fingerprint
	at          time.Time
	services    []string
	lost        int // services at first
}

// RecordLostQuery is told, at the entry host of a query, that every leg of it was
// lost with its server.
//
// Load: a request that crashes one server of each service at once, 20 to 92
// of them. Harm prevented: waiting for a second event would cost the other
// server of every service, and with them the product. Reason for the limits:
// an innocent query beside it loses the legs that share a server with it, not
// all of them; connections that go silent lose legs too, so this host must
// have seen one of the deaths itself, as home of one of the services; a loss
// of power takes the other servers too, so within a second half of these
// services must answer requests that started after it.
func (b *Registry) RecordLostQuery(now time.Time, f Fingerprint, services []string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(services) < leastLost || b.verdicts.Contains(f) {
		return
	}
	b.lost = slices.DeleteFunc(b.lost, func(q *lostQuery) bool { return now.Sub(q.at) > confirmFor })
	if len(b.lost) >= maxLost {
		return
	}
	b.lost = append(b.lost, &lostQuery{fingerprint: f, at: now, services: slices.Clone(services), lost: len(services)})
}

// RecordLegSuccess is told, at the entry host of a query, of each answered leg, and
// when the query started: an answer from before the loss says nothing. It
// returns the fingerprint that is condemned by it.
func (b *Registry) RecordLegSuccess(now, started time.Time, f Fingerprint, service string) (Fingerprint, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for i, q := range b.lost {
		if q.fingerprint == f || started.Before(q.at) || now.Sub(q.at) > confirmFor {
			continue
		}
		q.services = slices.DeleteFunc(q.services, func(s string) bool { return s == service })
		if 2*len(q.services) > q.lost || b.suspects[q.fingerprint] == 0 {
			continue
		}
		b.lost = slices.Delete(b.lost, i, i+1)
		b.recordLost(now, q)
		return q.fingerprint, true
	}
	return 0, false
}

func (b *Registry) recordLost(now time.Time, q *lostQuery) {
	news := Evidence{Fingerprint: q.fingerprint, Server: lostQueryServer, Incarnation: uint64(q.at.UnixNano()), InFlight: 1}
	b.absorbed.Add(news, struct{}{})
	until := now.Add(time.Duration(b.cfg.Policy.QuarantineDuration))
	b.verdicts.Add(q.fingerprint, verdict{since: now, until: until, evidence: []Evidence{news}})
}

// lostQueryServer stands in the news for the servers of all the query's legs.
const lostQueryServer = "every leg"

package quarantine

import (
	"slices"
	"time"
)

const (
	// minLostServices is how many services a query must have lost for the loss
	// of all its legs to be evidence by itself.
	minLostServices = 3
	// confirmWindow is the time within which the same services must answer
	// other requests. Servers that lost power take longer to come back.
	confirmWindow = time.Second
	// maxLostQueries bounds the queries that wait for confirmation.
	maxLostQueries = 64
)

// lostQuery is a query of which every leg was lost with its server.
type lostQuery struct {
	fingerprint Fingerprint
	at          time.Time
	unconfirmed []string // services that have not answered another request since
	lost        int      // number of services that were lost
}

// RecordLostQuery is called at the entry host of a query when every leg was lost
// with its server. If the request crashed one server of each of its services,
// waiting for a second event would cost the others too. RecordLegSuccess decides
// whether the loss is evidence. An innocent query beside it loses the legs that share a
// server with it, not all of them.
func (r *Registry) RecordLostQuery(now time.Time, f Fingerprint, services []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(services) < minLostServices || r.verdicts.Contains(f) {
		return
	}
	r.lostQueries = slices.DeleteFunc(r.lostQueries, func(q *lostQuery) bool { return now.Sub(q.at) > confirmWindow })
	if len(r.lostQueries) >= maxLostQueries {
		return
	}
	r.lostQueries = append(r.lostQueries, &lostQuery{fingerprint: f, at: now, unconfirmed: slices.Clone(services), lost: len(services)})
}

// RecordLegSuccess is called at the entry host of a query for each answered leg. It
// returns the fingerprint of the lost query that is quarantined now, if any: half
// of its services have answered queries that started after the loss, which rules
// out a power loss, and this host has recorded a crash with it as a suspect.
func (r *Registry) RecordLegSuccess(now, started time.Time, f Fingerprint, service string) (Fingerprint, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i, q := range r.lostQueries {
		if q.fingerprint == f || started.Before(q.at) || now.Sub(q.at) > confirmWindow {
			continue
		}
		q.unconfirmed = slices.DeleteFunc(q.unconfirmed, func(s string) bool { return s == service })
		if 2*len(q.unconfirmed) > q.lost || r.suspects[q.fingerprint] == 0 {
			continue
		}
		r.lostQueries = slices.Delete(r.lostQueries, i, i+1)
		r.addLostQueryVerdict(now, q)
		return q.fingerprint, true
	}
	return 0, false
}

func (r *Registry) addLostQueryVerdict(now time.Time, q *lostQuery) {
	e := Evidence{Fingerprint: q.fingerprint, Server: lostQueryServer, Incarnation: uint64(q.at.UnixNano()), InFlight: 1}
	r.addVerdict(now, q.fingerprint, []Evidence{e})
}

// lostQueryServer stands in the evidence for the servers of all the query's legs.
const lostQueryServer = "every leg"

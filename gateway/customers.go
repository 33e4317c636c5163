package gateway

import (
	"errors"
	"time"

	"go.uber.org/zap"

	"github.com/goldcrestspan/goldcrestspan/backend"
	"github.com/goldcrestspan/goldcrestspan/customer"
	"github.com/goldcrestspan/goldcrestspan/eligible"
	"github.com/goldcrestspan/goldcrestspan/forward"
	"github.com/goldcrestspan/goldcrestspan/freshness"
	"github.com/goldcrestspan/goldcrestspan/leg"
	"github.com/goldcrestspan/goldcrestspan/result"
	"github.com/goldcrestspan/goldcrestspan/route"
	"github.com/goldcrestspan/goldcrestspan/scatter"
)

// CustomerOptions configures the identification and the limits of customers. It has no effect
// while the configuration lists no customers.
type CustomerOptions struct {
	// Headers are the names of the headers that identify customers on the wire. While the
	// configuration lists customers, the headers that a caller sent are not passed on.
	Headers []string
	// StrictRevocation makes a host that may not have heard of a removed key refuse requests
	// that need one.
	StrictRevocation bool
	// RevocationTimeout is how soon a removed key must be out of use.
	RevocationTimeout time.Duration
	// ConfigTimeout is how soon a configuration must be in force.
	ConfigTimeout time.Duration
	// LimitWindow is the window in which requests are counted against a customer's limit.
	LimitWindow time.Duration
	// LimitOvershoot and LimitSlack are how far all hosts together may exceed a limit in a
	// window: a fraction of it, and requests.
	LimitOvershoot, LimitSlack float64
}

// identify finds the customer that sent the request; nil if the request needs none. It removes
// the headers that identify the customer to this host, so that they are not passed on.
func (g *Gateway) identify(c *configuration, r *route.Route, q *Query) (*customer.Customer, *Answer) {
	if c.customers == nil {
		return nil, nil
	}
	for _, name := range g.options.Customers.Headers {
		q.Forward.Header.Del(name)
	}
	who, credential, err := c.customers.Identify(q.Authorization)
	q.Authorization, q.credential = nil, credential
	known := err == nil && !g.keysOutdated()
	switch {
	case r.Public && known:
		q.Forward.Customer = who.Name // without its key, which the request does not depend on
		return who, nil
	case r.Public:
		return nil, nil
	case known:
		q.Forward.Customer, q.Forward.Credential = who.Name, credential
		return who, nil
	default:
		return nil, g.refuseKey(c, err)
	}
}

// refuseKey refuses a request on account of its key; no error means that the key is known, but
// may have been removed.
func (g *Gateway) refuseKey(c *configuration, err error) *Answer {
	problem := new(customer.Problem)
	switch {
	case !errors.As(err, &problem):
		g.customerMetrics.KeyRefused(eligible.KeysOutdated.String())
		return newRefusal(result.CutOff, keysOutdatedDetail, otherHostRetryAfter)
	case problem == customer.ErrUnknownKey && !g.configConfirmed(c):
		g.customerMetrics.KeyRefused("unconfirmed")
		return newRefusal(result.NotReady, "the key is unknown here, and this host's configuration may be out of date", otherHostRetryAfter)
	default:
		g.customerMetrics.KeyRefused(problem.Name)
		return newRefusal(result.Unauthorized, problem.Error(), 0)
	}
}

// countCustomer counts a finished request of a customer, if there is one.
func (g *Gateway) countCustomer(who *customer.Customer, answer *Answer) {
	if who != nil {
		g.customerMetrics.Request(g.options.Now(), who.Name, answer.Code)
	}
}

const (
	keysOutdatedDetail = "removed keys may not be known here: neither the store nor a peer is heard"
	keyRemovedDetail   = "the key was removed while the request waited"
)

// configConfirmed reports whether the store or a peer has confirmed the configuration recently
// enough for its keys to be complete.
func (g *Gateway) configConfirmed(c *configuration) bool {
	now := g.options.Now()
	return confirmedWithin(now, g.trackers.config.State(now), c.version(), g.configContact(), g.options.Customers.ConfigTimeout)
}

// keysOutdated reports whether keys must be refused because removals may not be known here.
func (g *Gateway) keysOutdated() bool {
	o, now := &g.options.Customers, g.options.Now()
	return o.StrictRevocation && !heardWithin(now, g.trackers.config.State(now), g.configContact(), o.RevocationTimeout)
}

// confirmedWithin reports whether no version above the given one is known, and the store or a peer was
// heard within the timeout. Each answer of a peer comes with the peer's version, which is recorded
// before the answer counts as contact.
func confirmedWithin(now time.Time, s freshness.State, version uint64, contact time.Time, timeout time.Duration) bool {
	return s.Newest <= version && now.Sub(contact) <= timeout
}

// heardWithin reports whether this host knew within the timeout that nothing newer than what it has in
// force existed.
func heardWithin(now time.Time, s freshness.State, contact time.Time, timeout time.Duration) bool {
	return now.Sub(s.HeardAt(contact)) <= timeout
}

// configContact is when the store last answered about the configuration, or a peer last answered
// this host; zero: never.
func (g *Gateway) configContact() time.Time {
	at := g.configs.LastContact()
	if peer := g.members.LastPeerContact(); peer.After(at) {
		return peer
	}
	return at
}

// configWatchLimit bounds watches of the configuration where only the store can confirm it: a
// watch without a change must end before the confirmation is too old. 0: no bound.
func (g *Gateway) configWatchLimit() time.Duration {
	c := g.inForce.Load()
	if c == nil || c.customers == nil || g.options.Now().Sub(g.members.LastPeerContact()) <= maxPeerSilence {
		return 0
	}
	o := &g.options.Customers
	limit := o.ConfigTimeout
	if o.StrictRevocation {
		limit = min(limit, o.RevocationTimeout)
	}
	return limit / 2
}

// checkKey decides whether a request may still be sent: its customer's key may have been removed
// since it was identified, here or at another host.
func (g *Gateway) checkKey(f *forward.Request) eligible.Reason {
	c := g.inForce.Load()
	if c == nil || c.customers == nil || f.Credential.IsZero() {
		return eligible.Allowed
	}
	switch {
	case c.customers.WasRemoved(f.Credential):
		return eligible.KeyRemoved
	case g.keysOutdated():
		return eligible.KeysOutdated
	default:
		return eligible.Allowed
	}
}

// withoutCallerHeaders removes the headers that identify customers from a request that arrived
// before the configuration listed customers, here or at another host.
func (g *Gateway) withoutCallerHeaders(call backend.Call) backend.Call {
	c := g.inForce.Load()
	if c == nil || c.customers == nil || call.Forward == nil {
		return call
	}
	for _, name := range g.options.Customers.Headers {
		if _, found := call.Forward.Header[name]; !found {
			continue
		}
		clean := *call.Forward
		clean.Header = clean.Header.Clone()
		for _, name := range g.options.Customers.Headers {
			clean.Header.Del(name)
		}
		call.Forward = &clean
		break
	}
	return call
}

// explainKeyRefusal sets the code of a request that has not run if its key was removed meanwhile
// or may have been.
func (g *Gateway) explainKeyRefusal(f *forward.Request, answer *scatter.Answer) {
	if !answer.Code.NotRun() {
		return
	}
	reason := g.checkKey(f)
	switch reason {
	case eligible.KeyRemoved:
		answer.Code, answer.Detail, answer.RetryAfter = result.Unauthorized, keyRemovedDetail, 0
	case eligible.KeysOutdated:
		answer.Code, answer.Detail, answer.RetryAfter = result.CutOff, keysOutdatedDetail, otherHostRetryAfter
	default:
		return
	}
	g.customerMetrics.KeyRefused(reason.String())
}

// explainPeerKeyRefusal does the same for a leg of another host's search. A host that may not
// have heard of removed keys lets the other host run the leg itself.
func (g *Gateway) explainPeerKeyRefusal(f *forward.Request, res leg.Result) leg.Result {
	if !res.Outcome.NotRun() {
		return res
	}
	switch g.checkKey(f) {
	case eligible.KeyRemoved:
		res.Code, res.Detail, res.RetryAfter = result.Unauthorized, keyRemovedDetail, 0
	case eligible.KeysOutdated:
		res.Code, res.Detail = result.NotReady, keysOutdatedDetail
	}
	return res
}

// logCustomer is the log field for a request's customer, if it has one.
func logCustomer(f *forward.Request) zap.Field {
	if f.Customer == "" {
		return zap.Skip()
	}
	return zap.String("customer", f.Customer)
}

// logKey is the log field for the key of a request, if it has one: the first digits of its hash.
func logKey(credential customer.Credential) zap.Field {
	if credential.IsZero() {
		return zap.Skip()
	}
	return zap.Stringer("key_hash", credential)
}

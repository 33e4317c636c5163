package gateway

import (
	"time"

	"github.com/goldcrestspan/goldcrestspan/customer"
	"github.com/goldcrestspan/goldcrestspan/route"
)

// CustomerOptions configures the identification and the limits of customers. It has no effect
// while the configuration lists no customers.
type CustomerOptions struct {
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

// identify finds the customer that sent the request; nil if the request needs none.
func (g *Gateway) identify(c *configuration, r *route.Route, q *Query) (*customer.Customer, *Answer) {
	return nil, nil
}

package observe

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/goldcrestspan/goldcrestspan/result"
)

const (
	// namedCustomers is how many customers have series of their own, and otherCustomers the
	// label value of all others.
	namedCustomers = 20
	otherCustomers = "other"
	// trackedCustomers bounds the customers that are counted to find the largest ones.
	trackedCustomers = 256
	// customerReview is the interval at which the named customers are chosen.
	customerReview = 30 * time.Second

	labelCustomer = "customer"
)

// CustomerMetrics counts requests by customer, and refusals on account of a key by reason. Only
// the largest customers have series of their own, so that the number of series is bounded.
type CustomerMetrics struct {
	requests *prometheus.CounterVec
	refusals *prometheus.CounterVec

	mu      sync.Mutex
	largest largestCustomers
}

// NewCustomerMetrics creates and registers the metrics.
func NewCustomerMetrics(registry *prometheus.Registry) (*CustomerMetrics, error) {
	m := &CustomerMetrics{
		requests: counter("customer_requests_total", "Requests by customer and result code; the largest customers by name, the rest as other.", labelCustomer, "code"),
		refusals: counter("customer_key_refusals_total", "Requests refused on account of their key, by reason.", "reason"),
		largest:  newLargestCustomers(),
	}
	for _, c := range []prometheus.Collector{m.requests, m.refusals} {
		if err := registry.Register(c); err != nil {
			return nil, errors.Wrap(err, "register the metrics of customers")
		}
	}
	return m, nil
}

// Request records a finished request of a customer.
func (m *CustomerMetrics) Request(now time.Time, customer string, code result.Code) {
	m.mu.Lock()
	defer m.mu.Unlock()
	label, dropped := m.largest.count(now, customer)
	for _, name := range dropped {
		m.requests.DeletePartialMatch(prometheus.Labels{labelCustomer: name})
	}
	m.requests.WithLabelValues(label, code.String()).Inc()
}

// KeyRefused records a request that was refused on account of its key.
func (m *CustomerMetrics) KeyRefused(reason string) { m.refusals.WithLabelValues(reason).Inc() }

// largestCustomers finds the customers with the most requests in bounded memory. It counts as
// the algorithm of Misra and Gries does: a customer that sends more than a part of
// 1/trackedCustomers of all requests is always among the tracked ones.
type largestCustomers struct {
	counts   map[string]int
	named    map[string]bool
	reviewAt time.Time
}

func newLargestCustomers() largestCustomers {
	return largestCustomers{counts: make(map[string]int), named: make(map[string]bool)}
}

// count counts a request and returns the customer's label, and the customers that have lost
// their name with this request.
func (l *largestCustomers) count(now time.Time, customer string) (label string, dropped []string) {
	if customer == otherCustomers {
		return otherCustomers, nil
	}
	if !now.Before(l.reviewAt) {
		dropped = l.review()
		l.reviewAt = now.Add(customerReview)
	}
	if _, tracked := l.counts[customer]; tracked || len(l.counts) < trackedCustomers {
		l.counts[customer]++
	} else {
		l.decrement()
	}
	if !l.named[customer] && len(l.named) < namedCustomers {
		l.named[customer] = true
	}
	if l.named[customer] {
		return customer, dropped
	}
	return otherCustomers, dropped
}

func (l *largestCustomers) decrement() {
	for name := range l.counts {
		if l.counts[name]--; l.counts[name] <= 0 {
			delete(l.counts, name)
		}
	}
}

// review names the customers with the highest counts and halves all counts, so that the recent
// ones weigh more. It returns the customers that have lost their name.
func (l *largestCustomers) review() (dropped []string) {
	order := slices.SortedFunc(maps.Keys(l.counts), func(a, b string) int {
		return cmp.Or(cmp.Compare(l.counts[b], l.counts[a]), cmp.Compare(a, b))
	})
	chosen := make(map[string]bool, namedCustomers)
	for _, name := range order[:min(len(order), namedCustomers)] {
		chosen[name] = true
	}
	for name := range l.named {
		if !chosen[name] {
			dropped = append(dropped, name)
		}
	}
	l.named = chosen
	for name := range l.counts {
		if l.counts[name] /= 2; l.counts[name] == 0 {
			delete(l.counts, name)
		}
	}
	return dropped
}

package gateway

import (
	"cmp"
	"slices"
	"sync/atomic"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/goldcrestspan/goldcrestspan/quota"
)

// Label values of the metrics on limits.
const (
	quotaAdmitted   = "admitted"
	quotaRefused    = "refused"
	quotaUnanswered = "unanswered"
	callReport      = "report"
	callOnPath      = "request"
	callFailed      = "failed"
	otherCustomers  = "other"
)

// maxNamedCustomers bounds the series by customer; those with the largest limits have a name.
const maxNamedCustomers = 20

// quotaMetrics are the metrics on the limits of customers.
type quotaMetrics struct {
	requests *prometheus.CounterVec
	grants   *prometheus.CounterVec
	calls    *prometheus.CounterVec
	used     *prometheus.Desc
	largest  atomic.Pointer[[]string] // sorted
	uses     func() []quota.Use
}

func newQuotaMetrics(registry *prometheus.Registry) (*quotaMetrics, error) {
	m := &quotaMetrics{
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: "goldcrestspan", Name: "limited_requests_total",
			Help: "Requests of customers with a limit, by result: admitted, refused over the limit, refused since the grantor did not answer.",
		}, []string{"customer", "result"}),
		grants: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: "goldcrestspan", Name: "limit_grants_total",
			Help: "Requests that this host has issued to all hosts as the customers' grantor.",
		}, []string{"customer"}),
		calls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: "goldcrestspan", Name: "limit_calls_total",
			Help: "Calls to grantors on other hosts, by kind: report, on the path of a request, and those of both that failed.",
		}, []string{"kind"}),
		used: prometheus.NewDesc("goldcrestspan_limit_used_ratio", "Part of the limit's rate that this host has issued lately as the customer's grantor.", []string{"customer"}, nil),
	}
	m.largest.Store(&[]string{})
	for _, collector := range []prometheus.Collector{m.requests, m.grants, m.calls, m} {
		if err := registry.Register(collector); err != nil {
			return nil, err
		}
	}
	return m, nil
}

// nameLargest chooses the customers that have series of their own.
func (m *quotaMetrics) nameLargest(limits map[string]quota.Limit) {
	var names []string
	for name := range limits {
		names = append(names, name)
	}
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Or(cmp.Compare(limits[b].PerSecond, limits[a].PerSecond), cmp.Compare(a, b))
	})
	names = names[:min(len(names), maxNamedCustomers)]
	slices.Sort(names)
	previous := m.named()
	m.largest.Store(&names)
	for _, name := range previous {
		if _, found := slices.BinarySearch(names, name); !found {
			m.requests.DeletePartialMatch(prometheus.Labels{"customer": name})
			m.grants.DeletePartialMatch(prometheus.Labels{"customer": name})
		}
	}
}

func (m *quotaMetrics) named() []string { return *m.largest.Load() }

func (m *quotaMetrics) label(customer string) string {
	if _, found := slices.BinarySearch(m.named(), customer); found {
		return customer
	}
	return otherCustomers
}

func (m *quotaMetrics) request(customer, outcome string) {
	m.requests.WithLabelValues(m.label(customer), outcome).Inc()
}

func (m *quotaMetrics) grant(customer string, n int) {
	if n > 0 {
		m.grants.WithLabelValues(m.label(customer)).Add(float64(n))
	}
}

// Describe implements prometheus.Collector.
func (m *quotaMetrics) Describe(out chan<- *prometheus.Desc) { out <- m.used }

// Collect implements prometheus.Collector.
func (m *quotaMetrics) Collect(out chan<- prometheus.Metric) {
	if m.uses == nil {
		return
	}
	for _, use := range m.uses() {
		out <- prometheus.MustNewConstMetric(m.used, prometheus.GaugeValue, use.Rate/use.Limit.PerSecond, use.Customer)
	}
}

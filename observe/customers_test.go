package observe

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/goldcrestspan/goldcrestspan/result"
)

// requestsByCustomer returns the value of each customer's series.
func requestsByCustomer(t *testing.T, registry *prometheus.Registry) map[string]float64 {
	t.Helper()
	families, err := registry.Gather()
	if err != nil {
		t.Fatal(err)
	}
	values := make(map[string]float64)
	for _, family := range families {
		if family.GetName() != "goldcrestspan_customer_requests_total" {
			continue
		}
		for _, metric := range family.GetMetric() {
			for _, label := range metric.GetLabel() {
				if label.GetName() == labelCustomer {
					values[label.GetValue()] += metric.GetCounter().GetValue()
				}
			}
		}
	}
	return values
}

// Guards against a series for each of many customers, memory that grows with them, and a large
// customer that is among the rest.
func TestOnlyTheLargestCustomersHaveSeries(t *testing.T) {
	is := is.New(t)
	registry := prometheus.NewRegistry()
	m, err := NewCustomerMetrics(registry)
	is.NoErr(err)
	now := time.Unix(1000, 0)
	rng := rand.New(rand.NewPCG(1, 1))
	const large = 10
	for i := range 200_000 {
		name := fmt.Sprintf("small-%d", rng.IntN(100_000))
		if i%4 == 0 {
			name = fmt.Sprintf("large-%d", rng.IntN(large))
		}
		m.Request(now, name, result.Complete)
		now = now.Add(time.Millisecond)
	}
	values := requestsByCustomer(t, registry)
	is.True(len(values) <= namedCustomers+1)
	for i := range large {
		is.True(values[fmt.Sprintf("large-%d", i)] > 3000)
	}
	is.True(values[otherCustomers] > 100_000)
	is.True(len(m.largest.counts) <= trackedCustomers)
	is.True(len(m.largest.named) <= namedCustomers)
}

// Guards against a customer that keeps its series from others that have become larger.
func TestSeriesFollowTheLoad(t *testing.T) {
	is := is.New(t)
	l := newLargestCustomers()
	now := time.Unix(1000, 0)
	for i := range namedCustomers {
		l.count(now, fmt.Sprintf("early-%d", i))
	}
	label, _ := l.count(now, "late")
	is.Equal(label, otherCustomers)
	for range 10 {
		l.count(now, "late")
	}
	now = now.Add(customerReview)
	label, dropped := l.count(now, "late")
	is.Equal(label, "late")
	is.Equal(len(dropped), 1)
	label, _ = l.count(now, otherCustomers) // a customer of this name
	is.Equal(label, otherCustomers)
}

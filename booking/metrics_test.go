package booking

import (
	"testing"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"
)

func TestMetrics(t *testing.T) {
	is := is.New(t)
	f := newFleet("a")
	registry := prometheus.NewRegistry()
	is.NoErr(f.executors["a"].RegisterMetrics(registry))
	f.book("a", Request{Ticket: f.ticket("a"), Body: []byte("slot")})
	families, err := registry.Gather()
	is.NoErr(err)
	values := make(map[string]float64)
	for _, family := range families {
		m := family.GetMetric()[0]
		values[family.GetName()] = m.GetCounter().GetValue() + m.GetGauge().GetValue()
	}
	is.Equal(values["goldcrestspan_booking_tickets_total"], 1.0)
	is.Equal(values["goldcrestspan_booking_runs_total"], 1.0)
	is.Equal(values["goldcrestspan_booking_records"], 1.0)
	is.Equal(values["goldcrestspan_booking_unknown_total"], 0.0)
}

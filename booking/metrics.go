package booking

import (
	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
)

const metricsPrefix = "goldcrestspan_booking_"

// RegisterMetrics shows the desk's counts on the registry.
func (d *Executor) RegisterMetrics(registry prometheus.Registerer) error {
	counters := []struct {
		name, help string
		of         func(Stats) uint64
	}{
		{"tickets_total", "Tickets issued.", func(s Stats) uint64 { return s.Issued }},
		{"runs_total", "Runs begun.", func(s Stats) uint64 { return s.Runs }},
		{"repeated_total", "Sendings answered from the record.", func(s Stats) uint64 { return s.Repeated }},
		{"joined_total", "Sendings that waited for a run that was on.", func(s Stats) uint64 { return s.Joined }},
		{"forwarded_total", "Sendings sent on to the issuer of their ticket.", func(s Stats) uint64 { return s.Forwarded }},
		{"unknown_total", "Answers that leave open whether the booking ran.", func(s Stats) uint64 { return s.Unknown }},
	}
	for _, c := range counters {
		collector := prometheus.NewCounterFunc(
			prometheus.CounterOpts{Name: metricsPrefix + c.name, Help: c.help},
			func() float64 { return float64(c.of(d.Stats())) },
		)
		if err := registry.Register(collector); err != nil {
			return errors.Wrap(err, "metrics of bookings")
		}
	}
	return d.registerGauges(registry)
}

func (d *Executor) registerGauges(registry prometheus.Registerer) error {
	gauges := []struct {
		name, help string
		of         func(Stats) int
	}{
		{"records", "Used tickets remembered.", func(s Stats) int { return s.Records }},
		{"running", "Runs that are on.", func(s Stats) int { return s.Running }},
	}
	for _, g := range gauges {
		collector := prometheus.NewGaugeFunc(
			prometheus.GaugeOpts{Name: metricsPrefix + g.name, Help: g.help},
			func() float64 { return float64(g.of(d.Stats())) },
		)
		if err := registry.Register(collector); err != nil {
			return errors.Wrap(err, "metrics of bookings")
		}
	}
	return nil
}

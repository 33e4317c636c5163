package gateway

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/goldcrestspan/goldcrestspan/admit"
)

// searchMetrics exports the state of the admission of searches by class.
type searchMetrics struct {
	stats                             func() admit.Stats
	limit, inFlight, callers, refused *prometheus.Desc
	processorDelay                    *prometheus.Desc
	delay                             func() float64
}

func newSearchMetrics(a *searchAdmission) *searchMetrics {
	desc := func(name, help string, labels ...string) *prometheus.Desc {
		return prometheus.NewDesc("goldcrestspan_"+name, help, labels, nil)
	}
	return &searchMetrics{
		stats:          a.controller.Stats,
		delay:          func() float64 { return a.delay().Seconds() },
		limit:          desc("search_limit", "Searches of the class that may be in flight; 0 while there is no limit.", "class"),
		inFlight:       desc("search_in_flight", "Searches of the class in flight.", "class"),
		callers:        desc("search_callers", "Customers that sent searches of the class within the last seconds.", "class"),
		refused:        desc("search_refusals_total", "Searches refused under load, by reason.", "class", "reason"),
		processorDelay: desc("search_processor_delay_seconds", "How long work waits for this host's processor."),
	}
}

// Describe implements prometheus.Collector.
func (m *searchMetrics) Describe(out chan<- *prometheus.Desc) {
	for _, desc := range []*prometheus.Desc{m.limit, m.inFlight, m.callers, m.refused, m.processorDelay} {
		out <- desc
	}
}

// Collect implements prometheus.Collector.
func (m *searchMetrics) Collect(out chan<- prometheus.Metric) {
	gauge := func(desc *prometheus.Desc, value float64, labels ...string) {
		out <- prometheus.MustNewConstMetric(desc, prometheus.GaugeValue, value, labels...)
	}
	for _, class := range m.stats().Classes {
		gauge(m.limit, class.Limit, class.Name)
		gauge(m.inFlight, float64(class.InFlight), class.Name)
		gauge(m.callers, float64(class.Callers), class.Name)
		for reason, count := range class.Refusals {
			out <- prometheus.MustNewConstMetric(m.refused, prometheus.CounterValue, float64(count), class.Name, reason)
		}
	}
	gauge(m.processorDelay, m.delay())
}

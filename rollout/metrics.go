package rollout

import "github.com/prometheus/client_golang/prometheus"

type metrics struct {
	generation           prometheus.Gauge
	appliedTotal         prometheus.Counter
	refused              prometheus.Counter
	conflicts            prometheus.Counter
	olderIgnored         prometheus.Counter
	pullsFailed          prometheus.Counter
	announcementsDropped prometheus.Counter
	busyReplies          prometheus.Counter
	storeCalls           *prometheus.CounterVec
}

func newMetrics(registerer prometheus.Registerer) *metrics {
	counter := func(name, help string) prometheus.Counter {
		return prometheus.NewCounter(prometheus.CounterOpts{Namespace: "goldcrestspan", Subsystem: "rollout", Name: name, Help: help})
	}
	m := &metrics{
		generation: prometheus.NewGauge(prometheus.GaugeOpts{
			Namespace: "goldcrestspan", Subsystem: "rollout", Name: "generation",
			Help: "Generation of the configuration in force.",
		}),
		appliedTotal:         counter("applied_total", "Configurations that came in force."),
		refused:              counter("refused_total", "Bundles refused for their sign-offs or content."),
		conflicts:            counter("split_total", "Second contents seen of one generation. Must stay 0."),
		olderIgnored:         counter("older_ignored_total", "Offers of a generation below the one in force."),
		pullsFailed:          counter("pulls_failed_total", "Pulls that failed and are tried again."),
		announcementsDropped: counter("news_dropped_total", "News dropped because the agent was busy."),
		busyReplies:          counter("busy_total", "Peers' pulls sent elsewhere because too many were served."),
		storeCalls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: "goldcrestspan", Subsystem: "rollout", Name: "store_calls_total",
			Help: "Calls to the platform's store, a waiting watch as one.",
		}, []string{"call"}),
	}
	if registerer != nil {
		registerer.MustRegister(m.generation, m.appliedTotal, m.refused, m.conflicts, m.olderIgnored,
			m.pullsFailed, m.announcementsDropped, m.busyReplies, m.storeCalls)
	}
	return m
}

func (m *metrics) applied(generation uint64) {
	m.generation.Set(float64(generation))
	m.appliedTotal.Inc()
}

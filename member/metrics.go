package member

import (
	"github.com/prometheus/client_golang/prometheus"
	"google.golang.org/protobuf/proto"
)

const namespace = "goldcrestspan_member"

// metrics are the metrics of an Agent. Bytes are of marshalled messages, without
// the framing of drpc, TLS and TCP.
type metrics struct {
	bytesSent     prometheus.Counter
	bytesReceived prometheus.Counter
	events        *prometheus.CounterVec
	hosts         *prometheus.GaugeVec

	announcementsDropped prometheus.Counter

	lastTotals map[string]uint64 // totals at the last observe
}

func newMetrics(registerer prometheus.Registerer) *metrics {
	m := &metrics{
		bytesSent: prometheus.NewCounter(prometheus.CounterOpts{
			Namespace: namespace, Name: "sent_bytes_total", Help: "Bytes of membership messages sent.",
		}),
		bytesReceived: prometheus.NewCounter(prometheus.CounterOpts{
			Namespace: namespace, Name: "received_bytes_total", Help: "Bytes of membership messages received.",
		}),
		lastTotals: make(map[string]uint64),
		announcementsDropped: prometheus.NewCounter(prometheus.CounterOpts{
			Namespace: namespace, Name: "announcements_dropped_total", Help: "Announcements of this host dropped because too many waited.",
		}),
		events: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Name: "events_total", Help: "What happened, by event.",
		}, []string{"event"}),
		hosts: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Namespace: namespace, Name: "hosts", Help: "Entry hosts by state.",
		}, []string{"state"}),
	}
	if registerer != nil {
		registerer.MustRegister(m.bytesSent, m.bytesReceived, m.events, m.hosts, m.announcementsDropped)
	}
	return m
}

func (m *metrics) sent(message proto.Message) {
	m.bytesSent.Add(float64(proto.Size(message)))
}

func (m *metrics) received(message proto.Message) {
	m.bytesReceived.Add(float64(proto.Size(message)))
}

func (m *metrics) observe(c Counters, view *View) {
	totals := map[string]uint64{
		"probe":           c.Probes,
		"probe_failure":   c.ProbeFailures,
		"suspicion":       c.Suspicions,
		"refutation":      c.Refutations,
		"death":           c.Deaths,
		"false_death":     c.FalseDeaths,
		"pause":           c.Pauses,
		"late_reply":      c.LateReplies,
		"reconnect":       c.Reconnects,
		"budget_deferred": c.BudgetDeferred,
	}
	for event, total := range totals {
		m.events.WithLabelValues(event).Add(float64(total - m.lastTotals[event]))
		m.lastTotals[event] = total
	}
	var byState [StateGone + 1]int
	for _, h := range view.Hosts {
		byState[h.State]++
	}
	for state, n := range byState {
		m.hosts.WithLabelValues(State(state).String()).Set(float64(n))
	}
}

package backend

import (
	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
)

// RegisterMetrics registers the client's counters.
func (c *Client) RegisterMetrics(registry prometheus.Registerer) error {
	counters := []struct {
		name, help string
		value      func(Stats) uint64
	}{
		{"dials_total", "Connections opened to backend servers.", func(s Stats) uint64 { return s.Dials }},
		{"probes_total", "Questions to backend servers after a silence.", func(s Stats) uint64 { return s.Probes }},
		{"silent_connections_total", "Connections dropped as silent.", func(s Stats) uint64 { return s.UnresponsiveConnections }},
		{"crossed_replies_total", "Replies dropped as another request's.", func(s Stats) uint64 { return s.MisroutedReplies }},
		{"unidentified_replies_total", "Replies without the ids of a request.", func(s Stats) uint64 { return s.UnidentifiedReplies }},
		{"replies_over_memory_total", "Replies dropped as others took the memory for long ones.", func(s Stats) uint64 { return s.RepliesOverMemory }},
		{"half_replies_total", "Replies dropped for their length or digest.", func(s Stats) uint64 { return s.CorruptReplies }},
	}
	for _, counter := range counters {
		collector := prometheus.NewCounterFunc(
			prometheus.CounterOpts{Name: "goldcrestspan_backend_" + counter.name, Help: counter.help},
			func() float64 { return float64(counter.value(c.Stats())) },
		)
		if err := registry.Register(collector); err != nil {
			return errors.Wrap(err, "metrics of backend calls")
		}
	}
	return nil
}

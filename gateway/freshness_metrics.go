package gateway

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/goldcrestspan/goldcrestspan/freshness"
	"github.com/goldcrestspan/goldcrestspan/internal/controlloop"
	"github.com/goldcrestspan/goldcrestspan/metastore"
)

// freshnessCollector reads the trackers and the control loops when metrics are collected, so that
// none of them has to run for its metrics to be true.
type freshnessCollector struct{ g *Gateway }

var (
	versionDesc = prometheus.NewDesc("goldcrestspan_version",
		"Version in force, and the newest known: of the configuration, or the store's revision of servers and evacuations within its era.",
		[]string{"kind", "state"}, nil)
	behindDesc = prometheus.NewDesc("goldcrestspan_version_behind_seconds",
		"For how long a version above the one in force has been known; 0: none is.", []string{"kind"}, nil)
	confirmedDesc = prometheus.NewDesc("goldcrestspan_version_confirmed_timestamp_seconds",
		"When the store last said that nothing above the version in force exists, by who passed it on: the store itself or a peer.",
		[]string{"kind", "by"}, nil)
	queuedDesc = prometheus.NewDesc("goldcrestspan_control_queue_events",
		"Events that wait for a control loop.", []string{"loop"}, nil)
	busyDesc = prometheus.NewDesc("goldcrestspan_control_busy_seconds",
		"For how long a control loop has been handling its present event; 0: it waits for one.", []string{"loop"}, nil)
)

// Describe implements prometheus.Collector.
func (c freshnessCollector) Describe(descs chan<- *prometheus.Desc) {
	for _, desc := range []*prometheus.Desc{versionDesc, behindDesc, confirmedDesc, queuedDesc, busyDesc} {
		descs <- desc
	}
}

// Collect implements prometheus.Collector.
func (c freshnessCollector) Collect(metrics chan<- prometheus.Metric) {
	gauge := func(desc *prometheus.Desc, value float64, labels ...string) {
		metrics <- prometheus.MustNewConstMetric(desc, prometheus.GaugeValue, value, labels...)
	}
	now := c.g.options.Now()
	c.g.trackers.each(func(kind string, tracker *freshness.Tracker) {
		s := tracker.State(now)
		number := func(version uint64) float64 { return float64(metastore.Revision(version).Counter()) }
		gauge(versionDesc, number(s.InForce), kind, "in_force")
		gauge(versionDesc, number(s.Newest), kind, "newest")
		gauge(behindDesc, s.Behind(now).Seconds(), kind)
		if at := s.Confirmed.At; !at.IsZero() {
			gauge(confirmedDesc, float64(at.UnixMilli())/1000, kind, confirmedLabel(s.Confirmed.By))
		}
	})
	for loop, state := range map[string]controlloop.State{"member": c.g.members.Loop(), "gateway": c.g.loop.State(now, len(c.g.events))} {
		gauge(queuedDesc, float64(state.Queued), loop)
		gauge(busyDesc, state.Busy.Seconds(), loop)
	}
}

// confirmedLabel keeps the hosts' names out of the labels, of which there are thousands.
func confirmedLabel(by string) string {
	if by == freshness.Store {
		return by
	}
	return "peer"
}

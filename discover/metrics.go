package discover

import (
	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/goldcrestspan/goldcrestspan/metastore"
)

// listReason is why a complete list is read from the metadata store.
type listReason string

const (
	listAtStart        listReason = "start"
	listAfterError     listReason = "store_lost"
	listWithoutHistory listReason = "history_gone"
)

const (
	metricsNamespace = "goldcrestspan"
	labelPrefix      = "prefix"
	labelReason      = "reason"
)

// Metrics are the metrics of a host's Followers.
type Metrics struct {
	lists    *prometheus.CounterVec
	revision *prometheus.GaugeVec
	era      *prometheus.GaugeVec
}

// NewMetrics registers the metrics.
func NewMetrics(registry *prometheus.Registry) (*Metrics, error) {
	m := &Metrics{
		lists: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: metricsNamespace, Name: "store_lists_total",
			Help: "Whole lists read from the metadata store, by prefix and reason.",
		}, []string{labelPrefix, labelReason}),
		revision: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Namespace: metricsNamespace, Name: "store_revision",
			Help: "Revision that the metadata store's last list or watch came with, within its era, by prefix.",
		}, []string{labelPrefix}),
		era: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Namespace: metricsNamespace, Name: "store_era",
			Help: "Era of the metadata store's last list or watch, by prefix; it rises when the store is restored.",
		}, []string{labelPrefix}),
	}
	for _, c := range []prometheus.Collector{m.lists, m.revision, m.era} {
		if err := registry.Register(c); err != nil {
			return nil, errors.Wrap(err, "register the metrics of the metadata store")
		}
	}
	return m, nil
}

// countList counts a list; m may be nil.
func (m *Metrics) countList(prefix string, reason listReason) {
	if m != nil {
		m.lists.WithLabelValues(prefix, string(reason)).Inc()
	}
}

// setRevision sets the store's revision; m may be nil.
func (m *Metrics) setRevision(prefix string, revision metastore.Revision) {
	if m != nil {
		m.revision.WithLabelValues(prefix).Set(float64(revision.Counter()))
		m.era.WithLabelValues(prefix).Set(float64(revision.Era()))
	}
}

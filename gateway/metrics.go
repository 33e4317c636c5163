package gateway

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/goldcrestspan/goldcrestspan/observe"
	"github.com/goldcrestspan/goldcrestspan/result"
)

// metrics count callers' requests by route class.
type metrics struct {
	served *observe.Metrics
}

func newMetrics(served *observe.Metrics, _ *prometheus.Registry) *metrics {
	return &metrics{served: served}
}

// request counts one finished request. The caller is not known by name here:
// its host name, which the configuration bounds, stands for it.
func (m *metrics) request(host, class string, code result.Code, took time.Duration) {
	m.served.Request(host, class, code, took)
}

func (m *metrics) coverage(host, class string, have, total int) {
	m.served.Coverage(host, class, have, total)
}

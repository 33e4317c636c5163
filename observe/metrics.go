// Package observe provides the metrics and loggers of an entry host.
package observe

import (
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/goldcrestspan/goldcrestspan/backend"
	"github.com/goldcrestspan/goldcrestspan/result"
	"github.com/goldcrestspan/goldcrestspan/scatter"
)

// nativeBucketFactor is the ratio between the bounds of adjacent buckets.
const nativeBucketFactor = 1.1

// nativeMaxBuckets limits the memory of one histogram.
const nativeMaxBuckets = 160

// Metrics are the counters and histograms of request handling. The number of
// label values is bounded by the bundle and by the known codes and faults.
type Metrics struct {
	requests  *prometheus.CounterVec
	latency   *prometheus.HistogramVec
	coverage  *prometheus.HistogramVec
	verdicts  *prometheus.CounterVec
	attempts  *prometheus.CounterVec
	faults    *prometheus.CounterVec
	cancelled *prometheus.CounterVec
	failovers prometheus.Counter
	restarts  prometheus.Counter
}

// NewMetrics creates and registers the metrics.
func NewMetrics(reg prometheus.Registerer) (*Metrics, error) {
	m := &Metrics{
		requests:  counter("requests_total", "Requests by caller, class and result code.", "caller", "class", "code"),
		latency:   histogram("request_seconds", "Time from admission to the answer, by caller and class, in seconds.", "caller", "class"),
		coverage:  histogram("answer_coverage_ratio", "Share of shards in answers, by caller and class.", "caller", "class"),
		verdicts:  counter("leg_results_total", "Results of legs by what became of them: accepted, failed, late, duplicate, crossed, mixed, corrupt.", "verdict"),
		attempts:  counter("backend_attempts_total", "Attempts sent to backend servers, by service and kind: first, hedge, retry.", "service", "kind"),
		faults:    counter("backend_attempt_ends_total", "Ends of attempts by service and fault number; 0 is a usable reply.", "service", "fault"),
		cancelled: counter("legs_cancelled_total", "Legs cancelled at their home, by service.", "service"),
		failovers: prometheus.NewCounter(prometheus.CounterOpts{Namespace: namespace, Name: "leg_failovers_total", Help: "Legs that moved to the second home."}),
		restarts:  prometheus.NewCounter(prometheus.CounterOpts{Namespace: namespace, Name: "query_restarts_total", Help: "Queries restarted whole on another snapshot."}),
	}
	for _, collector := range []prometheus.Collector{
		m.requests, m.latency, m.coverage, m.verdicts, m.attempts,
		m.faults, m.cancelled, m.failovers, m.restarts,
	} {
		if err := reg.Register(collector); err != nil {
			return nil, err
		}
	}
	return m, nil
}

const namespace = "goldcrestspan"

func counter(name, help string, labels ...string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help}, labels)
}

func histogram(name, help string, labels ...string) *prometheus.HistogramVec {
	return prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Namespace:                      namespace,
		Name:                           name,
		Help:                           help,
		NativeHistogramBucketFactor:    nativeBucketFactor,
		NativeHistogramMaxBucketNumber: nativeMaxBuckets,
	}, labels)
}

// Request records a finished request of an authenticated caller.
func (m *Metrics) Request(caller, class string, code result.Code, took time.Duration) {
	m.requests.WithLabelValues(caller, class, code.String()).Inc()
	m.latency.WithLabelValues(caller, class).Observe(took.Seconds())
}

// Coverage records the fraction of shards in one answer.
func (m *Metrics) Coverage(caller, class string, have, total int) {
	m.coverage.WithLabelValues(caller, class).Observe(float64(have) / float64(total))
}

// Verdict implements scatter.Counter.
func (m *Metrics) Verdict(v scatter.Verdict) { m.verdicts.WithLabelValues(v.String()).Inc() }

// Failover implements scatter.Counter.
func (m *Metrics) Failover() { m.failovers.Inc() }

// Restart implements scatter.Counter.
func (m *Metrics) Restart() { m.restarts.Inc() }

// Attempt implements homeserver.Counter.
func (m *Metrics) Attempt(service string, hedge, retry bool) {
	kind := "first"
	switch {
	case hedge:
		kind = "hedge"
	case retry:
		kind = "retry"
	}
	m.attempts.WithLabelValues(service, kind).Inc()
}

// AttemptEnd implements homeserver.Counter.
func (m *Metrics) AttemptEnd(service string, fault backend.Fault) {
	m.faults.WithLabelValues(service, strconv.Itoa(int(fault))).Inc()
}

// Cancelled implements homeserver.Counter.
func (m *Metrics) Cancelled(service string) { m.cancelled.WithLabelValues(service).Inc() }

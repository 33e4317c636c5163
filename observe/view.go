package observe

import (
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/goldcrestspan/goldcrestspan/admit"
	"github.com/goldcrestspan/goldcrestspan/drain"
)

// GaugeSources gives what a host's parts say of themselves when metrics are read. The
// functions are safe for concurrent use and cost no more than a short lock.
type GaugeSources struct {
	Admission  func() admit.Stats
	Quarantine func() int // requests refused at this moment
	Phase      func() drain.Phase
	Ready      func() bool
	// Certificates are those of the listeners; none in plain text.
	Certificates func() []Certificate
}

// Certificate is one listener's certificate in use.
type Certificate struct {
	Listener string
	Expires  time.Time
	// ReloadFailed: the files as they are now can't be used; earlier ones are.
	ReloadFailed bool
}

// stopPhases are the values of the label phase.
var stopPhases = [...]drain.Phase{drain.PhaseServing, drain.PhaseLeaving, drain.PhaseRefusing, drain.PhaseDone}

// viewCollector turns a View into gauges. It reads the view once for each
// reading of the metrics, so that the gauges of one reading belong together.
type viewCollector struct {
	view GaugeSources

	inFlight, bytes                                        *prometheus.Desc
	classInFlight, classBytes, capacity, pressure, callers *prometheus.Desc
	quarantined, phase, ready                              *prometheus.Desc
	expiry, refused                                        *prometheus.Desc
}

// RegisterGauges registers the gauges of a host's view of itself.
func RegisterGauges(reg prometheus.Registerer, view GaugeSources) error {
	c := &viewCollector{
		view:          view,
		inFlight:      gauge("admit_in_flight", "Requests let in and not answered yet."),
		bytes:         gauge("admit_in_flight_bytes", "Bodies of requests in flight, in bytes."),
		classInFlight: gauge("admit_class_in_flight", "Requests of the class let in and not answered yet.", "class"),
		classBytes:    gauge("admit_class_in_flight_bytes", "Bodies of the class's requests in flight, in bytes.", "class"),
		capacity:      gauge("admit_class_capacity", "Estimate of the answers a second that the class can have from this host.", "class"),
		pressure:      gauge("admit_class_pressure", "Legs' mean wait for a slot over their mean service time.", "class"),
		callers:       gauge("admit_class_callers", "Callers that asked within the last seconds.", "class"),
		quarantined:   gauge("quarantine_entries", "Requests refused now because they crashed backend servers."),
		phase:         gauge("stop_phase", "1 for the phase of the planned stop that the host is in, 0 for the others.", "phase"),
		ready:         gauge("ready", "1 if the host takes new work, as /readyz says, else 0."),
		expiry:        gauge("certificate_expiry_timestamp_seconds", "When the certificate in use ends, as Unix time.", "listener"),
		refused:       gauge("certificate_files_refused", "1 if the TLS files were changed and can't be used; the earlier ones are.", "listener"),
	}
	return errors.Wrap(reg.Register(c), "metrics of the host's view")
}

func gauge(name, help string, labels ...string) *prometheus.Desc {
	return prometheus.NewDesc(prometheus.BuildFQName(namespace, "", name), help, labels, nil)
}

// Describe implements prometheus.Collector.
func (c *viewCollector) Describe(out chan<- *prometheus.Desc) {
	for _, desc := range []*prometheus.Desc{
		c.inFlight, c.bytes, c.classInFlight, c.classBytes, c.capacity,
		c.pressure, c.callers, c.quarantined, c.phase, c.ready,
		c.expiry, c.refused,
	} {
		out <- desc
	}
}

// Collect implements prometheus.Collector.
func (c *viewCollector) Collect(out chan<- prometheus.Metric) {
	give := func(desc *prometheus.Desc, value float64, labels ...string) {
		out <- prometheus.MustNewConstMetric(desc, prometheus.GaugeValue, value, labels...)
	}
	stats := c.view.Admission()
	give(c.inFlight, float64(stats.InFlight))
	give(c.bytes, float64(stats.Bytes))
	for _, class := range stats.Classes {
		give(c.classInFlight, float64(class.InFlight), class.Name)
		give(c.classBytes, float64(class.Bytes), class.Name)
		give(c.capacity, class.Capacity, class.Name)
		give(c.pressure, class.Pressure, class.Name)
		give(c.callers, float64(class.Callers), class.Name)
	}
	give(c.quarantined, float64(c.view.Quarantine()))
	now := c.view.Phase()
	for _, phase := range stopPhases {
		give(c.phase, oneIf(phase == now), phase.String())
	}
	give(c.ready, oneIf(c.view.Ready()))
	for _, certificate := range c.view.Certificates() {
		give(c.expiry, float64(certificate.Expires.Unix()), certificate.Listener)
		give(c.refused, oneIf(certificate.ReloadFailed), certificate.Listener)
	}
}

func oneIf(yes bool) float64 {
	if yes {
		return 1
	}
	return 0
}

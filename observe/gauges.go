package observe

import (
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/goldcrestspan/goldcrestspan/admit"
	"github.com/goldcrestspan/goldcrestspan/drain"
)

// GaugeSources holds the functions that supply the values of a host's gauges at
// each scrape. They must be cheap and safe for concurrent use.
type GaugeSources struct {
	Admission  func() admit.Stats
	Quarantine func() int // number of quarantined requests
	Phase      func() drain.Phase
	Ready      func() bool
	// Certificates returns the listeners' certificates, none without TLS.
	Certificates func() []Certificate
}

// Certificate is the state of one listener's certificate.
type Certificate struct {
	Listener string
	Expires  time.Time
	// ReloadFailed reports that the changed TLS files can't be used, so that the
	// earlier certificate stays in use.
	ReloadFailed bool
}

// stopPhases are the values of the label "phase".
var stopPhases = [...]drain.Phase{drain.PhaseServing, drain.PhaseLeaving, drain.PhaseRefusing, drain.PhaseDone}

// gaugeCollector exports GaugeSources. It reads each source once per scrape, so
// that the gauges of one scrape are consistent.
type gaugeCollector struct {
	sources GaugeSources

	inFlight, bytes                                        *prometheus.Desc
	classInFlight, classBytes, capacity, pressure, callers *prometheus.Desc
	quarantined, phase, ready                              *prometheus.Desc
	expiry, refused                                        *prometheus.Desc
}

// RegisterGauges registers the gauges of a host.
func RegisterGauges(reg prometheus.Registerer, sources GaugeSources) error {
	c := &gaugeCollector{
		sources:       sources,
		inFlight:      gaugeDesc("admit_in_flight", "Requests let in and not answered yet."),
		bytes:         gaugeDesc("admit_in_flight_bytes", "Bodies of requests in flight, in bytes."),
		classInFlight: gaugeDesc("admit_class_in_flight", "Requests of the class let in and not answered yet.", "class"),
		classBytes:    gaugeDesc("admit_class_in_flight_bytes", "Bodies of the class's requests in flight, in bytes.", "class"),
		capacity:      gaugeDesc("admit_class_capacity", "Estimate of the answers a second that the class can have from this host.", "class"),
		pressure:      gaugeDesc("admit_class_pressure", "Legs' mean wait for a slot over their mean service time.", "class"),
		callers:       gaugeDesc("admit_class_callers", "Callers that asked within the last seconds.", "class"),
		quarantined:   gaugeDesc("quarantine_entries", "Requests refused now because they crashed backend servers."),
		phase:         gaugeDesc("stop_phase", "1 for the phase of the planned stop that the host is in, 0 for the others.", "phase"),
		ready:         gaugeDesc("ready", "1 if the host takes new work, as /readyz says, else 0."),
		expiry:        gaugeDesc("certificate_expiry_timestamp_seconds", "When the certificate in use ends, as Unix time.", "listener"),
		refused:       gaugeDesc("certificate_files_refused", "1 if the TLS files were changed and can't be used; the earlier ones are.", "listener"),
	}
	return errors.Wrap(reg.Register(c), "register the host's gauges")
}

func gaugeDesc(name, help string, labels ...string) *prometheus.Desc {
	return prometheus.NewDesc(prometheus.BuildFQName(namespace, "", name), help, labels, nil)
}

// Describe implements prometheus.Collector.
func (c *gaugeCollector) Describe(out chan<- *prometheus.Desc) {
	for _, desc := range []*prometheus.Desc{
		c.inFlight, c.bytes, c.classInFlight, c.classBytes, c.capacity,
		c.pressure, c.callers, c.quarantined, c.phase, c.ready,
		c.expiry, c.refused,
	} {
		out <- desc
	}
}

// Collect implements prometheus.Collector.
func (c *gaugeCollector) Collect(out chan<- prometheus.Metric) {
	send := func(desc *prometheus.Desc, value float64, labels ...string) {
		out <- prometheus.MustNewConstMetric(desc, prometheus.GaugeValue, value, labels...)
	}
	stats := c.sources.Admission()
	send(c.inFlight, float64(stats.InFlight))
	send(c.bytes, float64(stats.Bytes))
	for _, class := range stats.Classes {
		send(c.classInFlight, float64(class.InFlight), class.Name)
		send(c.classBytes, float64(class.Bytes), class.Name)
		send(c.capacity, class.Capacity, class.Name)
		send(c.pressure, class.Pressure, class.Name)
		send(c.callers, float64(class.Callers), class.Name)
	}
	send(c.quarantined, float64(c.sources.Quarantine()))
	current := c.sources.Phase()
	for _, phase := range stopPhases {
		send(c.phase, boolValue(phase == current), phase.String())
	}
	send(c.ready, boolValue(c.sources.Ready()))
	for _, certificate := range c.sources.Certificates() {
		send(c.expiry, float64(certificate.Expires.Unix()), certificate.Listener)
		send(c.refused, boolValue(certificate.ReloadFailed), certificate.Listener)
	}
}

func boolValue(yes bool) float64 {
	if yes {
		return 1
	}
	return 0
}

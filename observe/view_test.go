package observe

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/goldcrestspan/goldcrestspan/admit"
	"github.com/goldcrestspan/goldcrestspan/drain"
)

// An operator looks at the dashboard while a host stops under load: the gauges
// show the class under pressure, the phase of the stop and that the host is no
// longer ready, all from the same moment.
func TestViewOfAStoppingHostUnderLoad(t *testing.T) {
	is := is.New(t)
	reg := prometheus.NewRegistry()
	is.NoErr(RegisterGauges(reg, GaugeSources{
		Admission: func() admit.Stats {
			return admit.Stats{InFlight: 3, Bytes: 300, Classes: []admit.ClassStats{
				{Name: "interactive", InFlight: 2, Bytes: 100, Capacity: 40, Pressure: 0.5, Callers: 1},
				{Name: "batch", InFlight: 1, Bytes: 200, Capacity: 7, Pressure: 1.5, Callers: 4},
			}}
		},
		Quarantine: func() int { return 2 },
		Phase:      func() drain.Phase { return drain.PhaseLeaving },
		Ready:      func() bool { return false },
		Certificates: func() []Certificate {
			return []Certificate{
				{Listener: "callers", Expires: time.Unix(5000, 0)},
				{Listener: "peers", Expires: time.Unix(6000, 0), ReloadFailed: true},
			}
		},
	}))
	is.Equal(gauges(t, reg), map[string]float64{
		"goldcrestspan_admit_in_flight":                                       3,
		"goldcrestspan_admit_in_flight_bytes":                                 300,
		"goldcrestspan_admit_class_in_flight class=interactive":               2,
		"goldcrestspan_admit_class_in_flight class=batch":                     1,
		"goldcrestspan_admit_class_in_flight_bytes class=interactive":         100,
		"goldcrestspan_admit_class_in_flight_bytes class=batch":               200,
		"goldcrestspan_admit_class_capacity class=interactive":                40,
		"goldcrestspan_admit_class_capacity class=batch":                      7,
		"goldcrestspan_admit_class_pressure class=interactive":                0.5,
		"goldcrestspan_admit_class_pressure class=batch":                      1.5,
		"goldcrestspan_admit_class_callers class=interactive":                 1,
		"goldcrestspan_admit_class_callers class=batch":                       4,
		"goldcrestspan_quarantine_entries":                                    2,
		"goldcrestspan_stop_phase phase=serving":                              0,
		"goldcrestspan_stop_phase phase=leaving":                              1,
		"goldcrestspan_stop_phase phase=refusing":                             0,
		"goldcrestspan_stop_phase phase=done":                                 0,
		"goldcrestspan_certificate_expiry_timestamp_seconds listener=callers": 5000,
		"goldcrestspan_certificate_expiry_timestamp_seconds listener=peers":   6000,
		"goldcrestspan_certificate_files_refused listener=callers":            0,
		"goldcrestspan_certificate_files_refused listener=peers":              1,
		"goldcrestspan_ready":                                                 0,
	})
}

// gauges reads every gauge, by name and label.
func gauges(t *testing.T, reg *prometheus.Registry) map[string]float64 {
	t.Helper()
	families, err := reg.Gather()
	if err != nil {
		t.Fatal(err)
	}
	values := make(map[string]float64)
	for _, family := range families {
		for _, metric := range family.GetMetric() {
			name := family.GetName()
			for _, label := range metric.GetLabel() {
				name += " " + label.GetName() + "=" + label.GetValue()
			}
			values[name] = metric.GetGauge().GetValue()
		}
	}
	return values
}

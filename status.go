package goldcrestspan

import (
	"encoding/json"
	"net/http"

	"github.com/go-chi/chi/v5"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/goldcrestspan/goldcrestspan/drain"
	"github.com/goldcrestspan/goldcrestspan/member"
	"github.com/goldcrestspan/goldcrestspan/observe"
	"github.com/goldcrestspan/goldcrestspan/quarantine"
)

// Status is one host's view, as the operator listener serves it at /v1/status.
type Status struct {
	Host        string       `json:"host"`
	Region      string       `json:"region"`
	Zone        string       `json:"zone"`
	Incarnation uint64       `json:"incarnation"`
	Ready       bool         `json:"ready"`
	Phase       string       `json:"phase"`              // of a planned stop
	Refusal     string       `json:"refusal,omitempty"`  // why the host is not ready
	Generation  uint64       `json:"generation"`         // of the active configuration
	Manifest    string       `json:"manifest,omitempty"` // short hash of its manifest
	Alarm       string       `json:"alarm,omitempty"`    // configuration problem that needs an operator
	InFlight    int          `json:"in_flight"`          // callers' requests and peers' legs
	Hosts       []HostStatus `json:"hosts"`
	// Quarantine lists the requests refused for crashing backend servers.
	Quarantine []quarantine.Entry `json:"quarantine,omitempty"`
}

// HostStatus is one entry host as the local host sees it.
type HostStatus struct {
	Host         string `json:"host"`
	Zone         string `json:"zone"`
	State        string `json:"state"`
	LoadPermille uint32 `json:"load_permille"`
	Callers      string `json:"callers"` // address of the caller listener
	Peers        string `json:"peers"`   // address of the peer listener
}

// Status returns the host's current view.
func (h *Host) Status() Status {
	s := Status{
		Host:        h.components.Settings.Host.Name,
		Region:      h.components.Settings.Host.Region,
		Zone:        h.components.Settings.Host.Zone,
		Incarnation: uint64(h.components.Incarnation),
		Ready:       true,
		Phase:       h.stopPhase().String(),
		Alarm:       h.components.Rollout.Alarm(),
		InFlight:    h.workInFlight(),
	}
	s.Quarantine = h.components.CrashDetector.quarantineRegistry.Entries(h.components.Now())
	if ref := h.components.Rollout.ActiveRef(); !ref.IsZero() {
		s.Generation = ref.Generation
		s.Manifest = ref.Hash.Short()
	}
	if refusal := h.Ready(); refusal != nil {
		s.Ready = false
		s.Refusal = refusal.Error()
	}
	for _, host := range h.components.Member.View().Hosts {
		s.Hosts = append(s.Hosts, hostStatusOf(host))
	}
	return s
}

func hostStatusOf(host member.Host) HostStatus {
	return HostStatus{
		Host:         string(host.ID),
		Zone:         host.Zone,
		State:        host.State.String(),
		LoadPermille: host.LoadPermille,
		Callers:      host.CallerAddress,
		Peers:        host.PeerAddress,
	}
}

func (h *Host) stopPhase() drain.Phase {
	if stop := h.stop.Load(); stop != nil {
		return stop.Phase(h.components.Now(), h.workInFlight())
	}
	return drain.PhaseServing
}

// registerHostMetrics registers the metrics that read the host's state.
func (h *Host) registerHostMetrics() error {
	return observe.RegisterGauges(h.components.Registry, observe.GaugeSources{
		Admission:  h.components.Admission.Stats,
		Quarantine: func() int { return len(h.components.CrashDetector.quarantineRegistry.Entries(h.components.Now())) },
		Phase:      h.stopPhase,
		Ready:      func() bool { return h.Ready() == nil && h.stop.Load() == nil },

		Certificates: h.options.certificateMetrics,
	})
}

// operatorHandler serves health, metrics and status.
func (h *Host) operatorHandler() http.Handler {
	r := chi.NewRouter()
	r.Get("/healthz", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("ok\n")) })
	r.Get("/readyz", h.serveReady)
	r.Get("/v1/status", h.serveStatus)
	r.Handle("/metrics", promhttp.HandlerFor(h.components.Registry, promhttp.HandlerOpts{}))
	return r
}

// serveReady reports whether the host accepts new work. A stopping host is not
// ready from the start of the stop, so that load balancers avoid it.
func (h *Host) serveReady(w http.ResponseWriter, _ *http.Request) {
	refusal := h.Ready()
	switch {
	case refusal != nil:
		http.Error(w, refusal.Error(), http.StatusServiceUnavailable)
	case h.stop.Load() != nil:
		http.Error(w, "stopping", http.StatusServiceUnavailable)
	default:
		_, _ = w.Write([]byte("ready\n"))
	}
}

func (h *Host) serveStatus(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	_ = encoder.Encode(h.Status()) // fails only if the operator disconnected
}

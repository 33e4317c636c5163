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

// Status is one host's view, as the operators' listener gives it at /v1/status.
type Status struct {
	Host        string       `json:"host"`
	Region      string       `json:"region"`
	Zone        string       `json:"zone"`
	Incarnation uint64       `json:"incarnation"`
	Ready       bool         `json:"ready"`
	Phase       string       `json:"phase"`
	Refusal     string       `json:"refusal,omitempty"`
	Generation  uint64       `json:"generation"`
	Manifest    string       `json:"manifest,omitempty"`
	Alarm       string       `json:"alarm,omitempty"`
	InFlight    int          `json:"in_flight"`
	Hosts       []HostStatus `json:"hosts"`
	// Quarantine lists the requests that are refused because they crashed
	// backend servers.
	Quarantine []quarantine.Entry `json:"quarantine,omitempty"`
}

// HostStatus is one entry host as the local host sees it.
type HostStatus struct {
	Host         string `json:"host"`
	Zone         string `json:"zone"`
	State        string `json:"state"`
	LoadPermille uint32 `json:"load_permille"`
	Callers      string `json:"callers"`
	Peers        string `json:"peers"`
}

// Status gives the host's view at this moment.
func (h *Host) Status() Status {
	s := Status{
		Host:        h.parts.Settings.Host.Name,
		Region:      h.parts.Settings.Host.Region,
		Zone:        h.parts.Settings.Host.Zone,
		Incarnation: uint64(h.parts.Incarnation),
		Ready:       true,
		Phase:       h.phase().String(),
		Alarm:       h.parts.Rollout.Alarm(),
		InFlight:    h.busy(),
	}
	s.Quarantine = h.parts.Crashes.book.Entries(h.parts.Now())
	if ref := h.parts.Rollout.ActiveRef(); !ref.IsZero() {
		s.Generation = ref.Generation
		s.Manifest = ref.Hash.Short()
	}
	if refused := h.Ready(); refused != nil {
		s.Ready = false
		s.Refusal = refused.Error()
	}
	for _, host := range h.parts.Member.View().Hosts {
		s.Hosts = append(s.Hosts, statusOf(host))
	}
	return s
}

func statusOf(host member.Host) HostStatus {
	return HostStatus{
		Host:         string(host.ID),
		Zone:         host.Zone,
		State:        host.State.String(),
		LoadPermille: host.LoadPermille,
		Callers:      host.CallerAddress,
		Peers:        host.PeerAddress,
	}
}

func (h *Host) phase() drain.Phase {
	if stop := h.stop.Load(); stop != nil {
		return stop.Phase(h.parts.Now(), h.busy())
	}
	return drain.PhaseServing
}

// registerView shows the host's view of itself as metrics.
func (h *Host) registerView() error {
	return observe.RegisterGauges(h.parts.Registry, observe.GaugeSources{
		Admission:  h.parts.Admission.Stats,
		Quarantine: func() int { return len(h.parts.Crashes.book.Entries(h.parts.Now())) },
		Phase:      h.phase,
		Ready:      func() bool { return h.Ready() == nil && h.stop.Load() == nil },

		Certificates: h.options.certificateViews,
	})
}

// operatorsHandler serves health, metrics and status.
func (h *Host) operatorsHandler() http.Handler {
	r := chi.NewRouter()
	r.Get("/healthz", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("ok\n")) })
	r.Get("/readyz", h.serveReady)
	r.Get("/v1/status", h.serveStatus)
	r.Handle("/metrics", promhttp.HandlerFor(h.parts.Registry, promhttp.HandlerOpts{}))
	return r
}

// serveReady tells whether the host takes new work; a stopping host says no
// from the first moment, so that nothing sends callers to it.
func (h *Host) serveReady(w http.ResponseWriter, _ *http.Request) {
	refused := h.Ready()
	switch {
	case refused != nil:
		http.Error(w, refused.Error(), http.StatusServiceUnavailable)
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
	_ = encoder.Encode(h.Status()) // an operator that has gone is not told
}

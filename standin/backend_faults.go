package standin

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/goldcrestspan/goldcrestspan/backend"
	"github.com/goldcrestspan/goldcrestspan/snapshot"
)

// Paths of the stand-ins' own control interface.
const (
	PathControl = "/control"
	PathRecord  = "/control/record"
)

// BackendFaults is what is wrong with a backend server. The counts are of the
// next replies and go down as they are used. Durations are in nanoseconds on
// the wire.
type BackendFaults struct {
	// SlowFactor multiplies the service time; 0 and 1: none.
	SlowFactor float64 `json:"slow"`
	// LateBy holds each finished reply back.
	LateBy time.Duration `json:"late_by_ns"`
	// TruncatedReplies breaks the connection in the middle of the body.
	TruncatedReplies int `json:"half_replies"`
	// CorruptReplies changes a byte of the body but not its digest.
	CorruptReplies int `json:"corrupt_replies"`
	// MisroutedReplies sends another request's reply.
	MisroutedReplies int `json:"crossed_replies"`
	// LostReplies runs the work and breaks the connection in place of a reply.
	LostReplies int `json:"lost_replies"`
	// FailedReplies runs the work and answers that it failed.
	FailedReplies int `json:"failed_replies"`
	// ShedNext refuses before run.
	ShedNext int `json:"shed_next"`
	// BareRefusals answers 503 without a word on whether it ran, and runs it.
	BareRefusals int `json:"bare_refusals"`
	// AnswerFrom answers from this snapshot, whatever was asked; 0: as asked.
	AnswerFrom snapshot.Version `json:"answer_from"`
	// LoadLag makes load reports old by this much.
	LoadLag time.Duration `json:"load_lag_ns"`
	// LoadLie replaces the load reports.
	LoadLie *backend.Load `json:"load_lie,omitempty"`
	// HideDraining refuses nothing and says nothing while draining.
	HideDraining bool `json:"drain_untold"`
}

// SetFaults replaces the faults.
func (b *Backend) SetFaults(faults BackendFaults) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.faults = faults
}

// Faults returns the faults that are left.
func (b *Backend) Faults() BackendFaults {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.faults
}

// backendControl is the body of the control interface.
type backendControl struct {
	Faults   BackendFaults `json:"faults"`
	Draining bool          `json:"draining"`
	// Silence and CrashFor act once.
	Silence  bool          `json:"silence,omitempty"`
	Crash    bool          `json:"crash,omitempty"`
	CrashFor time.Duration `json:"crash_for_ns,omitempty"`
}

// serveControl shows the faults, or replaces them.
func (b *Backend) serveControl(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodPut {
		var control backendControl
		if err := readControl(r, &control); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		b.SetFaults(control.Faults)
		b.SetDraining(control.Draining)
		if control.Silence {
			b.BlackholeConnections()
		}
		if control.Crash {
			defer func() { go b.Crash(control.CrashFor) }()
		}
	}
	b.mu.Lock()
	control := backendControl{Faults: b.faults, Draining: b.draining}
	b.mu.Unlock()
	writeJSON(w, http.StatusOK, control)
}

func (b *Backend) serveRecord(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, b.record.Runs())
}

func readControl(r *http.Request, into any) error {
	decoder := json.NewDecoder(r.Body)
	decoder.DisallowUnknownFields()
	return decoder.Decode(into)
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

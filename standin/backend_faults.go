package standin

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/goldcrestspan/goldcrestspan/backend"
	"github.com/goldcrestspan/goldcrestspan/snapshot"
)

// Paths of the control interface of the stand-ins.
const (
	PathControl = "/control"
	PathRecord  = "/control/record"
)

// BackendFaults are the faults that a backend server injects. Counts apply to the
// next calls and decrease with each use. Durations are encoded in nanoseconds.
type BackendFaults struct {
	// SlowFactor multiplies the service time; 0 and 1: none.
	SlowFactor float64 `json:"slow"`
	// ReplyDelay delays each finished reply.
	ReplyDelay time.Duration `json:"late_by_ns"`
	// TruncatedReplies closes the connection in the middle of the body.
	TruncatedReplies int `json:"half_replies"`
	// CorruptReplies changes a byte of the body but not its digest.
	CorruptReplies int `json:"corrupt_replies"`
	// MisroutedReplies replies with the reply to an earlier request, or with another
	// request id if there is none.
	MisroutedReplies int `json:"crossed_replies"`
	// LostReplies runs the call and closes the connection without a reply.
	LostReplies int `json:"lost_replies"`
	// FailedReplies runs the call and replies that it failed.
	FailedReplies int `json:"failed_replies"`
	// ShedCalls refuses calls as if the server were overloaded.
	ShedCalls int `json:"shed_next"`
	// Unmarked503s runs the call and replies with a 503 without HeaderNotRun.
	Unmarked503s int `json:"bare_refusals"`
	// AnswerSnapshot answers from this snapshot instead of the requested one; 0: none.
	AnswerSnapshot snapshot.Version `json:"answer_from"`
	// LoadLag is the age of the load reports.
	LoadLag time.Duration `json:"load_lag_ns"`
	// LoadOverride replaces the load reports.
	LoadOverride *backend.Load `json:"load_lie,omitempty"`
	// HideDraining accepts calls while draining and doesn't report the draining.
	HideDraining bool `json:"drain_untold"`
}

// SetFaults replaces the faults.
func (b *Backend) SetFaults(faults BackendFaults) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.faults = faults
}

// Faults returns the faults with the remaining counts.
func (b *Backend) Faults() BackendFaults {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.faults
}

// backendControl is the body of requests and replies at PathControl.
type backendControl struct {
	Faults   BackendFaults `json:"faults"`
	Draining bool          `json:"draining"`
	// BlackholeConnections and Crash take effect once.
	BlackholeConnections bool          `json:"silence,omitempty"`
	Crash                bool          `json:"crash,omitempty"`
	CrashFor             time.Duration `json:"crash_for_ns,omitempty"`
}

// serveControl returns the faults after replacing them on PUT.
func (b *Backend) serveControl(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodPut {
		var control backendControl
		if err := readControl(r, &control); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		b.SetFaults(control.Faults)
		b.SetDraining(control.Draining)
		if control.BlackholeConnections {
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

func readControl(r *http.Request, control any) error {
	decoder := json.NewDecoder(r.Body)
	decoder.DisallowUnknownFields()
	return decoder.Decode(control)
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

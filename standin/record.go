package standin

import (
	"sync"
	"time"

	"github.com/goldcrestspan/goldcrestspan/ident"
	"github.com/goldcrestspan/goldcrestspan/snapshot"
)

// Run is one execution of a call at a backend server.
type Run struct {
	Server      string           `json:"server"`
	Incarnation uint64           `json:"incarnation"`
	Request     ident.RequestID  `json:"-"`
	RequestText string           `json:"request"`
	Attempt     ident.AttemptID  `json:"attempt"`
	Service     string           `json:"service"`
	Index       string           `json:"index"`
	Shard       snapshot.ShardID `json:"shard"`
	Snapshot    snapshot.Version `json:"snapshot"`
	Idempotent  bool             `json:"idempotent"`
	Body        string           `json:"body"` // digest of the request body
	Started     time.Time        `json:"started"`
	Ended       time.Time        `json:"ended"` // zero while it runs
	// Completed is false for a run that was cancelled or crashed.
	Completed bool `json:"completed"`
}

// Record records the runs of one or more backend servers.
type Record struct {
	mu       sync.Mutex
	runs     []Run
	requests map[ident.RequestID][]int
	refused  uint64
}

// NewRecord returns an empty record.
func NewRecord() *Record {
	return &Record{requests: make(map[ident.RequestID][]int)}
}

// addRun adds a run that starts and returns its index.
func (r *Record) addRun(run Run) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	run.RequestText = run.Request.String()
	r.runs = append(r.runs, run)
	index := len(r.runs) - 1
	r.requests[run.Request] = append(r.requests[run.Request], index)
	return index
}

func (r *Record) endRun(index int, at time.Time, completed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs[index].Ended = at
	r.runs[index].Completed = completed
}

func (r *Record) addRefusal() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.refused++
}

// Runs returns all runs in the order of their starts.
func (r *Record) Runs() []Run {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Run(nil), r.runs...)
}

// Count returns the number of runs.
func (r *Record) Count() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.runs)
}

// Refused returns the number of calls that were refused before they ran.
func (r *Record) Refused() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.refused
}

// RunsOf returns the runs of one request.
func (r *Record) RunsOf(request ident.RequestID) []Run {
	r.mu.Lock()
	defer r.mu.Unlock()
	indexes := r.requests[request]
	runs := make([]Run, 0, len(indexes))
	for _, index := range indexes {
		runs = append(runs, r.runs[index])
	}
	return runs
}

// Reset empties the record. No run may be in progress.
func (r *Record) Reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs = nil
	r.requests = make(map[ident.RequestID][]int)
	r.refused = 0
}

package standin

import (
	"sync"
	"time"

	"github.com/goldcrestspan/goldcrestspan/ident"
	"github.com/goldcrestspan/goldcrestspan/snapshot"
)

// Run is one start of work at a backend server.
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
	Body        string           `json:"body"` // digest of the request's body
	Started     time.Time        `json:"started"`
	Ended       time.Time        `json:"ended"` // zero while it runs
	// Completed is false for work that was cancelled or crashed.
	Completed bool `json:"completed"`
}

// Record is the truth about what ran. Backend servers can share one.
type Record struct {
	mu       sync.Mutex
	runs     []Run
	requests map[ident.RequestID][]int
	refused  uint64
}

// NewRecord makes an empty record.
func NewRecord() *Record {
	return &Record{requests: make(map[ident.RequestID][]int)}
}

// start notes that work begins and returns its place in the record.
func (r *Record) start(run Run) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	run.RequestText = run.Request.String()
	r.runs = append(r.runs, run)
	place := len(r.runs) - 1
	r.requests[run.Request] = append(r.requests[run.Request], place)
	return place
}

func (r *Record) end(place int, at time.Time, completed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs[place].Ended = at
	r.runs[place].Completed = completed
}

func (r *Record) refuse() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.refused++
}

// Runs returns every run so far, in the order of their starts.
func (r *Record) Runs() []Run {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Run(nil), r.runs...)
}

// Count returns how many runs were started.
func (r *Record) Count() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.runs)
}

// Refused returns how many calls were refused before they ran.
func (r *Record) Refused() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.refused
}

// RunsOf returns the runs of one request.
func (r *Record) RunsOf(request ident.RequestID) []Run {
	r.mu.Lock()
	defer r.mu.Unlock()
	places := r.requests[request]
	runs := make([]Run, 0, len(places))
	for _, place := range places {
		runs = append(runs, r.runs[place])
	}
	return runs
}

// Reset empties the record. Work that still runs must not be in it.
func (r *Record) Reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs = nil
	r.requests = make(map[ident.RequestID][]int)
	r.refused = 0
}

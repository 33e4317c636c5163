package load

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/goldcrestspan/goldcrestspan/ident"
	"github.com/goldcrestspan/goldcrestspan/standin"
)

const (
	// maxLatency is the upper bound of the histograms; longer latencies count as
	// this one.
	maxLatency        = 2 * time.Minute
	significantDigits = 3
	bucketWidth       = time.Second
)

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxLatency.Microseconds(), significantDigits)
}

// stats collects the outcomes of one side, by class, by route and by second.
type stats struct {
	start  time.Time
	warmup time.Duration

	mu      sync.Mutex
	rows    map[string]*row // by class
	routes  map[string]*row
	seconds []*second
	// late counts answers that arrived after the caller's deadline.
	late    int
	legs    int
	lateIDs []string
	slowest []SlowRequest // longest first
}

// SlowRequest describes one of the slowest requests.
type SlowRequest struct {
	Request string  `json:"request"`
	Route   string  `json:"route"`
	Code    string  `json:"code"`
	At      float64 `json:"at_s"` // arrival
	Took    float64 `json:"took_ms"`
	// LastStart and LastEnd delimit its last run at a backend server, counted
	// from its arrival.
	LastStart float64 `json:"last_start_ms"`
	LastEnd   float64 `json:"last_end_ms"`
	Runs      int     `json:"runs"`

	intended time.Time
}

// maxSlowest limits the slow requests in a report.
const maxSlowest = 10

// addSlow adds the request to the slowest ones if it is one of them.
func (st *stats) addSlow(r request, o outcome) {
	took := float64(o.took.Microseconds()) / 1000
	if o.request == "" || len(st.slowest) == maxSlowest && took <= st.slowest[maxSlowest-1].Took {
		return
	}
	st.slowest = append(st.slowest, SlowRequest{
		Request: o.request, Route: r.stream.Route, Code: o.code,
		At: r.intended.Sub(st.start).Seconds(), Took: took, intended: r.intended,
	})
	slices.SortFunc(st.slowest, func(a, b SlowRequest) int { return cmp.Compare(b.Took, a.Took) })
	st.slowest = st.slowest[:min(len(st.slowest), maxSlowest)]
}

// addSlowRuns adds the backend runs of the slowest requests.
func (st *stats) addSlowRuns(record *standin.Record) {
	for i := range st.slowest {
		slow := &st.slowest[i]
		id, err := ident.ParseRequestID(slow.Request)
		if err != nil {
			continue
		}
		for _, run := range record.RunsOf(id) {
			slow.Runs++
			slow.LastStart = max(slow.LastStart, float64(run.Started.Sub(slow.intended).Microseconds())/1000)
			slow.LastEnd = max(slow.LastEnd, float64(run.Ended.Sub(slow.intended).Microseconds())/1000)
		}
	}
}

// row collects the outcomes of one class or route.
type row struct {
	times *hdrhistogram.Histogram // latencies of all requests, microseconds
	codes map[string]int
	// coverage is the sum of the answers' coverages.
	coverage float64
	answers  int
	complete int
}

// second collects the outcomes of the requests that arrived in one second.
type second struct {
	times    map[string]*hdrhistogram.Histogram
	coverage float64
	answers  int
	legs     int
	runs     int
}

func newStats(start time.Time, warmup time.Duration) *stats {
	return &stats{start: start, warmup: warmup, rows: make(map[string]*row), routes: make(map[string]*row)}
}

// lateTolerance allows for scheduling delays of the load generator.
const lateTolerance = 20 * time.Millisecond

// maxLateIDs limits the request ids of late answers in a report.
const maxLateIDs = 20

func (st *stats) add(r request, o outcome) {
	st.mu.Lock()
	defer st.mu.Unlock()
	at := r.intended.Sub(st.start)
	st.addToSecond(at, r, o)
	if at < st.warmup {
		return
	}
	st.addSlow(r, o)
	addToRow(st.rows, r.rowName(), o)
	addToRow(st.routes, r.stream.Route, o)
	if o.answered() && o.took > r.timeout+lateTolerance {
		st.late++
		if len(st.lateIDs) < maxLateIDs {
			st.lateIDs = append(st.lateIDs, o.request)
		}
	}
}

func addToRow(rows map[string]*row, name string, o outcome) {
	counted := rows[name]
	if counted == nil {
		counted = &row{times: newHistogram(), codes: make(map[string]int)}
		rows[name] = counted
	}
	record(counted.times, o.took)
	counted.codes[o.code]++
	if !o.answered() {
		return
	}
	counted.answers++
	counted.coverage += float64(o.covered) / float64(o.total)
	if o.covered == o.total {
		counted.complete++
	}
}

func (st *stats) addToSecond(at time.Duration, r request, o outcome) {
	s := st.second(at)
	if s.times[r.rowName()] == nil {
		s.times[r.rowName()] = newHistogram()
	}
	record(s.times[r.rowName()], o.took)
	if !r.stream.Booking {
		s.legs += o.legs
		st.legs += o.legs
	}
	if o.answered() {
		s.answers++
		s.coverage += float64(o.covered) / float64(o.total)
	}
}

func (st *stats) second(at time.Duration) *second {
	i := int(max(at, 0) / bucketWidth)
	for len(st.seconds) <= i {
		st.seconds = append(st.seconds, &second{times: make(map[string]*hdrhistogram.Histogram)})
	}
	return st.seconds[i]
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(d, 0), maxLatency).Microseconds())
}

// countRuns counts the runs of queries at the backend servers by second. Call it
// after the last run has ended.
func (st *stats) countRuns(runs []standin.Run) (total int) {
	st.mu.Lock()
	defer st.mu.Unlock()
	for _, run := range runs {
		if !run.Idempotent {
			continue
		}
		st.second(run.Started.Sub(st.start)).runs++
		total++
	}
	return total
}

// counts returns how many requests have finished so far, and how many of these
// were answered.
func (st *stats) counts() (finished, answered int) {
	st.mu.Lock()
	defer st.mu.Unlock()
	for _, s := range st.seconds {
		answered += s.answers
		for _, times := range s.times {
			finished += int(times.TotalCount())
		}
	}
	return finished, answered
}

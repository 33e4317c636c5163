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
	// longestTime is the longest that the histograms hold.
	longestTime = 2 * time.Minute
	digits      = 3
	bucketTime  = time.Second
)

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, longestTime.Microseconds(), digits)
}

// tally is what happened on one side, by class and over time.
type tally struct {
	start  time.Time
	warmup time.Duration

	mu      sync.Mutex
	rows    map[string]*row // by class
	routes  map[string]*row
	seconds []*second
	// late counts answers that came after the caller's deadline.
	late    int
	legs    int
	lateIDs []string
	slowest []Slow // longest first
}

// Slow is one of the requests that took longest.
type Slow struct {
	Request string  `json:"request"`
	Route   string  `json:"route"`
	Code    string  `json:"code"`
	At      float64 `json:"at_s"` // of its arrival
	Took    float64 `json:"took_ms"`
	// LastStart and LastEnd are those of its last run at a backend server,
	// after its arrival.
	LastStart float64 `json:"last_start_ms"`
	LastEnd   float64 `json:"last_end_ms"`
	Runs      int     `json:"runs"`

	intended time.Time
}

// slowestKept is how many slow requests a report names.
const slowestKept = 10

// noteSlow keeps the requests that took longest.
func (t *tally) noteSlow(r request, o outcome) {
	took := float64(o.took.Microseconds()) / 1000
	if o.request == "" || len(t.slowest) == slowestKept && took <= t.slowest[slowestKept-1].Took {
		return
	}
	t.slowest = append(t.slowest, Slow{
		Request: o.request, Route: r.stream.Route, Code: o.code,
		At: r.intended.Sub(t.start).Seconds(), Took: took, intended: r.intended,
	})
	slices.SortFunc(t.slowest, func(a, b Slow) int { return cmp.Compare(b.Took, a.Took) })
	t.slowest = t.slowest[:min(len(t.slowest), slowestKept)]
}

// explainSlow adds what the backend servers recorded of the slow requests.
func (t *tally) explainSlow(record *standin.Record) {
	for i := range t.slowest {
		s := &t.slowest[i]
		id, err := ident.ParseRequestID(s.Request)
		if err != nil {
			continue
		}
		for _, run := range record.RunsOf(id) {
			s.Runs++
			s.LastStart = max(s.LastStart, float64(run.Started.Sub(s.intended).Microseconds())/1000)
			s.LastEnd = max(s.LastEnd, float64(run.Ended.Sub(s.intended).Microseconds())/1000)
		}
	}
}

// row is one class or route; times are in microseconds.
type row struct {
	times *hdrhistogram.Histogram // of every request
	codes map[string]int
	// coverage sums the answers' shares of shards.
	coverage float64
	answers  int
	complete int
}

// second is what arrived in one second of the run.
type second struct {
	times    map[string]*hdrhistogram.Histogram
	coverage float64
	answers  int
	legs     int
	runs     int
}

func newTally(start time.Time, warmup time.Duration) *tally {
	return &tally{start: start, warmup: warmup, rows: make(map[string]*row), routes: make(map[string]*row)}
}

// lateTolerance is for the way of the answer through a busy process.
const lateTolerance = 20 * time.Millisecond

// maxLateIDs bounds the request ids of late answers in the report.
const maxLateIDs = 20

func (t *tally) add(r request, o outcome) {
	t.mu.Lock()
	defer t.mu.Unlock()
	at := r.intended.Sub(t.start)
	t.addToSecond(at, r, o)
	if at < t.warmup {
		return
	}
	t.noteSlow(r, o)
	addToRow(t.rows, r.row(), o)
	addToRow(t.routes, r.stream.Route, o)
	if o.answered() && o.took > r.wait+lateTolerance {
		t.late++
		if len(t.lateIDs) < maxLateIDs {
			t.lateIDs = append(t.lateIDs, o.request)
		}
	}
}

func addToRow(rows map[string]*row, name string, o outcome) {
	c := rows[name]
	if c == nil {
		c = &row{times: newHistogram(), codes: make(map[string]int)}
		rows[name] = c
	}
	record(c.times, o.took)
	c.codes[o.code]++
	if !o.answered() {
		return
	}
	c.answers++
	c.coverage += float64(o.have) / float64(o.total)
	if o.have == o.total {
		c.complete++
	}
}

func (t *tally) addToSecond(at time.Duration, r request, o outcome) {
	s := t.second(at)
	if s.times[r.row()] == nil {
		s.times[r.row()] = newHistogram()
	}
	record(s.times[r.row()], o.took)
	if !r.stream.Booking {
		s.legs += o.legs
		t.legs += o.legs
	}
	if o.answered() {
		s.answers++
		s.coverage += float64(o.have) / float64(o.total)
	}
}

func (t *tally) second(at time.Duration) *second {
	i := int(max(at, 0) / bucketTime)
	for len(t.seconds) <= i {
		t.seconds = append(t.seconds, &second{times: make(map[string]*hdrhistogram.Histogram)})
	}
	return t.seconds[i]
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(d, 0), longestTime).Microseconds())
}

// addRuns counts the queries' runs at the backend servers, by second. Call it
// when nothing runs any more.
func (t *tally) addRuns(runs []standin.Run) (total int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, run := range runs {
		if !run.Idempotent {
			continue
		}
		t.second(run.Started.Sub(t.start)).runs++
		total++
	}
	return total
}

// counts is for the progress lines.
func (t *tally) counts() (requests, answers int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, s := range t.seconds {
		answers += s.answers
		for _, times := range s.times {
			requests += int(times.TotalCount())
		}
	}
	return requests, answers
}

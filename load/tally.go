package load

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

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
	rows    map[string]*row
	seconds []*second
	// late counts answers that came after the caller's deadline.
	late    int
	legs    int
	lateIDs []string
}

// row is one class; times are in microseconds.
type row struct {
	times    *hdrhistogram.Histogram // of every request
	answered *hdrhistogram.Histogram // of those with an answer
	codes    map[string]int
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
	return &tally{start: start, warmup: warmup, rows: make(map[string]*row)}
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
	t.addToRow(r, o)
	if o.answered() && o.took > r.wait+lateTolerance {
		t.late++
		if len(t.lateIDs) < maxLateIDs {
			t.lateIDs = append(t.lateIDs, o.request)
		}
	}
}

func (t *tally) addToRow(r request, o outcome) {
	c := t.rows[r.row()]
	if c == nil {
		c = &row{times: newHistogram(), answered: newHistogram(), codes: make(map[string]int)}
		t.rows[r.row()] = c
	}
	record(c.times, o.took)
	c.codes[o.code]++
	if !o.answered() {
		return
	}
	record(c.answered, o.took)
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

package demo

import (
	"fmt"
	"io"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/goldcrestspan/goldcrestspan/backend"
	"github.com/goldcrestspan/goldcrestspan/client"
	"github.com/goldcrestspan/goldcrestspan/standin"
)

// classBooking is the report's row of bookings.
const classBooking = "booking"

// maxMicroseconds is the longest time that the histograms hold.
const maxMicroseconds = int64(time.Minute / time.Microsecond)

type report struct {
	mu      sync.Mutex
	classes map[string]*classReport
	sent    int
}

type classReport struct {
	times    *hdrhistogram.Histogram // microseconds
	codes    map[string]int
	coverage float64
	answers  int
	legs     int
}

func newReport() *report { return &report{classes: make(map[string]*classReport)} }

func (r *report) count() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.sent
}

func (r *report) add(class string, took time.Duration, answer *client.Answer, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sent++
	c := r.classes[class]
	if c == nil {
		c = &classReport{times: hdrhistogram.New(1, maxMicroseconds, 3), codes: make(map[string]int)}
		r.classes[class] = c
	}
	_ = c.times.RecordValue(took.Microseconds()) // only fails over a minute
	c.codes[client.ResultName(answer, err)]++
	if answer != nil && answer.Coverage != nil {
		c.answers++
		c.legs += answer.Coverage.Total
		c.coverage += float64(answer.Coverage.Have) / float64(answer.Coverage.Total)
	}
}

// print writes a row for each class. The extra load is that of all classes:
// runs above one for each leg that had to run.
func (r *report) print(w io.Writer, record *standin.Record) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(w, "\n%-12s %6s %9s %9s %9s  %s\n", "class", "count", "p50", "p99", "coverage", "results")
	names := make([]string, 0, len(r.classes))
	for name := range r.classes {
		names = append(names, name)
	}
	sort.Strings(names)
	legs := 0
	for _, name := range names {
		c := r.classes[name]
		if name != classBooking {
			legs += c.legs
		}
		fmt.Fprintf(w, "%-12s %6d %6.1f ms %6.1f ms %8.2f%%  %s\n", name, c.times.TotalCount(),
			c.quantile(50), c.quantile(99), 100*c.coverage/float64(max(c.answers, 1)), codesText(c.codes))
	}
	runs := 0
	for _, run := range record.Runs() {
		if run.Idempotent {
			runs++
		}
	}
	fmt.Fprintf(w, "extra backend load: %.2f%% (%d runs for %d legs of queries)\n\n", 100*(float64(runs)/float64(max(legs, 1))-1), runs, legs)
}

func (c *classReport) quantile(q float64) float64 {
	return float64(c.times.ValueAtQuantile(q)) / 1000
}

func codesText(codes map[string]int) string {
	var words []string
	for name, n := range codes {
		words = append(words, fmt.Sprintf("%s=%d", name, n))
	}
	sort.Strings(words)
	return strings.Join(words, " ")
}

func bodyDigest(body []byte) string { return backend.Digest(body) }

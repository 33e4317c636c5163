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

// classBooking is the row of the report for bookings.
const classBooking = "booking"

// maxLatencyMicros is the highest value of the histograms.
const maxLatencyMicros = int64(time.Minute / time.Microsecond)

type report struct {
	mu      sync.Mutex
	byClass map[string]*classReport
	sent    int
}

type classReport struct {
	latencies   *hdrhistogram.Histogram // microseconds
	codeCounts  map[string]int
	coverageSum float64
	answers     int
	legs        int
}

func newReport() *report { return &report{byClass: make(map[string]*classReport)} }

func (r *report) sentCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.sent
}

func (r *report) record(class string, took time.Duration, answer *client.Answer, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sent++
	c := r.byClass[class]
	if c == nil {
		c = &classReport{latencies: hdrhistogram.New(1, maxLatencyMicros, 3), codeCounts: make(map[string]int)}
		r.byClass[class] = c
	}
	_ = c.latencies.RecordValue(took.Microseconds()) // fails only above the highest value
	c.codeCounts[client.ResultName(answer, err)]++
	if answer != nil && answer.Coverage != nil {
		c.answers++
		c.legs += answer.Coverage.Total
		c.coverageSum += float64(answer.Coverage.Have) / float64(answer.Coverage.Total)
	}
}

// print writes a row for each class and the extra backend load: the runs in excess
// of one per leg, as a fraction of the legs.
func (r *report) print(w io.Writer, record *standin.Record) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(w, "\n%-12s %6s %9s %9s %9s  %s\n", "class", "count", "p50", "p99", "coverage", "results")
	names := make([]string, 0, len(r.byClass))
	for name := range r.byClass {
		names = append(names, name)
	}
	sort.Strings(names)
	legs := 0
	for _, name := range names {
		c := r.byClass[name]
		if name != classBooking {
			legs += c.legs
		}
		fmt.Fprintf(w, "%-12s %6d %6.1f ms %6.1f ms %8.2f%%  %s\n", name, c.latencies.TotalCount(),
			c.percentileMillis(50), c.percentileMillis(99), 100*c.coverageSum/float64(max(c.answers, 1)), formatCodes(c.codeCounts))
	}
	runs := 0
	for _, run := range record.Runs() {
		if run.Idempotent {
			runs++
		}
	}
	fmt.Fprintf(w, "extra backend load: %.2f%% (%d runs for %d legs of queries)\n\n", 100*(float64(runs)/float64(max(legs, 1))-1), runs, legs)
}

func (c *classReport) percentileMillis(q float64) float64 {
	return float64(c.latencies.ValueAtQuantile(q)) / 1000
}

func formatCodes(codes map[string]int) string {
	var words []string
	for name, n := range codes {
		words = append(words, fmt.Sprintf("%s=%d", name, n))
	}
	sort.Strings(words)
	return strings.Join(words, " ")
}

func bodyDigest(body []byte) string { return backend.Digest(body) }

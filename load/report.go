package load

import (
	"maps"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/goldcrestspan/goldcrestspan/testbed"
)

// Names of the sides in reports.
const (
	sideTier   = "tier"
	sideDirect = "direct"
)

// Report is the result of a run. Times are in milliseconds unless noted.
type Report struct {
	Shape       string  `json:"shape"`
	Hosts       int     `json:"hosts"`
	Utilization float64 `json:"share"`
	Scale       float64 `json:"scale"`
	For         string  `json:"for"`
	Seed        uint64  `json:"seed"`
	// Sides that ran, in the order tier, direct.
	Sides []SideReport `json:"sides"`
	// Ratios are the latencies of tier divided by those of direct.
	Ratios []Ratio        `json:"ratios,omitempty"`
	Events []AppliedEvent `json:"events,omitempty"`
	// SenderLateP99 is the delay of the load generator's own sends. Above a few
	// milliseconds the load generator limits the run.
	SenderLateP99 float64 `json:"sender_late_p99_ms"`
	// CPUPerRun is the CPU time of the process for each backend run, in
	// microseconds, including callers and stand-ins. CPUCores is the mean number
	// of cores in use.
	CPUPerRun  float64 `json:"cpu_per_leg_us"`
	CPUCores   float64 `json:"cpu_cores"`
	PeakMemory int64   `json:"peak_memory_bytes"`
	// PoisonRuns counts the runs of poison requests that crashed a server.
	PoisonRuns int                 `json:"poison_runs,omitempty"`
	Checked    int                 `json:"replies_checked"`
	Violations []testbed.Violation `json:"broken,omitempty"`
}

// SideReport is the result of one side.
type SideReport struct {
	Name string      `json:"name"`
	Rows []RowReport `json:"classes"`
	// Routes counts the same requests by route.
	Routes []RowReport `json:"routes"`
	// Late counts answers that arrived after the caller's deadline.
	Late    int      `json:"late_answers"`
	LateIDs []string `json:"late_request_ids,omitempty"`
	Dropped int64    `json:"not_sent"`
	// Runs counts the runs of queries at backend servers, Legs the runs that were
	// needed: one for each shard of a query.
	Runs int `json:"runs"`
	Legs int `json:"legs"`
	// Refused counts the calls that backend servers refused.
	Refused uint64 `json:"refused_calls"`
	// ExtraLoad is Runs/Legs - 1.
	ExtraLoad float64       `json:"extra_load"`
	Slowest   []SlowRequest `json:"slowest,omitempty"`

	seconds []*second
	rows    map[string]*row
}

// RowReport is the result of one class or route.
type RowReport struct {
	Name  string  `json:"name"`
	Count int64   `json:"count"`
	P50   float64 `json:"p50_ms"`
	P99   float64 `json:"p99_ms"`
	P999  float64 `json:"p999_ms"`
	// Answered is the fraction of requests with an answer, Complete the fraction
	// with a complete one. Coverage is the mean over the answers.
	Answered float64        `json:"answered"`
	Complete float64        `json:"complete"`
	Coverage float64        `json:"coverage"`
	Codes    map[string]int `json:"codes"`
}

// Ratio compares the latencies of one class or route on the two sides.
type Ratio struct {
	Name string  `json:"name"`
	P50  float64 `json:"p50"`
	P99  float64 `json:"p99"`
	P999 float64 `json:"p999"`
}

func (r *run) report(cpuUsed time.Duration) *Report {
	opts := r.options
	report := &Report{
		Shape: opts.Shape.Name, Hosts: opts.Hosts, Utilization: opts.Utilization, Scale: opts.Scale,
		For: opts.Duration.String(), Seed: opts.Seed,
		Events:        r.injector.applied,
		SenderLateP99: r.senderDelayP99(),
		CPUCores:      cpuUsed.Seconds() / opts.Duration.Seconds(),
		PeakMemory:    peakMemory(),
	}
	runs := 0
	for _, side := range r.sides {
		sideReport := side.report()
		runs += side.cluster.Record.Count()
		report.Sides = append(report.Sides, sideReport)
	}
	report.CPUPerRun = float64(cpuUsed.Microseconds()) / float64(max(runs, 1))
	if len(report.Sides) == 2 {
		tier, direct := report.Sides[0], report.Sides[1]
		report.Ratios = append(ratios(tier.Rows, direct.Rows), ratios(tier.Routes, direct.Routes)...)
	}
	if r.checker != nil {
		report.Violations, report.Checked = r.checker.Finish()
		report.PoisonRuns = r.injector.poisonRuns()
	}
	return report
}

func (r *run) senderDelayP99() float64 {
	merged := newHistogram()
	for _, row := range r.senderDelay.rows {
		merged.Merge(row.times)
	}
	return milliseconds(merged, 99)
}

func (s *sideRun) report() SideReport {
	st := s.stats
	runs := st.countRuns(s.cluster.Record.Runs())
	st.addSlowRuns(s.cluster.Record)
	result := SideReport{
		Slowest: st.slowest,
		Name:    s.name, Late: st.late, LateIDs: st.lateIDs, Dropped: s.dropped.Load(),
		Runs: runs, Legs: st.legs, Refused: s.cluster.Record.Refused(),
		ExtraLoad: float64(runs)/float64(max(st.legs, 1)) - 1,
		seconds:   st.seconds, rows: st.rows,
	}
	result.Rows = rowReports(st.rows)
	result.Routes = rowReports(st.routes)
	return result
}

func rowReports(rows map[string]*row) []RowReport {
	var reports []RowReport
	for _, name := range slices.Sorted(maps.Keys(rows)) {
		reports = append(reports, rows[name].report(name))
	}
	return reports
}

func (r *row) report(name string) RowReport {
	count := r.times.TotalCount()
	return RowReport{
		Name: name, Count: count,
		P50: milliseconds(r.times, 50), P99: milliseconds(r.times, 99), P999: milliseconds(r.times, 99.9),
		Answered: float64(r.answers) / float64(count),
		Complete: float64(r.complete) / float64(count),
		Coverage: r.coverage / float64(max(r.answers, 1)),
		Codes:    r.codes,
	}
}

// milliseconds returns a percentile of a histogram of microseconds.
func milliseconds(h *hdrhistogram.Histogram, percentile float64) float64 {
	return float64(h.ValueAtPercentile(percentile)) / 1000
}

func ratios(tier, direct []RowReport) []Ratio {
	var result []Ratio
	for _, t := range tier {
		for _, d := range direct {
			if t.Name == d.Name && d.P50 > 0 {
				result = append(result, Ratio{Name: t.Name, P50: t.P50 / d.P50, P99: t.P99 / d.P99, P999: t.P999 / d.P999})
			}
		}
	}
	return result
}

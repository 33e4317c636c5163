package load

import (
	"maps"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/goldcrestspan/goldcrestspan/testbed"
)

// Names of the sides.
const (
	sideTier   = "tier"
	sideDirect = "direct"
)

// Report is the result of a run. Times are in milliseconds.
type Report struct {
	Shape string  `json:"shape"`
	Hosts int     `json:"hosts"`
	Share float64 `json:"share"`
	Scale float64 `json:"scale"`
	For   string  `json:"for"`
	Seed  uint64  `json:"seed"`
	// Sides are in the order tier, direct.
	Sides []SideReport `json:"sides"`
	// Ratios are tier over direct.
	Ratios []Ratio        `json:"ratios,omitempty"`
	Events []AppliedEvent `json:"events,omitempty"`
	// SenderLateP99 is how late the load tool itself sent: above a few
	// milliseconds the machine is the limit, not the system.
	SenderLateP99 float64 `json:"sender_late_p99_ms"`
	// CPUPerLeg is the whole process's processor time for each backend run,
	// callers and stand-ins included, in microseconds; CPUCores the cores used.
	CPUPerLeg  float64 `json:"cpu_per_leg_us"`
	CPUCores   float64 `json:"cpu_cores"`
	PeakMemory int64   `json:"peak_memory_bytes"`
	// PoisonRuns is how many runs of poison requests crashed a server.
	PoisonRuns int                 `json:"poison_runs,omitempty"`
	Checked    int                 `json:"replies_checked"`
	Violations []testbed.Violation `json:"broken,omitempty"`
}

// SideReport is one side's figures.
type SideReport struct {
	Name string      `json:"name"`
	Rows []RowReport `json:"classes"`
	// Routes are the same requests by route.
	Routes []RowReport `json:"routes"`
	// Late counts answers after the caller's deadline.
	Late    int      `json:"late_answers"`
	LateIDs []string `json:"late_request_ids,omitempty"`
	Dropped int64    `json:"not_sent"`
	// Runs of queries at backend servers, for Legs that had to run.
	Runs int `json:"runs"`
	Legs int `json:"legs"`
	// Refused calls ran at no server: each cost a way there and back.
	Refused uint64 `json:"refused_calls"`
	// ExtraLoad is Runs above Legs, as a share.
	ExtraLoad float64 `json:"extra_load"`
	Slowest   []Slow  `json:"slowest,omitempty"`

	seconds []*second
	rows    map[string]*row
}

// RowReport is one class or route.
type RowReport struct {
	Name  string  `json:"name"`
	Count int64   `json:"count"`
	P50   float64 `json:"p50_ms"`
	P99   float64 `json:"p99_ms"`
	P999  float64 `json:"p999_ms"`
	// Answered is the share of requests with an answer, Complete that with a
	// complete one; Coverage is the mean over the answers.
	Answered float64        `json:"answered"`
	Complete float64        `json:"complete"`
	Coverage float64        `json:"coverage"`
	Codes    map[string]int `json:"codes"`
}

// Ratio compares one class or route on the two sides.
type Ratio struct {
	Name string  `json:"name"`
	P50  float64 `json:"p50"`
	P99  float64 `json:"p99"`
	P999 float64 `json:"p999"`
}

func (r *run) report(used time.Duration) *Report {
	o := r.options
	report := &Report{
		Shape: o.Shape.Name, Hosts: o.Hosts, Share: o.Share, Scale: o.Scale,
		For: o.For.String(), Seed: o.Seed,
		Events:        r.injector.marks,
		SenderLateP99: r.senderLate(),
		CPUCores:      used.Seconds() / o.For.Seconds(),
		PeakMemory:    peakMemory(),
	}
	runs := 0
	for _, lane := range r.sides {
		side := lane.report()
		runs += lane.bed.Record.Count()
		report.Sides = append(report.Sides, side)
	}
	report.CPUPerLeg = float64(used.Microseconds()) / float64(max(runs, 1))
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

func (r *run) senderLate() float64 {
	all := newHistogram()
	for _, row := range r.sending.rows {
		all.Merge(row.times)
	}
	return milliseconds(all, 99)
}

func (l *lane) report() SideReport {
	t := l.tally
	runs := t.addRuns(l.bed.Record.Runs())
	t.explainSlow(l.bed.Record)
	side := SideReport{
		Slowest: t.slowest,
		Name:    l.name, Late: t.late, LateIDs: t.lateIDs, Dropped: l.dropped.Load(),
		Runs: runs, Legs: t.legs, Refused: l.bed.Record.Refused(),
		ExtraLoad: float64(runs)/float64(max(t.legs, 1)) - 1,
		seconds:   t.seconds, rows: t.rows,
	}
	side.Rows = rowReports(t.rows)
	side.Routes = rowReports(t.routes)
	return side
}

func rowReports(rows map[string]*row) []RowReport {
	var reports []RowReport
	for _, name := range slices.Sorted(maps.Keys(rows)) {
		reports = append(reports, rows[name].report(name))
	}
	return reports
}

func (c *row) report(name string) RowReport {
	count := c.times.TotalCount()
	return RowReport{
		Name: name, Count: count,
		P50: milliseconds(c.times, 50), P99: milliseconds(c.times, 99), P999: milliseconds(c.times, 99.9),
		Answered: float64(c.answers) / float64(count),
		Complete: float64(c.complete) / float64(count),
		Coverage: c.coverage / float64(max(c.answers, 1)),
		Codes:    c.codes,
	}
}

func milliseconds(h *hdrhistogram.Histogram, percentile float64) float64 {
	return float64(h.ValueAtPercentile(percentile)) / 1000
}

func ratios(tier, direct []RowReport) []Ratio {
	var all []Ratio
	for _, a := range tier {
		for _, b := range direct {
			if a.Name == b.Name && b.P50 > 0 {
				all = append(all, Ratio{Name: a.Name, P50: a.P50 / b.P50, P99: a.P99 / b.P99, P999: a.P999 / b.P999})
			}
		}
	}
	return all
}

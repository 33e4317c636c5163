package bench

import (
	_ "embed"
	"fmt"
	"sync"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/pkg/errors"
)

//go:embed bounds.yaml
var boundsFile []byte

// Bounds are the regression bounds of the home policy in bounds.yaml.
type Bounds struct {
	Seeds   int     `yaml:"seeds"`   // number of runs, with seeds from 1 on; measures are their means
	Seconds int     `yaml:"seconds"` // virtual length of each run
	Warmup  int     `yaml:"warmup"`  // virtual seconds that are not measured
	Bounds  []Bound `yaml:"bounds"`
}

// Bound limits a measure of a case and a policy.
type Bound struct {
	Case     string   `yaml:"case"`
	Policy   string   `yaml:"policy"`
	Measure  string   `yaml:"measure"`
	Baseline string   `yaml:"over"`  // policy whose measure divides this one
	Class    *int     `yaml:"class"` // default: the first class of the case
	Min      *float64 `yaml:"least"`
	Max      *float64 `yaml:"most"`
}

// LoadBounds parses the embedded bounds.yaml.
func LoadBounds() (*Bounds, error) {
	var file struct {
		Home Bounds `yaml:"home"`
	}
	if err := yaml.Unmarshal(boundsFile, &file); err != nil {
		return nil, errors.Wrap(err, "bounds.yaml")
	}
	return &file.Home, nil
}

// Checker measures bounds and caches the results of each case and policy.
type Checker struct {
	bounds  *Bounds
	results map[string][]*Result
}

// NewChecker returns a checker for the bounds.
func NewChecker(b *Bounds) *Checker {
	return &Checker{bounds: b, results: make(map[string][]*Result)}
}

// Check measures one bound and returns an error if it is exceeded.
func (c *Checker) Check(b Bound) (float64, error) {
	value, err := c.measure(b, b.Policy)
	if err != nil {
		return 0, err
	}
	if b.Baseline != "" {
		base, err := c.measure(b, b.Baseline)
		if err != nil {
			return 0, err
		}
		value /= base
	}
	if b.Min != nil && value < *b.Min {
		return value, errors.Errorf("%s is %.4f, below the minimum %.4f", b, value, *b.Min)
	}
	if b.Max != nil && value > *b.Max {
		return value, errors.Errorf("%s is %.4f, above the maximum %.4f", b, value, *b.Max)
	}
	return value, nil
}

// String describes the bounded measure.
func (b Bound) String() string {
	s := fmt.Sprintf("%s, %s: %s", b.Case, b.Policy, b.Measure)
	if b.Baseline != "" {
		s += " over " + b.Baseline
	}
	return s
}

func (c *Checker) measure(b Bound, policy string) (float64, error) {
	results, err := c.run(b.Case, policy)
	if err != nil {
		return 0, err
	}
	sum := 0.0
	for _, r := range results {
		class := r.firstClass()
		if b.Class != nil {
			class = *b.Class
		}
		value, ok := r.Measure(class, b.Measure)
		if !ok {
			return 0, errors.Errorf("%s: unknown measure", b)
		}
		sum += value
	}
	return sum / float64(len(results)), nil
}

func (c *Checker) run(name, policy string) ([]*Result, error) {
	key := name + "/" + policy
	if r, ok := c.results[key]; ok {
		return r, nil
	}
	testCase, ok := CaseByName(name)
	if !ok {
		return nil, errors.Errorf("unknown case %q", name)
	}
	testCase.Length = time.Duration(c.bounds.Seconds) * time.Second
	testCase.Warmup = time.Duration(c.bounds.Warmup) * time.Second
	specs := testCase.Policies
	if len(specs) == 0 {
		specs = Policies()
	}
	for _, spec := range specs {
		if spec.Name == policy {
			c.results[key] = runSeeds(testCase, spec, c.bounds.Seeds)
			return c.results[key], nil
		}
	}
	return nil, errors.Errorf("case %s has no policy %q", name, policy)
}

// runSeeds runs the case concurrently with seeds 1 to n.
func runSeeds(c Case, spec PolicySpec, n int) []*Result {
	results := make([]*Result, n)
	var runs sync.WaitGroup
	for i := range results {
		runs.Go(func() { results[i] = Run(c, spec, uint64(i+1)) })
	}
	runs.Wait()
	return results
}

// firstClass returns the first class that has results.
func (r *Result) firstClass() int {
	class := 0
	for r.Classes[class] == nil {
		class++
	}
	return class
}

// Measure returns the figure with this name in bounds.yaml, times in milliseconds;
// false if there is none.
func (r *Result) Measure(class int, name string) (float64, bool) {
	g := r.Classes[class]
	if g == nil {
		return 0, false
	}
	switch name {
	case "p50":
		return milliseconds(g.Latency(0.5)), true
	case "p99":
		return milliseconds(g.Latency(0.99)), true
	case "p999":
		return milliseconds(g.Latency(0.999)), true
	case "coverage":
		return g.Coverage(), true
	case "full":
		return g.FullShare(), true
	case "goodput":
		return g.Goodput(), true
	case "extra":
		return r.ExtraAttempts(), true
	case "refused":
		return r.RefusedPerLeg(), true
	case "busy":
		return milliseconds(r.BusyPerLeg()), true
	default:
		return 0, false
	}
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

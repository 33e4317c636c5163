package home

import (
	"sync"
	"sync/atomic"
	"time"
)

// LatencyStats is what the homes of one host know together of their classes' service
// times. It is safe for concurrent use.
//
// Load: a search over hundreds of services, each of which a host asks some times a
// second, and which are new after a partition of the index. Harm prevented: it takes
// a home histogramLeast answers to know when a request is slow, half a minute at two
// a second, and until then it hedges late or not at all. The parts of one search
// are alike, so a single search over 180 services tells enough. Limit: as soon as a
// home knows the times of its own servers these count.
type LatencyStats struct {
	mu      sync.Mutex
	classes map[string]*sharedClass
}

// sharedClass is one class's times over all services.
type sharedClass struct {
	mu           sync.Mutex
	observed     histogram
	sinceRefresh int
	times        atomic.Pointer[quantiles]
}

// quantiles are those of a class's service times at healthy servers; the zero value:
// not yet known.
type quantiles struct {
	slow, typical, least time.Duration
}

// quantilesOf works them out; false with too few samples.
func quantilesOf(observed *histogram, slowQuantile float64) (q quantiles, ok bool) {
	if q.slow, ok = observed.quantile(slowQuantile); !ok {
		return quantiles{}, false
	}
	q.typical, _ = observed.quantile(typicalQuantile)
	q.least, _ = observed.quantile(leastQuantile)
	return q, true
}

// NewLatencyStats makes one that knows nothing yet.
func NewLatencyStats() *LatencyStats { return &LatencyStats{classes: make(map[string]*sharedClass)} }

// class returns the shared times of the class with the name.
func (s *LatencyStats) class(name string) *sharedClass {
	if s == nil {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.classes[name]
	if c == nil {
		c = &sharedClass{}
		s.classes[name] = c
	}
	return c
}

func (c *sharedClass) add(spent time.Duration, slowQuantile float64) {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.observed.add(spent)
	c.sinceRefresh++
	if c.sinceRefresh < refreshEvery {
		return
	}
	c.sinceRefresh = 0
	if q, ok := quantilesOf(&c.observed, slowQuantile); ok {
		c.times.Store(&q)
	}
}

func (c *sharedClass) quantiles() quantiles {
	if c == nil {
		return quantiles{}
	}
	if q := c.times.Load(); q != nil {
		return *q
	}
	return quantiles{}
}

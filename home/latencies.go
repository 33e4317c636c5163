package home

import (
	"sync"
	"sync/atomic"
	"time"
)

// LatencyStats holds the service times of each class observed by all homes of one host, so
// that a home of a new service can hedge before it has enough samples of its own: half a
// minute at two requests a second. The legs of one search are alike, so a single search over
// many services tells enough. It is safe for concurrent use.
type LatencyStats struct {
	mu      sync.Mutex
	classes map[string]*classLatencies
}

// classLatencies are the service times of one class over all services.
type classLatencies struct {
	mu                  sync.Mutex
	latencies           histogram
	samplesSinceRefresh int
	current             atomic.Pointer[quantiles]
}

// quantiles are quantiles of a class's service times at healthy servers. The zero value
// means not known yet.
type quantiles struct {
	slow, typical, fast time.Duration
}

// quantilesOf computes the quantiles, and returns false with too few
// samples.
func quantilesOf(observed *histogram, slowQuantile float64) (q quantiles, ok bool) {
	if q.slow, ok = observed.quantile(slowQuantile); !ok {
		return quantiles{}, false
	}
	q.typical, _ = observed.quantile(typicalQuantile)
	q.fast, _ = observed.quantile(fastQuantile)
	return q, true
}

// NewLatencyStats returns an empty LatencyStats.
func NewLatencyStats() *LatencyStats { return &LatencyStats{classes: make(map[string]*classLatencies)} }

// forClass returns the service times of the named class.
func (s *LatencyStats) forClass(name string) *classLatencies {
	if s == nil {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.classes[name]
	if c == nil {
		c = &classLatencies{}
		s.classes[name] = c
	}
	return c
}

func (c *classLatencies) add(spent time.Duration, slowQuantile float64) {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.latencies.add(spent)
	c.samplesSinceRefresh++
	if c.samplesSinceRefresh < refreshSamples {
		return
	}
	c.samplesSinceRefresh = 0
	if q, ok := quantilesOf(&c.latencies, slowQuantile); ok {
		c.current.Store(&q)
	}
}

func (c *classLatencies) quantiles() quantiles {
	if c == nil {
		return quantiles{}
	}
	if q := c.current.Load(); q != nil {
		return *q
	}
	return quantiles{}
}

package scatter

import "sync"

const (
	// stragglerWeight is the weight of the newest query: the share follows a burst within
	// some twenty queries, which is a tenth of a second of one.
	stragglerWeight = 0.05
	// maxStragglerClasses bounds the classes that are remembered.
	maxStragglerClasses = 1024
)

// stragglers measures, by class, the share of queries that were still waiting for shards at
// their soft cut-off. It is safe for concurrent use.
type stragglers struct {
	mu     sync.Mutex
	shares map[string]float64
}

func newStragglers() *stragglers { return &stragglers{shares: make(map[string]float64)} }

// share returns the share of the class's recent queries that waited at their soft cut-off,
// from 0 to 1.
func (s *stragglers) share(class string) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.shares[class]
}

// record adds one query of the class.
func (s *stragglers) record(class string, waited bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	sample := 0.0
	if waited {
		sample = 1
	}
	if _, known := s.shares[class]; !known && len(s.shares) >= maxStragglerClasses {
		clear(s.shares)
	}
	s.shares[class] += stragglerWeight * (sample - s.shares[class])
}

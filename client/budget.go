package client

import "sync"

// budgetBurst is how many retries may come at once after quiet times.
const budgetBurst = 10

// budget lets a share of requests be sent again.
//
// Load: every caller's requests refused at once, by a saturated service.
// Harm prevented: retries that multiply the load that caused the refusals.
// Reason for the limit: 10% by default adds no more than that to any load,
// yet covers the requests that a leaving host refuses.
type budget struct {
	mu     sync.Mutex
	share  float64
	tokens float64
}

func newBudget(share float64) *budget { return &budget{share: share, tokens: budgetBurst} }

func (b *budget) deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+b.share, budgetBurst)
}

func (b *budget) withdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

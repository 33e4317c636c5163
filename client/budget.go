package client

import (
	"sync"

	"github.com/goldcrestspan/goldcrestspan/retry"
)

// budgetBurst is how many retries may come at once after quiet times.
const budgetBurst = 10

// budget lets a share of requests be sent again: a retry.Budget for many
// goroutines.
//
// Load: every caller's requests refused at once, by a saturated service.
// Harm prevented: retries that multiply the load that caused the refusals.
// Reason for the limit: 10% by default adds no more than that to any load,
// yet covers the requests that a leaving host refuses.
type budget struct {
	mu     sync.Mutex
	budget retry.Budget
}

func newBudget(share float64) *budget {
	return &budget{budget: retry.NewBudget(share, budgetBurst)}
}

func (b *budget) deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.budget.Earn()
}

func (b *budget) withdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.budget.Spend()
}

package client

import (
	"sync"

	"github.com/goldcrestspan/goldcrestspan/retry"
)

// retryBurst is the number of retries that may be saved up.
const retryBurst = 10

// budget is a retry.Budget that is safe for concurrent use. It limits retries to
// a fraction of the requests, so that they do not amplify an overload.
type budget struct {
	mu     sync.Mutex
	budget retry.Budget
}

func newBudget(ratio float64) *budget {
	return &budget{budget: retry.NewBudget(ratio, retryBurst)}
}

func (b *budget) earn() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.budget.Earn()
}

func (b *budget) spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.budget.Spend()
}

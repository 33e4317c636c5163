package retry

import (
	lru "github.com/hashicorp/golang-lru/v2"
	"github.com/pkg/errors"
)

// KeyedBudgets holds one budget for each key, such as a caller's name. It evicts
// the least recently used keys; an evicted key starts again with a full budget.
// It is not safe for concurrent use.
type KeyedBudgets struct {
	ratio   float64
	burst   float64
	budgets *lru.Cache[string, *Budget]
}

// NewKeyedBudgets makes budgets with the ratio and burst for at most maxKeys keys.
func NewKeyedBudgets(ratio, burst float64, maxKeys int) (*KeyedBudgets, error) {
	budgets, err := lru.New[string, *Budget](maxKeys)
	if err != nil {
		return nil, errors.Wrap(err, "retry budgets")
	}
	return &KeyedBudgets{ratio: ratio, burst: burst, budgets: budgets}, nil
}

// ForKey returns the key's budget.
func (k *KeyedBudgets) ForKey(key string) *Budget {
	if b, ok := k.budgets.Get(key); ok {
		return b
	}
	b := NewBudget(k.ratio, k.burst)
	k.budgets.Add(key, &b)
	return &b
}

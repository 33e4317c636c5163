package retry

import (
	lru "github.com/hashicorp/golang-lru/v2"
	"github.com/pkg/errors"
)

// Keyed holds one budget for each key, such as a caller's name. It forgets the
// keys that were not used for longest, so that its memory is bounded; a
// forgotten key starts with a full budget. It is not safe for concurrent use.
type Keyed struct {
	ratio   float64
	burst   float64
	budgets *lru.Cache[string, *Budget]
}

// NewKeyed makes budgets with the ratio and burst for up to maxKeys keys.
func NewKeyed(ratio, burst float64, maxKeys int) (*Keyed, error) {
	budgets, err := lru.New[string, *Budget](maxKeys)
	if err != nil {
		return nil, errors.Wrap(err, "retry budgets")
	}
	return &Keyed{ratio: ratio, burst: burst, budgets: budgets}, nil
}

// Of returns the key's budget.
func (k *Keyed) Of(key string) *Budget {
	if b, ok := k.budgets.Get(key); ok {
		return b
	}
	b := NewBudget(k.ratio, k.burst)
	k.budgets.Add(key, &b)
	return &b
}

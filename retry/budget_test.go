package retry

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against retries that double the load of a service that refuses everything.
func TestRetriesAreShareOfFirstAttempts(t *testing.T) {
	is := is.New(t)
	b := NewBudget(0.1, 10)
	retries := 0
	for range 10_000 {
		b.Earn()
		for b.Spend() {
			retries++
		}
	}
	is.True(retries <= 1010)
	is.True(retries >= 1000)
}

// Guards against more extra attempts in ten seconds than the burst and the refill,
// and against a burst that is not refilled in quiet times.
func TestRefillByTimeKeepsWindowLimit(t *testing.T) {
	is := is.New(t)
	const burst, perSecond = 40, 3
	b := NewPartialBudget(0.12, burst, 0)
	b.SetRefillRate(perSecond)
	now := time.Date(2026, time.January, 1, 0, 0, 0, 0, time.UTC)
	var spent []time.Time
	for i := range 240 { // two minutes
		now = now.Add(500 * time.Millisecond)
		b.Refill(now)
		b.Earn()
		for i%60 > 40 && b.Spend() {
			spent = append(spent, now)
		}
	}
	is.True(len(spent) > 2*burst)
	for i := range spent {
		window := 0
		for _, at := range spent[i:] {
			if at.Sub(spent[i]) <= 10*time.Second {
				window++
			}
		}
		is.True(window <= burst+10*perSecond+21) // and what the requests earn
	}
}

func TestZeroBudgetAllowsNothing(t *testing.T) {
	is := is.New(t)
	var zero Budget
	none := NewBudget(0, 10)
	zero.Earn()
	none.Earn()
	is.True(!zero.Spend())
	is.True(!none.Spend())
	is.Equal(none.FillRatio(), 0.0)
}

func TestKeysHaveSeparateBudgets(t *testing.T) {
	is := is.New(t)
	budgets, err := NewKeyedBudgets(0.1, 1, 2)
	is.NoErr(err)
	is.True(budgets.ForKey("screens").Spend())
	is.True(!budgets.ForKey("screens").Spend())
	is.True(budgets.ForKey("desk").Spend())
	budgets.ForKey("third") // evicts the least recently used key
	is.True(budgets.ForKey("screens").Spend())
}

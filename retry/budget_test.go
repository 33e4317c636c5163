package retry

import (
	"testing"

	"github.com/matryer/is"
)

// A service refuses everything for a minute. Callers keep sending, each
// refusal asks for a retry, and without a bound the service would see twice
// the load just when it can't take any.
func TestRetriesStayAShareOfFirstAttempts(t *testing.T) {
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

func TestZeroBudgetAllowsNothing(t *testing.T) {
	is := is.New(t)
	var zero Budget
	none := NewBudget(0, 10)
	zero.Earn()
	none.Earn()
	is.True(!zero.Spend())
	is.True(!none.Spend())
	is.Equal(none.Fill(), 0.0)
}

func TestOneKeyDoesNotSpendAnothersBudget(t *testing.T) {
	is := is.New(t)
	budgets, err := NewKeyed(0.1, 1, 2)
	is.NoErr(err)
	is.True(budgets.Of("screens").Spend())
	is.True(!budgets.Of("screens").Spend())
	is.True(budgets.Of("desk").Spend())
	budgets.Of("third") // the least recently used key is forgotten
	is.True(budgets.Of("screens").Spend())
}

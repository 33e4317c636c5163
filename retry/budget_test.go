package retry

import (
	"testing"
	"time"

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

// A service is asked twice a second, and stragglers come in spells. In any ten seconds
// no more extra attempts may go out than the burst and ten seconds' earnings, and
// after a quiet spell the burst must be there again.
func TestBudgetEarnsByTimeAndKeepsItsWindow(t *testing.T) {
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
		is.True(window <= burst+10*perSecond+21) // and those of the requests
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

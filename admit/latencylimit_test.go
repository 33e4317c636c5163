package admit

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/goldcrestspan/goldcrestspan/result"
)

const testTarget = 300 * time.Millisecond

func searchRequest(now time.Time, caller string) Request {
	return Request{Caller: caller, Weight: 1, Deadline: now.Add(2 * time.Second), Target: now.Add(testTarget)}
}

// searchLegs returns legs that each waited and ran for the given times.
func searchLegs(wait, run time.Duration) []LegTiming {
	legs := make([]LegTiming, 30)
	for i := range legs {
		legs[i] = LegTiming{Time: wait + run, QueueTime: wait}
	}
	return legs
}

// runSearches admits and ends n searches that are in flight together and returns how many
// were refused.
func runSearches(c *Controller, now time.Time, n int, wait, run time.Duration) (refused int, reasons map[string]int) {
	var permits []*Permit
	reasons = make(map[string]int)
	for range n {
		permit, refusal := c.Admit(now, searchRequest(now, ""))
		if refusal != nil {
			refused++
			reasons[refusal.Reason]++
			continue
		}
		permits = append(permits, permit)
	}
	for _, permit := range permits {
		c.Release(now.Add(wait+run), permit, Completion{Answered: true, Legs: searchLegs(wait, run)})
	}
	return refused, reasons
}

// Guards against a limit that does not react to queues within a burst's first answers, and
// against one that refuses after the burst.
func TestLimitFollowsQueuesAndIsGoneAfterwards(t *testing.T) {
	is := is.New(t)
	c := testController(Limits{1000, 1 << 20})
	refused, _ := runSearches(c, start, 40, 400*time.Millisecond, 30*time.Millisecond)
	is.Equal(refused, 0) // no limit until a search was delayed
	refused, reasons := runSearches(c, start.Add(450*time.Millisecond), 40, 0, 30*time.Millisecond)
	is.True(refused > 20)
	is.Equal(reasons[ReasonLimit], refused)
	refused, _ = runSearches(c, start.Add(1500*time.Millisecond), 40, 0, 30*time.Millisecond)
	is.Equal(refused, 0) // a second later
}

// Guards against refusals while searches are late without any queue, which refusing others
// does not help: slow servers, or shards that are down.
func TestLatenessWithoutQueuesLimitsNothing(t *testing.T) {
	is := is.New(t)
	c := testController(Limits{1000, 1 << 20})
	for round := range 10 {
		at := start.Add(time.Duration(round) * 500 * time.Millisecond)
		refused, _ := runSearches(c, at, 40, 0, 450*time.Millisecond)
		is.Equal(refused, 0)
	}
	for round := range 10 {
		at := start.Add(time.Duration(10+round) * 500 * time.Millisecond)
		permit, refusal := c.Admit(at, searchRequest(at, ""))
		is.True(refusal == nil)
		legs := searchLegs(0, 30*time.Millisecond)
		for i := range 3 {
			legs[i] = LegTiming{Time: 2 * time.Second, QueueTime: -1, TimedOut: true}
		}
		c.Release(at.Add(400*time.Millisecond), permit, Completion{Legs: legs})
		is.Equal(c.Stats().Classes[0].Limit, 0.0)
	}
}

// Guards against a limit at which nothing is admitted any more, so that no recovery is found.
func TestOneSearchIsAlwaysAdmitted(t *testing.T) {
	is := is.New(t)
	c := testController(Limits{1000, 1 << 20})
	for round := range 20 {
		at := start.Add(time.Duration(round) * 600 * time.Millisecond)
		refused, _ := runSearches(c, at, 10, 500*time.Millisecond, 30*time.Millisecond)
		is.True(refused < 10)
	}
}

// Guards against retries of a burst that come back at once or after the caller has given up.
func TestRetriesAreSpreadWithinWhatCallersHonor(t *testing.T) {
	is := is.New(t)
	const left = 2 * time.Second
	is.Equal(SpreadRetry(left, 0, 0), 200*time.Millisecond)
	is.Equal(SpreadRetry(left, time.Hour, 1), 600*time.Millisecond)
	is.True(SpreadRetry(left, 500*time.Millisecond, 1) < SpreadRetry(left, time.Second, 1)) // follows the pace
}

// Guards against a refusal that is taken for a request that may have run, and against an
// admitted request that counts although the forecasts refused it.
func TestSearchRefusedAfterAdmissionIsNotCounted(t *testing.T) {
	is := is.New(t)
	c := testController(Limits{1000, 1 << 20})
	permit, refusal := c.Admit(start, searchRequest(start, "a"))
	is.True(refusal == nil)
	c.Release(start, permit, Completion{NotRun: true, Refused: ReasonForecast})
	stats := c.Stats().Classes[0]
	is.Equal(stats.InFlight, 0)
	is.Equal(stats.Refusals[ReasonForecast], 1)
	is.True(result.Overloaded.NotRun() && result.CallerOverShare.NotRun())
}

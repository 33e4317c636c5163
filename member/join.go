package member

import "time"

const (
	// firstJoinPause is the pause after a first question to the seeds that got
	// no answer; it doubles up to Config.ReconnectEvery. Hosts of a fleet that
	// starts are up within 0.3 s of each other.
	firstJoinPause = 150 * time.Millisecond
	// joinAgainAfter is how long after its first whole view a host looks whether
	// that was taken from a fleet that had itself just started.
	joinAgainAfter = 500 * time.Millisecond
	// joinAgainGrowth is how many times more hosts must be known by then for the
	// whole view to be worth asking for once more.
	joinAgainGrowth = 1.1
)

// join is a host's way into the fleet.
//
// Failure: a whole fleet starts at once. The seeds are up last, or know only
// who has asked them before, and news of the others comes with the probes of
// the next seconds. It shows as hosts that each take a handful for the whole
// fleet. The guard holds because a seed is asked again at once, and once more
// when the fleet has turned out to be larger than its first view: a fleet of 83
// is acquainted after 0.7 s in place of 3.6 s. A host that joins a running
// fleet asks once.
type join struct {
	tries int       // questions to the seeds so far
	known int       // hosts in the first whole view
	again time.Time // when to look at the view's growth; zero: not any more
}

// enter notes the first whole view.
func (j *join) enter(now time.Time, known int) {
	j.known = known
	j.again = now.Add(joinAgainAfter)
}

// dueAgain reports, once, that the view should be asked for again.
func (j *join) dueAgain(now time.Time, known int) bool {
	if j.again.IsZero() || now.Before(j.again) {
		return false
	}
	j.again = time.Time{}
	return float64(known) > joinAgainGrowth*float64(j.known)
}

// reconnectPause is the pause until the next try to reach a lost host, or, for
// a host that has not joined, the seeds.
func (m *Membership) reconnectPause() time.Duration {
	if m.joined {
		return m.config.ReconnectEvery
	}
	pause := min(firstJoinPause<<m.join.tries, m.config.ReconnectEvery)
	m.join.tries = min(m.join.tries+1, maxJoinTries)
	return pause
}

// maxJoinTries keeps the doubling within a duration.
const maxJoinTries = 8

package member

import (
	"math"
	"time"
)

// Config holds the settings of a Membership. Zero durations and counts take the
// defaults, which docs/design/membership.md gives reasons for.
type Config struct {
	Self Host
	// Seeds are peer addresses (IP and port) to call when no peer is known.
	Seeds []string

	ProbeEvery      time.Duration // one partner is probed in each; default 500 ms
	DirectTimeout   time.Duration // then other hosts are asked to probe; default 300 ms
	VerdictAfter    time.Duration // then a silent partner is suspected; default 600 ms
	SuspicionMin    time.Duration // time to refute a suspicion in a small fleet; default 1.5 s
	ReconnectEvery  time.Duration // one lost host is tried in each; default 2 s
	ForgetConfirmed time.Duration // dead hosts off the host list are kept so long; default 5 min
	ForgetAnyway    time.Duration // dead hosts still listed are kept so long; default 25 h
	ListFreshFor    time.Duration // an older host list confirms nothing; default 60 s
}

const (
	// partnerCount bounds the hosts that one host probes, and with them its
	// connections. With 16 random partners each, the chance that a host is
	// nobody's partner is e^-16, and partners change every rotateEvery.
	partnerCount = 16
	// At most zonePartnerCount of them are in other zones of the region, or more where
	// the own zone has too few: a zone that is lost is noticed by these, and news
	// crosses. Bytes between zones are dear to the users; with partners drawn
	// from the whole region two of three probes crossed.
	zonePartnerCount = 4
	// zoneLinks is how many partners the hosts of a zone need in other zones together:
	// so that each other zone is probed several times a second. Hosts of a large zone
	// have fewer each, one at least.
	zoneLinks = 24
	// remotePartnerCount of them are in other regions: enough to carry news
	// across, few enough that most probes stay within the region.
	remotePartnerCount = 3
	rotateEvery        = 30 * time.Second
	// indirectCount hosts are asked to probe a silent partner.
	indirectCount = 3
	// pushCount partners hear urgent news at once. Four leave e^-4 of the hosts
	// to the probes of the next second.
	pushCount = 4
	// pushDelay gathers urgent news that arrives together into one message.
	pushDelay = 30 * time.Millisecond
	// pauseAfter without a turn of the control loop means that the process was
	// paused: NextDue is never further away than ProbeEvery.
	pauseAfter = 1500 * time.Millisecond
	// isolatedAfter without an answer, a host doubts its own link.
	isolatedAfter = 2 * time.Second
	// suspicionPerDoubling lengthens the time to refute with the fleet's size,
	// because suspicion and refutation take longer to reach everyone.
	suspicionPerDoubling = 600 * time.Millisecond
	// smallFleet is the size up to which SuspicionMin is enough.
	smallFleet = 8
	// loadsPerMessage readings of other hosts in the zone ride on each message.
	loadsPerMessage = 4
)

func (c Config) withDefaults() Config {
	setDefault(&c.ProbeEvery, 500*time.Millisecond)
	setDefault(&c.DirectTimeout, 300*time.Millisecond)
	setDefault(&c.VerdictAfter, 600*time.Millisecond)
	setDefault(&c.SuspicionMin, 1500*time.Millisecond)
	setDefault(&c.ReconnectEvery, 2*time.Second)
	setDefault(&c.ForgetConfirmed, 5*time.Minute)
	setDefault(&c.ForgetAnyway, 25*time.Hour)
	setDefault(&c.ListFreshFor, time.Minute)
	return c
}

func setDefault(d *time.Duration, value time.Duration) {
	if *d == 0 {
		*d = value
	}
}

// suspicionTime is how long a suspect has to refute in a fleet of n hosts.
func (c Config) suspicionTime(n int) time.Duration {
	if n <= smallFleet {
		return c.SuspicionMin
	}
	doublings := math.Log2(float64(n) / smallFleet)
	return c.SuspicionMin + time.Duration(doublings*float64(suspicionPerDoubling))
}

package member

import (
	"math"
	"time"
)

// Config holds the settings of a Membership. Zero durations take the defaults,
// which docs/design/membership.md explains.
type Config struct {
	Self Host
	// Seeds are peer addresses (IP and port) to call while no peer is known.
	Seeds []string

	ProbeInterval       time.Duration // between probes of one neighbor each; default 500 ms
	DirectProbeTimeout  time.Duration // of a direct probe, before indirect ones; default 300 ms
	ProbeTimeout        time.Duration // of a probe with its indirect ones; default 600 ms
	MinSuspicionTimeout time.Duration // time to refute a suspicion in a small fleet; default 1.5 s
	ReconnectInterval   time.Duration // between attempts to reach a dead host; default 2 s
	KeepConfirmedDead   time.Duration // for which hosts in StateGone are kept; default 5 min
	KeepDead            time.Duration // for which any dead host is kept; default 25 h
	HostListMaxAge      time.Duration // age up to which a host list confirms deaths; default 60 s
}

const (
	// neighborCount bounds the hosts that one host probes, and with them its
	// connections. The chance that a host is no other's neighbor is e^-16.
	neighborCount = 16
	// maxCrossZoneNeighbors bounds the neighbors in other zones of the region, unless this
	// host's zone has too few hosts: traffic between zones is billed.
	maxCrossZoneNeighbors = 4
	// crossZoneLinks is the number of cross-zone neighbors that the hosts of a zone have
	// together, so that each other zone is probed several times a second.
	crossZoneLinks = 24
	// remoteNeighborCount is the number of neighbors in other regions: enough to carry updates
	// across, and few enough that most probes stay within the region.
	remoteNeighborCount = 3
	rotationInterval    = 30 * time.Second
	// indirectProbeCount hosts are asked to probe a neighbor that does not answer.
	indirectProbeCount = 3
	// pushFanout is the fanout of urgent updates. Four leave e^-4 of the hosts to the probes of
	// the next second.
	pushFanout = 4
	// pushDelay batches urgent updates into one message.
	pushDelay = 30 * time.Millisecond
	// pauseThreshold is the gap between entry points that means a pause of the process:
	// NextDue is never further away than ProbeInterval.
	pauseThreshold = 1500 * time.Millisecond
	// isolationTimeout is the time without a reply after which a host is isolated.
	isolationTimeout = 2 * time.Second
	// suspicionPerDoubling lengthens the suspicion timeout with the fleet's size,
	// because suspicions and refutations take longer to reach every host.
	suspicionPerDoubling = 600 * time.Millisecond
	// smallFleetSize is the size up to which MinSuspicionTimeout suffices.
	smallFleetSize = 8
	// maxLoadsPerMessage bounds the load readings of other hosts in a message.
	maxLoadsPerMessage = 4
)

func (c Config) withDefaults() Config {
	setDefault(&c.ProbeInterval, 500*time.Millisecond)
	setDefault(&c.DirectProbeTimeout, 300*time.Millisecond)
	setDefault(&c.ProbeTimeout, 600*time.Millisecond)
	setDefault(&c.MinSuspicionTimeout, 1500*time.Millisecond)
	setDefault(&c.ReconnectInterval, 2*time.Second)
	setDefault(&c.KeepConfirmedDead, 5*time.Minute)
	setDefault(&c.KeepDead, 25*time.Hour)
	setDefault(&c.HostListMaxAge, time.Minute)
	return c
}

func setDefault(setting *time.Duration, value time.Duration) {
	if *setting == 0 {
		*setting = value
	}
}

// suspicionTimeout is how long a suspect has to refute in a fleet of that many hosts.
func (c Config) suspicionTimeout(hosts int) time.Duration {
	if hosts <= smallFleetSize {
		return c.MinSuspicionTimeout
	}
	doublings := math.Log2(float64(hosts) / smallFleetSize)
	return c.MinSuspicionTimeout + time.Duration(doublings*float64(suspicionPerDoubling))
}

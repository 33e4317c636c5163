package home

import (
	"time"

	"github.com/goldcrestspan/goldcrestspan/backend"
	"github.com/goldcrestspan/goldcrestspan/eligible"
	"github.com/goldcrestspan/goldcrestspan/result"
)

const (
	// loadReportTTL is how long a server's load report is used.
	loadReportTTL = time.Second
	// answersPerRegainedSlot is the number of answers after which a slot that was given
	// up after a refusal is used again.
	answersPerRegainedSlot = 24
	// defaultSlowStartReplies is the number of answers after which a new server gets
	// its full concurrency.
	defaultSlowStartReplies = 16
	// minPause and maxPause bound the pause after a refusal. maxPause is how late a
	// recovered server may be noticed.
	minPause = time.Millisecond
	maxPause = 250 * time.Millisecond
	// ejectAfterFaults is above 1 so that one broken connection doesn't eject a server.
	ejectAfterFaults = 3
	// minEjection is the duration of the first ejection; it doubles with each
	// consecutive one up to maxEjection.
	minEjection = 200 * time.Millisecond
	maxEjection = 5 * time.Second
)

// server is the state of one backend server.
type server struct {
	spec         ServerSpec
	slots        int
	running      []*attempt
	serviceTimes []meanTime // indexed by class

	draining            bool
	warm                bool // slow start is over, whether or not the server counts as cold
	slowStartReplies    int
	reserveReportedLoad bool
	answers             int // since the start of the incarnation
	refusals            int // consecutive
	slotLimit           int // slots usable by this home after a refusal; 0 means all
	answersSinceLimit   int // answers since the last change of the slot limit
	refusalRate         failureRate
	faultRate           failureRate
	pausedUntil         time.Time
	faults              int // consecutive
	ejections           int // consecutive
	ejectedUntil        time.Time

	pipeline pipeline

	recentStarts     eligible.SlidingWindow // latest attempts, for the limit while cold
	assumedColdUntil time.Time              // counts as cold until then, after a failed connection

	reportedOthers int // requests of other hosts, as last reported by the server
	reportedAt     time.Time
	lastAnswer     time.Time
	recordedState  ServerState // as last recorded in changes
}

func newServer(now time.Time, spec ServerSpec, cfg *Config, warm bool) *server {
	slots := slotsOf(spec, cfg)
	return &server{
		spec:         spec,
		slots:        slots,
		running:      make([]*attempt, 0, slots+1),
		serviceTimes: make([]meanTime, len(cfg.Classes)),
		warm:         warm,

		slowStartReplies:    cfg.SlowStartReplies,
		reserveReportedLoad: cfg.ReserveReportedLoad,
		refusalRate:         failureRate{weight: refusalWeight},
		faultRate:           failureRate{weight: faultWeight},

		pipeline: pipeline{nextProbe: now.Add(firstProbe)},
	}
}

// slotsOf returns how many requests the server serves at once: as reported by the
// server itself, else as configured.
func slotsOf(spec ServerSpec, cfg *Config) int {
	if spec.Slots > 0 {
		return spec.Slots
	}
	return max(1, cfg.SlotsPerServer)
}

// inService reports whether the server may get requests at all. A drain announced by
// the server itself lasts until its next incarnation.
func (s *server) inService() bool { return !s.spec.Leaving && !s.draining }

// usable reports whether the server may get requests now.
func (s *server) usable(now time.Time) bool {
	return s.inService() && !now.Before(s.pausedUntil) && !now.Before(s.ejectedUntil) &&
		(!s.cold(now) || s.recentStarts.Allows(now, s.spec.Warmup.PerSecond))
}

// availableAt returns when a server in service becomes usable.
func (s *server) availableAt(now time.Time) time.Time {
	at := s.pausedUntil
	if s.ejectedUntil.After(at) {
		at = s.ejectedUntil
	}
	if warm := s.coldLimitUntil(now); warm.After(at) {
		at = warm
	}
	return at
}

// concurrency returns how many attempts the server may run at once. A server that has just
// started gets a concurrency that grows with its answers, so that a new server, which
// looks idle, doesn't take a large part of the legs. If no server is warm there is no
// slow start, since it would only remove capacity.
func (s *server) concurrency(anyWarm bool) int {
	limit := s.slots
	if s.slotLimit > 0 {
		limit = s.slotLimit
	}
	if s.warm || !anyWarm {
		return limit
	}
	return min(limit, 1+s.answers*(s.slots-1)/s.slowStartReplies)
}

// reduceSlots lowers the slots used by this home to the number in use when the server
// refused another attempt, so that two hosts acting as the home don't both fill all
// slots and spend the retry budget on refusals. One slot is always kept to notice that
// the server has recovered.
func (s *server) reduceSlots() {
	s.slotLimit = max(1, min(len(s.running), s.slots))
	s.answersSinceLimit = 0
}

// regainSlot returns one given-up slot after enough answers.
func (s *server) regainSlot() {
	if s.slotLimit == 0 {
		return
	}
	s.answersSinceLimit++
	if s.answersSinceLimit < answersPerRegainedSlot {
		return
	}
	s.answersSinceLimit = 0
	s.slotLimit++
	if s.slotLimit >= s.slots {
		s.slotLimit = 0
	}
}

// expectedSeconds returns the expected service time of a class in seconds. It includes the
// ages of running requests and is scaled by the refusal rate, so that a server that
// refuses often, and therefore looks fast and idle, doesn't attract more requests. Where
// half of the servers refuse two in five requests, half of all arrivals would otherwise be
// refused and the retry budget be spent within a second.
func (s *server) expectedSeconds(class int, prior float64, now time.Time) float64 {
	ages := 0.0
	for _, a := range s.running {
		if a.leg.Class == class && !a.pipelined {
			ages += now.Sub(a.started).Seconds()
		}
	}
	return s.serviceTimes[class].mean(now, ages, prior) / (1 - s.refusalRate.value(now))
}

// otherLoad returns the fraction of the server in use by other hosts according to a
// recent report. Reports lag, so it only breaks ties.
func (s *server) otherLoad(now time.Time) float64 {
	if s.reportedOthers == 0 || now.Sub(s.reportedAt) > loadReportTTL {
		return 0
	}
	return min(1, float64(s.reportedOthers)/float64(s.slots))
}

// capacity returns how many attempts of a class may be at the server, running or
// pipelined. Long requests aren't pipelined: a short one behind them would have to
// wait.
func (s *server) capacity(long, anyWarm bool, now time.Time) int {
	limit := s.concurrency(anyWarm)
	if limit == s.slots && !long {
		limit += s.pipeline.allowed(now)
	}
	if s.reserveReportedLoad {
		limit = max(1, limit-s.otherRequests(now))
	}
	return limit
}

// otherRequests returns the number of requests of other hosts according to a recent
// report.
func (s *server) otherRequests(now time.Time) int {
	if now.Sub(s.reportedAt) > loadReportTTL {
		return 0
	}
	return s.reportedOthers
}

// removeAttempt removes an attempt that ended; the others stay in sending order.
func (s *server) removeAttempt(a *attempt) {
	for i := range s.running {
		if s.running[i] == a {
			last := len(s.running) - 1
			copy(s.running[i:], s.running[i+1:])
			s.running[last] = nil
			s.running = s.running[:last]
			return
		}
	}
}

// recordLoad records the load report of a reply.
func (s *server) recordLoad(now time.Time, load backend.Load) {
	if load.Draining {
		s.draining = true
	}
	s.reportedOthers = max(0, load.Running+load.Queued-len(s.running))
	s.reportedAt = now
}

// recordAnswer records an answer, which ends pauses and ejections.
func (s *server) recordAnswer(now time.Time) {
	s.refusalRate.record(now, false)
	s.answers++
	if s.answers >= s.slowStartReplies {
		s.warm = true
	}
	s.regainSlot()
	s.refusals, s.faults, s.ejections = 0, 0, 0
	s.pausedUntil, s.ejectedUntil = time.Time{}, time.Time{}
}

// recordRefusal pauses the server after a refusal. The pause starts at about the time
// until a slot is free and doubles with each consecutive refusal, so that legs aren't
// sent to a full server as fast as it refuses them.
func (s *server) recordRefusal(now time.Time, slotWait, hint time.Duration) {
	s.refusalRate.record(now, true)
	s.reduceSlots()
	pause := max(slotWait, minPause) << min(s.refusals, 8)
	s.refusals++
	pause = max(min(pause, maxPause), min(hint, time.Second))
	s.pausedUntil = now.Add(pause)
}

// recordFault records a fault and reports whether the server should be ejected.
func (s *server) recordFault() bool {
	s.faults++
	return s.faults >= ejectAfterFaults
}

// eject removes the server from use for a time that doubles with each consecutive
// ejection.
func (s *server) eject(now time.Time) {
	s.ejectedUntil = now.Add(min(minEjection<<min(s.ejections, 10), maxEjection))
	s.ejections++
	s.faults = ejectAfterFaults - 1 // the next fault ejects it again
}

// isServerFault reports whether an attempt's end indicates a faulty server. Refusals,
// missing snapshots and cancelled calls don't.
func isServerFault(end AttemptResult) bool {
	switch end.Fault {
	case backend.FaultUnreachable, backend.FaultDeadline, backend.FaultUnresponsive, backend.FaultConnectionLost,
		backend.FaultCorruptReply, backend.FaultMisroutedReply, backend.FaultServerError:
		return true
	default:
		return false
	}
}

// isRefusal reports whether the server had no capacity for the attempt.
func isRefusal(end AttemptResult) bool {
	return end.Fault == backend.FaultShed || end.Fault == backend.FaultConnectionLimit ||
		(end.Outcome == result.OutcomeRefused && end.Fault == backend.FaultNone)
}

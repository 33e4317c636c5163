package home

import (
	"time"

	"github.com/goldcrestspan/goldcrestspan/backend"
	"github.com/goldcrestspan/goldcrestspan/eligible"
	"github.com/goldcrestspan/goldcrestspan/result"
)

const (
	// reportLife is how long a server's own word on its load counts.
	reportLife = time.Second
	// regainAfter is how many answers give back a slot that a refusal took.
	regainAfter = 24
	// warmAfter is how many answers a new server gives before it gets as much
	// at once as the others.
	warmAfter = 16
	// leastPause and mostPause bound the pause after a refusal. The longest
	// one is how late a recovered server is noticed.
	leastPause = time.Millisecond
	mostPause  = 250 * time.Millisecond
	// faultsToEject: fewer would eject a server for one broken connection.
	faultsToEject = 3
	// leastEjection doubles with each ejection in a row up to mostEjection.
	leastEjection = 200 * time.Millisecond
	mostEjection  = 5 * time.Second
)

// server is what the home knows of one backend server.
type server struct {
	spec    ServerSpec
	slots   int
	running []*attempt
	times   []meanTime // by class

	draining     bool
	warm         bool
	warmAfter    int // answers
	sharesSlots  bool
	answers      int // since the start of its incarnation
	refusals     int // in a row
	shared       int // slots that seem to be this home's; 0: all
	regain       int // answers since shared changed
	refusing     recentShare
	failing      recentShare
	pausedUntil  time.Time
	faults       int // in a row
	ejections    int // in a row
	ejectedUntil time.Time

	ahead ahead

	starts         eligible.Starts // of attempts while cold
	restartedUntil time.Time       // cold until then, as connections to it failed

	others     int // requests that are not this home's, by the server's report
	reportedAt time.Time
	answeredAt time.Time   // the last answer
	noted      ServerState // as TakeChanges told it last
}

func newServer(now time.Time, spec ServerSpec, cfg *Config, warm bool) *server {
	slots := slotsOf(spec, cfg)
	return &server{
		spec:    spec,
		slots:   slots,
		running: make([]*attempt, 0, slots+1),
		times:   make([]meanTime, len(cfg.Classes)),
		warm:    warm,

		warmAfter:   cfg.SlowStartReplies,
		sharesSlots: cfg.ReserveReportedLoad,
		refusing:    recentShare{weight: refusalWeight},
		failing:     recentShare{weight: faultWeight},

		ahead: ahead{nextProbe: now.Add(firstProbe)},
	}
}

// slotsOf is how many requests the server serves at once: its own word goes
// before the configuration's.
func slotsOf(spec ServerSpec, cfg *Config) int {
	if spec.Slots > 0 {
		return spec.Slots
	}
	return max(1, cfg.SlotsPerServer)
}

// inService reports whether the server may get work at all. A drain that the
// server itself announced lasts until a new incarnation, whatever other
// signals say.
func (s *server) inService() bool { return !s.spec.Leaving && !s.draining }

// usable reports whether the server may get work now.
func (s *server) usable(now time.Time) bool {
	return s.inService() && !now.Before(s.pausedUntil) && !now.Before(s.ejectedUntil) &&
		(!s.cold(now) || s.starts.Allows(now, s.spec.Warmup.PerSecond))
}

// availableAt is when a server in service is usable again.
func (s *server) availableAt(now time.Time) time.Time {
	at := s.pausedUntil
	if s.ejectedUntil.After(at) {
		at = s.ejectedUntil
	}
	if warm := s.warmerAt(now); warm.After(at) {
		at = warm
	}
	return at
}

// limit is how many attempts the server may run at once.
//
// Load: one server of a service was restarted and its caches are cold. Harm
// prevented: it looks idle, takes half of the legs, and each is a straggler.
// Reason for the slow start by answers: a cold server earns its share as fast
// as it answers, and costs at most a slot meanwhile. When no server is warm
// (the whole service restarted) a limit would only take capacity away.
func (s *server) limit(anyWarm bool) int {
	limit := s.slots
	if s.shared > 0 {
		limit = s.shared
	}
	if s.warm || !anyWarm {
		return limit
	}
	return min(limit, 1+s.answers*(s.slots-1)/s.warmAfter)
}

// cut lowers the slots this home counts on to what it had running when the
// server refused more.
//
// Load: views differ, and two hosts act as the home for seconds. Harm
// prevented: both fill all slots, a third of the attempts is refused, and the
// retry budget is spent on them until legs fail. Reason for the limits: one
// slot is kept, so that the server's recovery is seen; one comes back after
// regainAfter answers, so that a home that is alone again has all of them
// within a tenth of a second.
func (s *server) cut() {
	s.shared = max(1, min(len(s.running), s.slots))
	s.regain = 0
}

// regained gives a slot back after enough answers.
func (s *server) regained() {
	if s.shared == 0 {
		return
	}
	s.regain++
	if s.regain < regainAfter {
		return
	}
	s.regain = 0
	s.shared++
	if s.shared >= s.slots {
		s.shared = 0
	}
}

// expected is the service time in seconds to expect for a class, counting the
// requests that still run with their ages, and how often the server must be
// asked to serve one.
//
// Load: half of the servers of every service refuse two in five requests,
// whatever their load. Harm prevented: they answer fast and look idle, half of
// all arrivals are refused, and the budget of retries is spent within a second:
// up to 0.6 of the searches failed. Counted as slower by what they refuse they
// get work only where the others are full.
func (s *server) expected(class int, prior float64, now time.Time) float64 {
	ages := 0.0
	for _, a := range s.running {
		if a.leg.Class == class && !a.ahead {
			ages += now.Sub(a.started).Seconds()
		}
	}
	return s.times[class].mean(now, ages, prior) / (1 - s.refusing.share(now))
}

// othersShare is how much of the server others use, from 0 to 1, as far as its
// report is fresh. It only breaks ties: reports lag and mislead.
func (s *server) othersShare(now time.Time) float64 {
	if s.others == 0 || now.Sub(s.reportedAt) > reportLife {
		return 0
	}
	return min(1, float64(s.others)/float64(s.slots))
}

// room is how many attempts of a class may be at the server, running or sent
// ahead. Long work is not sent ahead: a short leg that comes would wait for it.
func (s *server) room(long, anyWarm bool, now time.Time) int {
	limit := s.limit(anyWarm)
	if limit == s.slots && !long {
		limit += s.ahead.allowed(now)
	}
	if s.sharesSlots {
		limit = max(1, limit-s.othersNow(now))
	}
	return limit
}

// othersNow is how many requests of other hosts the server has, as far as its
// report is fresh.
func (s *server) othersNow(now time.Time) int {
	if now.Sub(s.reportedAt) > reportLife {
		return 0
	}
	return s.others
}

// drop takes an attempt that ended off the server; the others keep the order
// in which they were sent.
func (s *server) drop(a *attempt) {
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

// observeLoad notes the load report of a reply.
func (s *server) observeLoad(now time.Time, load backend.Load) {
	if load.Draining {
		s.draining = true
	}
	s.others = max(0, load.Running+load.Queued-len(s.running))
	s.reportedAt = now
}

// answered notes a reply to use: all suspicion ends.
func (s *server) answered(now time.Time) {
	s.refusing.note(now, false)
	s.answers++
	if s.answers >= s.warmAfter {
		s.warm = true
	}
	s.regained()
	s.refusals, s.faults, s.ejections = 0, 0, 0
	s.pausedUntil, s.ejectedUntil = time.Time{}, time.Time{}
}

// refused pauses the server after it refused before it ran anything.
//
// Load: two hosts act as the home for a moment and use the same slots, or the
// server sheds for reasons of its own. Harm prevented: legs bounce off a full
// server as fast as the network carries them. Reason for the doubling: the
// first pause is about the time until a slot is free; a server that refuses
// again and again is asked a few times a second only.
func (s *server) refused(now time.Time, slotTime, hint time.Duration) {
	s.refusing.note(now, true)
	s.cut()
	pause := max(slotTime, leastPause) << min(s.refusals, 8)
	s.refusals++
	pause = max(min(pause, mostPause), min(hint, time.Second))
	s.pausedUntil = now.Add(pause)
}

// failed notes a fault and reports whether the server should be ejected.
func (s *server) failed() bool {
	s.faults++
	return s.faults >= faultsToEject
}

// eject takes the server out for a while.
func (s *server) eject(now time.Time) {
	s.ejectedUntil = now.Add(min(leastEjection<<min(s.ejections, 10), mostEjection))
	s.ejections++
	s.faults = faultsToEject - 1 // the first fault after it ejects again
}

// countsAsFault reports whether an end speaks against the server. A refusal is
// the server's right; a snapshot it lacks or a call that was cancelled is no
// fault of its.
func countsAsFault(end AttemptResult) bool {
	switch end.Fault {
	case backend.FaultUnreachable, backend.FaultDeadline, backend.FaultUnresponsive, backend.FaultConnectionLost,
		backend.FaultCorruptReply, backend.FaultMisroutedReply, backend.FaultServerError:
		return true
	default:
		return false
	}
}

// countsAsRefusal reports whether the server had no room for the attempt.
func countsAsRefusal(end AttemptResult) bool {
	return end.Fault == backend.FaultShed || end.Fault == backend.FaultConnectionLimit ||
		(end.Outcome == result.OutcomeRefused && end.Fault == backend.FaultNone)
}

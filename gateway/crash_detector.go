package gateway

import (
	"errors"
	"net"
	"syscall"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"github.com/goldcrestspan/goldcrestspan/backend"
	"github.com/goldcrestspan/goldcrestspan/bundle"
	"github.com/goldcrestspan/goldcrestspan/forward"
	"github.com/goldcrestspan/goldcrestspan/ident"
	"github.com/goldcrestspan/goldcrestspan/leg"
	"github.com/goldcrestspan/goldcrestspan/member"
	"github.com/goldcrestspan/goldcrestspan/peer"
	"github.com/goldcrestspan/goldcrestspan/quarantine"
	"github.com/goldcrestspan/goldcrestspan/result"
)

// crashDialTimeout bounds the dial that checks whether a server still listens.
const crashDialTimeout = 200 * time.Millisecond

// crashDetector finds the requests that crash the servers that run them, from the attempts
// of this host and the reports of the others, and holds them back. It implements
// homeserver.AttemptObserver.
type crashDetector struct {
	registry *quarantine.Registry
	suspects *quarantine.Suspects
	tracker  *quarantine.Tracker
	canaries *canaries
	announce func(member.SuspectRequestUpdate)
	log      *zap.Logger
	now      func() time.Time
	metrics  *crashMetrics
}

// crashMetrics counts presumed crashes and the decisions on suspects.
type crashMetrics struct {
	crashes   prometheus.Counter
	decisions *prometheus.CounterVec
}

// Label values of the decisions on suspects.
const (
	decisionRefused  = "refused"
	decisionHeldBack = "held_back"
	decisionCanary   = "canary"
)

func newCrashMetrics(registry *prometheus.Registry) (*crashMetrics, error) {
	m := &crashMetrics{
		crashes: prometheus.NewCounter(prometheus.CounterOpts{
			Namespace: "goldcrestspan", Name: "backend_crashes_total",
			Help: "Backend servers that this host presumes to have crashed.",
		}),
		decisions: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: "goldcrestspan", Name: "suspect_requests_total",
			Help: "Requests under which servers crashed, by decision: refused by a verdict, held back for a while, run as a canary.",
		}, []string{"decision"}),
	}
	if err := registry.Register(m.crashes); err != nil {
		return nil, err
	}
	return m, registry.Register(m.decisions)
}

func (g *Gateway) newCrashDetector(members *member.Agent, pool *peer.Pool, registry *prometheus.Registry) (*crashDetector, error) {
	metrics, err := newCrashMetrics(registry)
	if err != nil {
		return nil, err
	}
	defaults, err := bundle.Compile(0, bundle.Documents{})
	if err != nil {
		return nil, err
	}
	verdicts := quarantine.NewRegistry(defaults)
	suspects := quarantine.NewSuspects(verdicts)
	return &crashDetector{
		registry: verdicts,
		suspects: suspects,
		tracker:  quarantine.NewTracker(),
		canaries: newCanaries(g, suspects, members, pool),
		announce: members.AnnounceSuspectRequest,
		log:      g.log,
		now:      g.options.Now,
		metrics:  metrics,
	}, nil
}

// admit decides on a request that a caller has sent to this host.
func (d *crashDetector) admit(f quarantine.Fingerprint) quarantine.Admission {
	admission := d.suspects.Admit(d.now(), f)
	d.countRefusal(admission.Refusal)
	return admission
}

func (d *crashDetector) countCanary(decision quarantine.CanaryDecision) {
	if decision.Refusal == nil && !decision.Cleared {
		d.metrics.decisions.WithLabelValues(decisionCanary).Inc()
	}
	d.countRefusal(decision.Refusal)
}

func (d *crashDetector) countRefusal(refusal *result.Error) {
	switch {
	case refusal == nil:
	case refusal.Code == result.Quarantined:
		d.metrics.decisions.WithLabelValues(decisionRefused).Inc()
	default:
		d.metrics.decisions.WithLabelValues(decisionHeldBack).Inc()
	}
}

// mayBeSent is asked right before a request is sent to a server, whichever host chose it.
func (d *crashDetector) mayBeSent(f *forward.Request, body []byte) bool {
	if d.suspects.Empty() {
		return true
	}
	return d.suspects.Check(d.now(), fingerprintOf(f, body)) == nil
}

// CheckLeg implements homeserver.AttemptObserver. Suspects are held back on arrival and when
// they are sent.
func (d *crashDetector) CheckLeg(leg.Request) *result.Error { return nil }

// Started implements homeserver.AttemptObserver.
func (d *crashDetector) Started(id ident.AttemptID, server backend.Server, fingerprint uint64) {
	d.tracker.AttemptStarted(d.now(), id, instanceOf(server), quarantine.Fingerprint(fingerprint))
}

func instanceOf(server backend.Server) quarantine.Server {
	return quarantine.Server{Name: server.Name, Service: server.Service, Incarnation: server.Incarnation}
}

// Ended implements homeserver.AttemptObserver. Connections break for many reasons, so a crash
// is presumed only if the server's port is closed.
func (d *crashDetector) Ended(id ident.AttemptID, server backend.Server, fingerprint uint64, end backend.CallResult) (suspect bool) {
	f := quarantine.Fingerprint(fingerprint)
	event := d.tracker.AttemptEnded(d.now(), id, end.Outcome, end.Fault, end.Reply.Incarnation)
	if end.Fault == backend.FaultConnectionLost {
		if !refusesConnections(server.Address) {
			return d.suspects.IsSuspect(d.now(), f)
		}
		if refused := d.tracker.ConnectRefused(d.now(), server.Name); event.Crashed == nil {
			event = refused
		}
	}
	d.handle(event)
	if end.Outcome == result.OutcomeRan {
		d.suspects.RecordAnswer(d.now(), f)
		return false
	}
	// A request whose key is refused may not go to any other server either.
	return end.Fault == backend.FaultKeyRefused || d.suspects.IsSuspect(d.now(), f)
}

// refusesConnections reports whether nothing listens at the address. A host that doesn't
// respond is no sign of a crash of the process.
func refusesConnections(address string) bool {
	conn, err := net.DialTimeout("tcp", address, crashDialTimeout)
	if err == nil {
		_ = conn.Close()
		return false
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}

func (d *crashDetector) handle(event quarantine.Event) {
	switch {
	case event.Crashed != nil:
		d.recordCrash(*event.Crashed)
	case event.Recovered != nil:
		d.log.Info("backend server presumed crashed has answered", zap.String("server", event.Recovered.Name))
		d.suspects.RetractCrash(*event.Recovered)
	}
}

func (d *crashDetector) recordCrash(crash quarantine.Crash) {
	d.metrics.crashes.Inc()
	d.log.Info("backend server crashed", zap.String("server", crash.Name), zap.String("service", crash.Service), zap.Int("requests_in_flight", len(crash.Suspects)))
	for _, report := range d.suspects.RecordCrash(d.now(), crash) {
		d.log.Warn("servers crashed under a request", zap.Stringer("fingerprint", report.Fingerprint), zap.String("server", report.Server), zap.Bool("canary", report.Canary))
		d.announce(member.SuspectRequestUpdate{
			Fingerprint: uint64(report.Fingerprint), Server: report.Server, ServerIncarnation: report.Incarnation,
			InFlight: len(crash.Suspects), Canary: report.Canary, Age: report.Age,
		})
	}
}

// merge records a report of another host.
func (d *crashDetector) merge(update member.SuspectRequestUpdate) {
	d.log.Info("another host reports a crash under a request", zap.Stringer("fingerprint", quarantine.Fingerprint(update.Fingerprint)), zap.String("server", update.Server), zap.Bool("canary", update.Canary))
	d.suspects.Merge(d.now(), quarantine.PastReport{
		Report: quarantine.Report{
			Fingerprint: quarantine.Fingerprint(update.Fingerprint), Server: update.Server,
			Incarnation: update.ServerIncarnation, Canary: update.Canary,
		},
		Age: update.Age,
	})
}

// observeServers compares the servers' incarnations with those that have attempts, and
// forgets servers that are gone.
func (d *crashDetector) observeServers(inService map[string]backend.Server) {
	for _, server := range inService {
		if server.Incarnation != 0 {
			d.handle(d.tracker.ObserveIncarnation(d.now(), server.Name, server.Incarnation))
		}
	}
	d.tracker.Retain(d.now(), func(name string) bool {
		_, listed := inService[name]
		return listed
	})
}

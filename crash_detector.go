package goldcrestspan

import (
	"net"
	"time"

	"go.uber.org/zap"

	"github.com/goldcrestspan/goldcrestspan/backend"
	"github.com/goldcrestspan/goldcrestspan/ident"
	"github.com/goldcrestspan/goldcrestspan/leg"
	"github.com/goldcrestspan/goldcrestspan/member"
	"github.com/goldcrestspan/goldcrestspan/quarantine"
	"github.com/goldcrestspan/goldcrestspan/result"
	"github.com/goldcrestspan/goldcrestspan/scatter"
)

// crashDialTimeout bounds the dial that checks whether a server still listens.
const crashDialTimeout = 200 * time.Millisecond

// crashDetector observes attempts to find the requests that crash backend servers.
// It implements homeserver.AttemptObserver.
type crashDetector struct {
	servers            *serverRegistry
	quarantineRegistry *quarantine.Registry
	tracker            *quarantine.Tracker
	members            *member.Agent
	log                *zap.Logger
	now                func() time.Time
}

// CheckLeg implements homeserver.AttemptObserver.
func (c *crashDetector) CheckLeg(request leg.Request) *result.Error {
	return c.quarantineRegistry.CheckLeg(c.now(), quarantine.Fingerprint(request.Fingerprint), request.Service, c.tracker)
}

// Started implements homeserver.AttemptObserver.
func (c *crashDetector) Started(id ident.AttemptID, server backend.Server, fingerprint uint64) {
	c.tracker.AttemptStarted(c.now(), id, instanceOf(server), quarantine.Fingerprint(fingerprint))
}

func instanceOf(server backend.Server) quarantine.Server {
	return quarantine.Server{Name: server.Name, Service: server.Service, Incarnation: server.Incarnation}
}

// Ended implements homeserver.AttemptObserver. After a broken connection it dials
// the server, since a crash with one request in flight shows no other sign before
// the restart.
func (c *crashDetector) Ended(id ident.AttemptID, server backend.Server, fingerprint uint64, call backend.CallResult) (suspect bool) {
	c.servers.observeDrainSignal(server, call)
	f := quarantine.Fingerprint(fingerprint)
	c.handleEvent(c.tracker.AttemptEnded(c.now(), id, call.Outcome, call.Fault, call.Reply.Incarnation))
	if call.Fault == backend.FaultConnectionLost && !acceptsConnections(server.Address) {
		c.handleEvent(c.tracker.ConnectRefused(c.now(), server.Name))
	}
	if call.Usable() {
		c.announceVerdict(c.quarantineRegistry.RecordSuccess(c.now(), f, server.Service))
		return false
	}
	return c.quarantineRegistry.IsSuspected(c.now(), f, server.Service)
}

// acceptsConnections reports whether a dial of the address succeeds.
func acceptsConnections(address string) bool {
	conn, err := net.DialTimeout("tcp", address, crashDialTimeout)
	if err != nil {
		return false
	}
	_ = conn.Close()
	return true
}

func (c *crashDetector) handleEvent(event quarantine.Event) {
	switch {
	case event.Crashed != nil:
		c.log.Info("backend server crashed", zap.String("server", event.Crashed.Name), zap.Int("requests_in_flight", len(event.Crashed.Suspects)))
		c.announceVerdict(c.quarantineRegistry.RecordCrash(c.now(), *event.Crashed))
	case event.Recovered != nil:
		c.log.Info("backend server presumed crashed has answered", zap.String("server", event.Recovered.Name))
		c.quarantineRegistry.RetractCrash(*event.Recovered)
	}
}

// announceVerdict announces the evidence of a new verdict to the other hosts.
func (c *crashDetector) announceVerdict(f quarantine.Fingerprint, quarantined bool) {
	if !quarantined {
		return
	}
	c.log.Warn("request is quarantined", zap.Stringer("fingerprint", f))
	for _, evidence := range c.quarantineRegistry.ActiveEvidence(c.now()) {
		if evidence.Fingerprint != f {
			continue
		}
		c.members.AnnounceSuspectRequest(member.SuspectRequestUpdate{
			Fingerprint:       uint64(evidence.Fingerprint),
			Server:            evidence.Server,
			ServerIncarnation: evidence.Incarnation,
			InFlight:          int(evidence.InFlight),
		})
	}
}

// merge merges evidence announced by another host.
func (c *crashDetector) merge(update member.SuspectRequestUpdate) {
	added := c.quarantineRegistry.Merge(c.now(), []quarantine.Evidence{{
		Fingerprint: quarantine.Fingerprint(update.Fingerprint),
		Server:      update.Server,
		Incarnation: update.ServerIncarnation,
		InFlight:    uint32(update.InFlight),
	}})
	for _, evidence := range added {
		c.log.Warn("request is quarantined by another host", zap.Stringer("fingerprint", evidence.Fingerprint))
	}
}

// recordAnswer records the result of a query at its entry host. If all its legs
// ended with an unknown outcome, that is evidence that the request crashes servers;
// an answered leg is evidence that it doesn't.
func (c *crashDetector) recordAnswer(started time.Time, f quarantine.Fingerprint, answer *scatter.Answer) {
	now := c.now()
	if lost := lostServices(answer); lost != nil {
		c.quarantineRegistry.RecordLostQuery(now, f, lost)
		return
	}
	missing := make(map[string]bool, len(answer.Missing))
	for _, m := range answer.Missing {
		missing[m.Service] = true
	}
	for _, l := range answer.Legs {
		if !missing[l.Service] {
			c.announceVerdict(c.quarantineRegistry.RecordLegSuccess(now, started, f, l.Service))
		}
	}
}

// lostServices returns the services of a query that lost every leg with an
// unknown outcome, or nil. Legs cancelled because the minimum coverage was out of
// reach are ignored.
func lostServices(answer *scatter.Answer) []string {
	if len(answer.Missing) != answer.Total {
		return nil
	}
	services := make([]string, 0, len(answer.Missing))
	for _, m := range answer.Missing {
		switch m.Code {
		case result.OutcomeNotKnown:
			services = append(services, m.Service)
		case result.Cancelled:
		default:
			return nil
		}
	}
	return services
}

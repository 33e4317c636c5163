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

// deathDial bounds the question whether a server still takes connections. A
// process that has died refuses within a round trip.
const deathDial = 200 * time.Millisecond

// crashes hears the ends of attempts and finds the requests that crash backend
// servers. It implements homeserver.Watcher.
type crashes struct {
	servers *servers
	book    *quarantine.Registry
	tracker *quarantine.Tracker
	members *member.Agent
	log     *zap.Logger
	now     func() time.Time
}

// CheckLeg implements homeserver.Watcher.
func (c *crashes) CheckLeg(request leg.Request) *result.Error {
	return c.book.CheckLeg(c.now(), quarantine.Fingerprint(request.Fingerprint), request.Service, c.tracker)
}

// Started implements homeserver.Watcher.
func (c *crashes) Started(id ident.AttemptID, server backend.Server, fingerprint uint64) {
	c.tracker.AttemptStarted(c.now(), id, lifeOf(server), quarantine.Fingerprint(fingerprint))
}

func lifeOf(server backend.Server) quarantine.Server {
	return quarantine.Server{Name: server.Name, Service: server.Service, Incarnation: server.Incarnation}
}

// Ended implements homeserver.Watcher. After a broken connection it asks at
// once whether the server is there, since a single request in flight leaves no
// other trace of a crash before the restart.
func (c *crashes) Ended(id ident.AttemptID, server backend.Server, fingerprint uint64, end backend.CallResult) (suspect bool) {
	c.servers.ended(server, end)
	f := quarantine.Fingerprint(fingerprint)
	c.note(c.tracker.AttemptEnded(c.now(), id, end.Outcome, end.Fault, end.Reply.Incarnation))
	if end.Fault == backend.FaultConnectionLost && !connects(server.Address) {
		c.note(c.tracker.ConnectRefused(c.now(), server.Name))
	}
	if end.Usable() {
		c.condemned(c.book.RecordSuccess(c.now(), f, server.Service))
		return false
	}
	return c.book.IsSuspected(c.now(), f, server.Service)
}

func connects(address string) bool {
	conn, err := net.DialTimeout("tcp", address, deathDial)
	if err != nil {
		return false
	}
	_ = conn.Close()
	return true
}

func (c *crashes) note(event quarantine.Event) {
	switch {
	case event.Crashed != nil:
		c.log.Info("backend server died", zap.String("server", event.Crashed.Name), zap.Int("requests_in_flight", len(event.Crashed.Suspects)))
		c.condemned(c.book.RecordCrash(c.now(), *event.Crashed))
	case event.Recovered != nil:
		c.log.Info("backend server taken for dead lives", zap.String("server", event.Recovered.Name))
		c.book.RetractCrash(*event.Recovered)
	}
}

// condemned tells the other hosts of a new verdict.
func (c *crashes) condemned(f quarantine.Fingerprint, is bool) {
	if !is {
		return
	}
	c.log.Warn("request is quarantined", zap.Stringer("fingerprint", f))
	for _, news := range c.book.ActiveEvidence(c.now()) {
		if news.Fingerprint != f {
			continue
		}
		c.members.AnnounceSuspectRequest(member.SuspectRequestUpdate{
			Fingerprint:       uint64(news.Fingerprint),
			Server:            news.Server,
			ServerIncarnation: news.Incarnation,
			InFlight:          int(news.InFlight),
		})
	}
}

// absorb takes in another host's verdict.
func (c *crashes) absorb(news member.SuspectRequestUpdate) {
	fresh := c.book.Merge(c.now(), []quarantine.Evidence{{
		Fingerprint: quarantine.Fingerprint(news.Fingerprint),
		Server:      news.Server,
		Incarnation: news.ServerIncarnation,
		InFlight:    uint32(news.InFlight),
	}})
	for _, n := range fresh {
		c.log.Warn("request is quarantined by another host", zap.Stringer("fingerprint", n.Fingerprint))
	}
}

// answered tells the book how a query went, at its root: a query that lost
// every leg with its server is evidence, confirmed by others' answers.
func (c *crashes) answered(started time.Time, f quarantine.Fingerprint, answer *scatter.Answer) {
	now := c.now()
	if lost := lostServices(answer); lost != nil {
		c.book.RecordLostQuery(now, f, lost)
		return
	}
	missing := make(map[string]bool, len(answer.Missing))
	for _, m := range answer.Missing {
		missing[m.Service] = true
	}
	for _, l := range answer.Legs {
		if !missing[l.Service] {
			c.condemned(c.book.RecordLegSuccess(now, started, f, l.Service))
		}
	}
}

// lostServices lists the services of a query that lost its legs without a
// word; nil if any leg ended otherwise. Legs that were given up when the least
// coverage was out of reach say nothing either way.
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

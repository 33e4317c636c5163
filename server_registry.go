package goldcrestspan

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/goldcrestspan/goldcrestspan/backend"
	"github.com/goldcrestspan/goldcrestspan/catalog"
	"github.com/goldcrestspan/goldcrestspan/draining"
	"github.com/goldcrestspan/goldcrestspan/homeserver"
	"github.com/goldcrestspan/goldcrestspan/internal/controlloop"
	"github.com/goldcrestspan/goldcrestspan/member"
	"github.com/goldcrestspan/goldcrestspan/metastore"
	"github.com/goldcrestspan/goldcrestspan/place"
	"github.com/goldcrestspan/goldcrestspan/result"
	"github.com/goldcrestspan/goldcrestspan/snapshot"
)

// maxWaitingEvents bounds the events that wait for the control goroutine.
const maxWaitingEvents = 1 << 14

// serverRegistry keeps the listed backend servers and which of them are draining.
// The goroutine of run owns the state; others post events to it.
type serverRegistry struct {
	region, zone string
	resolver     *homeResolver
	homeServer   *homeserver.Server
	pins         *snapshot.Pins
	members      *member.Agent
	log          *zap.Logger
	now          func() time.Time

	events     *controlloop.Mailbox[func()]
	loop       controlloop.Meter
	serverList *catalog.ServerList
	servers    []metastore.ListedHost // in use, from serverList
	drainTable *draining.Table
}

// run processes events until ctx ends.
func (s *serverRegistry) run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-s.events.Ready():
			for _, event := range s.events.Take() {
				s.loop.Begin(s.now())
				event()
				s.loop.End()
			}
		}
	}
}

// Servers implements catalog.Sink.
func (s *serverRegistry) Servers(listed []metastore.ListedHost) {
	s.post(func() {
		s.servers = s.serverList.Update(s.now(), listed)
		for _, instance := range s.drainTable.ApplyHostList(s.now(), listed) {
			s.announceDraining(instance, "host list")
		}
		s.publish()
	})
}

// Snapshots implements catalog.Sink.
func (s *serverRegistry) Snapshots(all []*snapshot.Snapshot) {
	if invalid := s.pins.Publish(all); invalid > 0 {
		s.log.Warn("invalid snapshots are left out", zap.Int("count", invalid))
	}
}

// observeDrainSignal marks a server as draining when its reply says so, ahead of
// the host list.
func (s *serverRegistry) observeDrainSignal(server backend.Server, call backend.CallResult) {
	if !call.Reply.Load.Draining && call.Fault != backend.FaultDraining {
		return
	}
	signal := draining.SignalDraining
	if call.Outcome == result.OutcomeRefused {
		signal = draining.SignalRefused
	}
	instance := draining.Instance{Server: server.Name, Incarnation: call.Reply.Incarnation}
	if instance.Incarnation == 0 {
		// The refusal carries no incarnation, so assume the one that was called.
		instance.Incarnation = server.Incarnation
	}
	s.post(func() {
		if s.drainTable.Observe(s.now(), instance.Server, instance.Incarnation, signal) {
			s.announceDraining(instance, "server")
			s.publish()
		}
	})
}

// merge marks a server that another entry host reported as draining.
func (s *serverRegistry) merge(update member.BackendUpdate) {
	instance := draining.Instance{Server: update.Server, Incarnation: update.Incarnation}
	s.post(func() {
		if s.drainTable.MarkLeft(s.now(), instance) {
			s.publish()
		}
	})
}

// post hands an event to the control goroutine and does not wait for it: peers announce a draining
// server only once, on the membership's control loop.
func (s *serverRegistry) post(event func()) {
	if !s.events.Post(event) {
		s.log.Error("too many events wait for the list of servers; one is dropped", zap.Int("waiting", s.events.Len()))
	}
}

// announceDraining announces a draining instance to the other entry hosts.
func (s *serverRegistry) announceDraining(instance draining.Instance, source string) {
	s.members.AnnounceBackend(member.BackendUpdate{Server: instance.Server, Incarnation: instance.Incarnation})
	s.log.Info("backend server is draining", zap.String("server", instance.Server), zap.Uint64("incarnation", instance.Incarnation), zap.String("source", source))
}

// publish passes the servers to this host's homes, and their services to the
// homeResolver, which determines the home of each.
func (s *serverRegistry) publish() {
	all := make([]backend.Server, 0, len(s.servers))
	known := make(map[string][]homeserver.KnownServer)
	for _, row := range s.servers {
		server := backend.Server{
			Name:        row.Name,
			Address:     row.Address,
			Service:     row.Service,
			Region:      row.Region,
			Zone:        row.Zone,
			Incarnation: row.Incarnation,
		}
		all = append(all, server)
		instance := draining.Instance{Server: row.Name, Incarnation: row.Incarnation}
		known[row.Service] = append(known[row.Service], homeserver.KnownServer{
			Server:   server,
			SameZone: row.Region == s.region && row.Zone == s.zone,
			Leaving:  !s.drainTable.AllowedInstance(instance),
		})
	}
	services := place.Services(all)
	if !sameServices(services, *s.resolver.services.Load()) {
		s.resolver.services.Store(&services)
	}
	s.homeServer.SetServers(known)
}

// sameServices reports whether a and b are equal, in which case the placement need
// not be computed again.
func sameServices(a, b []place.Service) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i].Name != b[i].Name || len(a[i].Locations) != len(b[i].Locations) {
			return false
		}
		for j := range a[i].Locations {
			if a[i].Locations[j] != b[i].Locations[j] {
				return false
			}
		}
	}
	return true
}

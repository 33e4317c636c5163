package goldcrestspan

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/goldcrestspan/goldcrestspan/backend"
	"github.com/goldcrestspan/goldcrestspan/catalog"
	"github.com/goldcrestspan/goldcrestspan/draining"
	"github.com/goldcrestspan/goldcrestspan/homeserver"
	"github.com/goldcrestspan/goldcrestspan/member"
	"github.com/goldcrestspan/goldcrestspan/metastore"
	"github.com/goldcrestspan/goldcrestspan/place"
	"github.com/goldcrestspan/goldcrestspan/result"
	"github.com/goldcrestspan/goldcrestspan/snapshot"
)

// signalBuffer holds what traffic tells of backend servers until the control
// goroutine takes it.
const signalBuffer = 1024

// servers is the control state of the backend servers: the rows of the host
// list and who is leaving. One goroutine, run, owns it; the others post to it.
type servers struct {
	region, zone string
	homes        *homes
	local        *homeserver.Server
	pins         *snapshot.Pins
	members      *member.Agent
	log          *zap.Logger
	now          func() time.Time

	events  chan func()
	listing *catalog.ServerList
	rows    []metastore.ListedHost // in force
	leaving *draining.Table
}

// run owns the state until ctx ends.
func (s *servers) run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case event := <-s.events:
			event()
		}
	}
}

// Servers implements catalog.Sink.
func (s *servers) Servers(rows []metastore.ListedHost) {
	s.events <- func() {
		s.rows = s.listing.Update(s.now(), rows)
		for _, life := range s.leaving.ApplyHostList(s.now(), rows) {
			s.left(life, "host list")
		}
		s.publish()
	}
}

// Snapshots implements catalog.Sink.
func (s *servers) Snapshots(all []*snapshot.Snapshot) {
	if invalid := s.pins.Publish(all); invalid > 0 {
		s.log.Warn("invalid snapshots are left out", zap.Int("count", invalid))
	}
}

// ended takes a server's own word that it is leaving, which counts at once,
// long before the host list says so.
func (s *servers) ended(server backend.Server, end backend.CallResult) {
	if !end.Reply.Load.Draining && end.Fault != backend.FaultDraining {
		return
	}
	signal := draining.SignalDraining
	if end.Outcome == result.OutcomeRefused {
		signal = draining.SignalRefused
	}
	life := draining.Instance{Server: server.Name, Incarnation: end.Reply.Incarnation}
	if life.Incarnation == 0 {
		// The refusal names no life; it came from the one that was called.
		life.Incarnation = server.Incarnation
	}
	s.post(func() {
		if s.leaving.Observe(s.now(), life.Server, life.Incarnation, signal) {
			s.left(life, "server")
			s.publish()
		}
	})
}

// absorb takes in what another entry host learned.
func (s *servers) absorb(news member.BackendUpdate) {
	life := draining.Instance{Server: news.Server, Incarnation: news.Incarnation}
	s.post(func() {
		if s.leaving.MarkLeft(s.now(), life) {
			s.publish()
		}
	})
}

// post hands an event to the control goroutine. It drops it when the goroutine
// is far behind: a leaving server says so again with its next reply.
func (s *servers) post(event func()) {
	select {
	case s.events <- event:
	default:
	}
}

// left shares a life that left with the other entry hosts.
func (s *servers) left(life draining.Instance, source string) {
	s.members.AnnounceBackend(member.BackendUpdate{Server: life.Server, Incarnation: life.Incarnation})
	s.log.Info("backend server leaves", zap.String("server", life.Server), zap.Uint64("incarnation", life.Incarnation), zap.String("source", source))
}

// publish hands the servers to the homes and to the placement of homes.
func (s *servers) publish() {
	all := make([]backend.Server, 0, len(s.rows))
	known := make(map[string][]homeserver.KnownServer)
	for _, row := range s.rows {
		server := backend.Server{
			Name:        row.Name,
			Address:     row.Address,
			Service:     row.Service,
			Region:      row.Region,
			Zone:        row.Zone,
			Incarnation: row.Incarnation,
		}
		all = append(all, server)
		life := draining.Instance{Server: row.Name, Incarnation: row.Incarnation}
		known[row.Service] = append(known[row.Service], homeserver.KnownServer{
			Server:   server,
			SameZone: row.Region == s.region && row.Zone == s.zone,
			Leaving:  !s.leaving.AllowedInstance(life),
		})
	}
	services := place.Services(all)
	if !samePlaces(services, *s.homes.services.Load()) {
		s.homes.services.Store(&services)
	}
	s.local.SetServers(known)
}

// samePlaces keeps the old slice in use while nothing changed, so that the
// placement is not computed again at each read of the host list.
func samePlaces(a, b []place.Service) bool {
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

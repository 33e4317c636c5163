package gateway

import (
	"strings"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"github.com/goldcrestspan/goldcrestspan/eligible"
	"github.com/goldcrestspan/goldcrestspan/metastore"
	"github.com/goldcrestspan/goldcrestspan/observe"
)

// evacuations are the availability zones that the operator has taken out of use, as the
// store or a peer told last. Guarded by Gateway.serversMu.
type evacuations struct {
	known *eligible.Evacuations // nil: not known yet
	zones prometheus.Gauge
}

func newEvacuations(registry *prometheus.Registry) (*evacuations, error) {
	zones := prometheus.NewGauge(prometheus.GaugeOpts{
		Namespace: "goldcrestspan", Name: "evacuated_zones",
		Help: "Availability zones whose backend servers get nothing from this host, as the operator asked.",
	})
	return &evacuations{zones: zones}, registry.Register(zones)
}

// applyEvacuations puts the operator's evacuations in force.
//
// Load: an operator empties a zone before it loses power or is rebuilt. Harm prevented:
// requests that reach it after seconds are lost with it. Each entry below the prefix
// names a zone; what it holds does not count.
func (g *Gateway) applyEvacuations(objects []metastore.Object, revision metastore.Revision) {
	var zones []string
	for _, object := range objects {
		zones = append(zones, strings.TrimPrefix(object.Key, g.options.EvacuationsPrefix))
	}
	g.setEvacuations(zones, revision)
	g.evacuationsAt.Store(uint64(revision))
	g.announce()
}

func (g *Gateway) setEvacuations(zones []string, revision metastore.Revision) {
	g.serversMu.Lock()
	defer g.serversMu.Unlock()
	next, changes := g.evacuations.known.Update(g.options.Now(), zones)
	first := g.evacuations.known == nil
	g.evacuations.known = next
	g.evacuations.zones.Set(float64(len(zones)))
	for _, change := range changes {
		g.log.Info("evacuation of a zone", zap.String("zone", change.Zone), zap.Bool("evacuated", change.Evacuated), observe.Revision("revision", revision))
	}
	if first || len(changes) > 0 {
		g.publishServers()
	}
}

// evacuationsListed reports whether this host knows which zones are evacuated.
//
// Failure: a host starts while a zone is evacuated, and hears of the servers first. It
// shows as requests in a zone that is about to lose power. The guard holds because the
// host refuses all requests as not run until it knows; others serve them meanwhile.
func (g *Gateway) evacuationsListed() bool {
	return g.evacuationList == nil || g.evacuationList.HasSynced()
}

// nextRules are the rules as they hold now, without the servers that are cold.
// serversMu is held.
func (g *Gateway) nextRules() *eligible.Rules {
	return &eligible.Rules{
		Evacuations: g.evacuations.known,
		Regions:     g.options.Regions,
		ColdUntil:   make(map[string]time.Time),
	}
}

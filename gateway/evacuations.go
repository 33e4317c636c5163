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

// evacuations holds the availability zones that the operator has taken out of use. It is
// guarded by Gateway.serversMu.
type evacuations struct {
	current *eligible.Evacuations // nil until listed
	zones   prometheus.Gauge
}

func newEvacuations(registry *prometheus.Registry) (*evacuations, error) {
	zones := prometheus.NewGauge(prometheus.GaugeOpts{
		Namespace: "goldcrestspan", Name: "evacuated_zones",
		Help: "Availability zones whose backend servers get nothing from this host, as the operator asked.",
	})
	return &evacuations{zones: zones}, registry.Register(zones)
}

// applyEvacuations applies the operator's list of evacuated zones, whose servers get no new
// requests. Each key below the prefix names a zone; values are ignored.
func (g *Gateway) applyEvacuations(objects []metastore.Object, revision metastore.Revision) {
	var zones []string
	for _, object := range objects {
		zones = append(zones, strings.TrimPrefix(object.Key, g.options.EvacuationsPrefix))
	}
	g.setEvacuations(zones, revision)
	g.evacuationsRevision.Store(uint64(revision))
	g.announce()
}

func (g *Gateway) setEvacuations(zones []string, revision metastore.Revision) {
	g.serversMu.Lock()
	defer g.serversMu.Unlock()
	next, changes := g.evacuations.current.Update(g.options.Now(), zones)
	first := g.evacuations.current == nil
	g.evacuations.current = next
	g.evacuations.zones.Set(float64(len(zones)))
	if first || len(changes) > 0 {
		g.publishServers()
	}
	for _, change := range changes { // operators rely on these lines once the change is in force
		g.log.Info("evacuation of a zone", zap.String("zone", change.Zone), zap.Bool("evacuated", change.Evacuated), observe.Revision("revision", revision))
	}
}

// evacuationsListed reports whether this host knows which zones are evacuated. Until then it
// refuses all requests, so that a host that starts during an evacuation sends nothing to a
// zone that is about to lose power.
func (g *Gateway) evacuationsListed() bool {
	return g.evacuationList == nil || g.evacuationList.HasSynced()
}

// nextRules returns the current rules without cold servers. serversMu is held.
func (g *Gateway) nextRules() *eligible.Rules {
	return &eligible.Rules{
		Evacuations: g.evacuations.current,
		Regions:     g.options.Regions,
		ColdUntil:   make(map[string]time.Time),
	}
}

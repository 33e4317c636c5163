package gateway

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/goldcrestspan/goldcrestspan/backend"
	"github.com/goldcrestspan/goldcrestspan/eligible"
	"github.com/goldcrestspan/goldcrestspan/forward"
	"github.com/goldcrestspan/goldcrestspan/freshness"
	"github.com/goldcrestspan/goldcrestspan/quarantine"
)

// Guards against other hosts' requests that go to servers which have left, or to evacuated zones,
// through a host whose lists are not applied any more.
func TestHostWithOutdatedListsSendsNothing(t *testing.T) {
	for _, kind := range []string{"servers", "evacuations"} {
		is := is.New(t)
		g := newTestGateway(t, testConfiguration(t, 1, nil))
		g.crashDetector = &crashDetector{suspects: quarantine.NewSuspects(quarantine.NewRegistry(g.inForce.Load().compiled)), now: time.Now}
		none, _ := (*eligible.Evacuations)(nil).Update(time.Now(), nil)
		g.rules.Store(&eligible.Rules{Evacuations: none})
		check := func(now time.Time) eligible.Reason {
			g.checkFreshness(now, make(map[string]time.Time))
			return g.checkOwn(backend.Server{Zone: "a"}, backend.Call{Forward: &forward.Request{}})
		}
		now := time.Now()
		is.Equal(check(now), eligible.Allowed)
		g.trackers.each(func(k string, tracker *freshness.Tracker) {
			if k == kind {
				tracker.Arrived(now, 7, freshness.Store)
			}
		})
		is.Equal(check(now), eligible.Allowed)
		is.Equal(check(now.Add(time.Second)), eligible.ListsOutdated)
		g.trackers.each(func(_ string, tracker *freshness.Tracker) { tracker.Applied(now, 7) })
		is.Equal(check(now.Add(time.Second)), eligible.Allowed)
	}
}

package gateway

import (
	"sync"
	"time"

	"github.com/goldcrestspan/goldcrestspan/leg"
)

// toldFor is how long the word of another host on a service counts: searches ask
// each service several times in it while there is work, and one that is refused by
// it is followed within it by one that finds out anew.
const toldFor = 500 * time.Millisecond

// toldForecasts are what other homes have said of their services. It is safe for
// concurrent use.
type toldForecasts struct {
	now func() time.Time

	mu     sync.Mutex
	told   map[toldKey]told
	silent map[string]time.Time // when a service was last said to be silent
}

type toldKey struct{ service, class string }

type told struct {
	forecast leg.Forecast
	at       time.Time
}

func newToldForecasts(now func() time.Time) *toldForecasts {
	return &toldForecasts{now: now, told: make(map[toldKey]told), silent: make(map[string]time.Time)}
}

func (t *toldForecasts) note(service, class string, forecast leg.Forecast) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.told[toldKey{service, class}] = told{forecast, t.now()}
	delete(t.silent, service)
}

func (t *toldForecasts) noteSilent(service string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.silent[service] = t.now()
}

// forecast is what was told of the service, less the wait that has passed since; the
// zero Forecast: nothing of late.
func (t *toldForecasts) forecast(service, class string) leg.Forecast {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	if at, said := t.silent[service]; said && now.Sub(at) <= toldFor {
		return leg.Forecast{Unresponsive: true}
	}
	said, known := t.told[toldKey{service, class}]
	if !known || now.Sub(said.at) > toldFor {
		return leg.Forecast{}
	}
	said.forecast.QueueTime = max(0, said.forecast.QueueTime-now.Sub(said.at))
	return said.forecast
}

// forget drops what was told of services that are no longer configured.
func (t *toldForecasts) forget(configured func(service string) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for key := range t.told {
		if !configured(key.service) {
			delete(t.told, key)
		}
	}
	for service := range t.silent {
		if !configured(service) {
			delete(t.silent, service)
		}
	}
}

package gateway

import (
	"sync"
	"time"

	"github.com/goldcrestspan/goldcrestspan/leg"
)

// forecastTTL is how long another host's forecast is used. After a refusal based on it, a
// search is let in again within this time to get a new one.
const forecastTTL = 500 * time.Millisecond

// remoteForecasts caches the forecasts of homes on other hosts. It is safe for concurrent
// use.
type remoteForecasts struct {
	now func() time.Time

	mu             sync.Mutex
	reported       map[forecastKey]reported
	unresponsiveAt map[string]time.Time // when a service was last reported unresponsive
}

type forecastKey struct{ service, class string }

type reported struct {
	forecast leg.Forecast
	at       time.Time
}

func newRemoteForecasts(now func() time.Time) *remoteForecasts {
	return &remoteForecasts{now: now, reported: make(map[forecastKey]reported), unresponsiveAt: make(map[string]time.Time)}
}

func (f *remoteForecasts) record(service, class string, forecast leg.Forecast) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reported[forecastKey{service, class}] = reported{forecast, f.now()}
	delete(f.unresponsiveAt, service)
}

func (f *remoteForecasts) recordUnresponsive(service string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.unresponsiveAt[service] = f.now()
}

// forecast returns the cached forecast less the time that has passed; the zero Forecast if
// there is no recent one.
func (f *remoteForecasts) forecast(service, class string) leg.Forecast {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.now()
	if at, cached := f.unresponsiveAt[service]; cached && now.Sub(at) <= forecastTTL {
		return leg.Forecast{Unresponsive: true}
	}
	cached, known := f.reported[forecastKey{service, class}]
	if !known || now.Sub(cached.at) > forecastTTL {
		return leg.Forecast{}
	}
	cached.forecast.QueueTime = max(0, cached.forecast.QueueTime-now.Sub(cached.at))
	return cached.forecast
}

// prune drops services that are no longer configured.
func (f *remoteForecasts) prune(configured func(service string) bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for key := range f.reported {
		if !configured(key.service) {
			delete(f.reported, key)
		}
	}
	for service := range f.unresponsiveAt {
		if !configured(service) {
			delete(f.unresponsiveAt, service)
		}
	}
}

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
	preferred      map[string]string    // by service: the server that its home prefers, if not the usual one
}

type forecastKey struct{ service, class string }

type reported struct {
	forecast leg.Forecast
	at       time.Time
}

func newRemoteForecasts(now func() time.Time) *remoteForecasts {
	return &remoteForecasts{now: now, reported: make(map[forecastKey]reported), unresponsiveAt: make(map[string]time.Time), preferred: make(map[string]string)}
}

func (f *remoteForecasts) record(service, class string, forecast leg.Forecast) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reported[forecastKey{service, class}] = reported{forecast, f.now()}
	delete(f.unresponsiveAt, service)
}

// recordPreferred records which server the home of the service prefers to the one that was reserved
// for a leg; empty if it prefers none.
func (f *remoteForecasts) recordPreferred(service, reserved, preferred string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case preferred != "":
		f.preferred[service] = preferred
	case f.preferred[service] != reserved:
		delete(f.preferred, service)
	}
}

// preferredServer returns the server that the home of the service prefers; empty if it is the usual
// one.
func (f *remoteForecasts) preferredServer(service string) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.preferred[service]
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
	for service := range f.preferred {
		if !configured(service) {
			delete(f.preferred, service)
		}
	}
	for service := range f.unresponsiveAt {
		if !configured(service) {
			delete(f.unresponsiveAt, service)
		}
	}
}

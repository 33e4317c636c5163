package settings

import (
	"fmt"
	"time"
)

// checkTLS wants either all certificate files or the explicit word that there
// are none. A default in either direction would one day serve callers' tokens
// in the clear, or refuse to start, without anybody having decided it.
func (d *decoder) checkTLS(tls TLS) {
	pairs := []struct {
		key    string
		pair   KeyPair
		mutual bool
	}{
		{"tls.callers", tls.Callers, false},
		{"tls.peers", tls.Peers, true},
		{"tls.operators", tls.Operators, false},
	}
	for _, p := range pairs {
		if tls.PlainText {
			d.checkNoFiles(p.key, p.pair)
			continue
		}
		d.wantFile(p.key+".certificate", p.pair.Certificate)
		d.wantFile(p.key+".key", p.pair.Key)
		if p.mutual {
			d.wantFile(p.key+".authorities", p.pair.Authorities)
		}
	}
}

func (d *decoder) checkNoFiles(key string, pair KeyPair) {
	if pair != (KeyPair{}) {
		d.reportAt(key, "names certificate files though tls.plain_text is true", "remove the files, or set tls.plain_text to false")
	}
}

func (d *decoder) wantFile(key, path string) {
	if path == "" && !d.hasProblem(key) {
		d.reportAt(key, "is missing", "name the PEM file, or set tls.plain_text to true to go without TLS")
	}
}

func (d *decoder) hasProblem(key string) bool {
	for _, problem := range d.problems {
		if problem.Key == key {
			return true
		}
	}
	return false
}

func (d *decoder) checkListeners(l Listeners) {
	listeners := []struct{ key, address string }{
		{"listeners.callers", l.Callers},
		{"listeners.peers", l.Peers},
		{"listeners.operators", l.Operators},
	}
	seen := make(map[string]string, len(listeners))
	for _, listener := range listeners {
		if listener.address == "" {
			continue
		}
		if other, twice := seen[listener.address]; twice {
			d.reportAt(listener.key, "is the same address as "+other, "give each listener a port of its own")
		}
		seen[listener.address] = listener.key
	}
}

// cutOffCalls is how many calls to the platform may fail one after the other
// before a host takes itself for cut off: with one, a single slow call would
// make a healthy host refuse work.
const cutOffCalls = 2

func (d *decoder) checkTimes(s *Settings) {
	d.wantLess("limits.stop_wait", 2*LongestAdvice, s.Limits.StopTimeout,
		"a stopping host must outlast twice the longest time that callers keep advice")
	d.wantAtMost("limits.cut_off_after", cutOffCalls*s.Platform.Timeout, s.Limits.CutOffAfter,
		"one slow call to the platform must not cut the host off")
	d.wantAtMost("limits.body_timeout", s.Limits.HeaderTimeout, s.Limits.BodyTimeout,
		"the whole request takes no less than its head")
}

func (d *decoder) wantLess(key string, bound, got time.Duration, why string) {
	if got <= bound && !d.hasProblem(key) {
		d.reportAt(key, fmt.Sprintf("is %v, %s", got, why), fmt.Sprintf("make it more than %v", bound))
	}
}

func (d *decoder) wantAtMost(key string, bound, got time.Duration, why string) {
	if got < bound && !d.hasProblem(key) {
		d.reportAt(key, fmt.Sprintf("is %v, %s", got, why), fmt.Sprintf("make it at least %v", bound))
	}
}

func (d *decoder) checkSizes(l Limits) {
	const key = "limits.max_bytes_in_flight"
	if l.MaxBytesInFlight < l.MaxBodyBytes && !d.hasProblem(key) {
		d.reportAt(key, fmt.Sprintf("is %d, less than one request of limits.max_body_bytes", l.MaxBytesInFlight), fmt.Sprintf("make it at least %d", l.MaxBodyBytes))
	}
}

package settings

import (
	"fmt"
	"time"
)

// checkTLS requires either all certificate files or plain_text. There is no default,
// so that sending tokens in plain text is an explicit decision.
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
		d.requireFile(p.key+".certificate", p.pair.CertFile)
		d.requireFile(p.key+".key", p.pair.KeyFile)
		if p.mutual {
			d.requireFile(p.key+".authorities", p.pair.CAFile)
		}
	}
}

func (d *decoder) checkNoFiles(key string, pair KeyPair) {
	if pair != (KeyPair{}) {
		d.reportAt(key, "names certificate files though tls.plain_text is true", "remove the files, or set tls.plain_text to false")
	}
}

func (d *decoder) requireFile(key, path string) {
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
	keys := make(map[string]string, len(listeners))
	for _, listener := range listeners {
		if listener.address == "" {
			continue
		}
		if other, duplicate := keys[listener.address]; duplicate {
			d.reportAt(listener.key, "is the same address as "+other, "give each listener a port of its own")
		}
		keys[listener.address] = listener.key
	}
}

// minCutOffCalls is the least number of platform call timeouts that cut_off_after
// must span.
const minCutOffCalls = 2

func (d *decoder) checkTimes(s *Settings) {
	d.requireMoreThan("limits.stop_wait", 2*MaxAdviceTTL, s.Limits.StopTimeout,
		"a stopping host must outlast twice the longest time that callers cache advice")
	d.requireAtLeast("limits.cut_off_after", minCutOffCalls*s.Platform.Timeout, s.Limits.CutOffAfter,
		"one slow call to the platform must not cut the host off")
	d.requireAtLeast("limits.body_timeout", s.Limits.HeaderTimeout, s.Limits.BodyTimeout,
		"reading the whole request takes at least as long as reading its header")
}

func (d *decoder) requireMoreThan(key string, bound, got time.Duration, reason string) {
	if got <= bound && !d.hasProblem(key) {
		d.reportAt(key, fmt.Sprintf("is %v, %s", got, reason), fmt.Sprintf("make it more than %v", bound))
	}
}

func (d *decoder) requireAtLeast(key string, bound, got time.Duration, reason string) {
	if got < bound && !d.hasProblem(key) {
		d.reportAt(key, fmt.Sprintf("is %v, %s", got, reason), fmt.Sprintf("make it at least %v", bound))
	}
}

func (d *decoder) checkSizes(l Limits) {
	const key = "limits.max_bytes_in_flight"
	if l.MaxBytesInFlight < l.MaxBodyBytes && !d.hasProblem(key) {
		d.reportAt(key, fmt.Sprintf("is %d, less than one request of limits.max_body_bytes", l.MaxBytesInFlight), fmt.Sprintf("make it at least %d", l.MaxBodyBytes))
	}
}

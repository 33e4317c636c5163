package gateway

import (
	"github.com/goldcrestspan/goldcrestspan/forward"
	"github.com/goldcrestspan/goldcrestspan/quarantine"
)

// fingerprintOf identifies equal requests: those with the same method, path, query and body.
// Callers are not identified; the host name stands for them.
func fingerprintOf(f *forward.Request, body []byte) quarantine.Fingerprint {
	return quarantine.FingerprintOf(f.Method+" "+f.Target, f.Host, body)
}

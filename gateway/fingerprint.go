package gateway

import (
	"github.com/goldcrestspan/goldcrestspan/forward"
	"github.com/goldcrestspan/goldcrestspan/quarantine"
)

// fingerprintOf identifies equal requests: those with the same method, path, query, body, host
// name and customer. A request without a customer has the fingerprint that it had before
// customers were known.
func fingerprintOf(f *forward.Request, body []byte) quarantine.Fingerprint {
	caller := f.Host
	if f.Customer != "" {
		caller += "\x00" + f.Customer // a host name contains no zero byte
	}
	return quarantine.FingerprintOf(f.Method+" "+f.Target, caller, body)
}

package goldcrestspan

import (
	"crypto/tls"

	"github.com/pkg/errors"

	"github.com/goldcrestspan/goldcrestspan/certs"
	"github.com/goldcrestspan/goldcrestspan/observe"
	"github.com/goldcrestspan/goldcrestspan/settings"
)

// listenerCertificates is the TLS files of one listener.
type listenerCertificates struct {
	listener string
	files    *certs.Files
}

// certificateMetrics reports expiry and reload state of the certificates in use.
func (o *Options) certificateMetrics() []observe.Certificate {
	metrics := make([]observe.Certificate, 0, len(o.certificates))
	for _, c := range o.certificates {
		expiry := c.files.Expiry() // reloads changed files first
		metrics = append(metrics, observe.Certificate{
			Listener:     c.listener,
			Expires:      expiry,
			ReloadFailed: c.files.ReloadError() != nil,
		})
	}
	return metrics
}

// loadCertificates builds the TLS configurations of the three listeners from the
// files in the settings, unless the embedding program supplied its own.
func (o *Options) loadCertificates(s settings.TLS) error {
	if s.PlainText {
		return nil
	}
	for _, listener := range []struct {
		name   string
		pair   settings.KeyPair
		target **tls.Config
		build  func(*certs.Files) *tls.Config
	}{
		{"callers", s.Callers, &o.CallerTLS, func(f *certs.Files) *tls.Config { return f.ServerConfig(false) }},
		{"peers", s.Peers, &o.PeerTLS, (*certs.Files).MutualConfig},
		{"operators", s.Operators, &o.OperatorTLS, func(f *certs.Files) *tls.Config { return f.ServerConfig(s.Operators.CAFile != "") }},
	} {
		if *listener.target != nil {
			continue
		}
		files, err := certs.Open(listener.pair, o.Now)
		if err != nil {
			return errors.Wrapf(err, "tls.%s", listener.name)
		}
		*listener.target = listener.build(files)
		o.certificates = append(o.certificates, listenerCertificates{listener.name, files})
	}
	return nil
}

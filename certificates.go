package goldcrestspan

import (
	"crypto/tls"

	"github.com/pkg/errors"

	"github.com/goldcrestspan/goldcrestspan/certs"
	"github.com/goldcrestspan/goldcrestspan/settings"
)

// openCertificates makes the TLS of the three listeners from the settings'
// files, where the embedding program gave none of its own.
func (o *Options) openCertificates(s settings.TLS) error {
	if s.PlainText {
		return nil
	}
	for _, listener := range []struct {
		name string
		pair settings.KeyPair
		into **tls.Config
		make func(*certs.Files) *tls.Config
	}{
		{"callers", s.Callers, &o.CallerTLS, func(f *certs.Files) *tls.Config { return f.Server(false) }},
		{"peers", s.Peers, &o.PeerTLS, (*certs.Files).Mutual},
		{"operators", s.Operators, &o.OperatorTLS, func(f *certs.Files) *tls.Config { return f.Server(s.Operators.Authorities != "") }},
	} {
		if *listener.into != nil {
			continue
		}
		files, err := certs.Open(listener.pair, o.Now)
		if err != nil {
			return errors.Wrapf(err, "tls.%s", listener.name)
		}
		*listener.into = listener.make(files)
	}
	return nil
}

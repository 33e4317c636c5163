package goldcrestspan

import (
	"crypto/tls"

	"github.com/pkg/errors"

	"github.com/goldcrestspan/goldcrestspan/certs"
	"github.com/goldcrestspan/goldcrestspan/observe"
	"github.com/goldcrestspan/goldcrestspan/settings"
)

// listenerFiles are the TLS files of one listener, for the metrics.
type listenerFiles struct {
	listener string
	files    *certs.Files
}

// certificateViews tells of the certificates in use.
func (o *Options) certificateViews() []observe.Certificate {
	views := make([]observe.Certificate, 0, len(o.certificates))
	for _, c := range o.certificates {
		expires := c.files.Expires() // reads changed files again
		views = append(views, observe.Certificate{
			Listener:     c.listener,
			Expires:      expires,
			ReloadFailed: c.files.Failure() != nil,
		})
	}
	return views
}

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
		o.certificates = append(o.certificates, listenerFiles{listener.name, files})
	}
	return nil
}

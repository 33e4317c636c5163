// Package certs owns the TLS files of the listeners. They are read again when
// they change, so that keys and authorities rotate without a restart.
package certs

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/goldcrestspan/goldcrestspan/settings"
)

// checkEvery bounds how often the files' times are looked at. A new certificate
// is in use that much later at most.
const checkEvery = time.Second

// Files is one listener's certificate, key and authorities. It is safe for
// concurrent use.
type Files struct {
	pair settings.KeyPair
	now  func() time.Time

	mu      sync.Mutex
	checked time.Time
	stamps  [3]time.Time
	loaded  loaded
	failure error // of the last reading; the earlier files stay in use
}

type loaded struct {
	certificate tls.Certificate
	authorities *x509.CertPool // nil: none named
}

// Open reads the files and fails if any is missing or wrong.
func Open(pair settings.KeyPair, now func() time.Time) (*Files, error) {
	f := &Files{pair: pair, now: now}
	first, err := read(pair)
	if err != nil {
		return nil, err
	}
	f.loaded = first
	f.stamps = stampsOf(pair)
	f.checked = now()
	return f, nil
}

// ReloadError is why the files as they are now can't be used; nil: they are in use.
func (f *Files) ReloadError() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.failure
}

// Expiry is when the certificate in use ends.
func (f *Files) Expiry() time.Time { return f.current().certificate.Leaf.NotAfter }

// current returns what to use, reading the files again if they changed. Files
// that are half written or wrong leave the earlier ones in use: a mistake in a
// rotation must not close a listener that works.
func (f *Files) current() loaded {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.now()
	if now.Sub(f.checked) < checkEvery {
		return f.loaded
	}
	f.checked = now
	stamps := stampsOf(f.pair)
	if stamps == f.stamps && f.failure == nil {
		return f.loaded
	}
	next, err := read(f.pair)
	f.failure = err
	if err == nil {
		f.loaded = next
		f.stamps = stamps
	}
	return f.loaded
}

// ServerConfig makes the configuration of a listener. With authorities in the files
// a client certificate is verified if given, and demanded if require is set.
func (f *Files) ServerConfig(require bool) *tls.Config {
	base := &tls.Config{MinVersion: tls.VersionTLS13}
	base.GetConfigForClient = func(*tls.ClientHelloInfo) (*tls.Config, error) {
		l := f.current()
		config := &tls.Config{
			MinVersion:   tls.VersionTLS13,
			Certificates: []tls.Certificate{l.certificate},
			ClientCAs:    l.authorities,
			NextProtos:   []string{"http/1.1"},
		}
		switch {
		case require:
			config.ClientAuth = tls.RequireAndVerifyClientCert
		case l.authorities != nil:
			config.ClientAuth = tls.VerifyClientCertIfGiven
		}
		return config, nil
	}
	return base
}

// MutualConfig makes the configuration between hosts, which serve and dial with the
// same files: each side shows its certificate and verifies the other's.
func (f *Files) MutualConfig() *tls.Config {
	config := f.ServerConfig(true)
	config.GetClientCertificate = func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
		certificate := f.current().certificate
		return &certificate, nil
	}
	// The authorities may rotate, which RootCAs can't; VerifyConnection does
	// the whole verification in place of the standard one.
	config.InsecureSkipVerify = true
	config.VerifyConnection = f.verify
	return config
}

// verify checks the certificate of the host that was dialled: signed by an
// authority in force now, and made out to the address.
func (f *Files) verify(state tls.ConnectionState) error {
	if len(state.PeerCertificates) == 0 {
		return errors.New("certs: the peer shows no certificate")
	}
	options := x509.VerifyOptions{
		Roots:         f.current().authorities,
		Intermediates: x509.NewCertPool(),
		DNSName:       state.ServerName,
		CurrentTime:   f.now(),
	}
	if options.Roots == nil {
		return errors.New("certs: no authorities to verify peers by")
	}
	for _, between := range state.PeerCertificates[1:] {
		options.Intermediates.AddCert(between)
	}
	_, err := state.PeerCertificates[0].Verify(options)
	return errors.Wrap(err, "certs: verify peer")
}

func read(pair settings.KeyPair) (loaded, error) {
	certificate, err := tls.LoadX509KeyPair(pair.CertFile, pair.KeyFile)
	if err != nil {
		return loaded{}, errors.Wrap(err, "certs: read certificate and key")
	}
	l := loaded{certificate: certificate}
	if pair.CAFile == "" {
		return l, nil
	}
	raw, err := os.ReadFile(pair.CAFile)
	if err != nil {
		return loaded{}, errors.Wrap(err, "certs: read authorities")
	}
	l.authorities = x509.NewCertPool()
	if !l.authorities.AppendCertsFromPEM(raw) {
		return loaded{}, errors.Errorf("certs: %s holds no certificate in PEM", pair.CAFile)
	}
	return l, nil
}

func stampsOf(pair settings.KeyPair) (stamps [3]time.Time) {
	for i, name := range []string{pair.CertFile, pair.KeyFile, pair.CAFile} {
		if info, err := os.Stat(name); err == nil {
			stamps[i] = info.ModTime()
		}
	}
	return stamps
}

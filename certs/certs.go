// Package certs loads the TLS files of the listeners and reloads them when they
// change, so that keys and authorities can be rotated without a restart.
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

// checkInterval is the minimum time between checks for changed files.
const checkInterval = time.Second

// Files holds the certificate, key and authorities of one listener. It is safe for
// concurrent use.
type Files struct {
	pair settings.KeyPair
	now  func() time.Time

	mu          sync.Mutex
	checked     time.Time
	modTimes    [3]time.Time
	credentials credentials
	reloadErr   error // of the last reload
}

type credentials struct {
	certificate tls.Certificate
	authorities *x509.CertPool // nil if not configured
}

// Open loads the files. It fails if any is missing or invalid.
func Open(pair settings.KeyPair, now func() time.Time) (*Files, error) {
	f := &Files{pair: pair, now: now}
	first, err := load(pair)
	if err != nil {
		return nil, err
	}
	f.credentials = first
	f.modTimes = modTimesOf(pair)
	f.checked = now()
	return f, nil
}

// ReloadError returns the error of the last reload, or nil if the files are in use.
func (f *Files) ReloadError() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.reloadErr
}

// Expiry returns when the certificate in use expires.
func (f *Files) Expiry() time.Time { return f.current().certificate.Leaf.NotAfter }

// current returns the credentials, reloading changed files. If a reload fails, for
// example on a partly written file, the previous credentials stay in use.
func (f *Files) current() credentials {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.now()
	if now.Sub(f.checked) < checkInterval {
		return f.credentials
	}
	f.checked = now
	modTimes := modTimesOf(f.pair)
	if modTimes == f.modTimes && f.reloadErr == nil {
		return f.credentials
	}
	next, err := load(f.pair)
	f.reloadErr = err
	if err == nil {
		f.credentials = next
		f.modTimes = modTimes
	}
	return f.credentials
}

// ServerConfig returns the configuration of a listener. A client certificate is
// verified if authorities are configured, and required if require is set.
func (f *Files) ServerConfig(require bool) *tls.Config {
	base := &tls.Config{MinVersion: tls.VersionTLS13}
	base.GetConfigForClient = func(*tls.ClientHelloInfo) (*tls.Config, error) {
		loaded := f.current()
		config := &tls.Config{
			MinVersion:   tls.VersionTLS13,
			Certificates: []tls.Certificate{loaded.certificate},
			ClientCAs:    loaded.authorities,
			NextProtos:   []string{"http/1.1"},
		}
		switch {
		case require:
			config.ClientAuth = tls.RequireAndVerifyClientCert
		case loaded.authorities != nil:
			config.ClientAuth = tls.VerifyClientCertIfGiven
		}
		return config, nil
	}
	return base
}

// MutualConfig returns the configuration for mutual TLS between hosts, both to serve
// and to dial.
func (f *Files) MutualConfig() *tls.Config {
	config := f.ServerConfig(true)
	config.GetClientCertificate = func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
		certificate := f.current().certificate
		return &certificate, nil
	}
	// RootCAs can't be rotated, so VerifyConnection replaces the standard
	// verification.
	config.InsecureSkipVerify = true
	config.VerifyConnection = f.verifyPeer
	return config
}

// verifyPeer verifies the certificate chain and name of the dialed host against the
// current authorities.
func (f *Files) verifyPeer(state tls.ConnectionState) error {
	if len(state.PeerCertificates) == 0 {
		return errors.New("certs: the peer presented no certificate")
	}
	options := x509.VerifyOptions{
		Roots:         f.current().authorities,
		Intermediates: x509.NewCertPool(),
		DNSName:       state.ServerName,
		CurrentTime:   f.now(),
	}
	if options.Roots == nil {
		return errors.New("certs: no authorities configured to verify peers")
	}
	for _, intermediate := range state.PeerCertificates[1:] {
		options.Intermediates.AddCert(intermediate)
	}
	_, err := state.PeerCertificates[0].Verify(options)
	return errors.Wrap(err, "certs: verify peer")
}

func load(pair settings.KeyPair) (credentials, error) {
	certificate, err := tls.LoadX509KeyPair(pair.CertFile, pair.KeyFile)
	if err != nil {
		return credentials{}, errors.Wrap(err, "certs: load certificate and key")
	}
	loaded := credentials{certificate: certificate}
	if pair.CAFile == "" {
		return loaded, nil
	}
	raw, err := os.ReadFile(pair.CAFile)
	if err != nil {
		return credentials{}, errors.Wrap(err, "certs: read authorities")
	}
	loaded.authorities = x509.NewCertPool()
	if !loaded.authorities.AppendCertsFromPEM(raw) {
		return credentials{}, errors.Errorf("certs: %s contains no certificate in PEM", pair.CAFile)
	}
	return loaded, nil
}

func modTimesOf(pair settings.KeyPair) (modTimes [3]time.Time) {
	for i, name := range []string{pair.CertFile, pair.KeyFile, pair.CAFile} {
		if info, err := os.Stat(name); err == nil {
			modTimes[i] = info.ModTime()
		}
	}
	return modTimes
}

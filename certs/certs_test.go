package certs

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/goldcrestspan/goldcrestspan/settings"
)

// testCA is a certificate authority.
type testCA struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

func newTestCA(t *testing.T) testCA {
	t.Helper()
	is := is.New(t)
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	is.NoErr(err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "authority"},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	raw, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	is.NoErr(err)
	certificate, err := x509.ParseCertificate(raw)
	is.NoErr(err)
	return testCA{certificate, key}
}

// write issues a certificate for 127.0.0.1 and writes certificate, key and authority.
func (a testCA) write(t *testing.T, dir string, serial int64) settings.KeyPair {
	t.Helper()
	is := is.New(t)
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	is.NoErr(err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(serial), Subject: pkix.Name{CommonName: "host"},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	raw, err := x509.CreateCertificate(rand.Reader, template, a.certificate, &key.PublicKey, a.key)
	is.NoErr(err)
	keyRaw, err := x509.MarshalPKCS8PrivateKey(key)
	is.NoErr(err)
	pair := settings.KeyPair{
		CertFile: filepath.Join(dir, "host.pem"),
		KeyFile:  filepath.Join(dir, "host.key"),
		CAFile:   filepath.Join(dir, "authorities.pem"),
	}
	writePEM(t, pair.CertFile, "CERTIFICATE", raw)
	writePEM(t, pair.KeyFile, "PRIVATE KEY", keyRaw)
	writePEM(t, pair.CAFile, "CERTIFICATE", a.certificate.Raw)
	return pair
}

func writePEM(t *testing.T, name, kind string, raw []byte) {
	t.Helper()
	is.New(t).NoErr(os.WriteFile(name, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: raw}), 0o600))
}

// handshake performs a TLS handshake over loopback and returns the serial number of
// the server's certificate.
func handshake(t *testing.T, server, client *tls.Config) (*big.Int, error) {
	t.Helper()
	listener, err := tls.Listen("tcp", "127.0.0.1:0", server)
	is.New(t).NoErr(err)
	defer func() { _ = listener.Close() }()
	served := make(chan error, 1)
	go func() {
		conn, err := listener.Accept()
		if err == nil {
			err = conn.(*tls.Conn).HandshakeContext(context.Background())
			_ = conn.Close()
		}
		served <- err
	}()
	client = client.Clone()
	client.ServerName = "127.0.0.1"
	conn, err := tls.Dial("tcp", listener.Addr().String(), client)
	if err != nil {
		<-served
		return nil, err
	}
	defer func() { _ = conn.Close() }()
	return conn.ConnectionState().PeerCertificates[0].SerialNumber, <-served
}

// Guards against serving the old certificate after a rotation, and against a partly
// written file that breaks the listener.
func TestReloadsChangedFiles(t *testing.T) {
	is := is.New(t)
	a := newTestCA(t)
	dir := t.TempDir()
	pair := a.write(t, dir, 10)
	now := time.Now()
	files, err := Open(pair, func() time.Time { return now })
	is.NoErr(err)
	serial, err := handshake(t, files.MutualConfig(), files.MutualConfig())
	is.NoErr(err)
	is.Equal(serial.Int64(), int64(10))

	later := time.Now().Add(time.Minute)
	is.NoErr(os.WriteFile(pair.KeyFile, []byte("half"), 0o600))
	is.NoErr(os.Chtimes(pair.KeyFile, later, later))
	now = now.Add(2 * checkInterval)
	serial, err = handshake(t, files.MutualConfig(), files.MutualConfig())
	is.NoErr(err)
	is.Equal(serial.Int64(), int64(10))
	is.True(files.ReloadError() != nil)
	is.True(files.Expiry().After(now)) // of the previous files

	a.write(t, dir, 11)
	now = now.Add(2 * checkInterval)
	serial, err = handshake(t, files.MutualConfig(), files.MutualConfig())
	is.NoErr(err)
	is.Equal(serial.Int64(), int64(11))
	is.NoErr(files.ReloadError())
}

// Guards against connections to or from a peer with a certificate of an unknown
// authority.
func TestRefusesPeerOfOtherAuthority(t *testing.T) {
	is := is.New(t)
	own, err := Open(newTestCA(t).write(t, t.TempDir(), 1), time.Now)
	is.NoErr(err)
	foreign, err := Open(newTestCA(t).write(t, t.TempDir(), 2), time.Now)
	is.NoErr(err)
	_, err = handshake(t, own.MutualConfig(), foreign.MutualConfig())
	is.True(err != nil)
	_, err = handshake(t, foreign.MutualConfig(), own.MutualConfig())
	is.True(err != nil)
}

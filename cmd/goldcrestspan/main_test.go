package main

import (
	"net"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	"github.com/matryer/is"

	"github.com/goldcrestspan/goldcrestspan/internal/testprocess"
)

func TestMain(m *testing.M) { testprocess.Main(m, main) }

// Guards against a host of the own interface that SIGHUP ends, while it serves and in its planned
// stop.
func TestServeOutlivesSIGHUP(t *testing.T) {
	path := filepath.Join(t.TempDir(), "host.yaml")
	text := strings.ReplaceAll(`host: {name: host-1, region: jadran, zone: split-a}
listeners: {callers: "HOST:7101", peers: "HOST:7102", operators: "HOST:7103"}
platform: {addresses: ["HOST:7104"]}
tls: {plain_text: true}
keys:
  signers:
    - {name: marija, public_key: "QUFBQUFBQUFBQUFBQUFBQUFBQUFBQUFBQUFBQUFBQUE="}
    - {name: ivo, public_key: "QkJCQkJCQkJCQkJCQkJCQkJCQkJCQkJCQkJCQkJCQkI="}
`, "HOST", testprocess.HostAddress())
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	p := testprocess.Start(t, nil, "serve", "--settings", path)
	p.WaitUntilLogged("entry host started")
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		p.HangUp(func(int) {})
	}()
	p.WaitUntilLogged("SIGHUP received")
	p.Signal(syscall.SIGTERM)
	p.RequireCleanExit()
	<-ended
}

// Guards against a command that runs no entry host and can't be interrupted.
func TestOtherCommandsEndOnSIGINT(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0") // accepts, and never answers
	is.NoErr(err)
	defer func() { _ = listener.Close() }()
	p := testprocess.Start(t, nil, "bench", "--help")
	is.True(p.EndSignal() < 0)
	p = testprocess.Start(t, nil, "status", listener.Addr().String())
	connection, err := listener.Accept()
	is.NoErr(err)
	defer func() { _ = connection.Close() }()
	p.Signal(syscall.SIGINT)
	is.Equal(p.EndSignal(), syscall.SIGINT)
}

package connlimit

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

const short = 60 * time.Millisecond

// serveLimited serves with long bounds of its own and the limits in force.
func serveLimited(t *testing.T, limits *atomic.Pointer[Limits]) (address string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{
		Handler:           http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { time.Sleep(2 * short) }),
		ReadHeaderTimeout: time.Minute, IdleTimeout: time.Minute, ConnState: ConnState,
	}
	t.Cleanup(func() { _ = server.Close() })
	go func() { _ = server.Serve(NewListener(listener, func() Limits { return *limits.Load() })) }()
	return listener.Addr().String()
}

func dial(t *testing.T, address string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return c
}

// closedWithin reports whether the server closes the connection in time.
func closedWithin(c net.Conn, d time.Duration) bool {
	_ = c.SetReadDeadline(time.Now().Add(d))
	_, err := c.Read(make([]byte, 1))
	return err == io.EOF
}

// Callers hold connections on which they send nothing, or half of a head. Small
// hosts run out of descriptors. The operator's limits must end them, also limits
// that came into force after the server had started; a request that takes longer
// than either must not be cut.
func TestConnectionsEndAtTheLimitsInForce(t *testing.T) {
	is := is.New(t)
	var limits atomic.Pointer[Limits]
	limits.Store(&Limits{})
	address := serveLimited(t, &limits)

	before := dial(t, address)
	is.True(!closedWithin(before, 2*short)) // no limit yet

	limits.Store(&Limits{HeaderTimeout: short, IdleTimeout: 4 * short})
	slow := dial(t, address)
	_, _ = io.WriteString(slow, "GET / HTTP/1.1\r\nHost: ")
	is.True(closedWithin(slow, 3*time.Second))

	kept := dial(t, address)
	reader := bufio.NewReader(kept)
	for range 2 {
		_, _ = io.WriteString(kept, "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
		response, err := http.ReadResponse(reader, nil)
		is.NoErr(err) // it took longer than a head may
		_, _ = io.Copy(io.Discard, response.Body)
		time.Sleep(2 * short) // and the connection rested for longer than that
	}
	is.True(closedWithin(kept, 3*time.Second))
}

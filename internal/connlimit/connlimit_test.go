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

const headerLimit = 60 * time.Millisecond

// serveLimited starts a server with long timeouts of its own and the given limits.
func serveLimited(t *testing.T, limits *atomic.Pointer[Limits]) (address string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{
		Handler:           http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { time.Sleep(2 * headerLimit) }),
		ReadHeaderTimeout: time.Minute, IdleTimeout: time.Minute, ConnState: ConnState,
	}
	t.Cleanup(func() { _ = server.Close() })
	go func() { _ = server.Serve(NewListener(listener, func() Limits { return *limits.Load() })) }()
	return listener.Addr().String()
}

func dial(t *testing.T, address string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

// closedWithin reports whether the server closes the connection within d.
func closedWithin(conn net.Conn, d time.Duration) bool {
	_ = conn.SetReadDeadline(time.Now().Add(d))
	_, err := conn.Read(make([]byte, 1))
	return err == io.EOF
}

// Guards against idle or slow callers that exhaust the file descriptors, also
// after a change of the limits, and against limits that cut off a long request.
func TestCurrentLimitsCloseConnections(t *testing.T) {
	is := is.New(t)
	var limits atomic.Pointer[Limits]
	limits.Store(&Limits{})
	address := serveLimited(t, &limits)

	unlimited := dial(t, address)
	is.True(!closedWithin(unlimited, 2*headerLimit))

	limits.Store(&Limits{HeaderTimeout: headerLimit, IdleTimeout: 4 * headerLimit})
	slow := dial(t, address)
	_, _ = io.WriteString(slow, "GET / HTTP/1.1\r\nHost: ")
	is.True(closedWithin(slow, 3*time.Second))

	reused := dial(t, address)
	reader := bufio.NewReader(reused)
	for range 2 {
		_, _ = io.WriteString(reused, "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
		response, err := http.ReadResponse(reader, nil)
		is.NoErr(err) // the handler takes longer than the header limit
		_, _ = io.Copy(io.Discard, response.Body)
		time.Sleep(2 * headerLimit) // idle for longer than the header limit
	}
	is.True(closedWithin(reused, 3*time.Second))
}

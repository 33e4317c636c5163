package backend

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/goldcrestspan/goldcrestspan/ident"
	"github.com/goldcrestspan/goldcrestspan/result"
)

// stubProtocol sends the call's body and accepts any complete reply.
type stubProtocol struct{}

func (stubProtocol) Request(_ Server, call Call) *http.Request {
	return &http.Request{
		Method: http.MethodPost, URL: &url.URL{Path: "/"}, Host: "test", Header: http.Header{},
		Body: io.NopCloser(strings.NewReader(string(call.Body))), ContentLength: int64(len(call.Body)),
	}
}

// Key counts the calls, as if each had ids of its own.
func (stubProtocol) Key(Call) uint64 { return lastStubKey.Add(1) }

var lastStubKey atomic.Uint64

func (stubProtocol) Read(response *http.Response, _ Call) (CallResult, bool, error) {
	body, err := io.ReadAll(response.Body)
	return CallResult{Outcome: result.OutcomeRan, Fault: FaultNone, Reply: Reply{Body: body}}, !response.Close, err
}

// serveConnections serves each connection with the next function; the last function
// serves all further connections.
func serveConnections(t *testing.T, serve ...func(c net.Conn, r *bufio.Reader)) Server {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for i := 0; ; i++ {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			f := serve[min(i, len(serve)-1)]
			go func() {
				defer func() { _ = c.Close() }()
				f(c, bufio.NewReader(c))
			}()
		}
	}()
	return Server{Name: "server", Address: listener.Addr().String()}
}

// readRequest reads a request to its end.
func readRequest(r *bufio.Reader) bool {
	request, err := http.ReadRequest(r)
	if err != nil {
		return false
	}
	_, err = io.Copy(io.Discard, request.Body)
	return err == nil
}

func okReply(body string) string {
	return "HTTP/1.1 200 OK\r\nContent-Length: " + string('0'+rune(len(body))) + "\r\n\r\n" + body
}

func newTestClient(t *testing.T) *Client {
	t.Helper()
	c := NewClient(Options{Protocol: stubProtocol{}, ReadIdleTimeout: -1})
	t.Cleanup(func() { _ = c.Close() })
	return c
}

func runCall(t *testing.T, c *Client, server Server, body string) CallResult {
	t.Helper()
	return c.Run(t.Context(), server, Call{Body: []byte(body), Idempotent: true, Deadline: time.Now().Add(5 * time.Second)})
}

// A server sends a second reply after a complete one. The next call on the
// connection must not receive it.
func TestUnsolicitedReplyIsDiscarded(t *testing.T) {
	is := is.New(t)
	sent := make(chan struct{})
	server := serveConnections(t,
		func(c net.Conn, r *bufio.Reader) {
			readRequest(r)
			_, _ = io.WriteString(c, okReply("first"))
			time.Sleep(20 * time.Millisecond)
			_, _ = io.WriteString(c, okReply("stray"))
			close(sent)
			readRequest(r)
		},
		func(c net.Conn, r *bufio.Reader) {
			readRequest(r)
			_, _ = io.WriteString(c, okReply("second"))
			readRequest(r)
		})
	c := newTestClient(t)
	is.Equal(string(runCall(t, c, server, "").Reply.Body), "first")
	<-sent
	time.Sleep(20 * time.Millisecond) // lets the data arrive
	is.Equal(string(runCall(t, c, server, "").Reply.Body), "second")
}

// A server closes an idle connection. The next call must not be sent on it, because
// its outcome would be unknown.
func TestConnectionClosedByServerIsNotReused(t *testing.T) {
	is := is.New(t)
	closed := make(chan struct{})
	replyAndClose := func(c net.Conn, r *bufio.Reader) {
		readRequest(r)
		_, _ = io.WriteString(c, okReply("answer"))
		_ = c.Close()
		closed <- struct{}{}
	}
	server := serveConnections(t, replyAndClose)
	c := newTestClient(t)
	for range 3 {
		res := runCall(t, c, server, "")
		is.Equal(res.Fault, FaultNone)
		<-closed
		time.Sleep(20 * time.Millisecond)
	}
	is.Equal(c.Stats().Dials, uint64(3))
}

// A server replies before it has read a long body. The reply must be read at once,
// and the connection must not be reused while the body is still being sent.
func TestEarlyReplyToLongBodyIsRead(t *testing.T) {
	is := is.New(t)
	done := make(chan struct{})
	server := serveConnections(t,
		func(c net.Conn, _ *bufio.Reader) {
			_ = c.(*net.TCPConn).SetReadBuffer(4 << 10)
			_, _ = io.WriteString(c, okReply("early"))
			<-done
		},
		func(c net.Conn, r *bufio.Reader) {
			readRequest(r)
			_, _ = io.WriteString(c, okReply("next"))
			readRequest(r)
		})
	c := newTestClient(t)
	res := runCall(t, c, server, strings.Repeat("b", 16<<20))
	is.Equal(string(res.Reply.Body), "early")
	is.Equal(string(runCall(t, c, server, "").Reply.Body), "next")
	close(done)
}

// A reply without Content-Length ends when the connection closes. If the connection
// is reset instead, the truncated reply must not be used.
func TestReplyWithoutLengthNeedsCleanClose(t *testing.T) {
	is := is.New(t)
	head := "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"
	server := serveConnections(t,
		func(c net.Conn, r *bufio.Reader) {
			readRequest(r)
			_, _ = io.WriteString(c, head+"whole")
		},
		func(c net.Conn, r *bufio.Reader) {
			readRequest(r)
			_, _ = io.WriteString(c, head+"ha")
			time.Sleep(20 * time.Millisecond)
			_ = c.(*net.TCPConn).SetLinger(0) // reset
		})
	c := newTestClient(t)
	is.Equal(string(runCall(t, c, server, "").Reply.Body), "whole")
	truncated := runCall(t, c, server, "")
	is.Equal(truncated.Outcome, result.OutcomeUnknown)
	is.Equal(truncated.Fault, FaultCorruptReply)
}

// A call is cancelled while it runs. Its connection must be closed, so that the
// server notices.
func TestCancelledCallClosesConnection(t *testing.T) {
	is := is.New(t)
	working, ended := make(chan struct{}), make(chan struct{})
	server := serveConnections(t, func(_ net.Conn, r *bufio.Reader) {
		readRequest(r)
		close(working)
		_, _ = r.ReadByte()
		close(ended)
	})
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		<-working
		cancel()
	}()
	res := newTestClient(t).Run(ctx, server, Call{Idempotent: true, Deadline: time.Now().Add(5 * time.Second)})
	is.Equal(res.Outcome, result.OutcomeUnknown)
	is.Equal(res.Fault, FaultCancelled)
	<-ended
}

// Guards against a late copy of a refusal that is taken for the reply to the next attempt of the
// same request, which the server runs. Attempts of the native protocol have ids of their own, so
// that the connection is used for both.
func TestLateRefusalIsNotTakenForTheNextAttempt(t *testing.T) {
	is := is.New(t)
	reply := func(h http.Header, status, notRun string) string {
		var head strings.Builder
		echo := http.Header{}
		for _, name := range []string{HeaderRequest, HeaderAttempt, HeaderShard} {
			echo.Set(name, h.Get(name))
		}
		if notRun != "" {
			echo.Set(HeaderNotRun, notRun)
		}
		_ = echo.Write(&head)
		return "HTTP/1.1 " + status + "\r\nContent-Length: 0\r\n" + head.String() + "\r\n"
	}
	server := serveConnections(t, func(c net.Conn, r *bufio.Reader) {
		first, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		refusal := reply(first.Header, "503 Service Unavailable", string(NotRunShed))
		_, _ = io.WriteString(c, refusal)
		second, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.WriteString(c, refusal+reply(second.Header, "500 Internal Server Error", ""))
		_, _ = r.ReadByte()
	})
	c := NewClient(Options{ReadIdleTimeout: -1})
	t.Cleanup(func() { _ = c.Close() })
	call := Call{Request: ident.NewRequestID(), Deadline: time.Now().Add(5 * time.Second)}
	run := func(attempt ident.AttemptID) CallResult {
		call.Attempt = attempt
		return c.Run(t.Context(), server, call)
	}
	is.Equal(run(1).Outcome, result.OutcomeRefused)
	second := run(2)
	is.Equal(second.Outcome, result.OutcomeUnknown)
	is.Equal(second.Fault, FaultMisroutedReply)
	is.Equal(c.Stats().Dials, uint64(1))
}

// Guards against a call that waits, or fails, because all idle connections have carried its ids
// and the server's connection limit is reached.
func TestAttemptAtTheConnectionLimitReplacesAConnection(t *testing.T) {
	is := is.New(t)
	p := &pool{}
	now := time.Unix(1000, 0)
	client, server := net.Pipe()
	t.Cleanup(func() { _ = server.Close() })
	used := &conn{tcp: &tcpConn{Conn: client}, idleSince: now}
	used.carried.add(7)
	p.open, p.idle = 1, []*conn{used}
	c, err := p.get(now, time.Second, 1, 7)
	is.NoErr(err)
	is.Equal(c, nil) // dial
	is.Equal(p.open, 1)
	is.Equal(len(p.idle), 0)
	_, err = p.get(now, time.Second, 1, 8)
	is.Equal(err, errConnectionLimit) // the slot is taken
}

package backend

import (
	"bufio"
	"bytes"
	"context"
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

const (
	// readBufferBytes fits most replies, headers included. writeBufferBytes fits
	// a request without a body, so that it is sent in one write.
	readBufferBytes  = 2 << 10
	writeBufferBytes = 1 << 10
	// asyncBodyBytes is the length from which a body is written on a goroutine of
	// its own: the write may block until the server reads.
	asyncBodyBytes = 4 << 10
	// maxInterimReplies limits the 1xx replies before the final one.
	maxInterimReplies = 5
)

var errUnexpectedData = errors.New("backend: unexpected data on an idle connection")

// conn is an HTTP/1.1 connection that carries one call at a time. The call's
// goroutine reads and writes it, which avoids the cost of net/http's read and
// write loops.
type conn struct {
	tcp              *tcpConn
	stream           net.Conn // tcp, or TLS over it
	limited          io.LimitedReader
	reader           *bufio.Reader
	writer           *bufio.Writer
	idleSince        time.Time
	keepAliveTimeout time.Duration // how long the server keeps it idle; 0: unknown
	number           uint64        // unique in this process, above 0
	carried          carriedCalls
}

// lastConnection is the number of the newest connection of this process.
var lastConnection atomic.Uint64

// dial opens a connection; a nil config selects plain text.
func dial(ctx context.Context, config *tls.Config, address string) (*conn, error) {
	tcp, err := dialTCP(ctx, address)
	if err != nil {
		return nil, err
	}
	c := &conn{tcp: tcp, stream: tcp, number: lastConnection.Add(1)}
	if config != nil {
		config = config.Clone()
		if config.ServerName == "" {
			config.ServerName, _, _ = net.SplitHostPort(address) // valid: it was dialed
		}
		secured := tls.Client(tcp, config)
		if err := secured.HandshakeContext(ctx); err != nil {
			_ = tcp.Close()
			return nil, errors.Wrapf(err, "TLS with %s", address)
		}
		c.stream = secured
	}
	c.limited.R = c.stream
	c.reader = bufio.NewReaderSize(&c.limited, readBufferBytes)
	c.writer = bufio.NewWriterSize(c.stream, writeBufferBytes)
	return c, nil
}

// exchange is a request that was sent on a connection, and its reply.
type exchange struct {
	conn       *conn
	response   *http.Response
	body       *eofBody    // body of response
	stopCancel func() bool // stops closing the connection when ctx ends
	writeDone  chan error  // result of a background write; nil: none
}

// roundTrip sends the request and reads the headers of its reply. The connection
// is closed if ctx ends first.
func (c *conn) roundTrip(ctx context.Context, request *http.Request, memory *replyMemory) (*exchange, error) {
	e := &exchange{conn: c}
	e.stopCancel = context.AfterFunc(ctx, func() { c.tcp.abort() })
	if err := e.send(request); err != nil {
		e.stopCancel()
		return nil, err
	}
	response, err := c.readResponseHead(request)
	if err != nil {
		e.stopCancel()
		return nil, err
	}
	e.response, e.body = response, &eofBody{ReadCloser: response.Body, reservation: replyReservation{memory: memory}}
	response.Body = e.body
	return e, nil
}

// send writes the request. A long body is written in the background, so that an
// early reply is read although the server hasn't read the whole body.
func (e *exchange) send(request *http.Request) error {
	if request.ContentLength < asyncBodyBytes {
		return e.conn.write(request)
	}
	e.writeDone = make(chan error, 1)
	go func() { e.writeDone <- e.conn.write(request) }()
	return nil
}

func (c *conn) write(request *http.Request) error {
	if err := writeRequest(c.writer, request); err != nil {
		return err
	}
	return c.writer.Flush()
}

// writeRequest writes the request with URL.Opaque as its target, unchanged. net/http would put the
// scheme before a target that begins with two slashes.
func writeRequest(w io.Writer, request *http.Request) error {
	target := request.URL.Opaque
	if !strings.HasPrefix(target, "//") {
		return request.Write(w)
	}
	rest := *request
	rest.URL = &url.URL{Path: "/"}
	line := request.Method + " " + target + " HTTP/1.1\r\n"
	return rest.Write(&requestLineReplacer{out: w, line: line})
}

// requestLineReplacer replaces the first line of what is written to it.
type requestLineReplacer struct {
	out      io.Writer
	line     string
	replaced bool
}

// Write implements io.Writer.
func (r *requestLineReplacer) Write(p []byte) (int, error) {
	if r.replaced {
		return r.out.Write(p)
	}
	end := bytes.IndexByte(p, '\n')
	if end < 0 {
		return len(p), nil
	}
	r.replaced = true
	if _, err := io.WriteString(r.out, r.line); err != nil {
		return 0, err
	}
	n, err := r.out.Write(p[end+1:])
	return end + 1 + n, err
}

// readResponseHead reads the headers of the reply and skips 1xx replies.
func (c *conn) readResponseHead(request *http.Request) (*http.Response, error) {
	for range maxInterimReplies {
		c.limited.N = maxReplyHeaderBytes
		response, err := http.ReadResponse(c.reader, request)
		if err != nil {
			return nil, err
		}
		if response.StatusCode >= http.StatusOK || response.StatusCode == http.StatusSwitchingProtocols {
			c.limited.N = maxReplyBodyBytes
			return response, nil
		}
	}
	return nil, errors.Errorf("backend: more than %d interim replies", maxInterimReplies)
}

// maxReplyBodyBytes is more than any Protocol reads of a body.
const maxReplyBodyBytes = 1 << 30

// finish ends the exchange and reports whether the connection can be reused: the request was sent
// completely, the reply was read to its end, and no data follows it.
func (e *exchange) finish() bool {
	e.body.reservation.release()
	open := e.stopCancel() && e.body.atEOF
	if e.writeDone != nil {
		select {
		case err := <-e.writeDone:
			open = open && err == nil
		default:
			return false // the request body is still being sent
		}
	}
	return open && e.conn.reader.Buffered() == 0
}

// eofBody records whether the body was read to its end, and reserves memory for it. It is never closed,
// because Close would wait for the rest of the body.
type eofBody struct {
	io.ReadCloser
	atEOF       bool
	reservation replyReservation
}

// Read implements io.Reader.
func (b *eofBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.atEOF = b.atEOF || err == io.EOF
	if reserveErr := b.reservation.add(n); reserveErr != nil {
		return 0, reserveErr
	}
	return n, err
}

// alive reports whether an idle connection is usable: the server has neither
// closed it nor sent data on it. Data that arrives later is detected by the
// echoed ids.
func (c *conn) alive() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	err := c.tcp.peek()
	if errors.Is(err, errUnexpectedData) && c.stream != net.Conn(c.tcp) {
		return true // may be a TLS record without application data
	}
	return err == nil
}

// peek returns an error if the connection is closed or has unread data. It
// doesn't block and consumes nothing.
func (c *tcpConn) peek() error {
	rawConn, err := c.rawConn()
	if err != nil {
		return err
	}
	var found error
	err = rawConn.Read(func(fd uintptr) bool {
		var one [1]byte
		n, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		switch {
		case errors.Is(err, syscall.EAGAIN):
		case err != nil:
			found = err
		case n == 0:
			found = io.EOF
		default:
			found = errUnexpectedData
		}
		return true
	})
	if err != nil {
		return err
	}
	return found
}

func (c *tcpConn) rawConn() (syscall.RawConn, error) {
	withRaw, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errors.New("backend: connection has no file descriptor")
	}
	return withRaw.SyscallConn()
}

// idleTooLong reports whether the connection was idle for longer than maxIdle,
// or is close to the server's idle timeout: a call sent as the server closes the
// connection would have an unknown outcome.
func (c *conn) idleTooLong(now time.Time, maxIdle time.Duration) bool {
	if c.keepAliveTimeout > 0 {
		maxIdle = min(maxIdle, c.keepAliveTimeout-keepAliveMargin)
	}
	return now.Sub(c.idleSince) > maxIdle
}

// keepAliveMargin covers a round trip between regions and timer delays on a busy
// host.
const keepAliveMargin = 400 * time.Millisecond

// abort closes the connection and returns how many writes were started on it.
func (c *conn) abort() uint64 { return c.tcp.abort() }

package backend

import (
	"bufio"
	"context"
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

const (
	// readBuffer holds the head and the body of most replies; writeBuffer a
	// whole request without a body, so that it leaves in one write.
	readBuffer  = 2 << 10
	writeBuffer = 1 << 10
	// longBody is the length from which a body is written beside the wait for
	// the reply: it is more than a connection is sure to take at once.
	longBody = 4 << 10
	// maxInterim bounds the interim replies (1xx) before the one that counts.
	maxInterim = 5
)

var errStray = errors.New("backend: bytes after the reply")

// conn is one HTTP/1.1 connection; it carries one call at a time, on the
// goroutine of the call. net/http's own client has two more goroutines for each
// connection, and handing a call over to them and back took a fifth of a host's
// processor time: 128 us a part of an answer with them, 102 us without, on one core.
type conn struct {
	wire      *wireConn
	stream    net.Conn // wire, or TLS over it
	limited   io.LimitedReader
	reader    *bufio.Reader
	writer    *bufio.Writer
	idleSince time.Time
	keepFor   time.Duration // the server's word on idle connections; 0: none
}

// dial opens one connection outside of any pool; a nil config means plain text.
func dial(ctx context.Context, config *tls.Config, address string) (*conn, error) {
	wire, err := dialWire(ctx, address)
	if err != nil {
		return nil, err
	}
	c := &conn{wire: wire, stream: wire}
	if config != nil {
		config = config.Clone()
		if config.ServerName == "" {
			config.ServerName, _, _ = net.SplitHostPort(address) // dialled, so it has both
		}
		secured := tls.Client(wire, config)
		if err := secured.HandshakeContext(ctx); err != nil {
			_ = wire.Close()
			return nil, errors.Wrapf(err, "TLS with %s", address)
		}
		c.stream = secured
	}
	c.limited.R = c.stream
	c.reader = bufio.NewReaderSize(&c.limited, readBuffer)
	c.writer = bufio.NewWriterSize(c.stream, writeBuffer)
	return c, nil
}

// exchange is a request on a connection and its reply.
type exchange struct {
	conn     *conn
	response *http.Response
	body     *wholeBody  // of the response
	stop     func() bool // the watch over the call's context
	written  chan error  // the end of a body that is written beside; nil: none
}

// roundTrip sends the request and reads the head of its reply. The connection
// is closed when ctx ends first.
func (c *conn) roundTrip(ctx context.Context, request *http.Request) (*exchange, error) {
	e := &exchange{conn: c}
	e.stop = context.AfterFunc(ctx, func() { c.wire.stop() })
	if err := e.send(request); err != nil {
		e.stop()
		return nil, err
	}
	response, err := c.readHead(request)
	if err != nil {
		e.stop()
		return nil, err
	}
	e.response, e.body = response, &wholeBody{ReadCloser: response.Body}
	response.Body = e.body
	return e, nil
}

// send writes the request, a long body beside the wait for the reply.
//
// Failure: a server answers before it has read a long body and reads on later.
// A sender that waits for the end of its writing meanwhile never sees the
// answer. The guard holds because such a body has a goroutine of its own.
func (e *exchange) send(request *http.Request) error {
	if request.ContentLength < longBody {
		return e.conn.write(request)
	}
	e.written = make(chan error, 1)
	go func() { e.written <- e.conn.write(request) }()
	return nil
}

func (c *conn) write(request *http.Request) error {
	if err := request.Write(c.writer); err != nil {
		return err
	}
	return c.writer.Flush()
}

// readHead reads the head of the reply, after interim ones.
func (c *conn) readHead(request *http.Request) (*http.Response, error) {
	for range maxInterim {
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
	return nil, errors.Errorf("backend: more than %d interim replies", maxInterim)
}

// maxReplyBodyBytes is above what any Protocol reads of one body.
const maxReplyBodyBytes = 1 << 30

// end reports whether the connection can carry another call: the reply was read
// to its last byte, nothing came after it, and the whole request has left.
func (e *exchange) end() bool {
	open := e.stop() && e.body.ended
	if e.written != nil {
		select {
		case err := <-e.written:
			open = open && err == nil
		default:
			return false // the server still owes reading the body
		}
	}
	return open && e.conn.reader.Buffered() == 0
}

// wholeBody notes whether the body was read to its end. It is not closed: that
// would wait for whatever the server has not sent yet.
type wholeBody struct {
	io.ReadCloser
	ended bool
}

// Read implements io.Reader.
func (b *wholeBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.ended = b.ended || err == io.EOF
	return n, err
}

// alive reports whether an idle connection can still be used: the server has
// neither closed it nor sent anything on it.
//
// Failure: a server closes idle connections, or sends a second reply after a
// whole one. The next call would end as unknown though it never ran, or take
// the stray bytes for its reply. The guard holds because such bytes, and the end,
// are seen by a look that does not wait; what comes later is the attempt's id to
// tell.
func (c *conn) alive() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	err := c.wire.peek()
	if errors.Is(err, errStray) && c.stream != net.Conn(c.wire) {
		return true // TLS sends records of its own between replies
	}
	return err == nil
}

// peek reports the end of the connection or bytes that wait on it, without
// taking them.
func (c *wireConn) peek() error {
	raw, err := c.raw()
	if err != nil {
		return err
	}
	var found error
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		n, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		switch {
		case errors.Is(err, syscall.EAGAIN):
		case err != nil:
			found = err
		case n == 0:
			found = io.EOF
		default:
			found = errStray
		}
		return true
	})
	if err != nil {
		return err
	}
	return found
}

func (c *wireConn) raw() (syscall.RawConn, error) {
	withRaw, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errors.New("backend: the connection has no descriptor")
	}
	return withRaw.SyscallConn()
}

// stale reports whether the connection was idle for longer than a call of that
// freshness may find it, or than the server keeps it.
//
// Failure: a server closes an idle connection while a call is on its way; the
// call ends as unknown though it never ran. The guard holds because the last
// part of the time that the server states is left unused.
func (c *conn) stale(now time.Time, fresh time.Duration) bool {
	if c.keepFor > 0 {
		fresh = min(fresh, c.keepFor-keepReserve)
	}
	return now.Sub(c.idleSince) > fresh
}

// keepReserve is the part of a stated idle time that is left unused: a round
// trip between regions and the lateness of a busy host's timers.
const keepReserve = 400 * time.Millisecond

// drop closes the connection at once and reports how many writes it began.
func (c *conn) drop() uint64 { return c.wire.stop() }

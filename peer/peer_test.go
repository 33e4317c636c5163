package peer

import (
	"context"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/goldcrestspan/goldcrestspan/member/memberpb"
)

// Something between two hosts loses track of a pooled connection: writes still
// succeed, nothing ever comes back, new connections work. A call on it times
// out; if it went back into the pool, every later call would take it again, and
// the peer would be dead to this host for good.
func TestSilentConnectionIsNotPooledAgain(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = listener.Close() }()
	var accepted atomic.Int32
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			accepted.Add(1)
			go func() { _, _ = io.Copy(io.Discard, conn) }()
		}
	}()
	pool := NewPool(nil)
	defer func() { _ = pool.Close() }()
	const calls = 3
	for range calls {
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		client := memberpb.NewDRPCMemberClient(pool.Conn(ctx, listener.Addr().String()))
		_, err := client.Probe(ctx, &memberpb.ProbeRequest{})
		is.True(err != nil)
		cancel()
	}
	for deadline := time.Now().Add(5 * time.Second); accepted.Load() < calls && time.Now().Before(deadline); {
		time.Sleep(time.Millisecond)
	}
	is.Equal(accepted.Load(), int32(calls)) // each call on a connection of its own
}

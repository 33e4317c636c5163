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

// Guards against pooling a connection on which a call timed out: over a lost connection on which
// writes still succeed, all later calls to the peer would time out too.
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
	is.Equal(accepted.Load(), int32(calls)) // each call used a new connection
}

package booking

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
	"storj.io/drpc"

	"github.com/goldcrestspan/goldcrestspan/ident"
	"github.com/goldcrestspan/goldcrestspan/peer"
	"github.com/goldcrestspan/goldcrestspan/result"
)

// serveDesk serves the desk to peers on a loopback port until the test ends.
func serveDesk(t *testing.T, desk *Executor) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := peer.NewServer()
	if err := desk.Register(server.Mux()); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = server.Serve(ctx, listener)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return listener.Addr().String()
}

func TestForwardOverDRPC(t *testing.T) {
	is := is.New(t)
	runs := 0
	issuer := NewExecutor(Config{Host: "a", Incarnation: 1, Run: func(_ context.Context, r Request) Result {
		runs++
		return Result{Code: result.Complete, Detail: r.Route, Answer: r.Body}
	}})
	address := serveDesk(t, issuer)
	pool := peer.NewPool(nil)
	defer pool.Close()
	other := NewExecutor(Config{Host: "b", Incarnation: 1, Peers: DRPCPeers{
		Dial:       func(ctx context.Context, address string) (drpc.Conn, error) { return pool.Dial(ctx, address) },
		FindIssuer: func(ident.HostID, ident.Incarnation) (string, bool) { return address, true },
	}})
	r := Request{
		RequestID: ident.NewRequestID(), Ticket: issuer.Issue("desk", "book-slot"),
		Caller: "desk", Route: "book-slot", Body: []byte("slot"), Deadline: time.Now().Add(time.Minute),
	}
	for range 2 {
		outcome := other.Book(context.Background(), r)
		is.Equal(outcome, Result{Code: result.Complete, Detail: "book-slot", Answer: []byte("slot")})
	}
	is.Equal(runs, 1)
	address = "127.0.0.1:1" // nothing listens there
	is.Equal(other.Book(context.Background(), r).Code, result.OutcomeNotKnown)
}

package capacity

import (
	"context"
	"fmt"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/goldcrestspan/goldcrestspan/ident"
	"github.com/goldcrestspan/goldcrestspan/member"
	"github.com/goldcrestspan/goldcrestspan/peer"
)

// countingListener counts accepted connections and their bytes in both directions,
// including drpc framing but not TCP/IP headers.
type countingListener struct {
	net.Listener
	bytes, connections *atomic.Int64
}

func (l countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.connections.Add(1)
	return countingConn{conn, l.bytes}, nil
}

type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// BenchmarkAgents runs the membership agents of a cluster over loopback, one second
// for each iteration, and reports the resources per host and second.
func BenchmarkAgents(b *testing.B) {
	for _, hosts := range []int{7, 20} {
		b.Run(fmt.Sprintf("%dhosts", hosts), func(b *testing.B) { benchmarkAgents(b, hosts) })
	}
}

func benchmarkAgents(b *testing.B, hosts int) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var bytes, connections atomic.Int64
	var seeds []string
	var listeners []net.Listener
	for range hosts {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			b.Fatal(err)
		}
		listeners = append(listeners, countingListener{listener, &bytes, &connections})
		seeds = append(seeds, listener.Addr().String())
	}
	for i, listener := range listeners {
		pool := peer.NewPool(nil)
		defer func() { _ = pool.Close() }()
		agent := member.NewAgent(member.AgentConfig{
			Membership: member.Config{
				Self: member.Host{
					ID:            ident.HostID(fmt.Sprintf("host-%04d", i)),
					Incarnation:   ident.NewIncarnation(time.Now()),
					PeerAddress:   seeds[i],
					CallerAddress: seeds[i],
					Region:        "jadran",
					Zone:          "split-a",
				},
				Seeds: seeds[:2],
			},
			Pool:   pool,
			Logger: zap.NewNop(),
		})
		server := peer.NewServer()
		if err := agent.Register(server.Mux()); err != nil {
			b.Fatal(err)
		}
		go func() { _ = agent.Run(ctx) }()
		go func() { _ = server.Serve(ctx, listener) }()
	}
	time.Sleep(40 * time.Second) // messages carry the hosts' addresses for the first 30 s
	bytes.Store(0)
	connections.Store(0)
	cpuBefore := cpuTime()
	b.ResetTimer()
	for b.Loop() {
		time.Sleep(time.Second)
	}
	seconds := float64(b.N * hosts)
	// Each byte is sent by one host and received by another, but counted once.
	b.ReportMetric(2*float64(bytes.Load())/seconds, "bytes/host-second")
	b.ReportMetric(float64(connections.Load())/seconds, "connections/host-second")
	b.ReportMetric(float64(cpuTime()-cpuBefore)/seconds, "cpu-ns/host-second")
}

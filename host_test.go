package goldcrestspan

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/goldcrestspan/goldcrestspan/freshness"
)

// Guards against a host that serves on by its configuration while the loop that would put a newer
// one in force, or tell it of leaving servers, hangs.
func TestHostWithAHangingControlGoroutineIsNotReady(t *testing.T) {
	is := is.New(t)
	s := loopbackSettings()
	s.Limits.CutOffAfter = time.Second
	var later atomic.Int64
	host, err := New(s, Options{Registry: prometheus.NewRegistry(), Now: func() time.Time { return time.Now().Add(time.Duration(later.Load())) }})
	is.NoErr(err)
	defer host.Abort()
	servers := host.components.Servers
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	hung, released := make(chan struct{}), make(chan struct{})
	servers.post(func() {
		close(hung)
		<-released
	})
	go func() { _ = servers.run(ctx) }()
	<-hung
	is.Equal(host.outdated(), freshness.ReasonNone)
	later.Store(int64(s.Limits.CutOffAfter))
	is.Equal(host.outdated(), freshness.ReasonHung)
	close(released)
	done := make(chan struct{})
	servers.post(func() { close(done) })
	<-done
	is.Equal(host.outdated(), freshness.ReasonNone)
}

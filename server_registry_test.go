package goldcrestspan

import (
	"context"
	"fmt"
	"testing"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/goldcrestspan/goldcrestspan/draining"
	"github.com/goldcrestspan/goldcrestspan/member"
)

// Guards against work for a leaving server whose announcement, which peers make only once, came
// while the control goroutine was busy.
func TestAnnouncementsOfLeavingServersAreNotDropped(t *testing.T) {
	is := is.New(t)
	host, err := New(loopbackSettings(), Options{Registry: prometheus.NewRegistry()})
	is.NoErr(err)
	defer host.Abort()
	servers := host.components.Servers
	const count = 3000
	for i := range count {
		servers.merge(member.BackendUpdate{Server: fmt.Sprint(i), Incarnation: 1})
	}
	ctx, stop := context.WithCancel(context.Background())
	handled := make(chan struct{})
	servers.post(func() { close(handled) })
	ended := make(chan error, 1)
	go func() { ended <- servers.run(ctx) }()
	<-handled
	stop()
	is.NoErr(<-ended)
	for i := range count {
		is.True(!servers.drainTable.AllowedInstance(draining.Instance{Server: fmt.Sprint(i), Incarnation: 1}))
	}
}

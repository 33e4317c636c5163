package gateway

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/goldcrestspan/goldcrestspan/route"
)

func testRoute(name string, timeout time.Duration) route.Route {
	return route.Route{
		Name: name, Host: "x", Prefix: "/" + name + "/", Timeout: timeout, TargetLatency: time.Second, Priority: 1,
		WeightedServices: []route.WeightedService{{Service: "s", Weight: 1}},
	}
}

// Guards against a class for each route, and against losing latency statistics when a route's
// timeout changes.
func TestRoutesWithTheSameTargetShareAClass(t *testing.T) {
	is := is.New(t)
	c, err := newConfiguration(1, &route.Config{
		Version: 1, Services: []route.Service{{Name: "s"}},
		Routes: []route.Route{testRoute("a", time.Second), testRoute("b", 2*time.Second)},
	}, nil)
	is.NoErr(err)
	is.Equal(len(c.compiled.Classes), 1)
}

func TestInvalidConfigurationIsRefused(t *testing.T) {
	is := is.New(t)
	_, err := newConfiguration(1, &route.Config{Version: 1, Routes: []route.Route{testRoute("a", time.Second)}}, nil)
	is.True(err != nil) // its service is not listed
}

// Guards against requests that outlast the timeout of their route.
func TestRequestWaitsNoLongerThanItsRoute(t *testing.T) {
	is := is.New(t)
	r := testRoute("a", 2*time.Second)
	is.Equal(timeoutOf(&r, Query{}), 2*time.Second)
	is.Equal(timeoutOf(&r, Query{Timeout: time.Minute}), 2*time.Second)
	is.Equal(timeoutOf(&r, Query{Timeout: time.Second}), time.Second)
}

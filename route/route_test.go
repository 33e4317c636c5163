package route

import (
	"math"
	"testing"

	"github.com/matryer/is"
)

func config(routes ...Route) *Config {
	c := &Config{Version: 3, Routes: routes}
	for _, name := range []string{"a", "b", "c"} {
		c.Services = append(c.Services, Service{Name: name})
	}
	return c
}

func plain(name, host, prefix string, services ...WeightedService) Route {
	return Route{Name: name, Host: host, Prefix: prefix, WeightedServices: services}
}

func TestMatchesLongestPrefixOfHost(t *testing.T) {
	is := is.New(t)
	a := []WeightedService{{Service: "a", Weight: 1}}
	table := NewTable(config(
		plain("short", "x.example", "/one/", a...),
		plain("long", "x.example", "/one/two/", a...),
		plain("other", "y.example", "/", a...),
	))
	for _, c := range []struct{ host, path, want string }{
		{"x.example", "/one/two/three", "long"},
		{"x.example", "/one/two/", "long"},
		{"X.Example:8080", "/one/two", "short"},
		{"x.example", "/one/twofold/x", "short"},
		{"x.example", "/one", ""},
		{"x.example", "/", ""},
		{"y.example", "/anything", "other"},
		{"z.example", "/one/", ""},
	} {
		r, _, ok := table.Match(c.host, c.path)
		is.Equal(ok, c.want != "")
		if ok {
			is.Equal(r.Name, c.want)
		}
	}
}

// Guards against weights that only hold over many requests.
func TestWeightsHoldOverFewRequests(t *testing.T) {
	is := is.New(t)
	table := NewTable(config(plain("split", "x", "/", WeightedService{"a", 0.9}, WeightedService{"b", 0.1}, WeightedService{"c", 0})))
	counts := map[string]int{}
	const n = 300
	for range n {
		_, service, _ := table.Match("x", "/")
		counts[service]++
	}
	is.True(math.Abs(float64(counts["b"])/n-0.1) < 0.01)
	is.Equal(counts["c"], 0)
}

func TestValidateRejectsInvalidRoutes(t *testing.T) {
	is := is.New(t)
	a := WeightedService{Service: "a", Weight: 1}
	good := config(plain("r", "x", "/", a))
	is.NoErr(good.Validate())
	for _, bad := range []Route{
		{Name: "none", Host: "x", Prefix: "/"},
		plain("nohost", "", "/", a),
		plain("prefix", "x", "/one", a),
		plain("unknown", "x", "/", WeightedService{Service: "nowhere", Weight: 1}),
		plain("twice", "x", "/", a, a),
		plain("weightless", "x", "/", WeightedService{Service: "a"}),
		plain("negative", "x", "/", WeightedService{Service: "a", Weight: -1}),
		{Name: "both", Host: "x", Prefix: "/", WeightedServices: []WeightedService{a}, Shards: []string{"b"}, TopK: 1},
		{Name: "records", Host: "x", Prefix: "/", Shards: []string{"b"}, Idempotent: true},
		{Name: "booking", Host: "x", Prefix: "/", Shards: []string{"b"}, TopK: 1},
		{Name: "share", Host: "x", Prefix: "/", Shards: []string{"b"}, TopK: 1, Idempotent: true, MinCoverage: 1.1},
		{Name: "time", Host: "x", Prefix: "/", WeightedServices: []WeightedService{a}, Timeout: -1},
	} {
		is.True(config(bad).Validate() != nil) // bad.Name
	}
	is.True((&Config{}).Validate() != nil)
}

// Guards against sending callers of a host name to a region that one of its routes
// does not allow.
func TestRegionsAreAllowedByAllRoutesOfHost(t *testing.T) {
	is := is.New(t)
	a := []WeightedService{{Service: "a", Weight: 1}}
	wide, narrow, free := plain("wide", "x", "/w/", a...), plain("narrow", "X", "/n/", a...), plain("free", "x", "/f/", a...)
	wide.Regions, narrow.Regions = []string{"north", "south"}, []string{"south"}
	other := plain("other", "y", "/", a...)
	table := NewTable(config(wide, narrow, free, other))
	is.Equal(table.Regions("x:80"), []string{"south"})
	is.Equal(len(table.Regions("y")), 0)
	is.Equal(wide.Regions, []string{"north", "south"}) // the configuration is unchanged
}

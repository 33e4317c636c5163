package goldcrestspan

import (
	"os"
	"regexp"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/goldcrestspan/goldcrestspan/settings"
)

// An operator looks up a name from /metrics in the page, or copies a query from
// the page into an alarm. A metric that the page lacks can't be understood, and
// an alarm on a name that no host shows stays silent for ever.
func TestPageOnMetricsListsWhatAHostShows(t *testing.T) {
	is := is.New(t)
	text, err := os.ReadFile("docs/operators/metrics.md")
	is.NoErr(err)
	page := string(text)
	shown := metricNames(t)
	is.True(len(shown) > 30)
	for name := range shown {
		if !strings.Contains(page, "`"+strings.TrimPrefix(name, "goldcrestspan_")+"`") {
			t.Errorf("the page lacks %s", name)
		}
	}
	for _, name := range queriedName.FindAllString(page, -1) {
		if plain := partOfHistogram.ReplaceAllString(name, ""); !shown[name] && !shown[plain] {
			t.Errorf("no host shows %s", name)
		}
	}
}

var (
	queriedName     = regexp.MustCompile(`goldcrestspan_[a-z_]+[a-z]`)
	partOfHistogram = regexp.MustCompile(`_(sum|count)$`)
	descName        = regexp.MustCompile(`fqName: "([^"]+)"`)
)

// metricNames are all metrics that a host registers, counted yet or not.
func metricNames(t *testing.T) map[string]bool {
	t.Helper()
	registry := prometheus.NewRegistry()
	host, err := New(loopbackSettings(), Options{Registry: registry})
	if err != nil {
		t.Fatal(err)
	}
	defer host.Abort()
	descs := make(chan *prometheus.Desc)
	go func() {
		registry.Describe(descs)
		close(descs)
	}()
	names := make(map[string]bool)
	for desc := range descs {
		names[descName.FindStringSubmatch(desc.String())[1]] = true
	}
	return names
}

// loopbackSettings are those of one host without TLS, peers or platform.
func loopbackSettings() settings.Settings {
	const anyPort = "127.0.0.1:0"
	var s settings.Settings
	s.Host.Name, s.Host.Region, s.Host.Zone = "entry-1", "jadran", "split-a"
	s.Listeners = settings.Listeners{Callers: anyPort, Peers: anyPort, Operators: anyPort}
	s.Platform.Addresses = []string{"127.0.0.1:1"}
	s.TLS.PlainText = true
	return s
}

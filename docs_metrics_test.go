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

// Guards against undocumented metrics, and against documented queries on metrics
// that no host exports, with which an alert never fires.
func TestMetricsPageMatchesRegisteredMetrics(t *testing.T) {
	is := is.New(t)
	text, err := os.ReadFile("docs/operators/metrics.md")
	is.NoErr(err)
	page := string(text)
	exported := metricNames(t)
	is.True(len(exported) > 30)
	for name := range exported {
		if !strings.Contains(page, "`"+strings.TrimPrefix(name, "goldcrestspan_")+"`") {
			t.Errorf("metrics.md does not document %s", name)
		}
	}
	for _, name := range queriedName.FindAllString(page, -1) {
		if plain := histogramSuffix.ReplaceAllString(name, ""); !exported[name] && !exported[plain] {
			t.Errorf("no host exports %s", name)
		}
	}
}

var (
	queriedName     = regexp.MustCompile(`goldcrestspan_[a-z_]+[a-z]`)
	histogramSuffix = regexp.MustCompile(`_(sum|count)$`)
	descName        = regexp.MustCompile(`fqName: "([^"]+)"`)
)

// metricNames returns the names of all metrics that a host registers.
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

// loopbackSettings returns settings of a single host without TLS, peers or platform.
func loopbackSettings() settings.Settings {
	const anyPort = "127.0.0.1:0"
	var s settings.Settings
	s.Host.Name, s.Host.Region, s.Host.Zone = "entry-1", "jadran", "split-a"
	s.Listeners = settings.Listeners{Callers: anyPort, Peers: anyPort, Operators: anyPort}
	s.Platform.Addresses = []string{"127.0.0.1:1"}
	s.TLS.PlainText = true
	return s
}

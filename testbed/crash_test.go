package testbed_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/goldcrestspan/goldcrestspan/front"
	"github.com/goldcrestspan/goldcrestspan/ident"
	"github.com/goldcrestspan/goldcrestspan/internal/logbuffer"
	"github.com/goldcrestspan/goldcrestspan/metastore"
	"github.com/goldcrestspan/goldcrestspan/result"
	"github.com/goldcrestspan/goldcrestspan/testbed"
)

const crashMarker = "poison"

// A query crashes every backend server that runs it, and its caller keeps resending
// it to all hosts. All hosts must refuse it after a few crashes, while other queries
// are answered.
func TestPoisonRequest(t *testing.T) {
	is := is.New(t)
	log := &logbuffer.Buffer{}
	cluster := startSmall(t, func(c *testbed.Config) {
		c.Logger = newLogger(log)
		c.CrashMarker = crashMarker
		c.Groups[0].Servers = 3
		c.Documents.Routes = append(c.Documents.Routes, route("poisoned", "query", 0.5))
	})
	traffic := startTraffic(t, cluster, "part")
	waitFor(t, "queries", func() bool { return traffic.sent.Load() > 200 })
	stopListing := refreshHostList(t, cluster)

	body := fmt.Sprintf(`{"key":%q}`, crashMarker)
	t.Cleanup(func() {
		if t.Failed() {
			t.Logf("runs of the request:\n%s\nlog of the hosts:\n%s", formatRuns(cluster, body), log)
		}
	})
	attempts := 0
	for n, address := range cluster.CallerAddresses() {
		waitFor(t, "the quarantine on every host", func() bool {
			attempts++
			reply := postQuery(t, address, body)
			fmt.Fprintf(log, "%s host %d answered attempt %d with %v\n", time.Now().Format(logTimeLayout), n, attempts, reply.Code)
			return reply.Code == result.Quarantined
		})
	}
	var refused []front.Reply
	for n := range 100 {
		reply := postQuery(t, cluster.CallerAddresses()[n%3], body)
		is.Equal(reply.Code, result.Quarantined)
		refused = append(refused, reply)
	}
	stopListing()
	traffic.finish(t)
	crashed := serversThatRan(cluster, body)
	t.Logf("%d servers ran it in %d attempts before every host refused it, %d of %d others failed",
		crashed, attempts, traffic.failed.Load(), traffic.sent.Load())
	for _, reply := range refused {
		id, err := ident.ParseRequestID(reply.RequestID)
		is.NoErr(err)
		is.Equal(len(cluster.Record.RunsOf(id)), 0) // no run after the quarantine
	}
	// The query runs on four shards at once and a quarantine needs two crashes: at
	// most two servers of each service.
	is.True(crashed <= 2*4)
}

// postQuery sends the query to one host. The client library would follow the advice
// and use another host.
func postQuery(t *testing.T, address, body string) front.Reply {
	t.Helper()
	is := is.New(t)
	requestBody := `{"deadline_ms":1000,"body":` + body + `}`
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+address+"/v1/query/poisoned", strings.NewReader(requestBody))
	is.NoErr(err)
	request.Header.Set("Authorization", "Bearer "+callerToken)
	response, err := http.DefaultClient.Do(request)
	is.NoErr(err)
	defer func() { _ = response.Body.Close() }()
	var reply front.Reply
	is.NoErr(json.NewDecoder(response.Body).Decode(&reply))
	return reply
}

func serversThatRan(cluster *testbed.Cluster, body string) int {
	servers := make(map[string]bool)
	for _, run := range cluster.Record.Runs() {
		if run.Body == bodyDigest(body) {
			servers[run.Server] = true
		}
	}
	return len(servers)
}

// refreshHostList updates the incarnations in the host list after restarts.
func refreshHostList(t *testing.T, cluster *testbed.Cluster) (stop func()) {
	t.Helper()
	done := make(chan struct{})
	var wg sync.WaitGroup
	wg.Go(func() {
		for {
			select {
			case <-done:
				return
			case <-time.After(50 * time.Millisecond):
			}
			for _, standIn := range cluster.Backends {
				if standIn.IsRunning() {
					cluster.SetServerState(standIn, metastore.StateLive)
				}
			}
		}
	})
	return func() { close(done); wg.Wait() }
}

const logTimeLayout = "15:04:05.000"

// newLogger returns a logger that writes to the buffer with the time of day.
func newLogger(log *logbuffer.Buffer) *zap.Logger {
	config := zap.NewProductionEncoderConfig()
	config.EncodeTime = zapcore.TimeEncoderOfLayout(logTimeLayout)
	return zap.New(zapcore.NewCore(zapcore.NewConsoleEncoder(config), log, zap.InfoLevel))
}

// formatRuns formats the runs of a request for the test log.
func formatRuns(cluster *testbed.Cluster, body string) string {
	var text strings.Builder
	for _, run := range cluster.Record.Runs() {
		if run.Body == bodyDigest(body) {
			fmt.Fprintf(&text, "%s %s of %s, incarnation %d, request %s\n", run.Started.Format(logTimeLayout), run.Server, run.Service, run.Incarnation, run.Request)
		}
	}
	return text.String()
}

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

const poison = "poison"

// One search crashes every backend server that runs it, and its caller sends
// it again and again, through every host. After a few servers it must be
// refused everywhere, and other requests must go on being answered.
func TestPoisonRequest(t *testing.T) {
	is := is.New(t)
	log := &logbuffer.Buffer{}
	bed := small(t, func(c *testbed.Config) {
		c.Logger = loggerTo(log)
		c.CrashMarker = poison
		c.Groups[0].Servers = 3
		c.Documents.Routes = append(c.Documents.Routes, route("poisoned", "query", 0.5))
	})
	traffic := startTraffic(t, bed, "part")
	await(t, "queries", func() bool { return traffic.sent.Load() > 200 })
	stopListing := keepListed(t, bed)

	body := fmt.Sprintf(`{"key":%q}`, poison)
	t.Cleanup(func() {
		if t.Failed() {
			t.Logf("runs of the request:\n%s\nlog of the hosts:\n%s", runsOf(bed, body), log)
		}
	})
	sendings := 0
	for n, address := range bed.CallerAddresses() {
		await(t, "the verdict on every host", func() bool {
			sendings++
			reply := sendTo(t, address, body)
			fmt.Fprintf(log, "%s host %d answered sending %d with %v\n", time.Now().Format(logTime), n, sendings, reply.Code)
			return reply.Code == result.Quarantined
		})
	}
	var refused []front.Reply
	for n := range 100 {
		reply := sendTo(t, bed.CallerAddresses()[n%3], body)
		is.Equal(reply.Code, result.Quarantined)
		refused = append(refused, reply)
	}
	stopListing()
	traffic.end(t)
	lost := serversThatRan(bed, body)
	t.Logf("%d servers ran it in %d sendings before every host refused it, %d of %d others failed",
		lost, sendings, traffic.failed.Load(), traffic.sent.Load())
	for _, reply := range refused {
		id, err := ident.ParseRequestID(reply.RequestID)
		is.NoErr(err)
		is.Equal(len(bed.Record.RunsOf(id)), 0) // none after the verdict
	}
	// It runs on its four shards at once, and a verdict needs two events: two
	// servers of each service's three at the most.
	is.True(lost <= 2*4)
}

// sendTo sends the request to one host, without the client, which would follow
// the advice.
func sendTo(t *testing.T, address, body string) front.Reply {
	t.Helper()
	is := is.New(t)
	sent := `{"deadline_ms":1000,"body":` + body + `}`
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+address+"/v1/query/poisoned", strings.NewReader(sent))
	is.NoErr(err)
	request.Header.Set("Authorization", "Bearer "+token)
	response, err := http.DefaultClient.Do(request)
	is.NoErr(err)
	defer func() { _ = response.Body.Close() }()
	var reply front.Reply
	is.NoErr(json.NewDecoder(response.Body).Decode(&reply))
	return reply
}

func serversThatRan(bed *testbed.Cluster, body string) int {
	servers := make(map[string]bool)
	for _, run := range bed.Record.Runs() {
		if run.Body == bodyDigest(body) {
			servers[run.Server] = true
		}
	}
	return len(servers)
}

// keepListed renews the host list's incarnations, as the platform does.
func keepListed(t *testing.T, bed *testbed.Cluster) (stop func()) {
	t.Helper()
	done := make(chan struct{})
	var work sync.WaitGroup
	work.Go(func() {
		for {
			select {
			case <-done:
				return
			case <-time.After(50 * time.Millisecond):
			}
			for _, standIn := range bed.Backends {
				if standIn.Up() {
					bed.SetServerState(standIn, metastore.StateLive)
				}
			}
		}
	})
	return func() { close(done); work.Wait() }
}

const logTime = "15:04:05.000"

// loggerTo writes lines with the time of day to the buffer.
func loggerTo(log *logbuffer.Buffer) *zap.Logger {
	config := zap.NewProductionEncoderConfig()
	config.EncodeTime = zapcore.TimeEncoderOfLayout(logTime)
	return zap.New(zapcore.NewCore(zapcore.NewConsoleEncoder(config), log, zap.InfoLevel))
}

// runsOf lists where and when a request ran.
func runsOf(bed *testbed.Cluster, body string) string {
	var text strings.Builder
	for _, run := range bed.Record.Runs() {
		if run.Body == bodyDigest(body) {
			fmt.Fprintf(&text, "%s %s of %s, incarnation %d, request %s\n", run.Started.Format(logTime), run.Server, run.Service, run.Incarnation, run.Request)
		}
	}
	return text.String()
}

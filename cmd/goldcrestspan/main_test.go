package main

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/goldcrestspan/goldcrestspan/platform/standin"
)

// runMainEnvVar makes the test binary run the program in place of the tests.
const runMainEnvVar = "GOLDCRESTSPAN_TEST_RUN_MAIN"

func TestMain(m *testing.M) {
	if os.Getenv(runMainEnvVar) != "" {
		main()
		return
	}
	os.Exit(m.Run())
}

const (
	waitTimeout = 15 * time.Second
	// serverDelay is how long a backend server works on each request.
	serverDelay = 1200 * time.Millisecond
	// hangupInterval is the time between two SIGHUPs of a series.
	hangupInterval = 25 * time.Millisecond
)

// process is the program, run as a process of its own.
type process struct {
	t      *testing.T
	is     *is.I
	cmd    *exec.Cmd
	log    string // path
	exited chan struct{}
}

// startProcess starts the program, which logs to a file.
func startProcess(t *testing.T, env []string, args ...string) *process {
	t.Helper()
	out, err := os.Create(filepath.Join(t.TempDir(), "log"))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = out.Close() }() // the process has its own descriptor
	return startProcessLogging(t, out, env, args...)
}

func startProcessLogging(t *testing.T, out *os.File, env []string, args ...string) *process {
	t.Helper()
	p := &process{t: t, is: is.New(t), log: out.Name(), exited: make(chan struct{})}
	p.cmd = exec.Command(os.Args[0], args...)
	p.cmd.Env = append(env, runMainEnvVar+"=1")
	p.cmd.Stdout, p.cmd.Stderr = out, out
	p.is.NoErr(p.cmd.Start())
	go func() {
		_ = p.cmd.Wait() // see cmd.ProcessState
		close(p.exited)
	}()
	t.Cleanup(func() {
		p.signal(syscall.SIGKILL)
		<-p.exited
		if text, err := os.ReadFile(p.log); t.Failed() && err == nil {
			t.Logf("log:\n%s", text)
		}
	})
	return p
}

func (p *process) readLog() []byte {
	text, err := os.ReadFile(p.log)
	p.is.NoErr(err)
	return text
}

func (p *process) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) } // it may have ended

func (p *process) running() bool {
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

func (p *process) waitUntil(what string, done func() bool) {
	p.t.Helper()
	for end := time.Now().Add(waitTimeout); !done(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			p.t.Fatalf("timed out waiting until %s", what)
		}
	}
}

func (p *process) waitUntilLogged(text string) {
	p.t.Helper()
	p.waitUntil("the log has "+text, func() bool { return bytes.Contains(p.readLog(), []byte(text)) })
}

// hangUp sends SIGHUP in series until the process ends, and calls before ahead of each.
func (p *process) hangUp(before func(n int)) {
	for n := 0; p.running(); n++ {
		before(n)
		p.signal(syscall.SIGHUP)
		time.Sleep(hangupInterval)
	}
}

// requireCleanExit waits for the end of the process and checks that no signal ended it.
func (p *process) requireCleanExit() {
	p.t.Helper()
	p.waitUntil("the process ends", func() bool { return !p.running() })
	if !p.cmd.ProcessState.Success() {
		p.t.Fatalf("the process ended with %v", p.cmd.ProcessState)
	}
	p.is.True(bytes.Contains(p.readLog(), []byte("entry host ended")))
}

// hostAddress returns a loopback address that no other process of the tests listens on.
func hostAddress() string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.2", 1+pid/250%250, 1+pid%250)
}

// writePlatformSettings writes the settings of an entry host; graceS is the time from SIGTERM to
// SIGKILL in seconds.
func writePlatformSettings(t *testing.T, path, storeAddress string, graceS int) {
	t.Helper()
	text := strings.ReplaceAll(fmt.Sprintf(`NodeName=host-1
Ip=HOST
Region=local
Zone=zone-a
ListenAddrs.Front=HOST:7001
ListenAddrs.directory=HOST:7002
ListenAddrs.Ready=HOST:7003
ListenAddrs.ControlPlane=HOST:7004
SeedNodes=HOST:7004
Limits.CpuShare=0.4
Limits.MemoryMb=284
Bounds.RetryBudgetRatio=0.2
Bounds.BudgetSlack=52
Bounds.RetryWindowS=10
Bounds.GraceS=%d
platform.Address=%s
`, graceS, storeAddress), "HOST", hostAddress())
	// Renamed into place, so that the host never reads a part of it.
	if err := os.WriteFile(path+".new", []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	if err := os.Rename(path+".new", path); err != nil {
		t.Fatal(err)
	}
}

// startPlatform starts a backend server, the store and an entry host that is ready.
func startPlatform(t *testing.T) (p *process, changeSettings func(n int)) {
	t.Helper()
	path, store := preparePlatform(t)
	p = startProcess(t, []string{"GOLDCRESTSPAN_NODE_FILE=" + path}, "platform")
	p.waitUntilReady()
	return p, func(n int) { writePlatformSettings(t, path, store.Address(), 6+n%3) }
}

// startPlatformLogging is startPlatform with a log of its own.
func startPlatformLogging(t *testing.T, out *os.File) *process {
	t.Helper()
	path, _ := preparePlatform(t)
	p := startProcessLogging(t, out, []string{"GOLDCRESTSPAN_NODE_FILE=" + path}, "platform")
	p.waitUntilReady()
	return p
}

// preparePlatform starts a backend server and the store, and writes a host's settings.
func preparePlatform(t *testing.T) (settingsPath string, store *standin.Store) {
	t.Helper()
	is := is.New(t)
	store, err := standin.StartStore()
	is.NoErr(err)
	t.Cleanup(store.Close)
	server, err := standin.StartBackend("server-1", "desk", "zone-a")
	is.NoErr(err)
	t.Cleanup(server.Close)
	server.SetDelay(serverDelay)
	store.Put("servers", "server-1", server.Entry("ready"))
	configurePlatform(store, 3, "non_idempotent", "desk")
	path := filepath.Join(t.TempDir(), "node.conf")
	writePlatformSettings(t, path, store.Address(), 6)
	return path, store
}

// configurePlatform writes a configuration with a route for bookings at the service "desk", and one
// more of the given type and service if that is another one.
func configurePlatform(store *standin.Store, version int, routeType, service string) {
	route := func(name, prefix, routeType, service string) map[string]any {
		return map[string]any{
			"Name": name, "Hostname": "x.example", "PathPrefix": prefix, "RouteType": routeType, "TimeoutMs": 8000,
			"TargetLatencyMs": 3000, "Priority": 1, "MaxAttempts": 2, "Service": service,
		}
	}
	entry := func(service string) map[string]any {
		return map[string]any{"Name": service, "HealthCheckPath": "/health", "MaxConnections": 25, "Protocol": "h1"}
	}
	routes, services := []any{route("book", "/", "non_idempotent", "desk")}, []any{entry("desk")}
	if service != "desk" {
		routes = append(routes, route(service, "/"+service+"/", routeType, service))
		services = append(services, entry(service))
	}
	store.Put("config", "main", map[string]any{
		"ConfigVersion": version, "Routes": routes, "Services": services,
		"Limits": map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 1000, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
	})
}

// waitUntilReady waits until the platform's readiness check passes.
func (p *process) waitUntilReady() {
	p.t.Helper()
	p.waitUntil("the host is ready", func() bool {
		response, err := http.Get("http://" + hostAddress() + ":7003/goldcrestspan/ready")
		if err != nil {
			return false
		}
		defer func() { _ = response.Body.Close() }()
		return response.StatusCode == http.StatusOK
	})
}

// callResult is what a caller got.
type callResult struct {
	status int
	err    error
}

func book(id string) callResult { return send("/seat", id, 7*time.Second) }

func send(path, id string, timeout time.Duration) callResult {
	request, err := http.NewRequest(http.MethodPost, "http://"+hostAddress()+":7001"+path, io.NopCloser(strings.NewReader("seat")))
	if err != nil {
		return callResult{err: err}
	}
	request.Host = "x.example"
	request.Header.Set("Attempt-Id", id)
	request.Header.Set("Deadline-Ms", strconv.FormatInt(timeout.Milliseconds(), 10))
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return callResult{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	_, err = io.Copy(io.Discard, response.Body)
	return callResult{response.StatusCode, err}
}

// Guards against requests that are cut off when SIGHUP follows SIGTERM: its default effect ends
// the process.
func TestRequestsInAPlannedStopOutliveSIGHUP(t *testing.T) {
	for _, c := range []struct {
		name    string
		changes bool // of the settings
	}{{"unchanged settings", false}, {"changed settings", true}} {
		t.Run(c.name, func(t *testing.T) {
			p, changeSettings := startPlatform(t)
			if !c.changes {
				changeSettings = func(int) {}
			}
			ended := make(chan struct{})
			go func() {
				defer close(ended)
				p.hangUp(changeSettings)
			}()
			results := make(chan callResult)
			sent := 0
			send := func() {
				id := fmt.Sprintf("booking-%d", sent)
				sent++
				go func() { results <- book(id) }()
			}
			send()
			time.Sleep(2 * hangupInterval)
			p.signal(syscall.SIGTERM)
			for range 5 {
				send()
				time.Sleep(100 * time.Millisecond)
			}
			for range sent {
				result := <-results
				p.is.NoErr(result.err)
				p.is.Equal(result.status, http.StatusOK)
			}
			p.requireCleanExit()
			<-ended
		})
	}
}

// Guards against a platform host that a second SIGTERM, or a SIGINT after it, ends with requests
// in flight.
func TestRequestsInAPlannedStopOutliveFurtherStopSignals(t *testing.T) {
	p, _ := startPlatform(t)
	results := make(chan callResult)
	go func() { results <- book("booking") }()
	time.Sleep(100 * time.Millisecond)
	p.signal(syscall.SIGTERM)
	for range 3 {
		time.Sleep(100 * time.Millisecond)
		p.signal(syscall.SIGTERM)
		p.signal(syscall.SIGINT)
	}
	result := <-results
	p.is.NoErr(result.err)
	p.is.Equal(result.status, http.StatusOK)
	p.requireCleanExit()
}

// Guards against a host of the own interface that SIGHUP ends, while it serves and in its planned
// stop.
func TestServeOutlivesSIGHUP(t *testing.T) {
	path := filepath.Join(t.TempDir(), "host.yaml")
	text := strings.ReplaceAll(`host: {name: host-1, region: jadran, zone: split-a}
listeners: {callers: "HOST:7101", peers: "HOST:7102", operators: "HOST:7103"}
platform: {addresses: ["HOST:7104"]}
tls: {plain_text: true}
keys:
  signers:
    - {name: marija, public_key: "QUFBQUFBQUFBQUFBQUFBQUFBQUFBQUFBQUFBQUFBQUE="}
    - {name: ivo, public_key: "QkJCQkJCQkJCQkJCQkJCQkJCQkJCQkJCQkJCQkJCQkI="}
`, "HOST", hostAddress())
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	p := startProcess(t, nil, "serve", "--settings", path)
	p.waitUntilLogged("entry host started")
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		p.hangUp(func(int) {})
	}()
	p.waitUntilLogged("SIGHUP received")
	p.signal(syscall.SIGTERM)
	p.requireCleanExit()
	<-ended
}

// Guards against a host that a write to its log ends, by SIGPIPE, when nothing reads the log any more.
func TestHostOutlivesTheReaderOfItsLog(t *testing.T) {
	is := is.New(t)
	reader, writer, err := os.Pipe()
	is.NoErr(err)
	_ = startPlatformLogging(t, writer)
	is.NoErr(writer.Close()) // the process has its own descriptor
	is.NoErr(reader.Close())
	for i := range 3 {
		result := book(fmt.Sprintf("booking-%d", i)) // each has log lines
		is.NoErr(result.err)
		is.Equal(result.status, http.StatusOK)
	}
}

// Guards against a command that runs no entry host and can't be interrupted.
func TestOtherCommandsEndOnSIGINT(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0") // accepts, and never answers
	is.NoErr(err)
	defer func() { _ = listener.Close() }()
	p := startProcess(t, nil, "bench", "--help")
	p.waitUntil("the help text is printed", func() bool { return !p.running() })
	is.True(p.cmd.ProcessState.Success())
	p = startProcess(t, nil, "status", listener.Addr().String())
	connection, err := listener.Accept()
	is.NoErr(err)
	defer func() { _ = connection.Close() }()
	p.signal(syscall.SIGINT)
	p.waitUntil("the process ends", func() bool { return !p.running() })
	is.Equal(p.cmd.ProcessState.Sys().(syscall.WaitStatus).Signal(), syscall.SIGINT)
}

// Guards against bytes without end from backend servers, in a head or a body, that exhaust a host's
// memory, keep its connections, or hold up other requests.
func TestRepliesWithoutEndDoNotHarmAHost(t *testing.T) {
	is := is.New(t)
	path, store := preparePlatform(t)
	var endless []*standin.EndlessServer
	kind := standin.EndlessReply(0)
	nextKind := func() standin.EndlessReply {
		kind = (kind + 1) % standin.EndlessReplyKinds
		return kind
	}
	for i := range endlessServers {
		server, err := standin.StartEndlessServer(fmt.Sprintf("endless-%d", i), "endless", "zone-a", nextKind)
		is.NoErr(err)
		t.Cleanup(server.Close)
		store.Put("servers", server.Name, server.Entry())
		endless = append(endless, server)
	}
	configurePlatform(store, 6, "idempotent", "endless")
	p := startProcess(t, []string{"GOLDCRESTSPAN_NODE_FILE=" + path}, "platform")
	p.waitUntilReady()
	stop := make(chan struct{})
	var callers sync.WaitGroup
	for i := range endlessCallers {
		callers.Add(1)
		go func() {
			defer callers.Done()
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				default:
				}
				result := send("/endless/x", fmt.Sprintf("endless-%d-%d", i, n), endlessTimeout)
				if result.err != nil || result.status == http.StatusOK {
					t.Errorf("status %d, %v", result.status, result.err)
				}
			}
		}()
	}
	for i := range 6 {
		result := book(fmt.Sprintf("booking-%d", i)) // a healthy service, meanwhile
		is.NoErr(result.err)
		is.Equal(result.status, http.StatusOK)
	}
	close(stop)
	callers.Wait()
	total := func(count func(*standin.EndlessServer) int64) (sum int64) {
		for _, server := range endless {
			sum += count(server)
		}
		return sum
	}
	p.waitUntil("all connections are closed", func() bool { return total((*standin.EndlessServer).Open) == 0 })
	arrived := total((*standin.EndlessServer).Requests)
	peak := p.peakMemory()
	t.Logf("%d requests at servers, peak memory %d MiB", arrived, peak>>20)
	is.True(arrived >= 2*int64(standin.EndlessReplyKinds)) // each kind was played
	is.True(peak < platformMemoryLimit)
	p.signal(syscall.SIGTERM)
	p.requireCleanExit()
}

const (
	endlessServers, endlessCallers = 30, 200
	// endlessTimeout is the deadline of requests whose replies have no end.
	endlessTimeout = 500 * time.Millisecond
)

// platformMemoryLimit is the memory limit in the settings, in bytes.
const platformMemoryLimit = 284 << 20

// peakMemory returns the largest resident memory of the process so far, in bytes.
func (p *process) peakMemory() int64 {
	p.t.Helper()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	p.is.NoErr(err)
	_, rest, found := strings.Cut(string(status), "VmHWM:")
	p.is.True(found)
	var kib int64
	_, err = fmt.Sscanf(rest, "%d kB", &kib)
	p.is.NoErr(err)
	return kib << 10
}

// Guards against requests that are taken late in a planned stop, passed on, and cut off at its end:
// each is answered, and one whose time is known to be too long is refused as not run.
func TestLateRequestsInAPlannedStopAreAnswered(t *testing.T) {
	for _, known := range []bool{true, false} {
		t.Run(fmt.Sprintf("time known %v", known), func(t *testing.T) { testLateRequests(t, known) })
	}
}

func testLateRequests(t *testing.T, timeKnown bool) {
	is := is.New(t)
	path, store := preparePlatform(t)
	slow, err := standin.StartBackend("slow-1", "slow", "zone-a")
	is.NoErr(err)
	t.Cleanup(slow.Close)
	slow.SetDelay(2400 * time.Millisecond)
	store.Put("servers", "slow-1", slow.Entry("ready"))
	configurePlatform(store, 6, "non_idempotent", "slow")
	p := startProcess(t, []string{"GOLDCRESTSPAN_NODE_FILE=" + path}, "platform")
	p.waitUntilReady()
	if timeKnown {
		is.Equal(send("/slow/x", "first", 7*time.Second).status, http.StatusOK)
	}
	results := make(chan callResult)
	sent := 0
	launch := func() {
		id := fmt.Sprintf("booking-%d", sent)
		sent++
		go func() { results <- send("/slow/x", id, 7*time.Second) }()
	}
	p.signal(syscall.SIGTERM)
	for range 20 { // through the first 4 s, in which callers may hold older advice
		launch()
		time.Sleep(200 * time.Millisecond)
	}
	byStatus := make(map[int]int)
	for range sent {
		result := <-results
		is.NoErr(result.err)
		byStatus[result.status]++
	}
	t.Logf("answers by status: %v", byStatus)
	is.True(byStatus[http.StatusOK] > 0)
	is.True(!timeKnown || byStatus[http.StatusServiceUnavailable] > 0)
	p.requireCleanExit()
}

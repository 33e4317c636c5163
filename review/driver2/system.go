package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/goldcrestspan/goldcrestspan/platform/standin"
)

const (
	ip = "127.0.0.1"
	// hostName is the host of all routes.
	hostName = "review.example"
	// startTimeout bounds the start of all hosts.
	startTimeout = 20 * time.Second
	// stopTimeout is the time from SIGTERM to SIGKILL at the end of a case.
	stopTimeout = 6 * time.Second
)

// system is a small deployment on loopback.
type system struct {
	binary, dir string
	record      *record
	seed        uint64
	store       *standin.Store
	servers     []*server
	hosts       []*host
	// separateStore gives each host an address of its own at which it reaches the store. Set it
	// before the hosts start.
	separateStore bool
}

// host is an entry host in a process of its own.
type host struct {
	name, zone              string
	front, ready, directory string
	settings                string
	process                 *exec.Cmd
	storeFront              *storeFront // nil if the host calls the store itself
}

func newSystem(binary, recordPath string, seed uint64) (*system, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	r, err := newRecord(recordPath)
	if err != nil {
		return nil, err
	}
	store, err := standin.StartStore()
	if err != nil {
		return nil, err
	}
	return &system{binary: binary, dir: dir, record: r, seed: seed, store: store}, nil
}

// close ends all processes that the case has started.
func (s *system) close() {
	var stopping sync.WaitGroup
	for _, h := range s.hosts {
		stopping.Go(func() {
			if killed := h.stop(); killed {
				s.record.note("%s did not end within %v of SIGTERM and was killed", h.name, stopTimeout)
			}
		})
	}
	stopping.Wait()
	for _, h := range s.hosts {
		if h.storeFront != nil {
			h.storeFront.close()
		}
	}
	for _, server := range s.servers {
		server.close()
	}
	s.store.Close()
	s.record.close()
	if logs := os.Getenv("REVIEW_LOGS"); logs != "" {
		_ = os.Rename(s.dir, logs)
		return
	}
	_ = os.RemoveAll(s.dir)
}

// closeOnSignal ends all processes if the case is stopped from outside.
func (s *system) closeOnSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		s.close()
		os.Exit(exitFailed)
	}()
}

// stop ends the host's process and reports whether it had to be killed.
func (h *host) stop() (killed bool) {
	if h.process == nil {
		return false
	}
	_ = h.process.Process.Signal(syscall.SIGTERM)
	ended := make(chan struct{})
	go func() {
		_ = h.process.Wait()
		close(ended)
	}()
	select {
	case <-ended:
		return false
	case <-time.After(stopTimeout):
		_ = h.process.Process.Kill()
		<-ended
		return true
	}
}

// addServer starts a server and registers it in the store.
func (s *system) addServer(id, service, zone string, slots, queue int, work func(*rand.Rand) time.Duration) (*server, error) {
	rnd := rand.New(rand.NewPCG(s.seed, uint64(len(s.servers))))
	server, err := startServer(id, service, zone, slots, queue, rnd, work, s.record)
	if err != nil {
		return nil, err
	}
	s.servers = append(s.servers, server)
	s.store.Put("servers", id, server.entry())
	return server, nil
}

// drain lets a server report that it is draining; the store's answer is the acknowledgement.
func (s *system) drain(server *server) time.Time {
	server.setDraining()
	s.store.Put("servers", server.id, server.entry())
	at := time.Now()
	s.record.note("the store has accepted that server %s of %s is draining", server.id, server.service)
	return at
}

// writeConfig writes a version of the operator's configuration.
func (s *system) writeConfig(version int, routes []map[string]any, services []string) time.Time {
	list := make([]map[string]any, len(services))
	for i, name := range services {
		list[i] = map[string]any{"Name": name, "HealthCheckPath": "/health", "MaxConnections": 60, "Protocol": "h1", "Tls": false}
	}
	s.store.Put("config", "main", map[string]any{
		"ConfigVersion": version, "Routes": routes, "Services": list,
		"Limits": map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 262144, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
	})
	at := time.Now()
	var prefixes []any
	for _, r := range routes {
		prefixes = append(prefixes, r["PathPrefix"])
	}
	s.record.line("the store has accepted configuration %d with routes %v and %d services", version, prefixes, len(services))
	return at
}

// Ports below the range from which connections take theirs.
const firstPort, lastPort = 12000, 30000

// freePorts returns ports that nothing listens on.
func freePorts(n int) ([]int, error) {
	ports := make([]int, 0, n)
	next := firstPort + rand.IntN(lastPort-firstPort)
	for tries := 0; len(ports) < n && tries < lastPort-firstPort; tries++ {
		if next++; next >= lastPort {
			next = firstPort
		}
		listener, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, next))
		if err != nil {
			continue
		}
		defer func() { _ = listener.Close() }()
		ports = append(ports, next)
	}
	if len(ports) < n {
		return nil, errors.New("too few free ports")
	}
	return ports, nil
}

const portsPerHost = 5

// startHosts starts one entry host in each of the zones and waits until all are ready.
func (s *system) startHosts(zones []string, cpuShare float64, memoryMb int) error {
	ports, err := freePorts(portsPerHost * len(zones))
	if err != nil {
		return err
	}
	address := func(i, k int) string { return fmt.Sprintf("%s:%d", ip, ports[i*portsPerHost+k]) }
	seeds, places := "", ""
	for i, zone := range zones {
		if i > 0 && i < 3 {
			seeds += ","
		}
		if i < 3 {
			seeds += address(i, 3)
		}
		places += fmt.Sprintf("Zones.%s=local\n", zone)
	}
	for i, zone := range zones {
		h := &host{name: fmt.Sprintf("edge-%s-%d", zone, i), zone: zone, front: address(i, 0), ready: address(i, 1), directory: address(i, 2)}
		metrics := ports[i*portsPerHost+4]
		storeAddress := s.store.Address()
		if s.separateStore {
			if h.storeFront, err = startStoreFront(s.store); err != nil {
				return err
			}
			storeAddress = h.storeFront.listener.Addr().String()
		}
		h.settings = filepath.Join(s.dir, h.name+".conf")
		text := fmt.Sprintf(`NodeName=%s
Role=entry
MachineClass=edge
Serves=edge,control_plane,directory
Ip=%s
Zone=%s
Region=local
%sListenAddrs.Front=%s
ListenAddrs.Ready=%s
ListenAddrs.ControlPlane=%s
ListenAddrs.directory=%s
InternalPortRange=%d,%d
SeedNodes=%s
Bootstrap=true
Limits.CpuShare=%g
Limits.CpuCores=1
Limits.MemoryMb=%d
Limits.MaxFds=4100
Limits.LinkMbps=1000.0
HeartbeatMs=1200
Contracts=base,drain,config,cost,retry,recover,scatter,platform
Bounds.StableWindowMs=4000
Bounds.DrainMs=3000
Bounds.GraceS=6
Bounds.ConfigApplyMs=3000
Bounds.RetryBudgetRatio=0.2
Bounds.RetryWindowS=10
Bounds.BudgetSlack=54
platform.Address=%s
platform.form=objects
`, h.name, ip, zone, places, h.front, h.ready, address(i, 3), h.directory, metrics, metrics, seeds, cpuShare, memoryMb, storeAddress)
		if err := os.WriteFile(h.settings, []byte(text), 0o600); err != nil {
			return err
		}
		if err := h.start(s.binary, filepath.Join(s.dir, h.name+".log")); err != nil {
			return err
		}
		s.hosts = append(s.hosts, h)
	}
	return s.waitUntilReady()
}

func (h *host) start(binary, logPath string) error {
	out, err := os.Create(logPath)
	if err != nil {
		return err
	}
	defer func() { _ = out.Close() }() // the process has its own descriptor
	h.process = exec.Command(binary, "platform")
	h.process.Env = []string{"GOLDCRESTSPAN_NODE_FILE=" + h.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	h.process.Stdout, h.process.Stderr = out, out
	return h.process.Start()
}

// isReady asks the readiness question.
func (h *host) isReady() bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + h.ready + "/goldcrestspan/ready")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

func (s *system) waitUntilReady() error {
	for end := time.Now().Add(startTimeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, h := range s.hosts {
			if h.isReady() {
				ready++
			}
		}
		if ready == len(s.hosts) {
			return nil
		}
	}
	return fmt.Errorf("the hosts were not ready within %v", startTimeout)
}

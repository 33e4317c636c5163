package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/goldcrestspan/goldcrestspan/platform/standin"
)

const (
	binary   = "target/goldcrestspan"
	hostName = "review.example"
	// portsPerHost are the ports of one host: callers, directory, readiness, peers, and two
	// internal ones.
	portsPerHost = 6
)

// fleet is a small deployment: the platform's store, entry hosts and backend servers.
type fleet struct {
	record *record
	store  *standin.Store
	dir    string
	// cpuShare is CpuShare of the settings.
	cpuShare float64
	mu       sync.Mutex
	hosts    []*host
	breaches int
	closed   bool
	stops    map[string][]time.Time // SIGTERMs by the host's callers' address
}

// host is the process of one entry host.
type host struct {
	name, zone                string
	front, directory, control string
	ready                     string
	settings                  string
	process                   *exec.Cmd
	ended                     chan struct{} // closed when the process has ended
}

func newFleet(r *record) (*fleet, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	store, err := standin.StartStore()
	if err != nil {
		return nil, err
	}
	return &fleet{record: r, store: store, dir: dir, cpuShare: 0.4, stops: make(map[string][]time.Time)}, nil
}

// breach records that the rule was broken.
func (f *fleet) breach(format string, args ...any) {
	f.mu.Lock()
	f.breaches++
	f.mu.Unlock()
	f.record.printf("BROKEN "+format, args...)
}

func (f *fleet) breachCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.breaches
}

// freePorts returns the first of n consecutive ports that are free on loopback, below the
// range from which the system takes ports of outgoing connections.
func freePorts(n int) (int, error) {
	for range 200 {
		first := 12000 + rand.IntN(18000)
		if allFree(first, n) {
			return first, nil
		}
	}
	return 0, fmt.Errorf("found no %d free ports in a row", n)
}

func allFree(first, n int) bool {
	for port := first; port < first+n; port++ {
		listener, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err != nil {
			return false
		}
		_ = listener.Close()
	}
	return true
}

const settingsFormat = `NodeName=%[1]s
Role=entry
MachineClass=edge
Serves=edge,control_plane,directory
Ip=127.0.0.1
Zone=%[2]s
Region=local
Zones.zone-a=local
Zones.zone-b=local
Zones.zone-c=local
Zones.zone-d=local
Zones.zone-e=local
ListenAddrs.Front=%[3]s
ListenAddrs.directory=%[4]s
ListenAddrs.Ready=%[5]s
ListenAddrs.ControlPlane=%[6]s
InternalPortRange=%[7]d,%[8]d
SeedNodes=%[9]s
Bootstrap=true
InTolerance=false
Limits.CpuShare=%[11]g
Limits.CpuCores=1
Limits.MemoryMb=284
Limits.MaxFds=4100
Limits.LinkMbps=1000.0
Limits.DiskMb=0
Discovery=platform
EntryPoint=directory
HeartbeatMs=1200
Contracts=base,drain,config,cost,retry,recover,scatter,platform
FaultTolerance.Machines=2
Bounds.SeedLagS=3
Bounds.AddrReuseS=2
Bounds.StableWindowMs=4000
Bounds.AckMs=5000
Bounds.CatchUpS=4
Bounds.DrainMs=3000
Bounds.GraceS=6
Bounds.LossSlackMs=200
Bounds.ConfigApplyMs=3000
Bounds.RollbackSlackMs=250
Bounds.MaxStretchMs=12000
Bounds.RetryBudgetRatio=0.2
Bounds.RetryWindowS=10
Bounds.BudgetSlack=52
Bounds.RecoveryS=12
Bounds.ttl_max_s=5
platform.Address=%[10]s
platform.form=objects
platform.WritesPerS=400
platform.ReadsPerS=2000
platform.HistoryS=20
platform.ValueBytes=1048576
platform.TtlMinMs=1000
`

// startHosts starts one entry host in each zone and waits until all are ready.
func (f *fleet) startHosts(zones ...string) error {
	first, err := freePorts(portsPerHost * len(zones))
	if err != nil {
		return err
	}
	address := func(i, k int) string { return fmt.Sprintf("127.0.0.1:%d", first+i*portsPerHost+k) }
	seeds := ""
	for i := range zones {
		if i > 0 {
			seeds += ","
		}
		seeds += address(i, 3)
	}
	for i, zone := range zones {
		h := &host{
			name: fmt.Sprintf("edge-%s-1", zone), zone: zone, front: address(i, 0), directory: address(i, 1),
			ready: address(i, 2), control: address(i, 3),
		}
		h.settings = filepath.Join(f.dir, h.name+".conf")
		internal := first + i*portsPerHost + 4
		text := fmt.Sprintf(settingsFormat, h.name, h.zone, h.front, h.directory, h.ready, h.control, internal, internal+1, seeds, f.store.Address(), f.cpuShare)
		if err := os.WriteFile(h.settings, []byte(text), 0o600); err != nil {
			return err
		}
		if err := f.startHost(h); err != nil {
			return err
		}
		f.hosts = append(f.hosts, h)
	}
	if !waitUntil(15*time.Second, f.allReady) {
		return fmt.Errorf("the hosts are not ready after 15 s")
	}
	return nil
}

// startHost starts the process with the command of deploy/system.toml, or starts it again.
func (f *fleet) startHost(h *host) error {
	log, err := os.OpenFile(filepath.Join(f.dir, h.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }() // the process has its own descriptor
	process, ended := exec.Command(binary, "platform"), make(chan struct{})
	process.Env = []string{"GOLDCRESTSPAN_NODE_FILE=" + h.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + f.dir}
	process.Stdout, process.Stderr = log, log
	process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.closed {
		return fmt.Errorf("the case has ended")
	}
	if err := process.Start(); err != nil {
		return err
	}
	h.process, h.ended = process, ended
	f.record.printf("host %s started, callers at %s", h.name, h.front)
	go func() {
		err := process.Wait()
		f.record.printf("host %s ended: %v", h.name, describeEnd(err))
		close(ended)
	}()
	return nil
}

func describeEnd(err error) string {
	if err == nil {
		return "exit status 0"
	}
	return err.Error()
}

// signal sends a signal to the process of the host.
func (f *fleet) signal(h *host, s syscall.Signal) {
	f.record.printf("host %s gets %v (signal %d)", h.name, s, int(s))
	if s == syscall.SIGTERM {
		f.mu.Lock()
		f.stops[h.front] = append(f.stops[h.front], time.Now())
		f.mu.Unlock()
	}
	_ = h.process.Process.Signal(s) // the process may have ended
}

func (f *fleet) allReady() bool {
	for _, h := range f.hosts {
		if !isReady(h) {
			return false
		}
	}
	return true
}

func isReady(h *host) bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + h.ready + "/goldcrestspan/ready")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// idleLimit is how long the configuration lets callers' connections be idle.
const idleLimit = 15 * time.Second

// configure writes the operator's configuration.
func (f *fleet) configure(version int, routes, services []map[string]any) {
	f.store.Put("config", "main", map[string]any{
		"ConfigVersion": version, "Routes": routes, "Services": services,
		"Limits": map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 100000, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": idleLimit.Milliseconds()},
	})
	f.record.printf("configuration %d is acknowledged", version)
}

// close ends all processes and removes the temporary folder.
func (f *fleet) close() {
	f.mu.Lock()
	hosts, again := f.hosts, f.closed
	f.closed = true
	f.mu.Unlock()
	if again {
		return
	}
	for _, h := range hosts {
		if h.process == nil {
			continue
		}
		_ = h.process.Process.Kill() // may have ended
		<-h.ended
	}
	f.store.Close()
	if os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(f.dir)
	}
}

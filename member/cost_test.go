package member

import (
	"os"
	"runtime"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"
)

// longEnv, set to any value, adds the large fleets and the full hour.
const longEnv = "GOLDCRESTSPAN_LONG"

func fleetSizes() []int {
	if os.Getenv(longEnv) == "" {
		return []int{7, 50, 200}
	}
	return []int{7, 50, 200, 1000, 3400}
}

// costs are per host.
type costs struct {
	bytesPerSecond    float64 // of marshalled messages, sent and received
	messagesPerSecond float64 // per second, sent
	heapBytes         float64 // bytes of heap
}

// measureCosts runs a fleet with a configuration change every 28 s, a load
// reading of each host every second, and a number of planned restarts.
func measureCosts(hosts, restarts int) costs {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	s := newSimulation(1)
	s.onConfig = pullFrom(s)
	s.addHosts(hosts, regionCount(hosts), 4)
	s.run(10 * time.Second)
	s.bytes, s.messages = 0, 0
	const window = 56 * time.Second
	for second := range int(window / time.Second) {
		if second%28 == 0 {
			s.hosts[0].AnnounceConfig(s.now, uint64(1+second), make([]byte, 32))
		}
		for _, h := range s.hosts {
			h.SetLoad(uint32(s.rng.IntN(1000)))
			h.View()
		}
		if second%7 == 0 && second/7 < restarts {
			h := s.hosts[1+s.rng.IntN(len(s.hosts)-1)]
			h.Leave(s.now)
			s.run(200 * time.Millisecond)
			s.start(string(h.self.ID), h.region, h.zone)
		}
		s.run(time.Second)
	}
	c := costs{
		bytesPerSecond:    2 * float64(s.bytes) / (float64(hosts) * window.Seconds()),
		messagesPerSecond: float64(s.messages) / (float64(hosts) * window.Seconds()),
	}
	s.events = nil
	runtime.GC()
	runtime.ReadMemStats(&after)
	c.heapBytes = float64(after.HeapAlloc-before.HeapAlloc) / float64(hosts)
	runtime.KeepAlive(s)
	return c
}

func regionCount(hosts int) int {
	if hosts < 50 {
		return 1
	}
	return 2
}

// pullFrom puts a configuration in force two round trips after its announcement.
func pullFrom(s *simulation) func(*simHost, ConfigUpdate) {
	pulling := make(map[*simHost]uint64)
	return func(h *simHost, update ConfigUpdate) {
		if pulling[h] >= update.Generation {
			return
		}
		pulling[h] = update.Generation
		from := s.byAddress[update.FromAddress]
		s.post(4*s.latency(h, from)+5*time.Millisecond, h, func() {
			h.AnnounceConfig(s.now, update.Generation, update.ManifestHash)
		})
	}
}

// Guards against membership traffic per host that grows with the fleet, or that
// exceeds 3 KB/s, sent and received together.
func TestTrafficPerHostIsConstant(t *testing.T) {
	is := is.New(t)
	first := 0.0
	for _, hosts := range fleetSizes() {
		c := measureCosts(hosts, 0)
		t.Logf("%4d hosts: %4.0f bytes/s, %.1f messages/s, %.0f KB memory per host",
			hosts, c.bytesPerSecond, c.messagesPerSecond, c.heapBytes/1024)
		if first == 0 {
			first = c.bytesPerSecond
		}
		is.True(c.bytesPerSecond < 3000)
		is.True(c.bytesPerSecond < 1.2*first)
		is.True(c.bytesPerSecond > 0.8*first)
	}
}

// Guards against traffic above 3 KB/s a host while hosts restart at the usual daily
// rate of a large fleet, or above it.
func TestTrafficWithRestarts(t *testing.T) {
	is := is.New(t)
	for _, hosts := range fleetSizes() {
		restarts := max(1, hosts*3/3400)
		c := measureCosts(hosts, restarts)
		t.Logf("%4d hosts: %4.0f bytes/s with %d restarts", hosts, c.bytesPerSecond, restarts)
		is.True(c.bytesPerSecond < 3000)
	}
}

// BenchmarkHostSecond measures the CPU time of one host for one second of
// membership, including marshalling and unmarshalling of its messages.
func BenchmarkHostSecond(b *testing.B) {
	for _, hosts := range fleetSizes() {
		b.Run(sizeName(hosts), func(b *testing.B) { benchmarkHostSecond(b, hosts) })
	}
}

func sizeName(hosts int) string { return strconv.Itoa(hosts) + "hosts" }

func benchmarkHostSecond(b *testing.B, hosts int) {
	s := newSimulation(1)
	s.addHosts(hosts, regionCount(hosts), 4)
	s.run(5 * time.Second)
	s.codec = true
	seconds := max(1, b.N/hosts)
	b.ResetTimer()
	for range seconds {
		for _, h := range s.hosts {
			h.SetLoad(uint32(s.rng.IntN(1000)))
		}
		for range 4 {
			s.run(250 * time.Millisecond)
			s.hosts[0].View()
		}
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(seconds*hosts), "ns/host-second")
}

// marshalRoundTrip marshals and unmarshals a message.
func marshalRoundTrip(message proto.Message) {
	raw, _ := proto.Marshal(message)
	_ = proto.Unmarshal(raw, message.ProtoReflect().New().Interface())
}

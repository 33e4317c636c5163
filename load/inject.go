package load

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/goldcrestspan/goldcrestspan/backend"
	"github.com/goldcrestspan/goldcrestspan/bundle"
	"github.com/goldcrestspan/goldcrestspan/internal/wait"
	"github.com/goldcrestspan/goldcrestspan/metastore"
	"github.com/goldcrestspan/goldcrestspan/rollout"
	"github.com/goldcrestspan/goldcrestspan/snapshot"
	"github.com/goldcrestspan/goldcrestspan/standin"
	"github.com/goldcrestspan/goldcrestspan/testbed"
)

const (
	// crashMarker in a body crashes the server that runs it.
	crashMarker = "load-poison"
	// loadEvery is the time between two servers that load a new version.
	loadEvery = 20 * time.Millisecond
)

func serverName(index string, service, server int) string {
	return fmt.Sprintf("%s-%d", testbed.ServiceName(index, service), server)
}

// AppliedEvent is an event that took place.
type AppliedEvent struct {
	Event Event         `json:"event"`
	At    time.Duration `json:"at_ns"` // from the first arrival
	Note  string        `json:"note,omitempty"`
}

// injector carries out the timeline on the tier's bed, and what concerns the
// backend servers on the direct callers' bed too.
type injector struct {
	bed     *testbed.Cluster
	beds    []*testbed.Cluster
	checker *testbed.Checker
	tier    *tier
	start   time.Time
	say     func(string)

	work     sync.WaitGroup
	mu       sync.Mutex
	marks    []AppliedEvent
	platform standin.PlatformFaults
	versions map[string]snapshot.Version
	changes  int
	// poisons are the digests of the poison requests' bodies.
	poisons map[string]bool
}

func (in *injector) run(ctx context.Context, events []Event) {
	for _, e := range events {
		in.work.Go(func() {
			wait.For(ctx, time.Until(in.start.Add(time.Duration(e.At))))
			if ctx.Err() != nil {
				return
			}
			in.apply(ctx, e)
		})
	}
}

func (in *injector) mark(e Event, note string) {
	m := AppliedEvent{Event: e, At: time.Since(in.start), Note: note}
	in.mu.Lock()
	in.marks = append(in.marks, m)
	in.mu.Unlock()
	in.say(fmt.Sprintf("%5.1f s  event: %s %s", m.At.Seconds(), e.label(), note))
}

func (in *injector) apply(ctx context.Context, e Event) {
	if e.Server != "" {
		in.mark(e, "")
		for _, bed := range in.beds {
			in.applyToServer(ctx, bed, e)
		}
		return
	}
	if in.bed == nil {
		return
	}
	switch e.Kind {
	case KindStoreDown:
		in.platformFault(ctx, e, func(f *standin.PlatformFaults, on bool) { f.Down = on })
	case KindStoreSlow:
		in.platformFault(ctx, e, func(f *standin.PlatformFaults, on bool) { f.Delay = onlyIf(on, e.Delay) })
	case KindHostsEmpty:
		in.platformFault(ctx, e, func(f *standin.PlatformFaults, on bool) { f.HostListEmpty = on })
	case KindHostsLag:
		in.platformFault(ctx, e, func(f *standin.PlatformFaults, on bool) { f.HostListLag = onlyIf(on, e.Delay) })
	case KindStoreSilent:
		in.bed.Platform.BlackholeConnections()
		in.mark(e, "")
	case KindLostWrite:
		in.lostWrite(e)
	case KindBundle:
		in.mark(e, in.submit("load tool"))
	case KindRace:
		in.race(e)
	case KindHostStop, KindHostKill, KindHostStart:
		in.applyToHost(e)
	case KindRepartition:
		in.repartition(ctx, e)
	case KindPoison:
		in.poison(ctx, e)
	}
}

func onlyIf(on bool, d bundle.Duration) time.Duration {
	if !on {
		return 0
	}
	return time.Duration(d)
}

// platformFault turns a fault on, and off after its time.
func (in *injector) platformFault(ctx context.Context, e Event, set func(f *standin.PlatformFaults, on bool)) {
	in.setPlatform(func(f *standin.PlatformFaults) { set(f, true) })
	in.mark(e, "")
	if e.For == 0 {
		return
	}
	wait.For(ctx, time.Duration(e.For))
	in.setPlatform(func(f *standin.PlatformFaults) { set(f, false) })
}

func (in *injector) setPlatform(change func(*standin.PlatformFaults)) {
	in.mu.Lock()
	defer in.mu.Unlock()
	change(&in.platform)
	in.bed.Platform.SetFaults(in.platform)
}

func (in *injector) applyToHost(e Event) {
	if e.Kind == KindHostStart {
		_, err := in.bed.StartHost()
		in.mark(e, noteOf(err))
		return
	}
	hosts := in.bed.Hosts()
	if len(hosts) < 2 {
		in.mark(e, "left out: one host is left")
		return
	}
	oldest := hosts[0]
	in.mark(e, oldest.Name())
	if e.Kind == KindHostKill {
		oldest.Kill()
		return
	}
	_ = oldest.Stop()
}

func noteOf(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// submit puts a bundle with another retry budget in force.
func (in *injector) submit(reason string) string {
	receipt, err := in.submitChange(reason)
	if err != nil {
		return noteOf(err)
	}
	return fmt.Sprintf("generation %d", receipt.Ref.Generation)
}

func (in *injector) submitChange(reason string) (rollout.SubmitResult, error) {
	const leastBudget, steps = 0.05, 50
	in.mu.Lock()
	in.changes++
	changes := in.changes
	in.mu.Unlock()
	docs := in.bed.Documents()
	docs.Policy.RetryBudget = leastBudget + float64(changes%steps)/1000
	return in.bed.Submit(docs, reason)
}

func (in *injector) lostWrite(e Event) {
	in.mu.Lock()
	faults := in.platform
	in.mu.Unlock()
	faults.LoseReplies = 1
	in.bed.Platform.SetFaults(faults)
	in.mark(e, in.submit("its reply is lost"))
}

// race lets two operators submit at once: one of them must get the conflict,
// unless the second began after the first was done.
func (in *injector) race(e Event) {
	accepted, conflicts, open := 0, 0, 0
	var mu sync.Mutex
	var work sync.WaitGroup
	for _, name := range []string{"first operator", "second operator"} {
		work.Go(func() {
			_, err := in.submitChange(name)
			mu.Lock()
			defer mu.Unlock()
			var conflict *rollout.ConflictError
			switch {
			case err == nil:
				accepted++
			case errors.As(err, &conflict):
				conflicts++
			default:
				open++
			}
		})
	}
	work.Wait()
	in.mark(e, fmt.Sprintf("accepted %d, conflicts %d, open %d", accepted, conflicts, open))
}

// repartition moves every shard to the next service in a new version, which
// the servers load one after the other.
func (in *injector) repartition(ctx context.Context, e Event) {
	in.mu.Lock()
	in.versions[e.Index]++
	version := in.versions[e.Index] + 1
	in.mu.Unlock()
	next := in.bed.ShardMap(e.Index, version)
	services := len(next.Shards)
	for i := range next.Shards {
		next.Shards[i].Service = testbed.ServiceName(e.Index, (i+int(version))%services)
	}
	err := in.bed.Publish(next)
	in.mark(e, noteOf(err))
	for _, standIn := range in.bed.Backends {
		standIn.AddSnapshot(e.Index, version)
		wait.For(ctx, loadEvery)
	}
}

// poison is a caller that sends its request again each time that it fails.
func (in *injector) poison(ctx context.Context, e Event) {
	in.mark(e, "")
	stream, ok := firstQuery(in.tier.shape)
	if !ok {
		return
	}
	body := fmt.Appendf(nil, `{"marker":%q,"at":%q}`, crashMarker, time.Duration(e.At))
	in.mu.Lock()
	in.poisons[backend.Digest(body)] = true
	in.mu.Unlock()
	for range e.Count {
		in.tier.send(ctx, request{
			stream:   stream,
			caller:   callerName(stream.Role, 0),
			body:     body,
			intended: time.Now(),
			wait:     in.tier.shape.wait(stream.Class),
		})
	}
}

// poisonRuns counts the servers that poison requests crashed, each time.
func (in *injector) poisonRuns() int {
	count := 0
	for _, run := range in.bed.Record.Runs() {
		if in.poisons[run.Body] {
			count++
		}
	}
	return count
}

// firstQuery is the first stream that is no booking.
func firstQuery(shape Shape) (Stream, bool) {
	for _, stream := range shape.Streams {
		if !stream.Booking {
			return stream, true
		}
	}
	return Stream{}, false
}

func (in *injector) applyToServer(ctx context.Context, bed *testbed.Cluster, e Event) {
	for _, standIn := range bed.Backends {
		if standIn.Server().Name == e.Server {
			in.work.Go(func() { in.serverFault(ctx, bed, standIn, e) })
		}
	}
}

func (in *injector) serverFault(ctx context.Context, bed *testbed.Cluster, standIn *standin.Backend, e Event) {
	length := time.Duration(e.For)
	switch e.Kind {
	case KindSlow:
		standIn.SetFaults(standin.BackendFaults{SlowFactor: e.Factor})
		undoAfter(ctx, length, func() { standIn.SetFaults(standin.BackendFaults{}) })
	case KindLost:
		standIn.Crash(orForGood(length))
	case KindCrash:
		standIn.Crash(length)
	case KindDrain:
		standIn.SetDraining(true)
		undoAfter(ctx, length, func() { standIn.SetDraining(false) })
	case KindLeave:
		standIn.SetFaults(standin.BackendFaults{HideDraining: true})
		bed.SetServerState(standIn, metastore.StateLeaving)
		if bed == in.bed {
			in.checker.ServerLeaving(e.Server, time.Now())
		}
	case KindSilent:
		standIn.BlackholeConnections()
	case KindBadReplies:
		standIn.SetFaults(standin.BackendFaults{TruncatedReplies: e.Count, CorruptReplies: e.Count, MisroutedReplies: e.Count, LostReplies: e.Count})
	}
}

func orForGood(length time.Duration) time.Duration {
	if length == 0 {
		return -1
	}
	return length
}

func undoAfter(ctx context.Context, length time.Duration, undo func()) {
	if length == 0 {
		return
	}
	wait.For(ctx, length)
	undo()
}

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
	// crashMarker in a request body crashes the server that runs it.
	crashMarker = "load-poison"
	// snapshotLoadInterval separates the servers' loads of a new index version.
	snapshotLoadInterval = 20 * time.Millisecond
)

func serverName(index string, service, server int) string {
	return fmt.Sprintf("%s-%d", testbed.ServiceName(index, service), server)
}

// AppliedEvent is an event that the injector has applied.
type AppliedEvent struct {
	Event Event         `json:"event"`
	At    time.Duration `json:"at_ns"` // since the start of the run
	Note  string        `json:"note,omitempty"`
}

// injector applies the timeline to the tier's cluster. Faults of backend servers
// also apply to the cluster of the direct callers.
type injector struct {
	cluster   *testbed.Cluster
	clusters  []*testbed.Cluster
	checker   *testbed.Checker
	tier      *tier
	start     time.Time
	printLine func(string)

	work          sync.WaitGroup
	mu            sync.Mutex
	applied       []AppliedEvent
	platform      standin.PlatformFaults
	versions      map[string]snapshot.Version
	policyChanges int
	poisonDigests map[string]bool // digests of the poison requests' bodies
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

func (in *injector) record(e Event, note string) {
	entry := AppliedEvent{Event: e, At: time.Since(in.start), Note: note}
	in.mu.Lock()
	in.applied = append(in.applied, entry)
	in.mu.Unlock()
	in.printLine(fmt.Sprintf("%5.1f s  event: %s %s", entry.At.Seconds(), e.label(), note))
}

func (in *injector) apply(ctx context.Context, e Event) {
	if e.Server != "" {
		in.record(e, "")
		for _, cluster := range in.clusters {
			in.applyToServer(ctx, cluster, e)
		}
		return
	}
	if in.cluster == nil {
		return
	}
	switch e.Kind {
	case KindStoreDown:
		in.platformFault(ctx, e, func(f *standin.PlatformFaults, on bool) { f.Down = on })
	case KindStoreSlow:
		in.platformFault(ctx, e, func(f *standin.PlatformFaults, on bool) { f.Delay = delayIf(on, e.Delay) })
	case KindHostsEmpty:
		in.platformFault(ctx, e, func(f *standin.PlatformFaults, on bool) { f.HostListEmpty = on })
	case KindHostsLag:
		in.platformFault(ctx, e, func(f *standin.PlatformFaults, on bool) { f.HostListLag = delayIf(on, e.Delay) })
	case KindStoreSilent:
		in.cluster.Platform.BlackholeConnections()
		in.record(e, "")
	case KindLostWrite:
		in.submitWithLostReply(e)
	case KindBundle:
		in.record(e, in.submit("load tool"))
	case KindRace:
		in.submitConcurrently(e)
	case KindHostStop, KindHostKill, KindHostStart:
		in.applyToHost(e)
	case KindRepartition:
		in.repartition(ctx, e)
	case KindPoison:
		in.sendPoison(ctx, e)
	}
}

func delayIf(on bool, d bundle.Duration) time.Duration {
	if !on {
		return 0
	}
	return time.Duration(d)
}

// platformFault turns a platform fault on, and off again after e.For.
func (in *injector) platformFault(ctx context.Context, e Event, set func(f *standin.PlatformFaults, on bool)) {
	in.updatePlatformFaults(func(f *standin.PlatformFaults) { set(f, true) })
	in.record(e, "")
	if e.For == 0 {
		return
	}
	wait.For(ctx, time.Duration(e.For))
	in.updatePlatformFaults(func(f *standin.PlatformFaults) { set(f, false) })
}

func (in *injector) updatePlatformFaults(change func(*standin.PlatformFaults)) {
	in.mu.Lock()
	defer in.mu.Unlock()
	change(&in.platform)
	in.cluster.Platform.SetFaults(in.platform)
}

func (in *injector) applyToHost(e Event) {
	if e.Kind == KindHostStart {
		_, err := in.cluster.StartHost()
		in.record(e, errorText(err))
		return
	}
	hosts := in.cluster.Hosts()
	if len(hosts) < 2 {
		in.record(e, "left out: one host is left")
		return
	}
	oldest := hosts[0]
	in.record(e, oldest.Name())
	if e.Kind == KindHostKill {
		oldest.Kill()
		return
	}
	_ = oldest.Stop()
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// submit submits a bundle with a changed retry budget and returns the result as
// a note.
func (in *injector) submit(reason string) string {
	submitted, err := in.submitChange(reason)
	if err != nil {
		return errorText(err)
	}
	return fmt.Sprintf("generation %d", submitted.Ref.Generation)
}

func (in *injector) submitChange(reason string) (rollout.SubmitResult, error) {
	const minBudget, steps = 0.05, 50
	in.mu.Lock()
	in.policyChanges++
	policyChanges := in.policyChanges
	in.mu.Unlock()
	docs := in.cluster.Documents()
	docs.Policy.RetryBudget = minBudget + float64(policyChanges%steps)/1000
	return in.cluster.Submit(docs, reason)
}

func (in *injector) submitWithLostReply(e Event) {
	in.mu.Lock()
	faults := in.platform
	in.mu.Unlock()
	faults.LoseReplies = 1
	in.cluster.Platform.SetFaults(faults)
	in.record(e, in.submit("its reply is lost"))
}

// submitConcurrently submits bundles of two operators at once. One of them gets
// the conflict unless the second starts after the first has finished.
func (in *injector) submitConcurrently(e Event) {
	accepted, conflicts, unknown := 0, 0, 0
	var mu sync.Mutex
	var group sync.WaitGroup
	for _, name := range []string{"first operator", "second operator"} {
		group.Go(func() {
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
				unknown++
			}
		})
	}
	group.Wait()
	in.record(e, fmt.Sprintf("accepted %d, conflicts %d, open %d", accepted, conflicts, unknown))
}

// repartition publishes an index version in which every shard belongs to another
// service, and makes the servers load it one after the other.
func (in *injector) repartition(ctx context.Context, e Event) {
	in.mu.Lock()
	in.versions[e.Index]++
	version := in.versions[e.Index] + 1
	in.mu.Unlock()
	next := in.cluster.ShardMap(e.Index, version)
	services := len(next.Shards)
	for i := range next.Shards {
		next.Shards[i].Service = testbed.ServiceName(e.Index, (i+int(version))%services)
	}
	err := in.cluster.Publish(next)
	in.record(e, errorText(err))
	for _, standIn := range in.cluster.Backends {
		standIn.AddSnapshot(e.Index, version)
		wait.For(ctx, snapshotLoadInterval)
	}
}

// sendPoison sends the same poison request e.Count times, as a caller that
// retries after every failure does.
func (in *injector) sendPoison(ctx context.Context, e Event) {
	in.record(e, "")
	stream, ok := firstQuery(in.tier.shape)
	if !ok {
		return
	}
	body := fmt.Appendf(nil, `{"marker":%q,"at":%q}`, crashMarker, time.Duration(e.At))
	in.mu.Lock()
	in.poisonDigests[backend.Digest(body)] = true
	in.mu.Unlock()
	for range e.Count {
		in.tier.send(ctx, request{
			stream:   stream,
			caller:   callerName(stream.Role, 0),
			body:     body,
			intended: time.Now(),
			timeout:  in.tier.shape.timeout(stream.Class),
		})
	}
}

// poisonRuns returns how many times poison requests ran, each time crashing a
// server.
func (in *injector) poisonRuns() int {
	count := 0
	for _, run := range in.cluster.Record.Runs() {
		if in.poisonDigests[run.Body] {
			count++
		}
	}
	return count
}

// firstQuery returns the first stream that is not a booking; false if there is
// none.
func firstQuery(shape Shape) (Stream, bool) {
	for _, stream := range shape.Streams {
		if !stream.Booking {
			return stream, true
		}
	}
	return Stream{}, false
}

func (in *injector) applyToServer(ctx context.Context, cluster *testbed.Cluster, e Event) {
	for _, standIn := range cluster.Backends {
		if standIn.Server().Name == e.Server {
			in.work.Go(func() { in.serverFault(ctx, cluster, standIn, e) })
		}
	}
}

func (in *injector) serverFault(ctx context.Context, cluster *testbed.Cluster, standIn *standin.Backend, e Event) {
	duration := time.Duration(e.For)
	switch e.Kind {
	case KindSlow:
		standIn.SetFaults(standin.BackendFaults{SlowFactor: e.Factor})
		undoAfter(ctx, duration, func() { standIn.SetFaults(standin.BackendFaults{}) })
	case KindLost:
		standIn.Crash(crashDuration(duration))
	case KindCrash:
		standIn.Crash(duration)
	case KindDrain:
		standIn.SetDraining(true)
		undoAfter(ctx, duration, func() { standIn.SetDraining(false) })
	case KindLeave:
		standIn.SetFaults(standin.BackendFaults{HideDraining: true})
		cluster.SetServerState(standIn, metastore.StateLeaving)
		if cluster == in.cluster {
			in.checker.ServerLeaving(e.Server, time.Now())
		}
	case KindSilent:
		standIn.BlackholeConnections()
	case KindBadReplies:
		standIn.SetFaults(standin.BackendFaults{TruncatedReplies: e.Count, CorruptReplies: e.Count, MisroutedReplies: e.Count, LostReplies: e.Count})
	}
}

func crashDuration(duration time.Duration) time.Duration {
	if duration == 0 {
		return -1
	}
	return duration
}

func undoAfter(ctx context.Context, duration time.Duration, undo func()) {
	if duration == 0 {
		return
	}
	wait.For(ctx, duration)
	undo()
}

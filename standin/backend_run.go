package standin

import (
	"bytes"
	"cmp"
	"context"
	"io"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/goldcrestspan/goldcrestspan/backend"
	"github.com/goldcrestspan/goldcrestspan/ident"
	"github.com/goldcrestspan/goldcrestspan/internal/wait"
	"github.com/goldcrestspan/goldcrestspan/snapshot"
)

const (
	maxRequestBytes = 16 << 20
	shedRetryAfter  = 20 * time.Millisecond
	maxLoadHistory  = 4096
)

// sentReply is a reply that is kept to be sent for another request later.
type sentReply struct {
	call    backend.Call
	version snapshot.Version
	body    []byte
}

// serveRun serves PathRun.
func (b *Backend) serveRun(inst *instance, w http.ResponseWriter, r *http.Request) {
	call, err := backend.ReadCall(r.Header, time.Now())
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	call.Body, err = io.ReadAll(http.MaxBytesReader(w, r.Body, maxRequestBytes))
	if err != nil {
		return
	}
	if c := connFromContext(r.Context()); c != nil && c.overLimit {
		w.Header().Set("Connection", "close")
		b.refuse(w, call, backend.NotRunConnections)
		return
	}
	if reason := b.admit(r.Context(), inst, call); reason != "" {
		b.refuse(w, call, reason)
		return
	}
	defer b.release(inst, call)
	ctx, cancel := runContext(r, call)
	defer cancel()
	b.run(ctx, inst, w, call)
}

// runContext returns a context that ends at the call's deadline or when its
// connection closes, if HeaderCancelOnClose asks for that.
func runContext(r *http.Request, call backend.Call) (context.Context, context.CancelFunc) {
	if r.Header.Get(backend.HeaderCancelOnClose) != "true" {
		return context.WithCancel(context.WithoutCancel(r.Context()))
	}
	return context.WithDeadline(r.Context(), call.Deadline)
}

// admit waits for a slot and returns a reason if the call is refused.
func (b *Backend) admit(ctx context.Context, inst *instance, call backend.Call) backend.NotRunReason {
	b.mu.Lock()
	if reason := b.refusalReason(inst, call); reason != "" {
		b.mu.Unlock()
		return reason
	}
	key := attemptKey{call.Request, call.Attempt}
	inst.attempts[key] = true
	if inst.running < b.config.Slots {
		inst.running++
		b.recordLoad()
		b.mu.Unlock()
		return ""
	}
	granted := make(chan struct{})
	inst.queue = append(inst.queue, granted)
	b.recordLoad()
	b.mu.Unlock()
	ctx, cancel := context.WithDeadline(ctx, call.Deadline)
	defer cancel()
	return b.waitInQueue(ctx, inst, key, granted)
}

// waitInQueue waits until a slot is granted or ctx ends.
func (b *Backend) waitInQueue(ctx context.Context, inst *instance, key attemptKey, granted chan struct{}) backend.NotRunReason {
	select {
	case <-granted:
		return ""
	case <-ctx.Done():
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(inst.attempts, key)
	for i, waiting := range inst.queue {
		if waiting == granted {
			inst.queue = append(inst.queue[:i], inst.queue[i+1:]...)
			b.recordLoad()
			return backend.NotRunDeadline
		}
	}
	b.handOffSlot(inst) // the slot was granted concurrently
	return backend.NotRunDeadline
}

// refusalReason returns why the call is refused, if it is. b.mu must be held.
func (b *Backend) refusalReason(inst *instance, call backend.Call) backend.NotRunReason {
	switch {
	case b.instance != inst:
		return backend.NotRunDraining
	case b.draining && !b.faults.HideDraining:
		return backend.NotRunDraining
	case b.heldSnapshots != nil && !b.heldSnapshots[call.Index][call.Snapshot]:
		return backend.NotRunSnapshot
	case !time.Now().Before(call.Deadline):
		return backend.NotRunDeadline
	case consume(&b.faults.ShedCalls):
		return backend.NotRunShed
	case inst.running >= b.config.Slots && len(inst.queue) >= b.config.QueueLimit:
		return backend.NotRunShed
	}
	return ""
}

// consume decrements a count of faults and reports whether it was positive.
func consume(count *int) bool {
	if *count <= 0 {
		return false
	}
	*count--
	return true
}

func (b *Backend) release(inst *instance, call backend.Call) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(inst.attempts, attemptKey{call.Request, call.Attempt})
	b.handOffSlot(inst)
}

// handOffSlot passes a slot to the next call in the queue or frees it. b.mu must be
// held.
func (b *Backend) handOffSlot(inst *instance) {
	if len(inst.queue) > 0 {
		close(inst.queue[0])
		inst.queue = inst.queue[1:]
	} else {
		inst.running--
	}
	b.recordLoad()
}

func (b *Backend) refuse(w http.ResponseWriter, call backend.Call, reason backend.NotRunReason) {
	b.record.addRefusal()
	b.mu.Lock()
	head := backend.Reply{
		Snapshot:      call.Snapshot,
		Incarnation:   b.incarnation,
		Load:          b.reportedLoad(),
		HeldSnapshots: b.heldVersions(call.Index),
	}
	b.mu.Unlock()
	backend.SetReplyHeaders(w.Header(), call, head)
	w.Header().Set(backend.HeaderNotRun, string(reason))
	w.Header().Set(backend.HeaderRetryAfterNs, strconv.FormatInt(int64(shedRetryAfter), 10))
	w.WriteHeader(http.StatusServiceUnavailable)
}

// run records and runs the call and sends the reply.
func (b *Backend) run(ctx context.Context, inst *instance, w http.ResponseWriter, call backend.Call) {
	b.mu.Lock()
	duration := b.drawServiceTime()
	incarnation := b.incarnation
	b.mu.Unlock()
	runIndex := b.record.addRun(Run{
		Server: b.config.Name, Incarnation: incarnation,
		Request: call.Request, Attempt: call.Attempt,
		Service: call.Service, Index: call.Index, Shard: call.Shard, Snapshot: call.Snapshot,
		Idempotent: call.Idempotent, Body: backend.Digest(call.Body), Started: time.Now(),
	})
	if b.config.CrashMarker != "" && bytes.Contains(call.Body, []byte(b.config.CrashMarker)) {
		b.record.endRun(runIndex, time.Now(), false)
		b.Crash(b.config.CrashDowntime)
		panic(http.ErrAbortHandler)
	}
	completed := wait.For(ctx, duration) && b.waitUntilResumed(ctx) && b.isCurrent(inst)
	b.record.endRun(runIndex, time.Now(), completed)
	if !completed {
		panic(http.ErrAbortHandler)
	}
	b.reply(w, call, incarnation)
}

func (b *Backend) isCurrent(inst *instance) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.instance == inst
}

// drawServiceTime returns a random service time. b.mu must be held.
func (b *Backend) drawServiceTime() time.Duration {
	duration := float64(b.config.ServiceTime.draw(b.random))
	if b.faults.SlowFactor > 0 {
		duration *= b.faults.SlowFactor
	}
	if time.Since(b.startedAt) < b.config.ColdDuration {
		duration *= b.config.ColdFactor
	}
	return time.Duration(duration)
}

// reply sends the reply with the faults applied.
func (b *Backend) reply(w http.ResponseWriter, call backend.Call, incarnation uint64) {
	out := sentReply{call: call, version: call.Snapshot}
	b.mu.Lock()
	faults := b.consumeReplyFaults()
	if faults.AnswerSnapshot != 0 {
		out.version = faults.AnswerSnapshot
	}
	out.body = ShardBody(call.Index, out.version, call.Shard, call.Body)
	sent := b.swapReply(out, faults.MisroutedReplies > 0)
	head := backend.Reply{
		Snapshot:      out.version,
		Incarnation:   incarnation,
		Load:          b.reportedLoad(),
		HeldSnapshots: b.heldVersions(call.Index),
	}
	b.mu.Unlock()
	time.Sleep(faults.ReplyDelay) // may exceed the deadline
	switch {
	case faults.LostReplies > 0:
		panic(http.ErrAbortHandler)
	case faults.Unmarked503s > 0:
		w.WriteHeader(http.StatusServiceUnavailable)
	case faults.FailedReplies > 0:
		backend.SetReplyHeaders(w.Header(), call, head)
		w.WriteHeader(http.StatusInternalServerError)
	default:
		head.Snapshot = sent.version
		head.Body = sent.body
		backend.SetReplyHeaders(w.Header(), sent.call, head)
		writeBody(w, sent.body, faults)
	}
}

// consumeReplyFaults returns the faults of the next reply and decrements the
// counts. b.mu must be held.
func (b *Backend) consumeReplyFaults() BackendFaults {
	current := b.faults
	consume(&b.faults.TruncatedReplies)
	consume(&b.faults.CorruptReplies)
	consume(&b.faults.MisroutedReplies)
	consume(&b.faults.LostReplies)
	consume(&b.faults.FailedReplies)
	consume(&b.faults.Unmarked503s)
	return current
}

// swapReply stores the reply. If misrouted is set it returns the previous reply, or
// a copy with another request id if there is none. b.mu must be held.
func (b *Backend) swapReply(own sentReply, misrouted bool) sentReply {
	previous := b.previousReply
	b.previousReply = &own
	if !misrouted {
		return own
	}
	if previous != nil {
		return *previous
	}
	other := own
	other.call.Request = ident.NewRequestID()
	return other
}

func writeBody(w http.ResponseWriter, body []byte, faults BackendFaults) {
	if faults.CorruptReplies > 0 {
		body = append([]byte(nil), body...)
		body[len(body)/2] ^= 1
	}
	if faults.TruncatedReplies > 0 {
		_, _ = w.Write(body[:len(body)/2])
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(body)
}

// recordLoad adds the current load to the history for LoadLag. b.mu must be held.
func (b *Backend) recordLoad() {
	if len(b.loadHistory) >= maxLoadHistory {
		b.loadHistory = append(b.loadHistory[:0], b.loadHistory[maxLoadHistory/2:]...)
	}
	b.loadHistory = append(b.loadHistory, loadSample{at: time.Now(), load: b.load()})
}

func (b *Backend) load() backend.Load {
	load := backend.Load{Slots: b.config.Slots, Draining: b.draining && !b.faults.HideDraining}
	if b.instance != nil {
		load.Running, load.Queued = b.instance.running, len(b.instance.queue)
	}
	return load
}

// reportedLoad returns the load that the server reports. b.mu must be held.
func (b *Backend) reportedLoad() backend.Load {
	if b.faults.LoadOverride != nil {
		return *b.faults.LoadOverride
	}
	if b.faults.LoadLag == 0 {
		return b.load()
	}
	cutoff := time.Now().Add(-b.faults.LoadLag)
	for i := len(b.loadHistory) - 1; i >= 0; i-- {
		if !b.loadHistory[i].at.After(cutoff) {
			return b.loadHistory[i].load
		}
	}
	return backend.Load{Slots: b.config.Slots}
}

func (b *Backend) serveHealth(w http.ResponseWriter, r *http.Request) {
	b.mu.Lock()
	health := backend.Health{Incarnation: b.incarnation, Load: b.reportedLoad(), HeldSnapshots: b.heldByIndex()}
	if request := r.Header.Get(backend.HeaderRequest); request != "" {
		health.Attempt = b.attemptState(request, r.Header.Get(backend.HeaderAttempt))
	}
	b.mu.Unlock()
	writeJSON(w, http.StatusOK, health)
}

func (b *Backend) heldByIndex() map[string][]snapshot.Version {
	heldByIndex := make(map[string][]snapshot.Version, len(b.heldSnapshots))
	for index := range b.heldSnapshots {
		heldByIndex[index] = b.heldVersions(index)
	}
	return heldByIndex
}

// heldVersions returns the versions of an index that are held, newest first.
func (b *Backend) heldVersions(index string) []snapshot.Version {
	versions := slices.Collect(maps.Keys(b.heldSnapshots[index]))
	slices.SortFunc(versions, func(x, y snapshot.Version) int { return cmp.Compare(y, x) })
	return versions
}

func (b *Backend) attemptState(request, attempt string) backend.RunState {
	id, err := ident.ParseRequestID(request)
	number, attemptErr := strconv.ParseUint(attempt, 10, 64)
	if err == nil && attemptErr == nil && b.instance != nil && b.instance.attempts[attemptKey{id, ident.AttemptID(number)}] {
		return backend.RunStateRunning
	}
	return backend.RunStateAbsent
}

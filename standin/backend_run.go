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
	loadLogLimit    = 4096
)

// writtenReply is a reply as it goes out; it is kept to be crossed later.
type writtenReply struct {
	call     backend.Call
	answered snapshot.Version
	body     []byte
}

// serveRun is one call: refuse it, or run it and answer.
func (b *Backend) serveRun(l *life, w http.ResponseWriter, r *http.Request) {
	call, err := backend.ReadCall(r.Header, time.Now())
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	call.Body, err = io.ReadAll(http.MaxBytesReader(w, r.Body, maxRequestBytes))
	if err != nil {
		return
	}
	if c := connOf(r.Context()); c != nil && c.overLimit {
		w.Header().Set("Connection", "close")
		b.refuse(w, call, backend.NotRunConnections)
		return
	}
	if reason := b.admit(r.Context(), l, call); reason != "" {
		b.refuse(w, call, reason)
		return
	}
	defer b.release(l, call)
	ctx, cancel := runContext(r, call)
	defer cancel()
	b.run(ctx, l, w, call)
}

// runContext ends with the call's deadline or its connection, but only if the
// caller asked for that: a booking that began is let finish.
func runContext(r *http.Request, call backend.Call) (context.Context, context.CancelFunc) {
	if r.Header.Get(backend.HeaderCancelOnClose) != "true" {
		return context.WithCancel(context.WithoutCancel(r.Context()))
	}
	return context.WithDeadline(r.Context(), call.Deadline)
}

// admit takes a slot, or waits for one in the queue, or says why not.
func (b *Backend) admit(ctx context.Context, l *life, call backend.Call) backend.NotRunReason {
	b.mu.Lock()
	if reason := b.refusal(l, call); reason != "" {
		b.mu.Unlock()
		return reason
	}
	key := attemptKey{call.Request, call.Attempt}
	l.attempts[key] = true
	if l.running < b.config.Slots {
		l.running++
		b.noteLoad()
		b.mu.Unlock()
		return ""
	}
	turn := make(chan struct{})
	l.queue = append(l.queue, turn)
	b.noteLoad()
	b.mu.Unlock()
	ctx, cancel := context.WithDeadline(ctx, call.Deadline)
	defer cancel()
	return b.await(ctx, l, key, turn)
}

// await waits for a turn in the queue.
func (b *Backend) await(ctx context.Context, l *life, key attemptKey, turn chan struct{}) backend.NotRunReason {
	select {
	case <-turn:
		return ""
	case <-ctx.Done():
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(l.attempts, key)
	for i, waiting := range l.queue {
		if waiting == turn {
			l.queue = append(l.queue[:i], l.queue[i+1:]...)
			b.noteLoad()
			return backend.NotRunDeadline
		}
	}
	b.passSlot(l) // the turn came at the same moment
	return backend.NotRunDeadline
}

// refusal is called with the lock held.
func (b *Backend) refusal(l *life, call backend.Call) backend.NotRunReason {
	switch {
	case b.life != l:
		return backend.NotRunDraining
	case b.draining && !b.faults.HideDraining:
		return backend.NotRunDraining
	case b.holds != nil && !b.holds[call.Index][call.Snapshot]:
		return backend.NotRunSnapshot
	case !time.Now().Before(call.Deadline):
		return backend.NotRunDeadline
	case use(&b.faults.ShedNext):
		return backend.NotRunShed
	case l.running >= b.config.Slots && len(l.queue) >= b.config.QueueLimit:
		return backend.NotRunShed
	}
	return ""
}

// use takes one from a count of faults.
func use(count *int) bool {
	if *count <= 0 {
		return false
	}
	*count--
	return true
}

func (b *Backend) release(l *life, call backend.Call) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(l.attempts, attemptKey{call.Request, call.Attempt})
	b.passSlot(l)
}

// passSlot gives a free slot to the next in the queue; the lock is held.
func (b *Backend) passSlot(l *life) {
	if len(l.queue) > 0 {
		close(l.queue[0])
		l.queue = l.queue[1:]
	} else {
		l.running--
	}
	b.noteLoad()
}

func (b *Backend) refuse(w http.ResponseWriter, call backend.Call, reason backend.NotRunReason) {
	b.record.refuse()
	b.mu.Lock()
	head := backend.Reply{
		Snapshot:      call.Snapshot,
		Incarnation:   b.incarnation,
		Load:          b.reportedLoad(),
		HeldSnapshots: b.heldOf(call.Index),
	}
	b.mu.Unlock()
	backend.SetReplyHeaders(w.Header(), call, head)
	w.Header().Set(backend.HeaderNotRun, string(reason))
	w.Header().Set(backend.HeaderRetryAfterNs, strconv.FormatInt(int64(shedRetryAfter), 10))
	w.WriteHeader(http.StatusServiceUnavailable)
}

// run does the work: it is in the record from its first moment on.
func (b *Backend) run(ctx context.Context, l *life, w http.ResponseWriter, call backend.Call) {
	b.mu.Lock()
	takes := b.serviceTime()
	incarnation := b.incarnation
	b.mu.Unlock()
	place := b.record.start(Run{
		Server: b.config.Name, Incarnation: incarnation,
		Request: call.Request, Attempt: call.Attempt,
		Service: call.Service, Index: call.Index, Shard: call.Shard, Snapshot: call.Snapshot,
		Idempotent: call.Idempotent, Body: backend.Digest(call.Body), Started: time.Now(),
	})
	if b.config.CrashMarker != "" && bytes.Contains(call.Body, []byte(b.config.CrashMarker)) {
		b.record.end(place, time.Now(), false)
		b.Crash(b.config.CrashDown)
		panic(http.ErrAbortHandler)
	}
	completed := wait.For(ctx, takes) && b.unpaused(ctx) && b.alive(l)
	b.record.end(place, time.Now(), completed)
	if !completed {
		panic(http.ErrAbortHandler)
	}
	b.reply(w, call, incarnation)
}

func (b *Backend) alive(l *life) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.life == l
}

// serviceTime is called with the lock held.
func (b *Backend) serviceTime() time.Duration {
	takes := float64(b.config.ServiceTime.draw(b.random))
	if b.faults.SlowFactor > 0 {
		takes *= b.faults.SlowFactor
	}
	if time.Since(b.startedAt) < b.config.ColdDuration {
		takes *= b.config.ColdFactor
	}
	return time.Duration(takes)
}

// reply sends the answer, or what the faults make of it.
func (b *Backend) reply(w http.ResponseWriter, call backend.Call, incarnation uint64) {
	out := writtenReply{call: call, answered: call.Snapshot}
	b.mu.Lock()
	faults := b.takeReplyFaults()
	if faults.AnswerFrom != 0 {
		out.answered = faults.AnswerFrom
	}
	out.body = ShardBody(call.Index, out.answered, call.Shard, call.Body)
	sent := b.cross(out, faults.MisroutedReplies > 0)
	head := backend.Reply{
		Snapshot:      out.answered,
		Incarnation:   incarnation,
		Load:          b.reportedLoad(),
		HeldSnapshots: b.heldOf(call.Index),
	}
	b.mu.Unlock()
	time.Sleep(faults.LateBy) // not cut short by the deadline: a late reply comes after it
	switch {
	case faults.LostReplies > 0:
		panic(http.ErrAbortHandler)
	case faults.BareRefusals > 0:
		w.WriteHeader(http.StatusServiceUnavailable)
	case faults.FailedReplies > 0:
		backend.SetReplyHeaders(w.Header(), call, head)
		w.WriteHeader(http.StatusInternalServerError)
	default:
		head.Snapshot = sent.answered
		head.Body = sent.body
		backend.SetReplyHeaders(w.Header(), sent.call, head)
		writeBody(w, sent.body, faults)
	}
}

// takeReplyFaults uses up one of each kind of faulty reply; the lock is held.
func (b *Backend) takeReplyFaults() BackendFaults {
	taken := b.faults
	use(&b.faults.TruncatedReplies)
	use(&b.faults.CorruptReplies)
	use(&b.faults.MisroutedReplies)
	use(&b.faults.LostReplies)
	use(&b.faults.FailedReplies)
	use(&b.faults.BareRefusals)
	return taken
}

// cross keeps this reply and gives back the one before it, or a made-up one.
func (b *Backend) cross(own writtenReply, crossed bool) writtenReply {
	previous := b.lastReply
	b.lastReply = &own
	if !crossed {
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

// noteLoad logs the load for reports that lag; the lock is held.
func (b *Backend) noteLoad() {
	if len(b.loadLog) >= loadLogLimit {
		b.loadLog = append(b.loadLog[:0], b.loadLog[loadLogLimit/2:]...)
	}
	b.loadLog = append(b.loadLog, loadAt{at: time.Now(), load: b.load()})
}

func (b *Backend) load() backend.Load {
	load := backend.Load{Slots: b.config.Slots, Draining: b.draining && !b.faults.HideDraining}
	if b.life != nil {
		load.Running, load.Queued = b.life.running, len(b.life.queue)
	}
	return load
}

// reportedLoad is the load as the server says it; the lock is held.
func (b *Backend) reportedLoad() backend.Load {
	if b.faults.LoadLie != nil {
		return *b.faults.LoadLie
	}
	if b.faults.LoadLag == 0 {
		return b.load()
	}
	cut := time.Now().Add(-b.faults.LoadLag)
	for i := len(b.loadLog) - 1; i >= 0; i-- {
		if !b.loadLog[i].at.After(cut) {
			return b.loadLog[i].load
		}
	}
	return backend.Load{Slots: b.config.Slots}
}

func (b *Backend) serveHealth(w http.ResponseWriter, r *http.Request) {
	b.mu.Lock()
	health := backend.Health{Incarnation: b.incarnation, Load: b.reportedLoad(), HeldSnapshots: b.held()}
	if asked := r.Header.Get(backend.HeaderRequest); asked != "" {
		health.Attempt = b.attemptState(asked, r.Header.Get(backend.HeaderAttempt))
	}
	b.mu.Unlock()
	writeJSON(w, http.StatusOK, health)
}

func (b *Backend) held() map[string][]snapshot.Version {
	held := make(map[string][]snapshot.Version, len(b.holds))
	for index := range b.holds {
		held[index] = b.heldOf(index)
	}
	return held
}

// heldOf lists the held versions of an index, newest first.
func (b *Backend) heldOf(index string) []snapshot.Version {
	versions := slices.Collect(maps.Keys(b.holds[index]))
	slices.SortFunc(versions, func(x, y snapshot.Version) int { return cmp.Compare(y, x) })
	return versions
}

func (b *Backend) attemptState(request, attempt string) backend.RunState {
	id, err := ident.ParseRequestID(request)
	number, err2 := strconv.ParseUint(attempt, 10, 64)
	if err == nil && err2 == nil && b.life != nil && b.life.attempts[attemptKey{id, ident.AttemptID(number)}] {
		return backend.RunStateRunning
	}
	return backend.RunStateAbsent
}

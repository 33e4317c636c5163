package backend

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/goldcrestspan/goldcrestspan/ident"
	"github.com/goldcrestspan/goldcrestspan/snapshot"
)

// Paths of the HTTP interface of backend servers.
const (
	PathRun    = "/v1/run"
	PathHealth = "/v1/health"
)

// Headers of the HTTP interface of backend servers. Requests carry the first
// block, replies the second; the echoes are in both.
const (
	HeaderRequest  = "Gcs-Request-Id"
	HeaderAttempt  = "Gcs-Attempt-Id"
	HeaderShard    = "Gcs-Shard"
	HeaderSnapshot = "Gcs-Snapshot"

	HeaderService = "Gcs-Service"
	HeaderIndex   = "Gcs-Index"
	HeaderClass   = "Gcs-Class"
	// HeaderDeadlineIn is the time left at sending, in nanoseconds: the clocks
	// of the two ends may differ.
	HeaderDeadlineIn = "Gcs-Deadline-In-Ns"
	HeaderIdempotent = "Gcs-Idempotent"
	// HeaderCancelOnClose says whether closing the connection cancels the run.
	// It does for idempotent calls; a booking that began is let finish.
	HeaderCancelOnClose = "Gcs-Cancel-On-Close"

	HeaderIncarnation = "Gcs-Incarnation"
	// HeaderDigest is the xxhash64 of the reply's body, 16 hexadecimal digits.
	HeaderDigest      = "Gcs-Body-Xxhash64"
	HeaderLoadRunning = "Gcs-Load-Running"
	HeaderLoadQueued  = "Gcs-Load-Queued"
	HeaderLoadSlots   = "Gcs-Load-Slots"
	HeaderDraining    = "Gcs-Draining"
	// HeaderHeld lists the snapshots of the call's index that the server
	// holds, with commas, so that hosts learn of a new one from traffic.
	HeaderHeld         = "Gcs-Held"
	HeaderRetryAfterNs = "Gcs-Retry-After-Ns"
	// HeaderNotRun is on a 503 only, and is the server's word that it did not
	// start the work. Its value is a NotRunReason.
	HeaderNotRun = "Gcs-Not-Run"
)

// NotRunReason is why a backend server did not start the work.
type NotRunReason string

// The reasons of a refusal before run.
const (
	NotRunShed        NotRunReason = "shed"
	NotRunDraining    NotRunReason = "draining"
	NotRunSnapshot    NotRunReason = "snapshot-not-held"
	NotRunConnections NotRunReason = "connection-limit"
	NotRunDeadline    NotRunReason = "deadline-passed"
)

var notRunFaults = map[NotRunReason]Fault{
	NotRunShed:        FaultShed,
	NotRunDraining:    FaultDraining,
	NotRunSnapshot:    FaultSnapshotNotHeld,
	NotRunConnections: FaultConnectionLimit,
	NotRunDeadline:    FaultDeadline,
}

// RunState is what a backend server knows of one attempt.
type RunState string

// The states of an attempt at a server.
const (
	RunStateRunning RunState = "running" // waiting or in service
	RunStateAbsent  RunState = "absent"  // never seen, or ended
)

// Health is the body of PathHealth. It lags and can mislead.
type Health struct {
	Incarnation uint64 `json:"incarnation"`
	Load        Load   `json:"load"`
	// HeldSnapshots lists the snapshots that the server holds, by index.
	HeldSnapshots map[string][]snapshot.Version `json:"held"`
	// Attempt answers a question about one attempt, asked with HeaderRequest
	// and HeaderAttempt; empty when none was asked.
	Attempt RunState `json:"attempt,omitempty"`
}

// Digest is the digest of a reply's body as HeaderDigest carries it.
func Digest(body []byte) string {
	const hexDigits, bits = "0123456789abcdef", 64
	sum := xxhash.Sum64(body)
	var out [bits / 4]byte
	for i := range out {
		out[i] = hexDigits[sum>>(bits-4*(i+1))&0xf]
	}
	return string(out[:])
}

// callHeaders and replyHeaders are how many headers a call and a reply have.
const (
	callHeaders  = 11
	replyHeaders = 12
)

// headerWriter sets headers whose keys are in canonical form already. All
// values share one array, which saves an allocation for each.
type headerWriter struct {
	header http.Header
	values []string
}

func newHeaderWriter(h http.Header, size int) *headerWriter {
	return &headerWriter{header: h, values: make([]string, 0, size)}
}

func (w *headerWriter) set(key, value string) {
	w.values = append(w.values, value)
	end := len(w.values)
	w.header[key] = w.values[end-1 : end : end]
}

func (w *headerWriter) setNumber(key string, n uint64) { w.set(key, strconv.FormatUint(n, 10)) }

func (w *headerWriter) setEchoes(call Call) {
	w.set(HeaderRequest, call.Request.String())
	w.setNumber(HeaderAttempt, uint64(call.Attempt))
	w.setNumber(HeaderShard, uint64(call.Shard))
}

// SetCallHeaders writes the request's side of the wire; left is the time until
// the call's deadline.
func SetCallHeaders(h http.Header, call Call, left time.Duration) {
	w := newHeaderWriter(h, callHeaders)
	w.setEchoes(call)
	w.setNumber(HeaderSnapshot, uint64(call.Snapshot))
	w.set(HeaderService, call.Service)
	w.set(HeaderIndex, call.Index)
	w.set(HeaderClass, call.Class)
	w.setNumber(HeaderDeadlineIn, uint64(max(0, left)))
	w.set(HeaderIdempotent, strconv.FormatBool(call.Idempotent))
	w.set(HeaderCancelOnClose, strconv.FormatBool(call.Idempotent))
	w.set("Content-Type", "application/json")
}

// ReadCall reads the headers of a request to PathRun, for servers; the body
// and the deadline are left to the caller. now is added to the time left.
func ReadCall(h http.Header, now time.Time) (Call, error) {
	var call Call
	var err error
	if call.Request, err = ident.ParseRequestID(h.Get(HeaderRequest)); err != nil {
		return call, err
	}
	numbers := fields{header: h}
	call.Attempt = ident.AttemptID(numbers.read(HeaderAttempt))
	call.Shard = snapshot.ShardID(numbers.read(HeaderShard))
	call.Snapshot = snapshot.Version(numbers.read(HeaderSnapshot))
	call.Deadline = now.Add(time.Duration(numbers.read(HeaderDeadlineIn)))
	call.Service = h.Get(HeaderService)
	call.Index = h.Get(HeaderIndex)
	call.Class = h.Get(HeaderClass)
	call.Idempotent = h.Get(HeaderIdempotent) == "true"
	return call, numbers.err
}

// fields reads numeric headers and keeps the first error.
type fields struct {
	header http.Header
	err    error
}

func (f *fields) read(key string) uint64 {
	n, err := strconv.ParseUint(f.header.Get(key), 10, 64)
	if err != nil && f.err == nil {
		f.err = err
	}
	return n
}

// readLoad reads the server's load from a reply; absent numbers read as zero.
func readLoad(h http.Header) Load {
	return Load{
		Running:  readCount(h, HeaderLoadRunning),
		Queued:   readCount(h, HeaderLoadQueued),
		Slots:    readCount(h, HeaderLoadSlots),
		Draining: h.Get(HeaderDraining) == "true",
	}
}

func readCount(h http.Header, key string) int {
	n, err := strconv.Atoi(h.Get(key))
	if err != nil || n < 0 {
		return 0
	}
	return n
}

// echoed reports whether the reply names the call's request and attempt. A
// reply that names others is crossed: even its "not run" proves nothing.
func echoed(h http.Header, call Call) bool {
	return h.Get(HeaderRequest) == call.Request.String() &&
		h.Get(HeaderAttempt) == strconv.FormatUint(uint64(call.Attempt), 10) &&
		h.Get(HeaderShard) == strconv.FormatUint(uint64(call.Shard), 10)
}

// SetReplyHeaders writes the reply's side of the wire, for servers.
// reply.Snapshot is the one that the body comes from.
func SetReplyHeaders(h http.Header, call Call, reply Reply) {
	w := newHeaderWriter(h, replyHeaders)
	w.setEchoes(call)
	w.setNumber(HeaderSnapshot, uint64(reply.Snapshot))
	w.setNumber(HeaderIncarnation, reply.Incarnation)
	w.set(HeaderLoadRunning, strconv.Itoa(reply.Load.Running))
	w.set(HeaderLoadQueued, strconv.Itoa(reply.Load.Queued))
	w.set(HeaderLoadSlots, strconv.Itoa(reply.Load.Slots))
	w.set(HeaderDraining, strconv.FormatBool(reply.Load.Draining))
	w.set(HeaderHeld, writeVersions(reply.HeldSnapshots))
	w.set(HeaderDigest, Digest(reply.Body))
	w.set("Content-Length", strconv.Itoa(len(reply.Body)))
	w.set("Content-Type", "application/json")
}

func writeVersions(versions []snapshot.Version) string {
	words := make([]string, len(versions))
	for i, version := range versions {
		words[i] = strconv.FormatUint(uint64(version), 10)
	}
	return strings.Join(words, ",")
}

// readVersions reads the held snapshots; a server that says nothing, or
// something else, is taken to have said nothing.
func readVersions(text string) []snapshot.Version {
	if text == "" {
		return nil
	}
	words := strings.Split(text, ",")
	versions := make([]snapshot.Version, len(words))
	for i, word := range words {
		version, err := strconv.ParseUint(word, 10, 64)
		if err != nil {
			return nil
		}
		versions[i] = snapshot.Version(version)
	}
	return versions
}

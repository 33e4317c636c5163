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

// Headers of the HTTP interface of backend servers. The first group is in requests
// and replies, the second in requests and the third in replies.
const (
	HeaderRequest  = "Gcs-Request-Id"
	HeaderAttempt  = "Gcs-Attempt-Id"
	HeaderShard    = "Gcs-Shard"
	HeaderSnapshot = "Gcs-Snapshot"

	HeaderService = "Gcs-Service"
	HeaderIndex   = "Gcs-Index"
	HeaderClass   = "Gcs-Class"
	// HeaderDeadlineIn is the time left until the deadline, in nanoseconds. It is
	// relative because the clocks of host and server may differ.
	HeaderDeadlineIn = "Gcs-Deadline-In-Ns"
	HeaderIdempotent = "Gcs-Idempotent"
	// HeaderCancelOnClose says whether the server cancels the call when the
	// connection closes. It is true for idempotent calls only.
	HeaderCancelOnClose = "Gcs-Cancel-On-Close"

	HeaderIncarnation = "Gcs-Incarnation"
	// HeaderDigest is the xxhash64 of the reply's body as 16 hexadecimal digits.
	HeaderDigest      = "Gcs-Body-Xxhash64"
	HeaderLoadRunning = "Gcs-Load-Running"
	HeaderLoadQueued  = "Gcs-Load-Queued"
	HeaderLoadSlots   = "Gcs-Load-Slots"
	HeaderDraining    = "Gcs-Draining"
	// HeaderHeld lists the snapshots of the call's index that the server holds,
	// separated by commas.
	HeaderHeld         = "Gcs-Held"
	HeaderRetryAfterNs = "Gcs-Retry-After-Ns"
	// HeaderNotRun in a 503 reply confirms that the server did not start the
	// call. Its value is a NotRunReason.
	HeaderNotRun = "Gcs-Not-Run"
)

// NotRunReason is why a backend server did not start a call.
type NotRunReason string

// The reasons for refusing a call before it runs.
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

// RunState is the state of an attempt at a backend server.
type RunState string

// The states of an attempt.
const (
	RunStateRunning RunState = "running" // queued or in service
	RunStateAbsent  RunState = "absent"  // unknown or ended
)

// Health is the reply body of PathHealth. It may be outdated or wrong.
type Health struct {
	Incarnation uint64 `json:"incarnation"`
	Load        Load   `json:"load"`
	// HeldSnapshots lists the snapshots that the server holds by index.
	HeldSnapshots map[string][]snapshot.Version `json:"held"`
	// Attempt is the state of the attempt named by HeaderRequest and
	// HeaderAttempt; empty if the request named none.
	Attempt RunState `json:"attempt,omitempty"`
}

// Digest returns the digest of a body in the format of HeaderDigest.
func Digest(body []byte) string {
	const hexDigits, bits = "0123456789abcdef", 64
	sum := xxhash.Sum64(body)
	var out [bits / 4]byte
	for i := range out {
		out[i] = hexDigits[sum>>(bits-4*(i+1))&0xf]
	}
	return string(out[:])
}

// Initial capacities for the headers that SetCallHeaders and SetReplyHeaders set.
const (
	callHeaderCount  = 11
	replyHeaderCount = 12
)

// headerWriter sets headers whose keys are in canonical form. The values share one
// array to save allocations.
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

func (w *headerWriter) setIDs(call Call) {
	w.set(HeaderRequest, call.Request.String())
	w.setNumber(HeaderAttempt, uint64(call.Attempt))
	w.setNumber(HeaderShard, uint64(call.Shard))
}

// SetCallHeaders sets the headers of a call; left is the time until its deadline.
func SetCallHeaders(h http.Header, call Call, left time.Duration) {
	w := newHeaderWriter(h, callHeaderCount)
	w.setIDs(call)
	w.setNumber(HeaderSnapshot, uint64(call.Snapshot))
	w.set(HeaderService, call.Service)
	w.set(HeaderIndex, call.Index)
	w.set(HeaderClass, call.Class)
	w.setNumber(HeaderDeadlineIn, uint64(max(0, left)))
	w.set(HeaderIdempotent, strconv.FormatBool(call.Idempotent))
	w.set(HeaderCancelOnClose, strconv.FormatBool(call.Idempotent))
	w.set("Content-Type", "application/json")
}

// ReadCall parses the headers of a request to PathRun, for servers. The deadline
// of the call is relative to now. The body is not read.
func ReadCall(h http.Header, now time.Time) (Call, error) {
	var call Call
	var err error
	if call.Request, err = ident.ParseRequestID(h.Get(HeaderRequest)); err != nil {
		return call, err
	}
	numbers := numberReader{header: h}
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

// numberReader parses numeric headers and keeps the first error.
type numberReader struct {
	header http.Header
	err    error
}

func (f *numberReader) read(key string) uint64 {
	n, err := strconv.ParseUint(f.header.Get(key), 10, 64)
	if err != nil && f.err == nil {
		f.err = err
	}
	return n
}

// readLoad parses the server's load; missing or invalid numbers read as zero.
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

// echoesMatch reports whether the reply echoes the ids of the call. Nothing in a
// reply to another call is valid, not even HeaderNotRun.
func echoesMatch(h http.Header, call Call) bool {
	return h.Get(HeaderRequest) == call.Request.String() &&
		h.Get(HeaderAttempt) == strconv.FormatUint(uint64(call.Attempt), 10) &&
		h.Get(HeaderShard) == strconv.FormatUint(uint64(call.Shard), 10)
}

// SetReplyHeaders sets the headers of a reply, for servers. reply.Snapshot is the
// snapshot that the body was read from.
func SetReplyHeaders(h http.Header, call Call, reply Reply) {
	w := newHeaderWriter(h, replyHeaderCount)
	w.setIDs(call)
	w.setNumber(HeaderSnapshot, uint64(reply.Snapshot))
	w.setNumber(HeaderIncarnation, reply.Incarnation)
	w.set(HeaderLoadRunning, strconv.Itoa(reply.Load.Running))
	w.set(HeaderLoadQueued, strconv.Itoa(reply.Load.Queued))
	w.set(HeaderLoadSlots, strconv.Itoa(reply.Load.Slots))
	w.set(HeaderDraining, strconv.FormatBool(reply.Load.Draining))
	w.set(HeaderHeld, formatVersions(reply.HeldSnapshots))
	w.set(HeaderDigest, Digest(reply.Body))
	w.set("Content-Length", strconv.Itoa(len(reply.Body)))
	w.set("Content-Type", "application/json")
}

func formatVersions(versions []snapshot.Version) string {
	numbers := make([]string, len(versions))
	for i, version := range versions {
		numbers[i] = strconv.FormatUint(uint64(version), 10)
	}
	return strings.Join(numbers, ",")
}

// parseVersions parses a list of held snapshots; nil if it is empty or invalid.
func parseVersions(text string) []snapshot.Version {
	if text == "" {
		return nil
	}
	numbers := strings.Split(text, ",")
	versions := make([]snapshot.Version, len(numbers))
	for i, number := range numbers {
		version, err := strconv.ParseUint(number, 10, 64)
		if err != nil {
			return nil
		}
		versions[i] = snapshot.Version(version)
	}
	return versions
}

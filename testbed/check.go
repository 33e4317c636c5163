package testbed

import (
	"bytes"
	"fmt"
	"sync"
	"time"

	"github.com/goldcrestspan/goldcrestspan/front"
	"github.com/goldcrestspan/goldcrestspan/ident"
	"github.com/goldcrestspan/goldcrestspan/result"
	"github.com/goldcrestspan/goldcrestspan/snapshot"
	"github.com/goldcrestspan/goldcrestspan/standin"
)

// Violation is a violation of a guarantee by one request.
type Violation struct {
	Promise string // the guarantee, one of the constants below
	Request string
	Detail  string
}

// String formats the violation for reports.
func (v Violation) String() string {
	return fmt.Sprintf("%s: request %s: %s", v.Promise, v.Request, v.Detail)
}

// The guarantees that a Checker checks.
const (
	GuaranteeOneSnapshot         = "one index snapshot per answer"
	GuaranteeCoverage            = "coverage stated truly"
	GuaranteeCompleteAnswer      = "the whole answer, to its caller"
	GuaranteeNotRun              = "not run means nowhere"
	GuaranteeAtMostOnce          = "a booking at most once"
	GuaranteeNoNewWork           = "no new work for a leaving server"
	GuaranteeMonotonicGeneration = "an accepted configuration never reverts"
)

// Checker compares the replies that callers received with the record of what the
// backend servers ran. It is safe for concurrent use.
type Checker struct {
	record *standin.Record
	// shardCount returns the number of shards of a snapshot.
	shardCount func(index string, version snapshot.Version) int

	mu           sync.Mutex
	violations   []Violation
	notRun       []ident.RequestID
	bookings     map[string]bool // digests of booking bodies
	checked      int
	leavingSince map[string]time.Time // by server name
	generations  map[string]uint64    // highest generation by host
}

// NewChecker returns a checker over the record. shardCount returns the number of
// shards of a published snapshot.
func NewChecker(record *standin.Record, shardCount func(index string, version snapshot.Version) int) *Checker {
	return &Checker{
		record:       record,
		shardCount:   shardCount,
		bookings:     make(map[string]bool),
		leavingSince: make(map[string]time.Time),
		generations:  make(map[string]uint64),
	}
}

// CheckAnswer checks the reply to a query and stores what Finish has to check.
// request is the body that the caller sent.
func (c *Checker) CheckAnswer(request []byte, reply *front.Reply) {
	c.checkReply(request, reply, c.shardCountOf(reply))
}

// CheckBookingAnswer checks the reply to a booking, which goes to one shard.
func (c *Checker) CheckBookingAnswer(request []byte, reply *front.Reply) {
	c.checkReply(request, reply, 1)
}

func (c *Checker) shardCountOf(reply *front.Reply) int {
	if reply.Snapshot == nil {
		return 0
	}
	return c.shardCount(reply.Snapshot.Index, reply.Snapshot.Version)
}

func (c *Checker) checkReply(request []byte, reply *front.Reply, total int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.checked++
	if reply.Code.NotRun() {
		if id, err := ident.ParseRequestID(reply.RequestID); err == nil {
			c.notRun = append(c.notRun, id)
		}
		return
	}
	if reply.Coverage == nil || len(reply.Shards) == 0 {
		return
	}
	c.checkCoverage(reply, total)
	c.checkParts(request, reply)
}

// AddBooking records that a body with this digest was sent as a booking. Bodies
// must be unique.
func (c *Checker) AddBooking(digest string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.bookings[digest] = true
}

func (c *Checker) checkCoverage(reply *front.Reply, total int) {
	parts := len(reply.Shards)
	stated := reply.Coverage
	if stated.Have != parts || stated.Total != total || stated.Complete != (parts == total) {
		c.addViolation(GuaranteeCoverage, reply.RequestID, fmt.Sprintf("says %d of %d, complete %t; has %d of %d", stated.Have, stated.Total, stated.Complete, parts, total))
	}
	if (reply.Code == result.Complete) != (parts == total) {
		c.addViolation(GuaranteeCoverage, reply.RequestID, fmt.Sprintf("code %s with %d of %d", reply.Name, parts, total))
	}
}

func (c *Checker) checkParts(request []byte, reply *front.Reply) {
	seen := make(map[snapshot.ShardID]bool)
	for _, part := range reply.Shards {
		if seen[part.Shard] {
			c.addViolation(GuaranteeCompleteAnswer, reply.RequestID, fmt.Sprintf("shard %d twice", part.Shard))
		}
		seen[part.Shard] = true
		want := standin.ShardBody(reply.Snapshot.Index, reply.Snapshot.Version, part.Shard, request)
		if bytes.Equal(part.Body, want) {
			continue
		}
		guarantee := GuaranteeCompleteAnswer
		if bytes.Contains(part.Body, []byte(`"snapshot":`)) && !bytes.Contains(part.Body, fmt.Appendf(nil, `"snapshot":%d,`, reply.Snapshot.Version)) {
			guarantee = GuaranteeOneSnapshot
		}
		c.addViolation(guarantee, reply.RequestID, fmt.Sprintf("shard %d: got %s", part.Shard, part.Body))
	}
}

func (c *Checker) addViolation(guarantee, request, detail string) {
	c.violations = append(c.violations, Violation{Promise: guarantee, Request: request, Detail: detail})
}

// Finish checks the complete record and returns all violations and the number of
// replies that were checked. Nothing may be running when it is called.
func (c *Checker) Finish() (violations []Violation, checked int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, id := range c.notRun {
		if runs := c.record.RunsOf(id); len(runs) > 0 {
			c.addViolation(GuaranteeNotRun, id.String(), fmt.Sprintf("ran on %s", runs[0].Server))
		}
	}
	runs := c.record.Runs()
	c.checkLeaving(runs)
	runsByBody := make(map[string][]standin.Run)
	for _, run := range runs {
		if !run.Idempotent {
			runsByBody[run.Body] = append(runsByBody[run.Body], run)
		}
	}
	for body, runs := range runsByBody {
		if len(runs) > 1 && c.bookings[body] {
			c.addViolation(GuaranteeAtMostOnce, runs[1].RequestText, fmt.Sprintf("ran %d times, on %s and %s", len(runs), runs[0].Server, runs[1].Server))
		}
	}
	return c.violations, c.checked
}

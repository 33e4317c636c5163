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

// Violation is one promise that did not hold for one request.
type Violation struct {
	Promise string
	Request string
	Detail  string
}

// String is the line that reports print.
func (b Violation) String() string {
	return fmt.Sprintf("%s: request %s: %s", b.Promise, b.Request, b.Detail)
}

// The promises that a Checker checks.
const (
	PromiseSnapshot = "one index snapshot per answer"
	PromiseCoverage = "coverage stated truly"
	PromiseWhole    = "the whole answer, to its caller"
	PromiseNotRun   = "not run means nowhere"
	PromiseOnce     = "a booking at most once"
	PromiseLeaving  = "no new work for a leaving server"
	PromiseRising   = "an accepted configuration never reverts"
)

// Checker compares what callers were told with what the stand-ins ran. It is
// safe for concurrent use.
type Checker struct {
	record *standin.Record
	// total is the number of shards by index and version.
	total func(index string, version snapshot.Version) int

	mu       sync.Mutex
	broken   []Violation
	notRun   []ident.RequestID
	bookings map[string]bool // digests of booking bodies
	checked  int
	left     map[string]time.Time // by server
	highest  map[string]uint64    // generation, by host
}

// NewChecker makes a checker over the record. total tells how many shards a
// snapshot has, from what was published.
func NewChecker(record *standin.Record, total func(index string, version snapshot.Version) int) *Checker {
	return &Checker{
		record:   record,
		total:    total,
		bookings: make(map[string]bool),
		left:     make(map[string]time.Time),
		highest:  make(map[string]uint64),
	}
}

// CheckAnswer checks one reply to a query at once, and notes what only the end can
// show. request is the body that the caller sent.
func (c *Checker) CheckAnswer(request []byte, reply *front.Reply) {
	c.answer(request, reply, c.totalOf(reply))
}

// CheckBookingAnswer is Answer for a booking, which goes to one shard.
func (c *Checker) CheckBookingAnswer(request []byte, reply *front.Reply) {
	c.answer(request, reply, 1)
}

func (c *Checker) totalOf(reply *front.Reply) int {
	if reply.Snapshot == nil {
		return 0
	}
	return c.total(reply.Snapshot.Index, reply.Snapshot.Version)
}

func (c *Checker) answer(request []byte, reply *front.Reply, total int) {
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

// AddBooking notes that a body was sent as a booking, each body once only.
func (c *Checker) AddBooking(digest string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.bookings[digest] = true
}

func (c *Checker) checkCoverage(reply *front.Reply, total int) {
	parts := len(reply.Shards)
	said := reply.Coverage
	if said.Have != parts || said.Total != total || said.Complete != (parts == total) {
		c.add(PromiseCoverage, reply.RequestID, fmt.Sprintf("says %d of %d, complete %t; has %d of %d", said.Have, said.Total, said.Complete, parts, total))
	}
	if (reply.Code == result.Complete) != (parts == total) {
		c.add(PromiseCoverage, reply.RequestID, fmt.Sprintf("code %s with %d of %d", reply.Name, parts, total))
	}
}

func (c *Checker) checkParts(request []byte, reply *front.Reply) {
	seen := make(map[snapshot.ShardID]bool)
	for _, part := range reply.Shards {
		if seen[part.Shard] {
			c.add(PromiseWhole, reply.RequestID, fmt.Sprintf("shard %d twice", part.Shard))
		}
		seen[part.Shard] = true
		want := standin.ShardBody(reply.Snapshot.Index, reply.Snapshot.Version, part.Shard, request)
		if bytes.Equal(part.Body, want) {
			continue
		}
		promise := PromiseWhole
		if bytes.Contains(part.Body, []byte(`"snapshot":`)) && !bytes.Contains(part.Body, fmt.Appendf(nil, `"snapshot":%d,`, reply.Snapshot.Version)) {
			promise = PromiseSnapshot
		}
		c.add(promise, reply.RequestID, fmt.Sprintf("shard %d: got %s", part.Shard, part.Body))
	}
}

func (c *Checker) add(promise, request, detail string) {
	c.broken = append(c.broken, Violation{Promise: promise, Request: request, Detail: detail})
}

// Finish checks what needs the whole record, and returns every broken promise
// and how many replies were checked. Call it when nothing runs any more.
func (c *Checker) Finish() (broken []Violation, checked int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, id := range c.notRun {
		if runs := c.record.RunsOf(id); len(runs) > 0 {
			c.add(PromiseNotRun, id.String(), fmt.Sprintf("ran on %s", runs[0].Server))
		}
	}
	runs := c.record.Runs()
	c.checkLeaving(runs)
	times := make(map[string][]standin.Run)
	for _, run := range runs {
		if !run.Idempotent {
			times[run.Body] = append(times[run.Body], run)
		}
	}
	for body, runs := range times {
		if len(runs) > 1 && c.bookings[body] {
			c.add(PromiseOnce, runs[1].RequestText, fmt.Sprintf("ran %d times, on %s and %s", len(runs), runs[0].Server, runs[1].Server))
		}
	}
	return c.broken, c.checked
}

// Package front is the callers' interface: JSON over HTTP. It finds out who
// asks, checks what is asked, and hands the request to the host.
package front

import (
	"encoding/json"
	"time"

	"github.com/goldcrestspan/goldcrestspan/result"
	"github.com/goldcrestspan/goldcrestspan/scatter"
	"github.com/goldcrestspan/goldcrestspan/snapshot"
)

// QueryRequest is the body of POST /v1/query/{route}. Unknown fields are refused.
type QueryRequest struct {
	// DeadlineMS is the time the caller can wait, in milliseconds; 0 takes the
	// class's default. More than the route's max_deadline counts as that.
	DeadlineMS int64 `json:"deadline_ms,omitempty"`
	// Class is one of the route's; empty takes the route's first.
	Class string `json:"class,omitempty"`
	// Body is passed to the backend servers as it is.
	Body json.RawMessage `json:"body"`
	// Detail asks for the list of missing shards with reasons.
	Detail bool `json:"detail,omitempty"`
}

// BookingRequest is the body of POST /v1/bookings/{route}. One of Ticket and
// IdempotencyKey is set.
type BookingRequest struct {
	DeadlineMS     int64           `json:"deadline_ms,omitempty"`
	Class          string          `json:"class,omitempty"`
	Body           json.RawMessage `json:"body"`
	Ticket         string          `json:"ticket,omitempty"`
	IdempotencyKey string          `json:"idempotency_key,omitempty"`
	// Resent says that the booking was sent before. A host that can't see
	// what became of it then says "unknown" where it would say "not run".
	Resent bool `json:"resent,omitempty"`
}

// TicketReply answers POST /v1/tickets/{route}.
type TicketReply struct {
	Ticket string `json:"ticket"`
}

// Reply is every answer to a query or a booking, and every refusal.
type Reply struct {
	RequestID string      `json:"request_id"`
	Code      result.Code `json:"code"`
	Name      string      `json:"name"`
	Detail    string      `json:"detail,omitempty"`
	// Resend says whether the request may be sent again.
	Resend result.Resend `json:"resend"`
	// RetryAfterMS is when it is worth sending again.
	RetryAfterMS int64 `json:"retry_after_ms,omitempty"`
	// Hosts are callers' addresses of entry hosts to use in place of this one.
	Hosts    []string       `json:"hosts,omitempty"`
	Snapshot *SnapshotName  `json:"snapshot,omitempty"`
	Coverage *Coverage      `json:"coverage,omitempty"`
	Shards   []ShardPart    `json:"shards,omitempty"`
	Missing  []ShardMissing `json:"missing,omitempty"`
}

// SnapshotName names the one snapshot an answer reflects.
type SnapshotName struct {
	Index   string           `json:"index"`
	Version snapshot.Version `json:"version"`
}

// Coverage counts the shards in an answer; Complete only if none is missing.
type Coverage struct {
	Have     int  `json:"have"`
	Total    int  `json:"total"`
	Complete bool `json:"complete"`
}

// ShardPart is one shard's part of an answer.
type ShardPart struct {
	Shard snapshot.ShardID `json:"shard"`
	Body  json.RawMessage  `json:"body"`
}

// ShardMissing is one shard that an answer lacks, and why.
type ShardMissing struct {
	Shard  snapshot.ShardID `json:"shard"`
	Code   result.Code      `json:"code"`
	Name   string           `json:"name"`
	Detail string           `json:"detail,omitempty"`
}

// ReplyOf writes an answer for its caller; detail lists the missing shards.
func ReplyOf(a *scatter.Answer, index string, detail bool) Reply {
	r := Reply{
		RequestID:    a.Request.String(),
		Code:         a.Code,
		Name:         a.Code.String(),
		Detail:       a.Detail,
		Resend:       a.Code.Info().Resend,
		RetryAfterMS: milliseconds(a.RetryAfter),
	}
	if a.Snapshot != nil {
		r.Snapshot = &SnapshotName{Index: index, Version: a.Snapshot.Version}
		r.Coverage = &Coverage{Have: len(a.Parts), Total: a.Total, Complete: a.Code == result.Complete}
	}
	for _, part := range a.Parts {
		r.Shards = append(r.Shards, ShardPart{Shard: part.Shard, Body: part.Body})
	}
	if !detail {
		return r
	}
	for _, m := range a.Missing {
		r.Missing = append(r.Missing, ShardMissing{Shard: m.Shard, Code: m.Code, Name: m.Code.String(), Detail: m.Detail})
	}
	return r
}

// replyToError writes a refusal for its caller.
func replyToError(requestID string, e *result.Error) Reply {
	return Reply{
		RequestID:    requestID,
		Code:         e.Code,
		Name:         e.Code.String(),
		Detail:       e.Detail,
		Resend:       e.Code.Info().Resend,
		RetryAfterMS: milliseconds(e.RetryAfter),
		Hosts:        e.Hosts,
	}
}

// milliseconds rounds up, so that a stated wait is never zero by rounding.
func milliseconds(d time.Duration) int64 {
	return int64((d + time.Millisecond - 1) / time.Millisecond)
}

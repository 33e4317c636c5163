// Package front is the HTTP API for callers, with JSON bodies. It authenticates callers,
// validates requests and passes them to the host.
package front

import (
	"encoding/json"
	"time"

	"github.com/goldcrestspan/goldcrestspan/result"
	"github.com/goldcrestspan/goldcrestspan/scatter"
	"github.com/goldcrestspan/goldcrestspan/snapshot"
)

// QueryRequest is the body of POST /v1/query/{route}. Unknown fields are rejected.
type QueryRequest struct {
	// DeadlineMS is how long the caller waits, in milliseconds, capped by the route's
	// max_deadline; 0 selects the default of the class.
	DeadlineMS int64 `json:"deadline_ms,omitempty"`
	// Class is one of the route's classes; empty selects the first.
	Class string `json:"class,omitempty"`
	// Body is passed to the backend servers unchanged.
	Body json.RawMessage `json:"body"`
	// Detail requests the list of missing shards with reasons.
	Detail bool `json:"detail,omitempty"`
}

// BookingRequest is the body of POST /v1/bookings/{route}. Exactly one of Ticket and
// IdempotencyKey is set.
type BookingRequest struct {
	DeadlineMS     int64           `json:"deadline_ms,omitempty"`
	Class          string          `json:"class,omitempty"`
	Body           json.RawMessage `json:"body"`
	Ticket         string          `json:"ticket,omitempty"`
	IdempotencyKey string          `json:"idempotency_key,omitempty"`
	// Resent is set if the booking was sent before. A host without a record of it then answers that
	// the outcome is unknown instead of not run.
	Resent bool `json:"resent,omitempty"`
}

// TicketReply is the response to POST /v1/tickets/{route}.
type TicketReply struct {
	Ticket string `json:"ticket"`
}

// Reply is the response to a query or booking, including refusals.
type Reply struct {
	RequestID string      `json:"request_id"`
	Code      result.Code `json:"code"`
	Name      string      `json:"name"`
	Detail    string      `json:"detail,omitempty"`
	// Resend says whether the request may be sent again.
	Resend result.Resend `json:"resend"`
	// RetryAfterMS is when to retry, in milliseconds.
	RetryAfterMS int64 `json:"retry_after_ms,omitempty"`
	// Hosts are addresses of other entry hosts to use instead of this one.
	Hosts    []string       `json:"hosts,omitempty"`
	Snapshot *SnapshotName  `json:"snapshot,omitempty"`
	Coverage *Coverage      `json:"coverage,omitempty"`
	Shards   []ShardPart    `json:"shards,omitempty"`
	Missing  []ShardMissing `json:"missing,omitempty"`
}

// SnapshotName identifies the snapshot that an answer reflects.
type SnapshotName struct {
	Index   string           `json:"index"`
	Version snapshot.Version `json:"version"`
}

// Coverage counts the shards in an answer; Complete is set if none is missing.
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

// ShardMissing is a shard that an answer lacks, and why.
type ShardMissing struct {
	Shard  snapshot.ShardID `json:"shard"`
	Code   result.Code      `json:"code"`
	Name   string           `json:"name"`
	Detail string           `json:"detail,omitempty"`
}

// ReplyOf converts an answer; detail includes the missing shards.
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

// errorReply converts an error.
func errorReply(requestID string, e *result.Error) Reply {
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

// milliseconds rounds up, so that a positive duration never becomes zero.
func milliseconds(d time.Duration) int64 {
	return int64((d + time.Millisecond - 1) / time.Millisecond)
}

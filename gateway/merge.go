package gateway

import (
	"bytes"
	"context"
	"sync"
	"time"

	"github.com/goldcrestspan/goldcrestspan/result"
	"github.com/goldcrestspan/goldcrestspan/route"
	"github.com/goldcrestspan/goldcrestspan/scatter"
)

// restWait bounds fetching the rest of parts that were cut: a way between zones
// and back, and a busy host's turn. Fewer than one answer in a hundred needs it.
const restWait = 20 * time.Millisecond

// merge makes one answer of the parts, or turns the answer into a failure.
//
// Failure: a part of which only the greatest records were sent holds more that
// belong into the answer. It would show as an answer that lacks records though it
// names the part. The guard holds because a record that was left out is no
// greater than the least that was sent: where that one is below the least record
// of the answer, nothing is missing, and where it is not, the whole part is
// fetched, or the answer does without the part and says so.
func merge(ctx context.Context, r *route.Route, answer *scatter.Answer) *Merged {
	parts := answer.Parts
	for {
		if len(parts) < max(scatter.LeastParts(r.LeastShare, answer.Total), 1) {
			return tooFew(answer)
		}
		records := scatter.Greatest(bodiesOf(parts), recordSize, r.Greatest)
		open := 0
		for i := range parts {
			if mayHoldMore(&parts[i], records, r.Greatest) {
				parts[i], parts[open] = parts[open], parts[i]
				open++
			}
		}
		if open == 0 {
			return merged(answer, parts, records)
		}
		parts = append(fetchRest(ctx, parts[:open]), parts[open:]...)
	}
}

// tooFew turns the answer into a failure: no part may be named, or less than the
// route allows.
func tooFew(answer *scatter.Answer) *Merged {
	answer.Parts, answer.Code = nil, result.CoverageTooLow
	answer.Detail = "too few whole parts were had"
	return nil
}

func merged(answer *scatter.Answer, parts []scatter.Part, records []byte) *Merged {
	if len(parts) < len(answer.Parts) {
		answer.Parts, answer.Code = parts, result.Partial
	}
	m := &Merged{Records: records, Missing: answer.Total - len(parts)}
	for _, part := range parts {
		m.Signatures = append(m.Signatures, part.Reply.Signature)
	}
	return m
}

func bodiesOf(parts []scatter.Part) [][]byte {
	bodies := make([][]byte, len(parts))
	for i := range parts {
		bodies[i] = parts[i].Body
	}
	return bodies
}

// mayHoldMore reports whether records of a cut part that were not sent may belong
// among the greatest.
func mayHoldMore(part *scatter.Part, records []byte, greatest int) bool {
	if part.Reply == nil || part.Reply.Rest == nil {
		return false
	}
	if len(records) < greatest*recordSize || len(part.Body) < recordSize {
		return true
	}
	least := part.Body[len(part.Body)-recordSize:] // they come falling
	return bytes.Compare(least, records[len(records)-recordSize:]) > 0
}

// fetchRest fetches the whole parts, at once, and returns those that were had.
func fetchRest(ctx context.Context, parts []scatter.Part) []scatter.Part {
	ctx, cancel := context.WithTimeout(ctx, restWait)
	defer cancel()
	whole := make([][]byte, len(parts))
	var work sync.WaitGroup
	for i := range parts {
		work.Go(func() {
			if body, err := parts[i].Reply.Rest(ctx); err == nil {
				whole[i] = body // a part that is not had is left out and counted as missing
			}
		})
	}
	work.Wait()
	var had []scatter.Part
	for i, part := range parts {
		if whole[i] == nil {
			continue
		}
		reply := *part.Reply
		reply.Rest = nil
		part.Body, part.Reply = whole[i], &reply
		had = append(had, part)
	}
	return had
}

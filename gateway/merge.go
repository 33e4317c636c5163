package gateway

import (
	"bytes"
	"context"
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
	least := max(scatter.RequiredShards(r.MinShardShare, answer.Total), 1)
	for {
		if len(parts) < least {
			return tooFew(answer)
		}
		records := scatter.TopK(bodiesOf(parts), recordSize, r.TopK)
		open := 0
		for i := range parts {
			if mayHoldMore(&parts[i], records, r.TopK) {
				parts[i], parts[open] = parts[open], parts[i]
				open++
			}
		}
		if open == 0 {
			return merged(answer, parts, records)
		}
		parts = append(fetchRests(ctx, parts[:open], least-(len(parts)-open)), parts[open:]...)
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

// fetchRests fetches the whole parts, all at once, and returns those that were had: at
// restWait, or later when they are as many as the answer needs.
//
// Failure: an answer has just the least parts that its route allows, one of them is
// cut, and the host that cut it is busy for longer than restWait. It shows as a failed
// search whose parts were all there. The guard holds because such an answer waits for
// as long as its caller does.
func fetchRests(ctx context.Context, parts []scatter.Part, needed int) []scatter.Part {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	fetched := make(chan scatter.Part, len(parts))
	for i := range parts {
		go func() { fetched <- wholePart(ctx, parts[i]) }()
	}
	timer := time.NewTimer(restWait)
	defer timer.Stop()
	var had []scatter.Part
	waited := false
	for open := len(parts); open > 0 && (!waited || len(had) < needed); {
		select {
		case part := <-fetched:
			open--
			if part.Reply != nil {
				had = append(had, part)
			}
		case <-timer.C:
			waited = true
		}
	}
	return had
}

// wholePart is the part with all its records; without a reply: they were not had, and
// the part is left out of the answer and counted as missing.
func wholePart(ctx context.Context, part scatter.Part) scatter.Part {
	body, err := part.Reply.Rest(ctx)
	if err != nil {
		return scatter.Part{}
	}
	reply := *part.Reply
	reply.Rest = nil
	part.Body, part.Reply = body, &reply
	return part
}

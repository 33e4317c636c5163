package gateway

import (
	"bytes"
	"context"
	"time"

	"github.com/goldcrestspan/goldcrestspan/result"
	"github.com/goldcrestspan/goldcrestspan/route"
	"github.com/goldcrestspan/goldcrestspan/scatter"
)

// fullPartTimeout bounds fetching full parts after truncated ones: a round trip between zones
// and a busy host's turn. Fewer than one answer in a hundred needs it.
const fullPartTimeout = 20 * time.Millisecond

// merge combines the parts into one answer, or turns the answer into a failure.
//
// Parts may be truncated to their greatest records. A truncated part is complete for the
// answer if its least record is below the least record of the answer; otherwise the full
// part is fetched, or dropped from the answer and counted as missing.
func merge(ctx context.Context, r *route.Route, answer *scatter.Answer) *Merged {
	parts := answer.Parts
	minParts := max(scatter.RequiredShards(r.MinCoverage, answer.Total), 1)
	for {
		if len(parts) < minParts {
			return failCoverage(answer)
		}
		records := scatter.TopK(bodiesOf(parts), recordSize, r.TopK)
		truncated := 0
		for i := range parts {
			if mayHoldMore(&parts[i], records, r.TopK) {
				parts[i], parts[truncated] = parts[truncated], parts[i]
				truncated++
			}
		}
		if truncated == 0 {
			return newMerged(answer, parts, records)
		}
		parts = append(fetchFullParts(ctx, parts[:truncated], minParts-(len(parts)-truncated)), parts[truncated:]...)
	}
}

// failCoverage turns the answer into a failure for lack of parts.
func failCoverage(answer *scatter.Answer) *Merged {
	answer.Parts, answer.Code = nil, result.CoverageTooLow
	answer.Detail = "too few whole parts were had"
	return nil
}

func newMerged(answer *scatter.Answer, parts []scatter.Part, records []byte) *Merged {
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

// mayHoldMore reports whether omitted records of a truncated part may belong in the answer.
func mayHoldMore(part *scatter.Part, records []byte, topK int) bool {
	if part.Reply == nil || part.Reply.FetchFull == nil {
		return false
	}
	if len(records) < topK*recordSize || len(part.Body) < recordSize {
		return true
	}
	least := part.Body[len(part.Body)-recordSize:] // in descending order
	return bytes.Compare(least, records[len(records)-recordSize:]) > 0
}

// fetchFullParts fetches the full parts concurrently and returns those that arrived within
// fullPartTimeout. If the answer needs more of them, it waits for the caller's deadline
// instead: a busy peer must not fail a search whose parts are all available.
func fetchFullParts(ctx context.Context, parts []scatter.Part, needed int) []scatter.Part {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	fetched := make(chan scatter.Part, len(parts))
	for i := range parts {
		go func() { fetched <- fetchFullPart(ctx, parts[i]) }()
	}
	timer := time.NewTimer(fullPartTimeout)
	defer timer.Stop()
	var complete []scatter.Part
	timedOut := false
	for pending := len(parts); pending > 0 && (!timedOut || len(complete) < needed); {
		select {
		case part := <-fetched:
			pending--
			if part.Reply != nil {
				complete = append(complete, part)
			}
		case <-timer.C:
			timedOut = true
		}
	}
	return complete
}

// fetchFullPart returns the part with all its records. If they can't be fetched, the Reply
// is nil, and the part counts as missing.
func fetchFullPart(ctx context.Context, part scatter.Part) scatter.Part {
	body, err := part.Reply.FetchFull(ctx)
	if err != nil {
		return scatter.Part{}
	}
	reply := *part.Reply
	reply.FetchFull = nil
	part.Body, part.Reply = body, &reply
	return part
}

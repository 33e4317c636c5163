package gateway

import (
	"bytes"
	"context"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"github.com/goldcrestspan/goldcrestspan/forward"
	"github.com/goldcrestspan/goldcrestspan/result"
	"github.com/goldcrestspan/goldcrestspan/route"
	"github.com/goldcrestspan/goldcrestspan/scatter"
)

var errFetch = errors.New("the peer has gone")

// randomPart returns n records with few distinct values, so that many are equal.
func randomPart(rnd *rand.Rand, n int) []byte {
	var body []byte
	for range n {
		record := make([]byte, recordSize)
		record[0], record[1] = byte(rnd.IntN(4)), byte(rnd.IntN(8))
		body = append(body, record...)
	}
	return body
}

// Guards against records missing from an answer that includes their truncated part: the result
// must equal that of the full parts.
func TestAnswerFromTruncatedPartsEqualsThatFromFullOnes(t *testing.T) {
	is := is.New(t)
	rnd := rand.New(rand.NewPCG(1, 2))
	var fetched atomic.Int64
	dropped, failed := 0, 0
	for range 3000 {
		r := &route.Route{TopK: 1 + rnd.IntN(8), MinCoverage: 0.5}
		answer := &scatter.Answer{Code: result.Complete, Total: 4}
		full := make(map[string][]byte)
		for i := range answer.Total {
			body := randomPart(rnd, rnd.IntN(10))
			reply := &forward.Reply{Signature: string(rune('a' + i))}
			full[reply.Signature] = body
			part := scatter.Part{Body: body, Reply: reply}
			if limit := 1 + rnd.IntN(4); len(body) > limit*recordSize {
				part.Body = scatter.TopK([][]byte{body}, recordSize, limit)
				lost := rnd.IntN(4) == 0
				reply.FetchFull = func(context.Context) ([]byte, error) {
					fetched.Add(1)
					if lost {
						return nil, errFetch
					}
					return body, nil
				}
			}
			answer.Parts = append(answer.Parts, part)
		}
		m := merge(t.Context(), r, answer)
		if m == nil {
			failed++
			is.Equal(answer.Code, result.CoverageTooLow)
			is.Equal(len(answer.Parts), 0)
			continue
		}
		is.Equal(m.Missing, answer.Total-len(m.Signatures))
		if m.Missing > 0 {
			dropped++
			is.Equal(answer.Code, result.Partial)
		}
		var named [][]byte
		for _, signature := range m.Signatures {
			named = append(named, full[signature])
		}
		is.True(bytes.Equal(m.Records, scatter.TopK(named, recordSize, r.TopK)))
	}
	t.Logf("fetched %d, dropped %d, failed %d", fetched.Load(), dropped, failed)
	is.True(fetched.Load() > 100 && dropped > 100 && failed > 0)
}

// Guards against truncation limits that make many answers fetch a full part.
func TestTruncationLimitIsRarelyExceeded(t *testing.T) {
	is := is.New(t)
	for _, c := range []struct{ topK, services, wanted int }{{20, 20, 5}, {5, 20, 3}, {20, 90, 3}, {5, 1, 5}, {0, 20, 0}} {
		m := forward.Merge{TopK: c.topK, Services: c.services}
		is.Equal(m.MaxPerPart(), c.wanted)
	}
	rnd := rand.New(rand.NewPCG(3, 4))
	m := forward.Merge{TopK: 20, Services: 20}
	exceeded, answers := 0, 2000
	for range answers {
		counts := make([]int, m.Services) // number of the greatest records in each part
		for range m.TopK {
			counts[rnd.IntN(m.Services)]++
		}
		for _, n := range counts[:7] { // about a third of the services are in other zones
			if n > m.MaxPerPart() {
				exceeded++
			}
		}
	}
	is.True(exceeded < answers/100)
}

// An answer without any part is a failure, even if the route accepts any coverage.
func TestAnswerWithoutAPartIsAFailure(t *testing.T) {
	is := is.New(t)
	answer := &scatter.Answer{Code: result.Partial, Total: 4}
	is.True(merge(t.Context(), &route.Route{TopK: 5}, answer) == nil)
	is.Equal(answer.Code, result.CoverageTooLow)
}

// 0.55 of 20 shards are 11, although the floating-point product is slightly larger.
func TestMinCoverageIsCountedInWholeShards(t *testing.T) {
	is := is.New(t)
	answer := &scatter.Answer{Code: result.Partial, Total: 20}
	for range 11 {
		answer.Parts = append(answer.Parts, scatter.Part{Reply: &forward.Reply{Signature: "s"}})
	}
	m := merge(t.Context(), &route.Route{TopK: 5, MinCoverage: 0.55}, answer)
	is.True(m != nil)
	is.Equal(m.Missing, 9)
}

// Guards against failing a search that needs a truncated part while the host with the full part
// responds slowly.
func TestAnswerWaitsForATruncatedPartThatItNeeds(t *testing.T) {
	is := is.New(t)
	body := randomPart(rand.New(rand.NewPCG(5, 6)), 6)
	slow := func(ctx context.Context) ([]byte, error) {
		select {
		case <-time.After(3 * fullPartTimeout):
			return body, nil
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	answer := &scatter.Answer{Code: result.Partial, Total: 2, Parts: []scatter.Part{
		{Body: body[:recordSize], Reply: &forward.Reply{Signature: "a", FetchFull: slow}},
	}}
	m := merge(t.Context(), &route.Route{TopK: 5, MinCoverage: 0.5}, answer)
	is.True(m != nil)
	is.Equal(len(m.Signatures), 1)
	is.True(bytes.Equal(m.Records, scatter.TopK([][]byte{body}, recordSize, 5)))
}

// Guards against too low a truncation limit in searches of many shards, where some part has far
// more of the greatest records than the average.
func TestTruncationLimitIsRarelyExceededOverManyParts(t *testing.T) {
	is := is.New(t)
	rnd := rand.New(rand.NewPCG(7, 8))
	for _, m := range []forward.Merge{{TopK: 5, Services: 180}, {TopK: 20, Services: 180}, {TopK: 20, Services: 270}} {
		exceeded, answers := 0, 2000
		for range answers {
			counts := make([]int, m.Services)
			for range m.TopK {
				counts[rnd.IntN(m.Services)]++
			}
			if slices.Max(counts) > m.MaxPerPart() {
				exceeded++
			}
		}
		is.True(exceeded < answers/50)
	}
}

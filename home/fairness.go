package home

import (
	"encoding/binary"
	"time"

	"github.com/goldcrestspan/goldcrestspan/ident"
)

const (
	// aloneAfter is how long no other caller must have sent a leg for a caller to count as alone.
	aloneAfter = time.Second
	// maxCallers bounds the callers whose recent legs are remembered. Among 100,000 customers
	// most send less than one request per second.
	maxCallers = 1024
	// minRankPart is the lowest rank of a caller's legs as a part of its recent slot time, so
	// that a caller with a tenth of that goes before it entirely. Otherwise, beside a flood of
	// 60 times and slow servers, the others lost 0.14 of their answers in time, of 0.1 allowed.
	minRankPart = 0.1
	// longWaitPart is the part of the time to its target that the first leg must have waited
	// for ranks to decide. At 0.25, a flood of 20 times beside slow servers cost the others
	// 0.11 of their answers in time.
	longWaitPart = 0.1
)

// callerShares ranks the legs of a class by caller. While legs wait, those with the lowest rank
// start first: a customer at 60 times its usual rate otherwise makes the searches of all others
// late.
//
// The rank is the slot time of the caller's recent legs divided by its weight, multiplied by a
// hash of the request between 0 and 1. Of each caller, as many legs are below any rank as of
// another with the same weight, so that the scarce slots are divided equally whatever the
// callers' rates; what a caller doesn't use goes to the others. The rank depends on arrivals
// only, which are the same at all homes, so that they start the legs of the same searches. With
// ranks by the time used at each home, the homes of a customer over its share start different
// searches, and hardly any is complete.
type callerShares struct {
	recent     map[string]*decayingSum // slot time of recent legs by caller, in seconds
	last       string                  // caller of the last leg
	lastAt     time.Time
	aloneSince time.Time // when another caller than the last sent the last leg, plus aloneAfter
}

// rank sets the leg's place among those of other callers. slotSeconds is the class's mean slot
// time, and typical its typical service time. Legs without a caller have no rank until one with
// a caller comes, so that a configuration without customers is served by deadline only.
func (s *callerShares) rank(l *leg, now time.Time, slotSeconds, weight float64, typical time.Duration) {
	if l.Caller == "" && s.recent == nil {
		return
	}
	l.ranked = true
	l.late = !l.onTime() && !l.SoftDeadline.IsZero()
	sum := s.recent[l.Caller]
	if sum == nil {
		sum = s.insert(l.Caller, now, slotSeconds)
	}
	s.recordCaller(l.Caller, now)
	l.callerRank = s.rankOf(l, now, slotSeconds, weight)
	sum.add(now, slotSeconds)
	if l.onTime() {
		slack := l.orderBy.Sub(now) - typical
		l.longWait = typical + time.Duration((1-longWaitPart)*float64(slack))
	}
}

// rankOf returns the rank that the leg would get.
func (s *callerShares) rankOf(l *leg, now time.Time, slotSeconds, weight float64) float64 {
	used := slotSeconds
	if sum := s.recent[l.Caller]; sum != nil {
		used += sum.value(now)
	}
	return used / weight * (minRankPart + (1-minRankPart)*hashFraction(l.Request))
}

// recordCaller records whose leg came last.
func (s *callerShares) recordCaller(caller string, now time.Time) {
	if caller != s.last {
		if now.Sub(s.lastAt) < aloneAfter {
			s.aloneSince = s.lastAt.Add(aloneAfter)
		}
		s.last = caller
	}
	s.lastAt = now
}

// alone reports whether all recent legs are of one caller, which is then served as without
// callers.
func (s *callerShares) alone(now time.Time) bool { return !now.Before(s.aloneSince) }

func (s *callerShares) insert(caller string, now time.Time, slotSeconds float64) *decayingSum {
	if s.recent == nil {
		s.recent = make(map[string]*decayingSum)
	}
	if len(s.recent) >= maxCallers {
		s.forget(now, slotSeconds)
	}
	sum := &decayingSum{}
	s.recent[caller] = sum
	return sum
}

// forget drops the callers with the equivalent of less than one recent leg, or all if there are
// too many others.
func (s *callerShares) forget(now time.Time, slotSeconds float64) {
	for caller, sum := range s.recent {
		if sum.value(now) <= slotSeconds {
			delete(s.recent, caller)
		}
	}
	if len(s.recent) >= maxCallers {
		clear(s.recent)
	}
}

// hashFraction returns a number from 0 to 1 that is the same at all homes of a request.
func hashFraction(id ident.RequestID) float64 {
	h := binary.BigEndian.Uint64(id[:8]) ^ binary.BigEndian.Uint64(id[8:])
	h *= 0x9e3779b97f4a7c15 // IDs may be consecutive
	h ^= h >> 32
	h *= 0x9e3779b97f4a7c15
	return float64(h>>11) / (1 << 53)
}

// weightOf returns the weight of the leg's caller.
func (h *Home) weightOf(l *leg) float64 {
	if h.cfg.CallerWeight == nil || !l.hasCaller() {
		return 1
	}
	if w := h.cfg.CallerWeight(l.Caller); w > 0 {
		return w
	}
	return 1
}

func (l *leg) hasCaller() bool { return l.Caller != "" }

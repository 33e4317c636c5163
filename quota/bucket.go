package quota

import (
	"slices"
	"time"
)

// bucket is the token bucket of one customer at its grantor.
type bucket struct {
	limit Limit
	depth float64
	level float64
	at    time.Time // of the level; in the future until a new grantor's bucket refills
	seq   uint32    // of the last grant
	peaks []peak    // in order; levels fall
	// promised is up to when the room is promised to refused callers.
	promised  time.Time
	inCharge  bool
	chargedAt time.Time
	issued    int  // since then
	continued bool // the bucket of the grantor before
	// handed is the level of a grantor that has stopped before this one was chosen.
	handed    float64
	handedAt  time.Time
	lostAt    time.Time // when another host took over, if not inCharge
	loweredAt time.Time
	usedAt    time.Time
	recent    window // requests issued
}

// peak is the level of a bucket right before a grant.
type peak struct {
	seq   uint32 // of that grant
	level float32
}

func (b *bucket) advance(now time.Time) {
	if now.After(b.at) {
		b.level = min(b.level+b.limit.PerSecond*now.Sub(b.at).Seconds(), b.depth)
		b.at = now
	}
}

// take issues n requests and returns the grant's sequence number.
func (b *bucket) take(n int) uint32 {
	b.seq++
	b.remember(peak{b.seq, float32(b.level)})
	b.level -= float64(n)
	return b.seq
}

func (b *bucket) remember(p peak) {
	for len(b.peaks) > 0 && b.peaks[len(b.peaks)-1].level <= p.level {
		b.peaks = b.peaks[:len(b.peaks)-1]
	}
	if len(b.peaks) == returnHistory {
		b.mergePeaks()
	}
	b.peaks = append(b.peaks, p)
}

// mergePeaks merges the two neighbors that differ least, as if the higher level had been reached
// later: a return is then worth less, never more.
func (b *bucket) mergePeaks() {
	closest := 0
	for i := 1; i+1 < len(b.peaks); i++ {
		if b.peaks[i].level-b.peaks[i+1].level < b.peaks[closest].level-b.peaks[closest+1].level {
			closest = i
		}
	}
	b.peaks[closest+1].level = b.peaks[closest].level
	b.peaks = slices.Delete(b.peaks, closest, closest+1)
}

// giveBack returns n requests of a grant that did not run. The level becomes what it would be had
// they never been issued: nothing is added where the bucket was full meanwhile, since what they
// left in the bucket would have overflowed. However late a return is, it makes no more room than
// the bucket alone would have had.
func (b *bucket) giveBack(seq uint32, n int) {
	if seq == 0 || seq > b.seq {
		return
	}
	later := b.peaks[firstAfter(b.peaks, seq):]
	highest := b.level
	for _, p := range later {
		highest = max(highest, float64(p.level))
	}
	added := min(b.depth-highest, float64(n))
	if added <= 0 {
		return
	}
	b.level += added
	raised := slices.Clone(later)
	b.peaks = b.peaks[:len(b.peaks)-len(later)]
	for _, p := range raised {
		b.remember(peak{p.seq, p.level + float32(added)})
	}
}

func firstAfter(peaks []peak, seq uint32) int {
	for i, p := range peaks {
		if p.seq > seq {
			return i
		}
	}
	return len(peaks)
}

// untilLevel is how long until the level is reached.
func (b *bucket) untilLevel(now time.Time, level float64) time.Duration {
	if b.level >= level {
		return 0
	}
	return max(b.at.Sub(now), 0) + seconds((level-b.level)/b.limit.PerSecond)
}

// setLimit applies a changed limit. A higher burst is available at once, unless the limit was
// lowered within the window, or another host may have granted the higher burst before this one.
func (b *bucket) setLimit(now time.Time, limit Limit, bounds Bounds) {
	b.advance(now)
	depth := bounds.depth(limit)
	switch {
	case depth > b.depth && now.Sub(b.loweredAt) >= bounds.Window && now.Sub(b.chargedAt) >= 2*bounds.Window:
		b.level += depth - b.depth
	case depth < b.depth || limit.PerSecond < b.limit.PerSecond:
		b.loweredAt = now
	}
	b.level = min(b.level, depth)
	b.limit, b.depth = limit, depth
	b.promised = time.Time{}
}

// window counts in a sliding window, approximately: a half is added to the last whole half.
type window struct {
	start      time.Time
	last, this float64
}

func (w *window) add(now time.Time, length time.Duration, n float64) {
	w.roll(now, length)
	w.this += n
}

func (w *window) roll(now time.Time, length time.Duration) {
	switch age := now.Sub(w.start); {
	case age >= 2*length:
		w.last, w.this, w.start = 0, 0, now
	case age >= length:
		w.last, w.this, w.start = w.this, 0, w.start.Add(length)
	}
}

// perSecond is the rate over one to two lengths.
func (w *window) perSecond(now time.Time, length time.Duration) float64 {
	w.roll(now, length)
	return (w.last + w.this) / (length + now.Sub(w.start)).Seconds()
}

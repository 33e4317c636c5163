package quota

import (
	"math"
	"sync"
	"time"

	"github.com/goldcrestspan/goldcrestspan/customer"
)

// Limit is a customer's limit.
type Limit = customer.Limit

// Ask is what a host tells the grantor of one customer.
type Ask struct {
	Customer string
	Needed   int // requests that wait, and credit that was used
	Ahead    int // requests expected before the next report
	Refused  int // requests refused since the last report
	Returned []Return
}

// Return is part of a grant that was not used, or whose request did not run.
type Return struct {
	Grantor uint64 // instance of the grantor that issued it
	Seq     uint32 // of the grant
	Count   int
}

// Grant answers an Ask.
type Grant struct {
	Count int
	Seq   uint32
	// NotGrantor is set by a host that does not grant for the customer.
	NotGrantor bool
	// RoomIn is when the next request can be issued, if fewer than needed were.
	RoomIn time.Duration
	// RetryIn is the first of Slots times, one at each Spacing, that refused callers of this host
	// may come back at.
	RetryIn, Spacing time.Duration
	Slots            int
}

const (
	// maxChoices is how many past views are remembered.
	maxChoices = 8
	// maxSlots bounds the times to come back that one answer reserves.
	maxSlots = 256
	// idleBuckets is how long an unused bucket is kept at least.
	idleBuckets = time.Minute
)

// choice is a view's choice of grantors during a time.
type choice struct {
	isSelf func(customer string) bool
	since  time.Time
}

// Grantor issues requests for the customers that this host is chosen for. It is safe for
// concurrent use.
type Grantor struct {
	bounds   Bounds
	instance uint64

	mu        sync.Mutex
	limits    map[string]Limit // nil before the first configuration
	buckets   map[string]*bucket
	choices   []choice // the last is in force
	lastTick  time.Time
	stalledAt time.Time
	sweptAt   time.Time
}

// NewGrantor returns a grantor that no view has chosen yet. The instance distinguishes starts of
// hosts.
func NewGrantor(bounds Bounds, instance uint64) *Grantor {
	return &Grantor{bounds: bounds, instance: instance, buckets: make(map[string]*bucket)}
}

// Instance identifies this grantor in a Return.
func (g *Grantor) Instance() uint64 { return g.instance }

// SetLimits puts a configuration in force: the limits by customer.
func (g *Grantor) SetLimits(now time.Time, limits map[string]Limit) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.limits = limits
	for name, b := range g.buckets {
		limit, limited := limits[name]
		if !limited {
			delete(g.buckets, name)
			continue
		}
		if limit != b.limit {
			b.setLimit(now, limit, g.bounds)
		}
	}
}

// SetView is called when a view with other serving hosts is in force; isSelf tells whether it
// chooses this host for a customer. Nil: this host may not grant, since it may have been replaced
// without knowing. It returns what to hand over to the next grantors.
func (g *Grantor) SetView(now time.Time, isSelf func(customer string) bool) []Handover {
	g.mu.Lock()
	defer g.mu.Unlock()
	handovers := g.setView(now, isSelf)
	if isSelf == nil {
		return nil
	}
	return handovers
}

func (g *Grantor) setView(now time.Time, isSelf func(customer string) bool) (handovers []Handover) {
	if isSelf == nil {
		isSelf = func(string) bool { return false }
	}
	if len(g.choices) == maxChoices {
		g.choices = append(g.choices[:0], g.choices[1:]...)
	}
	g.choices = append(g.choices, choice{isSelf, now})
	for name, b := range g.buckets {
		if inCharge := isSelf(name); inCharge != b.inCharge {
			g.charge(now, b, inCharge)
			if !inCharge {
				handovers = append(handovers, Handover{name, b.level, b.settled(now, g.bounds), b.issued})
			}
		}
	}
	return handovers
}

// Handover is what a grantor tells the next one when it has stopped to grant for a customer.
type Handover struct {
	Customer string
	Level    float64 // of the bucket; counts only if Settled
	// Settled is set if no other host can have granted lately.
	Settled bool
	Issued  int // since this grantor took over
}

// maxHandovers bounds the customers of whom this host learns that it will be the grantor.
const maxHandovers = 1 << 17

// Receive applies what other grantors hand over. The bucket goes on where the one before stopped,
// without the wait of a new grantor. If both have granted for a while, what the other one issued
// is taken from the bucket.
func (g *Grantor) Receive(now time.Time, handovers []Handover) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.tick(now)
	if now.Sub(g.stalledAt) < viewDelay+maxStall {
		return // these may be from before the stall
	}
	for _, h := range handovers {
		limit, limited := g.limits[h.Customer]
		if !limited || len(g.buckets) >= maxHandovers || math.IsNaN(h.Level) {
			continue
		}
		b := g.bucket(now, h.Customer, limit)
		switch {
		case b == nil && h.Settled:
			b = g.buckets[h.Customer]
			if b == nil {
				b = &bucket{limit: limit, depth: g.bounds.depth(limit), at: now, usedAt: now}
				g.buckets[h.Customer] = b
			}
			b.handedAt, b.handed = now, h.Level
		case b == nil:
		case !h.Settled:
			b.level = max(b.level-float64(max(h.Issued, 0)), -b.depth)
		case !b.settled(now, g.bounds) && now.Sub(b.chargedAt) < 2*viewDelay:
			b.takeOver(now, h.Level)
		}
	}
}

// takeOver continues the bucket of the grantor before.
func (b *bucket) takeOver(now time.Time, level float64) {
	b.level, b.at = min(level, b.depth)-float64(b.issued), now
	b.continued = true
	b.promised = time.Time{}
}

// settled reports whether no other host can have granted within the window.
func (b *bucket) settled(now time.Time, bounds Bounds) bool {
	return b.continued || now.Sub(b.chargedAt) >= bounds.Window+viewDelay
}

// charge makes this host the customer's grantor, or ends that.
func (g *Grantor) charge(now time.Time, b *bucket, inCharge bool) {
	switch {
	case b.inCharge && !inCharge:
		b.advance(now)
		b.lostAt = now
	case !b.inCharge && inCharge:
		allowance := g.bounds.startAllowance(b.limit)
		if now.Sub(b.lostAt) < g.bounds.Window {
			allowance = min(allowance, b.level)
		}
		b.level, b.at, b.chargedAt = allowance, now.Add(viewDelay), now
		b.peaks = nil
		b.seq++ // earlier grants aren't taken back
		b.promised = time.Time{}
		b.issued, b.continued = 0, false
		if now.Sub(b.handedAt) < 2*viewDelay {
			b.takeOver(now, b.handed)
		}
		b.handedAt = time.Time{}
	}
	b.inCharge = inCharge
}

// Tick is called several times a second while the process runs. A host that was stopped for long
// may have been replaced meanwhile, and starts like a new grantor.
func (g *Grantor) Tick(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.tick(now)
	if now.Sub(g.sweptAt) >= idleBuckets {
		g.sweptAt = now
		for name, b := range g.buckets {
			b.advance(now)
			if now.Sub(b.usedAt) >= idleBuckets && (!b.inCharge || b.level >= b.depth) {
				delete(g.buckets, name)
			}
		}
	}
}

func (g *Grantor) tick(now time.Time) {
	if !g.lastTick.IsZero() && now.Sub(g.lastTick) > maxStall && len(g.choices) > 0 {
		inForce := g.choices[len(g.choices)-1].isSelf
		g.setView(g.lastTick, nil)
		g.setView(now, inForce)
		g.stalledAt = now
	}
	g.lastTick = now
}

// bucket returns the customer's bucket, nil if this host does not grant for it.
func (g *Grantor) bucket(now time.Time, name string, limit Limit) *bucket {
	b := g.buckets[name]
	if b == nil {
		since, inCharge := g.since(name)
		if !inCharge {
			return nil
		}
		b = &bucket{limit: limit, depth: g.bounds.depth(limit), inCharge: true, chargedAt: since}
		b.level, b.at = g.bounds.startAllowance(limit), since.Add(viewDelay)
		g.buckets[name] = b
	}
	if !b.inCharge {
		return nil
	}
	b.advance(now)
	b.usedAt = now
	return b
}

// since is when this host became the customer's grantor, or a later time if that is forgotten.
func (g *Grantor) since(name string) (since time.Time, inCharge bool) {
	for i := len(g.choices) - 1; i >= 0 && g.choices[i].isSelf(name); i-- {
		since, inCharge = g.choices[i].since, true
	}
	return since, inCharge
}

// Serve answers a host.
func (g *Grantor) Serve(now time.Time, asks []Ask) []Grant {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.tick(now)
	grants := make([]Grant, len(asks))
	for i, ask := range asks {
		grants[i] = g.serve(now, ask)
	}
	return grants
}

func (g *Grantor) serve(now time.Time, ask Ask) Grant {
	needed, ahead := clampCount(ask.Needed), clampCount(ask.Ahead)
	limit, limited := g.limits[ask.Customer]
	if g.limits == nil {
		return Grant{NotGrantor: true}
	}
	if !limited {
		// The host's configuration is older or newer than this one.
		return Grant{Count: min(needed+ahead, MaxAhead)}
	}
	b := g.bucket(now, ask.Customer, limit)
	if b == nil {
		return Grant{NotGrantor: true}
	}
	for _, r := range ask.Returned {
		if r.Grantor == g.instance && r.Count > 0 {
			b.giveBack(r.Seq, r.Count)
		}
	}
	var grant Grant
	whole := int(max(b.level, 0) + 1e-9)
	grant.Count = min(needed, whole)
	grant.Count += min(ahead, b.spare(whole-grant.Count, ask.Refused > 0), MaxAhead-grant.Count)
	if grant.Count > 0 {
		grant.Seq = b.take(grant.Count)
		b.issued += grant.Count
		b.recent.add(now, g.bounds.Window, float64(grant.Count))
	}
	if grant.Count < needed || ask.Refused > 0 && b.level < 1 {
		grant.RoomIn = b.untilLevel(now, 1)
		g.reserve(now, b, &grant, max(needed-grant.Count, 1)+min(max(ask.Refused, 0), maxSlots))
	}
	return grant
}

// spare is how much of the whole requests left may be issued ahead. They may stay unused while
// other hosts refuse requests, so that most of the bucket is kept for requests that wait. A host that refuses requests uses all that it gets.
func (b *bucket) spare(whole int, refuses bool) int {
	if refuses {
		return (whole + 1) / 2
	}
	return max(whole-int(math.Ceil(0.75*b.depth)), 0)
}

// reserve promises times to come back to the callers that one host refuses.
func (g *Grantor) reserve(now time.Time, b *bucket, grant *Grant, slots int) {
	room := now.Add(grant.RoomIn)
	grant.Spacing = seconds(1 / b.limit.PerSecond)
	grant.Slots = min(slots, maxSlots)
	start := b.promised
	if start.Before(room) || start.Sub(now) > g.bounds.retryHorizon() {
		start = room
	}
	grant.RetryIn = start.Sub(now)
	b.promised = start.Add(time.Duration(grant.Slots) * grant.Spacing)
}

func clampCount(n int) int { return min(max(n, 0), MaxAhead) }

// Use is how much of a customer's limit was issued lately.
type Use struct {
	Customer string
	Rate     float64 // requests per second
	Limit    Limit
}

// Uses returns the use of those of the customers that this host grants for.
func (g *Grantor) Uses(now time.Time, customers []string) []Use {
	g.mu.Lock()
	defer g.mu.Unlock()
	var uses []Use
	for _, name := range customers {
		if b := g.buckets[name]; b != nil && b.inCharge {
			uses = append(uses, Use{name, b.recent.perSecond(now, g.bounds.Window), b.limit})
		}
	}
	return uses
}

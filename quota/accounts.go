package quota

import (
	"math"
	"sync"
	"time"

	"github.com/goldcrestspan/goldcrestspan/ident"
)

const (
	// unansweredDelay is how long a host does not ask a grantor again that did not answer.
	unansweredDelay = 100 * time.Millisecond
	// lead is how far ahead a host asks: until the next report is answered, and a half of that
	// for chance.
	lead = CallInterval * 3 / 2
	// rateWindow is the time over which a host measures the requests of a customer.
	rateWindow = 500 * time.Millisecond
	// idleAccounts is how long an unused account is kept at least.
	idleAccounts = 30 * time.Second
)

// Permit is the permission of one request. The zero value is of a request without a limit.
type Permit struct {
	customer string
	grantor  uint64
	seq      uint32
	credit   bool
	expires  time.Time // of the grant
}

// Refusal says why a request may not run now.
type Refusal struct {
	// Ask is set if the grantor must be asked first; the other fields are not set then.
	Ask        bool
	RetryAfter time.Duration
	// Until is when the grantor has room again; zero if the grantor did not answer.
	Until   time.Time
	Grantor ident.HostID
	// First is set for the first refusal since the grantor's answer.
	First bool
}

// account is what this host knows of one customer's limit.
type account struct {
	grants   []grant
	stock    int // the credit when nothing of it is used
	credit   int // requests that may be admitted without a grant
	owed     int // used of the credit, and not yet replaced by the grantor
	waiting  int // requests that wait for an answer
	refused  int // since the last report
	returned []Return
	replaced Return // the last grant that replaced credit

	asking   bool
	askedAt  time.Time
	roomAt   time.Time // refuses without asking until then
	retryAt  time.Time // of the first promised slot
	spacing  time.Duration
	slots    int
	nextSlot int
	grantor  ident.HostID // that last answered, or did not
	answered bool
	arrivals window
	usedAt   time.Time
}

type grant struct {
	count   int
	expires time.Time
	grantor uint64
	seq     uint32
}

// Accounts are the accounts of one host. It is safe for concurrent use.
type Accounts struct {
	bounds Bounds
	jitter func() float64 // in [0, 1)

	mu       sync.Mutex
	accounts map[string]*account
	pending  map[string]*account // that may have something to report
	sweptAt  time.Time
	// The number of hosts with credit, and the largest one since then.
	entitled      bool
	entitledSince time.Time
	hosts         []hostCount
}

type hostCount struct {
	n     int
	until time.Time // zero: in force
}

// NewAccounts returns accounts without any. The jitter is in [0, 1).
func NewAccounts(bounds Bounds, jitter func() float64) *Accounts {
	return &Accounts{bounds: bounds, jitter: jitter, accounts: make(map[string]*account), pending: make(map[string]*account)}
}

// SetCredit tells whether this host is among the n hosts that may use credit.
func (a *Accounts) SetCredit(now time.Time, entitled bool, n int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if entitled && !a.entitled {
		a.entitledSince = now
	}
	if !entitled && a.entitled {
		for _, c := range a.accounts {
			c.stock, c.credit, c.owed = 0, 0, 0
		}
	}
	a.entitled = entitled
	if last := len(a.hosts) - 1; last >= 0 {
		if a.hosts[last].n == n {
			return
		}
		a.hosts[last].until = now
	}
	kept := a.hosts[:0]
	for _, h := range a.hosts {
		if now.Sub(h.until) <= a.bounds.creditDelay() {
			kept = append(kept, h)
		}
	}
	a.hosts = append(kept, hostCount{n: n})
}

// maxCredit is the credit of this host for each customer.
func (a *Accounts) maxCredit(now time.Time) int {
	if !a.entitled || now.Sub(a.entitledSince) < a.bounds.creditDelay() {
		return 0
	}
	most := 0
	for _, h := range a.hosts {
		if h.until.IsZero() || now.Sub(h.until) <= a.bounds.creditDelay() {
			most = max(most, h.n)
		}
	}
	return a.bounds.credit(most)
}

// Reconfigure puts a configuration in force. Accounts of customers without a limit end; those of
// customers whose limit was raised ask again.
func (a *Accounts) Reconfigure(before, limits map[string]Limit) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for name, c := range a.accounts {
		limit, limited := limits[name]
		if !limited {
			delete(a.accounts, name)
			delete(a.pending, name)
			continue
		}
		if previous := before[name]; limit.PerSecond > previous.PerSecond || limit.Burst > previous.Burst {
			c.roomAt, c.slots = time.Time{}, 0
		}
	}
}

// Admit counts a request of a limited customer, or refuses it. After a Refusal with Ask, the
// caller asks the grantor and then calls AdmitAnswered.
func (a *Accounts) Admit(now time.Time, customer string) (Permit, *Refusal) {
	a.mu.Lock()
	defer a.mu.Unlock()
	c := a.account(now, customer)
	c.arrivals.add(now, rateWindow, 1)
	if permit, ok := a.take(now, customer, c); ok {
		return permit, nil
	}
	if now.Before(c.roomAt) {
		return Permit{}, a.refuse(now, customer, c)
	}
	c.waiting++
	a.pending[customer] = c
	return Permit{}, &Refusal{Ask: true}
}

// AdmitAnswered decides on a request that has waited for the grantor's answer. Unless it is final,
// it returns a Refusal with Ask again if the answer left room for it.
func (a *Accounts) AdmitAnswered(now time.Time, customer string, final bool) (Permit, *Refusal) {
	a.mu.Lock()
	defer a.mu.Unlock()
	c := a.account(now, customer)
	permit, ok := a.take(now, customer, c)
	if !ok && !final && !now.Before(c.roomAt) {
		return Permit{}, &Refusal{Ask: true}
	}
	c.waiting = max(c.waiting-1, 0)
	if ok {
		return permit, nil
	}
	return Permit{}, a.refuse(now, customer, c)
}

func (a *Accounts) account(now time.Time, customer string) *account {
	c := a.accounts[customer]
	if c == nil {
		c = &account{}
		a.accounts[customer] = c
	}
	a.updateStock(now, c)
	c.usedAt = now
	return c
}

// updateStock follows the credit of this host. What it gains is there at once, since it has had less
// for longer than a window.
func (a *Accounts) updateStock(now time.Time, c *account) {
	most := a.maxCredit(now)
	if most > c.stock {
		c.credit += most - c.stock
	} else if most < c.stock {
		c.credit = min(c.credit, most)
		c.owed = min(c.owed, most-c.credit)
	}
	c.stock = most
}

// take spends the grant that expires first, or credit.
func (a *Accounts) take(now time.Time, customer string, c *account) (Permit, bool) {
	a.expire(now, c)
	if len(c.grants) > 0 {
		g := &c.grants[0]
		g.count--
		permit := Permit{customer: customer, grantor: g.grantor, seq: g.seq, expires: g.expires}
		if g.count == 0 {
			c.grants = c.grants[1:]
		}
		a.pending[customer] = c
		return permit, true
	}
	if c.credit == 0 {
		return Permit{}, false
	}
	c.credit--
	c.owed++
	a.pending[customer] = c
	return Permit{customer: customer, credit: true}, true
}

// expire returns what was not used of expired grants.
func (a *Accounts) expire(now time.Time, c *account) {
	for len(c.grants) > 0 && !now.Before(c.grants[0].expires) {
		g := c.grants[0]
		c.grants = c.grants[1:]
		c.giveBack(Return{g.grantor, g.seq, g.count})
	}
}

// maxReturns bounds the returns of one account between two reports; more are dropped.
const maxReturns = 64

func (c *account) giveBack(r Return) {
	if r.Grantor == 0 {
		return // issued without a limit
	}
	for i := range c.returned {
		if c.returned[i].Grantor == r.Grantor && c.returned[i].Seq == r.Seq {
			c.returned[i].Count += r.Count
			return
		}
	}
	if len(c.returned) < maxReturns {
		c.returned = append(c.returned, r)
	}
}

// Return gives back the permit of a request that has not run.
func (a *Accounts) Return(now time.Time, permit Permit) {
	if permit.customer == "" {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	c := a.accounts[permit.customer]
	if c == nil {
		return // its limit was removed, or it was idle for long
	}
	a.pending[permit.customer] = c
	switch {
	case permit.credit && c.owed > 0 && c.credit < c.stock:
		c.credit++
		c.owed--
	case permit.credit && c.replaced.Count > 0:
		// The credit was replaced meanwhile, which wasn't needed.
		c.giveBack(Return{c.replaced.Grantor, c.replaced.Seq, 1})
		c.replaced.Count--
	case permit.credit:
	case now.Before(permit.expires):
		c.insert(grant{1, permit.expires, permit.grantor, permit.seq})
	default:
		c.giveBack(Return{permit.grantor, permit.seq, 1})
	}
}

// insert adds a grant; they are in the order in which they expire.
func (c *account) insert(g grant) {
	i := len(c.grants)
	for i > 0 && c.grants[i-1].expires.After(g.expires) {
		i--
	}
	if i > 0 && c.grants[i-1].seq == g.seq && c.grants[i-1].grantor == g.grantor && c.grants[i-1].expires.Equal(g.expires) {
		c.grants[i-1].count += g.count
		return
	}
	c.grants = append(c.grants, grant{})
	copy(c.grants[i+1:], c.grants[i:])
	c.grants[i] = g
}

// refuse tells a caller when to come back. Each refusal takes the next of the times that the
// grantor has promised, with jitter.
func (a *Accounts) refuse(now time.Time, customer string, c *account) *Refusal {
	first := c.nextSlot == 0
	c.refused++
	a.pending[customer] = c
	if !c.answered || !now.Before(c.roomAt) { // a waiting request has not been answered in time
		c.nextSlot++
		return &Refusal{RetryAfter: unansweredDelay + time.Duration(a.jitter()*float64(unansweredDelay)), Grantor: c.grantor, First: first}
	}
	at, slots := c.retryAt, max(c.slots, 1)
	at = at.Add(time.Duration(c.nextSlot%slots) * c.spacing)
	c.nextSlot++
	spread := max(min(c.spacing, a.bounds.Window), CallInterval/2)
	if c.nextSlot > slots {
		// More callers than promised times: they are spread up to the horizon.
		spread = max(spread, a.bounds.retryHorizon()-time.Duration(slots)*c.spacing)
	}
	retry := max(at.Sub(now), c.roomAt.Sub(now), 0) + time.Duration(a.jitter()*float64(spread))
	return &Refusal{RetryAfter: max(retry, time.Millisecond), Until: c.roomAt, Grantor: c.grantor, First: first}
}

// Pending returns the customers on which there may be something to report.
func (a *Accounts) Pending(now time.Time) []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.sweep(now)
	names := make([]string, 0, len(a.pending))
	for name := range a.pending {
		names = append(names, name)
	}
	return names
}

// AskFor returns what is to be reported on one customer now; false if there is nothing or a report
// is on its way. It must be followed by Answer or Unanswered.
func (a *Accounts) AskFor(now time.Time, customer string) (Ask, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	c := a.accounts[customer]
	if c == nil {
		delete(a.pending, customer)
	}
	if c == nil || c.asking {
		return Ask{}, false
	}
	return a.ask(now, customer, c)
}

func (a *Accounts) ask(now time.Time, name string, c *account) (Ask, bool) {
	a.expire(now, c)
	ask := Ask{Customer: name, Refused: c.refused, Returned: c.returned}
	a.updateStock(now, c)
	c.owed = c.stock - c.credit
	if !now.Before(c.roomAt) {
		ask.Needed = c.waiting + c.owed
		ask.Ahead = c.ahead(now)
	} else if len(c.returned) == 0 {
		return Ask{}, false
	}
	if ask.Needed == 0 && ask.Ahead == 0 && len(ask.Returned) == 0 {
		if len(c.grants) == 0 && c.refused == 0 {
			delete(a.pending, name)
		}
		c.refused = 0
		return Ask{}, false
	}
	c.refused, c.returned = 0, nil
	c.asking, c.askedAt = true, now
	return ask, true
}

// ahead is how many requests to ask for before they arrive: none if a request at a time is all
// that is to be expected, since credit covers that.
func (c *account) ahead(now time.Time) int {
	expected := c.arrivals.perSecond(now, rateWindow) * lead.Seconds()
	if expected < 0.2 {
		return 0
	}
	wanted := int(math.Ceil(expected + math.Sqrt(expected)))
	for _, g := range c.grants {
		if g.expires.Sub(now) > CallInterval/2 {
			wanted -= g.count
		}
	}
	return max(wanted, 0)
}

// Answer applies the grantor's answer to an Ask that was sent at that time.
func (a *Accounts) Answer(now, sent time.Time, host ident.HostID, instance uint64, ask Ask, answer Grant) {
	a.mu.Lock()
	defer a.mu.Unlock()
	c := a.accounts[ask.Customer]
	if c == nil {
		return
	}
	c.asking = false
	if answer.NotGrantor {
		a.unanswered(now, host, c)
		return
	}
	c.grantor, c.answered = host, true
	count, expires := min(max(answer.Count, 0), ask.Needed+ask.Ahead), sent.Add(a.bounds.GrantLifetime())
	if answer.Seq == 0 {
		instance = 0
	}
	a.updateStock(now, c)
	// Requests that wait come first, then the credit.
	replacing := min(max(count-c.waiting, 0), c.owed, max(c.stock-c.credit, 0))
	if replacing > 0 {
		c.credit += replacing
		c.owed -= replacing
		c.replaced = Return{instance, answer.Seq, replacing}
		count -= replacing
	}
	if count > 0 {
		if now.Before(expires) {
			c.insert(grant{count, expires, instance, answer.Seq})
		} else {
			c.giveBack(Return{instance, answer.Seq, count})
		}
	}
	c.roomAt = time.Time{}
	if answer.RoomIn > 0 {
		c.roomAt = now.Add(answer.RoomIn)
		if ask.Refused > 0 {
			c.roomAt = now.Add(max(answer.RoomIn, CallInterval))
		}
	}
	if answer.Slots > 0 {
		c.retryAt, c.spacing, c.slots, c.nextSlot = now.Add(answer.RetryIn), answer.Spacing, answer.Slots, 0
	}
	a.pending[ask.Customer] = c
}

// Unanswered tells that the grantor has not answered an Ask.
func (a *Accounts) Unanswered(now time.Time, host ident.HostID, ask Ask) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if c := a.accounts[ask.Customer]; c != nil {
		c.asking = false
		a.unanswered(now, host, c)
	}
}

// unanswered keeps requests from waiting for a grantor that does not answer. What was returned is
// lost, since the grantor may have counted it.
func (a *Accounts) unanswered(now time.Time, host ident.HostID, c *account) {
	c.grantor, c.answered = host, false
	c.nextSlot = 0
	c.roomAt = now.Add(unansweredDelay)
}

// sweep drops idle accounts. One whose credit is not whole is kept, since a new one has all.
func (a *Accounts) sweep(now time.Time) {
	if now.Sub(a.sweptAt) < idleAccounts {
		return
	}
	a.sweptAt = now
	for name, c := range a.accounts {
		a.expire(now, c)
		a.updateStock(now, c)
		if now.Sub(c.usedAt) >= idleAccounts && !c.asking && c.waiting == 0 && c.credit >= c.stock && len(c.grants)+len(c.returned) == 0 {
			delete(a.accounts, name)
			delete(a.pending, name)
		}
	}
}

// Len returns the number of accounts.
func (a *Accounts) Len() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.accounts)
}

package quota

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sort"
	"time"

	"github.com/goldcrestspan/goldcrestspan/ident"
	"github.com/goldcrestspan/goldcrestspan/member"
)

// specified are the bounds of the specification.
var specified = Bounds{Window: 5 * time.Second, Overshoot: 0.1, Slack: 20}

const (
	testCustomer = "customer"
	step         = 10 * time.Millisecond
)

var epoch = time.Unix(1_000_000, 0)

// limiter is one way to limit a customer; the tests compare several.
type limiter interface {
	// admit decides on a request at a host; giveBack returns it if it does not run.
	admit(now time.Time, host int) (ok bool, giveBack func(time.Time))
	advance(now time.Time)
	callCount() (background, onPath int)
}

// fleet runs Accounts and Grantors of hosts whose messages arrive at once or not at all.
type fleet struct {
	hosts              []*testHost
	advised            int
	background, onPath int
	loss               float64 // of answers
	random             *rand.Rand
}

type testHost struct {
	id          ident.HostID
	accounts    *Accounts
	grantor     *Grantor
	view        *member.View
	startedAt   time.Time
	sentAt      map[ident.HostID]time.Time
	dead        bool
	frozen      bool
	cut         bool // reaches no other host
	lastContact time.Time
	granting    bool
	missed      []Ask // asks that arrived while the host was frozen
	tickedAt    time.Time

	missedHandovers []Handover
}

func newFleet(hosts, advised int, limit Limit, seed uint64) *fleet {
	f := &fleet{advised: advised, random: rand.New(rand.NewPCG(seed, 1))}
	for i := range hosts {
		f.hosts = append(f.hosts, &testHost{id: ident.HostID(fmt.Sprintf("host-%02d", i))})
	}
	for i := range hosts {
		f.start(epoch, i, limit)
	}
	return f
}

func (f *fleet) start(now time.Time, i int, limit Limit) {
	h := f.hosts[i]
	*h = testHost{id: h.id, startedAt: now, lastContact: now, sentAt: make(map[ident.HostID]time.Time)}
	h.accounts = NewAccounts(specified, f.random.Float64)
	h.grantor = NewGrantor(specified, f.random.Uint64()|1)
	f.configure(now, i, nil, limit)
	f.setView(now, i, f.viewWithout())
}

// viewWithout returns the view in which the hosts do not serve.
func (f *fleet) viewWithout(lost ...int) *member.View {
	v := &member.View{}
	for i, h := range f.hosts {
		state := member.StateAlive
		if slices.Contains(lost, i) {
			state = member.StateDead
		}
		v.Hosts = append(v.Hosts, member.Host{ID: h.id, State: state})
	}
	return v
}

func (f *fleet) setView(now time.Time, i int, view *member.View) {
	h := f.hosts[i]
	h.view = view
	h.granting = !h.cut || now.Sub(h.lastContact) <= 1500*time.Millisecond
	h.accounts.SetCredit(now, i < f.advised, f.advised)
	if !h.granting {
		h.grantor.SetView(now, nil)
		return
	}
	handovers := h.grantor.SetView(now, func(name string) bool {
		chosen, ok := view.Choose(name)
		return ok && chosen.ID == h.id
	})
	to := f.grantorOf(h)
	switch {
	case len(handovers) == 0 || to == nil || h.cut || to.cut || to.dead || f.random.Float64() < f.loss:
	case to.frozen:
		to.missedHandovers = append(to.missedHandovers, handovers...)
	default:
		to.grantor.Receive(now, handovers)
	}
}

func (f *fleet) configure(now time.Time, i int, before map[string]Limit, limit Limit) map[string]Limit {
	limits := make(map[string]Limit)
	if limit.Bounded() {
		limits[testCustomer] = limit
	}
	f.hosts[i].grantor.SetLimits(now, limits)
	f.hosts[i].accounts.Reconfigure(before, limits)
	return limits
}

func (f *fleet) grantorOf(h *testHost) *testHost {
	chosen, ok := h.view.Choose(testCustomer)
	if !ok {
		return nil
	}
	for _, other := range f.hosts {
		if other.id == chosen.ID {
			return other
		}
	}
	return nil
}

func (h *testHost) runs() bool { return !h.dead && !h.frozen }

// ask carries one ask; a host that can't be reached does not answer.
func (f *fleet) ask(now time.Time, h, to *testHost, ask Ask) {
	if to != h && (!to.runs() || h.cut || to.cut) {
		if to.frozen && !h.cut && !to.cut {
			to.missed = append(to.missed, ask)
		}
		h.accounts.Unanswered(now, to.id, ask)
		return
	}
	answer := to.grantor.Serve(now, []Ask{ask})[0]
	if to != h && f.random.Float64() < f.loss {
		h.accounts.Unanswered(now, to.id, ask)
		return
	}
	h.accounts.Answer(now, now, to.id, to.grantor.Instance(), ask, answer)
}

func (f *fleet) admit(now time.Time, host int) (bool, func(time.Time)) {
	ok, _, giveBack := f.decide(now, host)
	return ok, giveBack
}

func (f *fleet) decide(now time.Time, host int) (bool, *Refusal, func(time.Time)) {
	h := f.hosts[host]
	if !h.runs() {
		return false, nil, nil
	}
	permit, refusal := h.accounts.Admit(now, testCustomer)
	if refusal != nil && refusal.Ask {
		to := f.grantorOf(h)
		if ask, ok := h.accounts.AskFor(now, testCustomer); ok && to != nil {
			if to != h {
				f.onPath++
			}
			f.ask(now, h, to, ask)
		}
		permit, refusal = h.accounts.AdmitAnswered(now, testCustomer, true)
	}
	return refusal == nil, refusal, func(at time.Time) {
		if h.runs() {
			h.accounts.Return(at, permit)
		}
	}
}

func (f *fleet) advance(now time.Time) {
	for i, h := range f.hosts {
		if !h.runs() {
			continue
		}
		if !h.cut {
			h.lastContact = now
		}
		if now.Sub(h.tickedAt) >= 250*time.Millisecond {
			h.tickedAt = now
			h.grantor.Tick(now)
			h.accounts.SetCredit(now, i < f.advised, f.advised)
			if granting := now.Sub(h.lastContact) <= 1500*time.Millisecond; granting != h.granting {
				f.setView(now, i, h.view)
			}
		}
		to := f.grantorOf(h)
		if to == nil || now.Sub(h.sentAt[to.id]) < CallInterval {
			continue
		}
		for range h.accounts.Pending(now) {
			if ask, ok := h.accounts.AskFor(now, testCustomer); ok {
				h.sentAt[to.id] = now
				if to != h {
					f.background++
				}
				f.ask(now, h, to, ask)
			}
		}
	}
}

func (f *fleet) callCount() (int, int) { return f.background, f.onPath }

func (f *fleet) freeze(i int) { f.hosts[i].frozen = true }

// resume lets a host handle first what arrived while it was frozen; nobody waits for its answers.
func (f *fleet) resume(now time.Time, i int) {
	h := f.hosts[i]
	h.frozen = false
	h.grantor.Serve(now, h.missed)
	h.grantor.Receive(now, h.missedHandovers)
	h.missed, h.missedHandovers = nil, nil
}

// overshoot returns the largest number of requests in any window beyond the limit's rate and
// burst, and the number that is allowed. The runs are in order.
func overshoot(runs []time.Time, limit Limit) (most int, allowed float64) {
	for i, start := range runs {
		end := sort.Search(len(runs), func(j int) bool { return !runs[j].Before(start.Add(specified.Window)) })
		most = max(most, end-i)
	}
	allowed = (limit.PerSecond*specified.Window.Seconds()+limit.Burst)*(1+specified.Overshoot) + specified.Slack
	return most, allowed
}

// ideal is a single token bucket that sees all requests at once.
type ideal struct {
	limit Limit
	level float64
	at    time.Time
}

func (b *ideal) admits(now time.Time) bool {
	depth := max(b.limit.Burst, 1)
	if b.at.IsZero() {
		b.level = depth
	} else {
		b.level = min(depth, b.level+b.limit.PerSecond*now.Sub(b.at).Seconds())
	}
	b.at = now
	if b.level < 1 {
		return false
	}
	b.level--
	return true
}

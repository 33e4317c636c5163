package client

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/goldcrestspan/goldcrestspan/entry"
)

// avoidFor is how long a host that refused a connection or named others is
// passed over, unless no other is left.
const avoidFor = 2 * time.Second

// hosts is the list of entry hosts in use: the advice while it may be kept,
// the seeds of the options before the first advice and when none can be had.
type hosts struct {
	mu     sync.Mutex
	seeds  []string
	hosts  []entry.Host
	until  time.Time
	avoid  map[string]time.Time
	asking bool
}

func newHosts(seeds []string) *hosts {
	return &hosts{seeds: seeds, avoid: make(map[string]time.Time)}
}

// stale reports whether to ask for advice now; one goroutine asks at a time.
func (h *hosts) stale(now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if now.Before(h.until) || h.asking {
		return false
	}
	h.asking = true
	return true
}

func (h *hosts) keep(a entry.Advice, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.asking = false
	if len(a.Hosts) == 0 {
		return
	}
	h.hosts = a.Hosts
	h.until = now.Add(time.Duration(a.TTLMillis) * time.Millisecond)
}

func (h *hosts) notAsked() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.asking = false
}

// pass marks a host to be avoided for a while. When that was the last advised
// one, the advice is of no more use.
func (h *hosts) pass(address string, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.avoid[address] = now.Add(avoidFor)
	if fresh, _ := h.split(h.hosts, now, nil); len(fresh) == 0 {
		h.until = time.Time{}
	}
}

// pick draws a host by weight, leaving out those to be avoided while there is
// another one.
func (h *hosts) pick(now time.Time, tried map[string]bool) string {
	h.mu.Lock()
	defer h.mu.Unlock()
	candidates := h.candidates(now, tried)
	total := 0.0
	for _, c := range candidates {
		total += c.Weight
	}
	at := rand.Float64() * total
	for _, c := range candidates {
		if at -= c.Weight; at < 0 {
			return c.Address
		}
	}
	return candidates[len(candidates)-1].Address
}

// candidates are the advised hosts to choose from.
//
// Failure: every advised host dies while the advice may still be kept. It shows
// as refused connections until the advice lapses, though other hosts serve. The
// guard holds because the seeds come next, and pass has the advice renewed.
func (h *hosts) candidates(now time.Time, tried map[string]bool) []entry.Host {
	all := h.advised()
	fresh, untried := h.split(all, now, tried)
	if len(fresh) > 0 {
		return fresh
	}
	if fresh, _ = h.split(h.seedHosts(), now, tried); len(fresh) > 0 {
		return fresh
	}
	if len(untried) > 0 {
		return untried
	}
	return all
}

// advised are the hosts of the last advice, or the seeds before the first.
func (h *hosts) advised() []entry.Host {
	if len(h.hosts) > 0 {
		return h.hosts
	}
	return h.seedHosts()
}

func (h *hosts) seedHosts() []entry.Host {
	all := make([]entry.Host, len(h.seeds))
	for i, seed := range h.seeds {
		all[i] = entry.Host{Address: seed, Weight: 1}
	}
	return all
}

// split leaves out what was tried, and in fresh also what is to be avoided.
func (h *hosts) split(all []entry.Host, now time.Time, tried map[string]bool) (fresh, untried []entry.Host) {
	for _, c := range all {
		if tried[c.Address] || c.Weight <= 0 {
			continue
		}
		untried = append(untried, c)
		if now.After(h.avoid[c.Address]) {
			fresh = append(fresh, c)
		}
	}
	return fresh, untried
}

// refresh asks one host for advice. It asks any known host: each can answer.
func (c *Client) refresh(ctx context.Context) {
	address := c.hosts.pick(c.options.Now(), nil)
	request, err := c.newRequest(ctx, http.MethodGet, address, "/v1/hosts?zone="+c.options.Zone, nil)
	if err != nil {
		c.hosts.notAsked()
		return
	}
	reply, err := c.send(request)
	var a entry.Advice
	if err != nil || reply.status != http.StatusOK || json.Unmarshal(reply.body, &a) != nil {
		c.hosts.pass(address, c.options.Now())
		c.hosts.notAsked()
		return
	}
	c.hosts.keep(a, c.options.Now())
}

// Hosts returns the entry hosts that the system advises this caller to use,
// callers' listeners as IP and port. It asks if the last advice has lapsed.
func (c *Client) Hosts(ctx context.Context) ([]string, error) {
	if c.hosts.stale(c.options.Now()) {
		c.refresh(ctx)
	}
	c.hosts.mu.Lock()
	defer c.hosts.mu.Unlock()
	if len(c.hosts.hosts) == 0 {
		return c.hosts.seeds, errors.New("client: no advice could be had; these are the seeds")
	}
	addresses := make([]string, len(c.hosts.hosts))
	for i, host := range c.hosts.hosts {
		addresses[i] = host.Address
	}
	return addresses, nil
}

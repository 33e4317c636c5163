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

// avoidDuration is how long a host that failed or refused a request is avoided
// while another host is available.
const avoidDuration = 2 * time.Second

// hostPool selects entry hosts: the advised hosts until the advice expires, and
// the seeds of the options while no advised host is available.
type hostPool struct {
	mu         sync.Mutex
	seeds      []string
	advice     []entry.Host
	expires    time.Time
	avoidUntil map[string]time.Time
	refreshing bool
}

func newHostPool(seeds []string) *hostPool {
	return &hostPool{seeds: seeds, avoidUntil: make(map[string]time.Time)}
}

// startRefresh reports whether the calling goroutine should request new advice.
// Only one goroutine refreshes at a time.
func (h *hostPool) startRefresh(now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if now.Before(h.expires) || h.refreshing {
		return false
	}
	h.refreshing = true
	return true
}

func (h *hostPool) setAdvice(advice entry.Advice, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.refreshing = false
	if len(advice.Hosts) == 0 {
		return
	}
	h.advice = advice.Hosts
	h.expires = now.Add(time.Duration(advice.TTLMillis) * time.Millisecond)
}

func (h *hostPool) refreshFailed() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.refreshing = false
}

// markUnavailable avoids a host for avoidDuration. If no advised host is left,
// the advice expires at once.
func (h *hostPool) markUnavailable(address string, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.avoidUntil[address] = now.Add(avoidDuration)
	if available, _ := h.filter(h.advice, now, nil); len(available) == 0 {
		h.expires = time.Time{}
	}
}

// pick returns a random host, weighted by the advice.
func (h *hostPool) pick(now time.Time, tried map[string]bool) string {
	h.mu.Lock()
	defer h.mu.Unlock()
	candidates := h.candidates(now, tried)
	total := 0.0
	for _, c := range candidates {
		total += c.Weight
	}
	point := rand.Float64() * total
	for _, c := range candidates {
		if point -= c.Weight; point < 0 {
			return c.Address
		}
	}
	return candidates[len(candidates)-1].Address
}

// candidates returns the hosts to choose from: advised hosts that are not
// avoided, then such seeds, then untried hosts, then any host.
func (h *hostPool) candidates(now time.Time, tried map[string]bool) []entry.Host {
	all := h.advisedOrSeeds()
	available, untried := h.filter(all, now, tried)
	if len(available) > 0 {
		return available
	}
	if available, _ = h.filter(h.seedHosts(), now, tried); len(available) > 0 {
		return available
	}
	if len(untried) > 0 {
		return untried
	}
	return all
}

// advisedOrSeeds returns the hosts of the last advice, or the seeds if there is
// none.
func (h *hostPool) advisedOrSeeds() []entry.Host {
	if len(h.advice) > 0 {
		return h.advice
	}
	return h.seedHosts()
}

func (h *hostPool) seedHosts() []entry.Host {
	all := make([]entry.Host, len(h.seeds))
	for i, seed := range h.seeds {
		all[i] = entry.Host{Address: seed, Weight: 1}
	}
	return all
}

// filter returns the untried hosts, and as available those that are not avoided.
func (h *hostPool) filter(all []entry.Host, now time.Time, tried map[string]bool) (available, untried []entry.Host) {
	for _, c := range all {
		if tried[c.Address] || c.Weight <= 0 {
			continue
		}
		untried = append(untried, c)
		if now.After(h.avoidUntil[c.Address]) {
			available = append(available, c)
		}
	}
	return available, untried
}

// refreshAdvice requests advice from any known host.
func (c *Client) refreshAdvice(ctx context.Context) {
	address := c.hosts.pick(c.options.Now(), nil)
	request, err := c.newRequest(ctx, http.MethodGet, address, "/v1/hosts?zone="+c.options.Zone, nil)
	if err != nil {
		c.hosts.refreshFailed()
		return
	}
	reply, err := c.send(request)
	var advice entry.Advice
	if err != nil || reply.status != http.StatusOK || json.Unmarshal(reply.body, &advice) != nil {
		c.hosts.markUnavailable(address, c.options.Now())
		c.hosts.refreshFailed()
		return
	}
	c.hosts.setAdvice(advice, c.options.Now())
}

// Hosts returns the addresses (IP and port) of the entry hosts that this caller
// is advised to use. It requests new advice if the last one has expired. If none
// is available, it returns the seeds and an error.
func (c *Client) Hosts(ctx context.Context) ([]string, error) {
	if c.hosts.startRefresh(c.options.Now()) {
		c.refreshAdvice(ctx)
	}
	c.hosts.mu.Lock()
	defer c.hosts.mu.Unlock()
	if len(c.hosts.advice) == 0 {
		return c.hosts.seeds, errors.New("client: no advice available; returning the seeds")
	}
	addresses := make([]string, len(c.hosts.advice))
	for i, host := range c.hosts.advice {
		addresses[i] = host.Address
	}
	return addresses, nil
}

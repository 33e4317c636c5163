// Package draining tracks which backend servers get no new work because they are leaving. Its
// clock and inputs are passed in.
//
// It learns of leaving servers from drain signals on their replies, from refusals, from the
// platform's host list and from other entry hosts. An incarnation of a server that has left never
// gets new work again; only another incarnation brings the server back.
package draining

import (
	"time"

	"github.com/goldcrestspan/goldcrestspan/metastore"
)

// Signal is what an entry host learned of a server.
type Signal uint8

const (
	// SignalServing: a reply without a drain signal. It reverses nothing, since it may have been
	// sent before the server began to leave.
	SignalServing Signal = iota
	// SignalDraining: a reply with a drain signal.
	SignalDraining
	// SignalRefused: the server refused a call because it is leaving.
	SignalRefused
	// SignalLost: the server crashed with work in progress.
	SignalLost
)

// Instance is one incarnation of a backend server.
type Instance struct {
	Server      string
	Incarnation uint64
}

const (
	// retention is how long a server is remembered after it was last heard of, well above the
	// delay of a late message or an outdated list.
	retention = 24 * time.Hour
	// maxDeparted bounds the remembered instances. Above it, the servers heard of longest ago
	// are dropped first.
	maxDeparted = 65536
	// maxDepartedPerServer bounds the remembered instances of one server.
	maxDepartedPerServer = 8
)

// server is the state of one backend server.
type server struct {
	current  uint64      // newest incarnation heard of; 0 if none
	left     []departure // departed incarnations, oldest first
	lastSeen time.Time
}

type departure struct {
	incarnation uint64
	at          time.Time
}

// Table tracks the servers of all services. It is not safe for concurrent use.
type Table struct {
	servers  map[string]*server
	departed int
}

// NewTable returns an empty table, which allows every server.
func NewTable() *Table { return &Table{servers: make(map[string]*server)} }

// Observe applies what this host learned of a server. It reports whether other entry hosts should
// be told.
func (t *Table) Observe(now time.Time, name string, incarnation uint64, signal Signal) bool {
	s := t.server(now, name)
	if signal == SignalServing {
		t.setCurrent(s, incarnation)
		return false
	}
	return t.recordLeft(now, s, incarnation)
}

// MarkLeft applies another entry host's report of an instance that has left. It reports whether it
// was new.
func (t *Table) MarkLeft(now time.Time, instance Instance) bool {
	return t.recordLeft(now, t.server(now, instance.Server), instance.Incarnation)
}

// ApplyHostList applies the backend servers on the platform's host list and returns the instances that
// it shows leaving for the first time. A server that is absent stays in use: the list may be
// incomplete for a moment, and services must not lose all their servers.
func (t *Table) ApplyHostList(now time.Time, rows []metastore.ListedHost) []Instance {
	var left []Instance
	for _, listed := range rows {
		if listed.Kind != metastore.KindBackend {
			continue
		}
		s := t.server(now, listed.Name)
		if listed.State != metastore.StateLeaving {
			t.setCurrent(s, listed.Incarnation)
			continue
		}
		if t.recordLeft(now, s, listed.Incarnation) {
			left = append(left, Instance{Server: listed.Name, Incarnation: listed.Incarnation})
		}
	}
	t.expire(now)
	return left
}

// Allowed reports whether the server may get new work. Unknown servers may.
func (t *Table) Allowed(name string) bool {
	s := t.servers[name]
	return s == nil || !s.hasLeft(s.current)
}

// AllowedInstance reports whether that instance may get new work.
func (t *Table) AllowedInstance(instance Instance) bool {
	s := t.servers[instance.Server]
	return s == nil || !s.hasLeft(instance.Incarnation)
}

// LeavingCount returns how many servers get no new work.
func (t *Table) LeavingCount() int {
	n := 0
	for _, s := range t.servers {
		if s.hasLeft(s.current) {
			n++
		}
	}
	return n
}

func (t *Table) server(now time.Time, name string) *server {
	s := t.servers[name]
	if s == nil {
		s = &server{}
		t.servers[name] = s
	}
	s.lastSeen = now
	return s
}

// setCurrent makes the incarnation the current one unless it has left: a late reply of an old
// incarnation must not hide the new one.
func (t *Table) setCurrent(s *server, incarnation uint64) {
	if !s.hasLeft(incarnation) {
		s.current = incarnation
	}
}

// recordLeft marks the incarnation as left. It becomes current only if none is known, so that a
// late report of an old incarnation does not exclude the new one.
func (t *Table) recordLeft(now time.Time, s *server, incarnation uint64) bool {
	if s.hasLeft(incarnation) {
		return false
	}
	if s.current == 0 {
		s.current = incarnation
	}
	s.left = append(s.left, departure{incarnation: incarnation, at: now})
	t.departed++
	if len(s.left) > maxDepartedPerServer {
		s.left = append(s.left[:0], s.left[1:]...)
		t.departed--
	}
	return true
}

func (s *server) hasLeft(incarnation uint64) bool {
	for _, d := range s.left {
		if d.incarnation == incarnation {
			return true
		}
	}
	return false
}

// expire drops servers that were not heard of for the retention time, and sooner when the table is
// full.
func (t *Table) expire(now time.Time) {
	age := retention
	for t.departed > maxDeparted && age > time.Second {
		age /= 2
		t.expireOlder(now, age)
	}
	t.expireOlder(now, retention)
}

func (t *Table) expireOlder(now time.Time, maxAge time.Duration) {
	for name, s := range t.servers {
		if now.Sub(s.lastSeen) > maxAge {
			t.departed -= len(s.left)
			delete(t.servers, name)
		}
	}
}

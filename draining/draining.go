// Package draining owns which backend servers get no new work because they are
// leaving. It is pure: time and what was heard are passed in.
//
// Three sources tell, whichever is first: the server's own drain signal on its
// replies, its refusals as draining, and the platform's host list. What one
// entry host learns the others hear as news. A life of a server that left never
// gets new work again; only another life brings the server back.
package draining

import (
	"time"

	"github.com/goldcrestspan/goldcrestspan/metastore"
)

// Signal is what an entry host learned of a server.
type Signal uint8

// The signals.
const (
	// SignalServing: a reply without a drain signal. It brings nothing back: it
	// may have been sent before the server began to leave.
	SignalServing Signal = iota
	// SignalDraining: a reply that says that the server is leaving.
	SignalDraining
	// SignalRefused: the server refused a call because it is leaving.
	SignalRefused
	// SignalLost: the server died with work on it.
	SignalLost
)

// Instance is one life of a backend server.
type Instance struct {
	Server      string
	Incarnation uint64
}

const (
	// keepLife is how long a life that left is remembered after it was last
	// heard of: far longer than a late message can be under way, or a lagging
	// list name it.
	keepLife = 24 * time.Hour
	// maxLives bounds memory: a day's restarts of 21,000 backend servers. Above
	// it the lives that were heard of longest ago go first.
	maxLives = 65536
	// livesPerServer are remembered of one server.
	livesPerServer = 8
)

// server is what is known of one backend server.
type server struct {
	current  uint64 // newest life heard of; 0: none
	left     []life // lives that left, oldest first
	lastSeen time.Time
}

type life struct {
	incarnation uint64
	at          time.Time
}

// Table holds the servers of all services. It is not safe for concurrent use.
type Table struct {
	servers map[string]*server
	lives   int
}

// NewTable makes an empty table: every server is allowed.
func NewTable() *Table { return &Table{servers: make(map[string]*server)} }

// Observe takes in what this host learned of a life of a server. It reports
// whether that is news to share with the other entry hosts.
func (t *Table) Observe(now time.Time, name string, incarnation uint64, signal Signal) bool {
	s := t.server(now, name)
	if signal == SignalServing {
		t.meet(s, incarnation)
		return false
	}
	return t.leave(now, s, incarnation)
}

// MarkLeft takes in another entry host's news of a life that left. It reports
// whether that was new.
func (t *Table) MarkLeft(now time.Time, news Instance) bool {
	return t.leave(now, t.server(now, news.Server), news.Incarnation)
}

// ApplyHostList takes in the backend servers on the platform's host list and
// returns the lives that it shows leaving for the first time.
//
// The failure: the list is empty or cut short for a moment, and every service
// would lose all its servers. So absence from the list means nothing here: only
// a row that says "leaving" takes a server out. A lagging list that still says
// "live" brings nobody back either, as the life it names has left.
func (t *Table) ApplyHostList(now time.Time, rows []metastore.ListedHost) []Instance {
	var news []Instance
	for _, row := range rows {
		if row.Kind != metastore.KindBackend {
			continue
		}
		s := t.server(now, row.Name)
		if row.State != metastore.StateLeaving {
			t.meet(s, row.Incarnation)
			continue
		}
		if t.leave(now, s, row.Incarnation) {
			news = append(news, Instance{Server: row.Name, Incarnation: row.Incarnation})
		}
	}
	t.forget(now)
	return news
}

// Allowed reports whether the server may be given new work. A server never
// heard of is allowed: there is no word against it.
func (t *Table) Allowed(name string) bool {
	s := t.servers[name]
	return s == nil || !s.hasLeft(s.current)
}

// AllowedInstance reports whether that life of the server may be given new work.
func (t *Table) AllowedInstance(l Instance) bool {
	s := t.servers[l.Server]
	return s == nil || !s.hasLeft(l.Incarnation)
}

// Left returns how many servers get no new work.
func (t *Table) Left() int {
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

// meet makes a life the current one, unless it is known to have left: a late
// reply of the old life must not hide the new one.
func (t *Table) meet(s *server, incarnation uint64) {
	if !s.hasLeft(incarnation) {
		s.current = incarnation
	}
}

// leave marks the life as left. The current life changes only if none is
// known: news of an old life does not take out the new one.
func (t *Table) leave(now time.Time, s *server, incarnation uint64) bool {
	if s.hasLeft(incarnation) {
		return false
	}
	if s.current == 0 {
		s.current = incarnation
	}
	s.left = append(s.left, life{incarnation: incarnation, at: now})
	t.lives++
	if len(s.left) > livesPerServer {
		s.left = append(s.left[:0], s.left[1:]...)
		t.lives--
	}
	return true
}

func (s *server) hasLeft(incarnation uint64) bool {
	for _, l := range s.left {
		if l.incarnation == incarnation {
			return true
		}
	}
	return false
}

// forget drops servers that nobody has spoken of for keepLife, and sooner when
// the table is full.
func (t *Table) forget(now time.Time) {
	keep := keepLife
	for t.lives > maxLives && keep > time.Second {
		keep /= 2
		t.forgetOlder(now, keep)
	}
	t.forgetOlder(now, keepLife)
}

func (t *Table) forgetOlder(now time.Time, keep time.Duration) {
	for name, s := range t.servers {
		if now.Sub(s.lastSeen) > keep {
			t.lives -= len(s.left)
			delete(t.servers, name)
		}
	}
}

package catalog

import (
	"cmp"
	"slices"
	"time"

	"github.com/goldcrestspan/goldcrestspan/metastore"
)

const (
	// keepAbsent is how long a server that the list no longer names is kept:
	// twice the list's lag of some 30 s. A server that is gone costs a few
	// failed connections meanwhile, after which its home leaves it out.
	keepAbsent = time.Minute
	// keepCutOff is the same while the list lacks more than half of the known
	// servers: longer than a fault of the list should last unseen.
	keepCutOff = time.Hour
)

// ServerList holds the backend servers that the host list named of late. It is
// pure, and not safe for concurrent use.
//
// Failure: the list is empty or cut short for seconds. It shows as every query
// refused for want of servers, though all of them answer. The guard holds
// because absence from one reading takes nobody off: a server must be absent
// for keepAbsent from lists that name at least half of the known ones, and an
// empty list takes off nobody. That a server is leaving is said by its row or
// by itself, never by its absence.
type ServerList struct {
	servers map[string]listed
}

type listed struct {
	row metastore.ListedHost
	at  time.Time // of the last reading that named it
}

// NewServerList makes an empty listing.
func NewServerList() *ServerList { return &ServerList{servers: make(map[string]listed)} }

// Update takes in a reading of the host list and returns the servers in force,
// sorted by name.
func (l *ServerList) Update(now time.Time, rows []metastore.ListedHost) []metastore.ListedHost {
	keep := keepAbsent
	if 2*len(rows) < len(l.servers) {
		keep = keepCutOff
	}
	for _, row := range rows {
		l.servers[row.Name] = listed{row: row, at: now}
	}
	if len(rows) > 0 {
		l.forget(now, keep)
	}
	return l.all()
}

func (l *ServerList) forget(now time.Time, keep time.Duration) {
	for name, server := range l.servers {
		if now.Sub(server.at) > keep {
			delete(l.servers, name)
		}
	}
}

func (l *ServerList) all() []metastore.ListedHost {
	rows := make([]metastore.ListedHost, 0, len(l.servers))
	for _, server := range l.servers {
		rows = append(rows, server.row)
	}
	slices.SortFunc(rows, func(a, b metastore.ListedHost) int { return cmp.Compare(a.Name, b.Name) })
	return rows
}

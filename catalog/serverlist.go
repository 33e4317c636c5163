package catalog

import (
	"cmp"
	"slices"
	"time"

	"github.com/goldcrestspan/goldcrestspan/metastore"
)

const (
	// keepAbsentFor is how long a server that is absent from the list is kept, twice the
	// list's lag.
	keepAbsentFor = time.Minute
	// keepTruncatedFor is the same while the list lacks more than half of the known servers,
	// which is probably a fault of the list.
	keepTruncatedFor = time.Hour
)

// ServerList holds the backend servers that the host list has named recently. An empty or
// truncated list must not remove servers that still answer, so a server is removed only
// after it was absent for a while, and never by an empty list. It is not safe for
// concurrent use.
type ServerList struct {
	servers map[string]listedServer
}

type listedServer struct {
	row      metastore.ListedHost
	listedAt time.Time // of the last list that named it
}

// NewServerList returns an empty ServerList.
func NewServerList() *ServerList { return &ServerList{servers: make(map[string]listedServer)} }

// Update applies a reading of the host list and returns the servers, sorted by name.
func (l *ServerList) Update(now time.Time, rows []metastore.ListedHost) []metastore.ListedHost {
	keep := keepAbsentFor
	if 2*len(rows) < len(l.servers) {
		keep = keepTruncatedFor
	}
	for _, row := range rows {
		l.servers[row.Name] = listedServer{row: row, listedAt: now}
	}
	if len(rows) > 0 {
		l.expire(now, keep)
	}
	return l.rows()
}

func (l *ServerList) expire(now time.Time, keep time.Duration) {
	for name, server := range l.servers {
		if now.Sub(server.listedAt) > keep {
			delete(l.servers, name)
		}
	}
}

func (l *ServerList) rows() []metastore.ListedHost {
	rows := make([]metastore.ListedHost, 0, len(l.servers))
	for _, server := range l.servers {
		rows = append(rows, server.row)
	}
	slices.SortFunc(rows, func(a, b metastore.ListedHost) int { return cmp.Compare(a.Name, b.Name) })
	return rows
}

package member

import (
	"slices"
	"time"

	"github.com/goldcrestspan/goldcrestspan/ident"
	"github.com/goldcrestspan/goldcrestspan/metastore"
)

// hostList is the platform's list of entry hosts as last read. It only provides
// addresses to try and confirms deaths, which turns StateDead into StateGone; an
// empty, stale or wrong list removes no host. See publishedState for dead hosts
// that the list does not confirm.
type hostList struct {
	readAt    time.Time
	live      map[ident.HostID]bool
	rows      []metastore.ListedHost // live entry hosts
	plausible bool
}

// ApplyHostList applies a reading of the platform's host list.
func (m *Membership) ApplyHostList(now time.Time, rows []metastore.ListedHost) {
	m.detectPause(now)
	list := hostList{readAt: now, live: make(map[ident.HostID]bool)}
	for _, row := range rows {
		id := ident.HostID(row.Name)
		if row.Kind != metastore.KindEntry || row.State != metastore.StateLive {
			continue
		}
		list.live[id] = true
		list.rows = append(list.rows, row)
	}
	list.plausible = m.isPlausible(list)
	m.hostList = list
	m.confirmDeaths(now)
}

// confirmDeaths moves dead hosts that the list does not name as live to StateGone
// and gossips that, since only a few hosts of a zone read the list.
func (m *Membership) confirmDeaths(now time.Time) {
	for _, r := range slices.Clone(m.dead) {
		if r.State == StateDead && m.hostList.confirmsDeath(now, r, m.config.HostListMaxAge) {
			m.setVersion(now, r, version{r.Incarnation, r.refutation, StateGone}, false)
		}
	}
}

// unknownAddresses returns the addresses of listed hosts that no peer has named, or
// that are dead at another address.
func (m *Membership) unknownAddresses() []string {
	var unknown []string
	for _, row := range m.hostList.rows {
		r := m.records[ident.HostID(row.Name)]
		if r == nil || (r.isDead() && r.PeerAddress != row.Address) {
			unknown = append(unknown, row.Address)
		}
	}
	return unknown
}

// isPlausible rejects a truncated list, one that lacks more than half of the live hosts.
func (m *Membership) isPlausible(list hostList) bool {
	alive, listed := 0, 0
	for _, r := range m.sorted {
		if r.State != StateAlive {
			continue
		}
		alive++
		if list.live[r.ID] {
			listed++
		}
	}
	return len(list.live) > 0 && 2*listed >= alive
}

// confirmsDeath reports whether a recent and plausible list does not name the host
// as live.
func (l *hostList) confirmsDeath(now time.Time, r *record, maxAge time.Duration) bool {
	if l.readAt.IsZero() || now.Sub(l.readAt) > maxAge {
		return false
	}
	return l.plausible && !l.live[r.ID]
}

package member

import (
	"slices"
	"time"

	"github.com/goldcrestspan/goldcrestspan/ident"
	"github.com/goldcrestspan/goldcrestspan/metastore"
)

// hostList is the platform's list of entry hosts as last read.
//
// The rule between the two sources: probes say who is alive, the list only
// (1) names addresses to try and (2) confirms a loss, which turns StateDead into StateGone. So an empty, stale or
// wrong list removes nobody. And when probes lose half of the own region or
// more without the list agreeing, the lost hosts are published as suspects and
// not as dead, so a fault of the probes' own path does not empty the fleet
// either; the list lags by some 30 s, after which both agree.
type hostList struct {
	readAt    time.Time
	live      map[ident.HostID]bool
	rows      []metastore.ListedHost // live entry hosts
	plausible bool
}

// HostList takes a fresh reading of the platform's host list.
func (m *Membership) HostList(now time.Time, rows []metastore.ListedHost) {
	m.enter(now)
	list := hostList{readAt: now, live: make(map[ident.HostID]bool)}
	for _, row := range rows {
		id := ident.HostID(row.Name)
		if row.Kind != metastore.KindEntry || row.State != metastore.StateLive {
			continue
		}
		list.live[id] = true
		list.rows = append(list.rows, row)
	}
	list.plausible = m.plausible(list)
	m.list = list
	m.confirmLosses(now)
}

// confirmLosses tells everyone which of the dead hosts the list does not name
// as live either. Only a few hosts of a zone read the list.
func (m *Membership) confirmLosses(now time.Time) {
	for _, r := range slices.Clone(m.dead) {
		if r.State == StateDead && m.list.confirmsLoss(now, r, m.config.ListFreshFor) {
			m.setVersion(now, r, version{r.Incarnation, r.refutation, StateGone}, false)
		}
	}
}

// strangers are the addresses of listed hosts that no peer told of, or whose
// life at another address is dead.
func (m *Membership) strangers() []string {
	var addresses []string
	for _, row := range m.list.rows {
		r := m.records[ident.HostID(row.Name)]
		if r == nil || (r.lost() && r.PeerAddress != row.Address) {
			addresses = append(addresses, row.Address)
		}
	}
	return addresses
}

// plausible guards against a list that was cut short: one that lacks more than
// half of the hosts that answer is not believed.
func (m *Membership) plausible(list hostList) bool {
	alive, named := 0, 0
	for _, r := range m.sorted {
		if r.State != StateAlive {
			continue
		}
		alive++
		if list.live[r.ID] {
			named++
		}
	}
	return len(list.live) > 0 && 2*named >= alive
}

// confirmsLoss reports that a fresh and plausible list does not name the host
// as live.
func (l *hostList) confirmsLoss(now time.Time, r *record, freshFor time.Duration) bool {
	if l.readAt.IsZero() || now.Sub(l.readAt) > freshFor {
		return false
	}
	return l.plausible && !l.live[r.ID]
}

package member

// View returns the view to publish. It is rebuilt only if something changed since
// the last call.
func (m *Membership) View() *View {
	if m.view != nil && !m.statesChanged && !m.loadsChanged && m.view.LastPeerContact.Equal(m.lastPeerContact) {
		return m.view
	}
	m.statesChanged = false
	m.loadsChanged = false
	minority, deadAsSuspects := m.minority()
	hosts := make([]Host, len(m.sorted))
	for i, r := range m.sorted {
		hosts[i] = r.Host
		hosts[i].State = m.publishedState(r, deadAsSuspects)
	}
	m.view = &View{
		Self:            m.self.ID,
		Hosts:           hosts,
		LastPeerContact: m.lastPeerContact,
		Minority:        minority,
		Replaced:        m.replaced,
	}
	return m.view
}

// StateChanged reports whether more than loads and times changed since the last View.
func (m *Membership) StateChanged() bool { return m.statesChanged }

// publishedState is the state of a host in the View. With deadAsSuspects, unconfirmed
// dead hosts of this host's region are published as suspects.
func (m *Membership) publishedState(r *record, deadAsSuspects bool) State {
	if r == m.self && m.replaced {
		return StateLeaving
	}
	if deadAsSuspects && r.State == StateDead && r.Region == m.self.Region {
		return StateSuspect
	}
	return min(r.State, StateDead)
}

// minority reports whether half of the hosts in this host's region or more are dead
// without confirmation by the host list. deadAsSuspects reports the same with suspects
// counted as dead, so that when many hosts are lost at once the first deaths are not
// published before half is reached: a fault of this host's network would otherwise
// empty the view.
func (m *Membership) minority() (minority, deadAsSuspects bool) {
	total, dead, suspect := 0, 0, 0
	for _, r := range m.sorted {
		if r.Region != m.self.Region {
			continue
		}
		if r.State != StateGone {
			total++
		}
		switch r.State {
		case StateDead:
			dead++
		case StateSuspect:
			suspect++
		case StateAlive, StateLeaving, StateGone:
		}
	}
	return 2*dead >= total, 2*(dead+suspect) >= total
}

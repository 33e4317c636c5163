package member

// View returns the membership to publish. It is built anew only when something
// changed since the last.
func (m *Membership) View() *View {
	if m.view != nil && !m.changed && !m.loadChanged && m.view.PeerHeardAt.Equal(m.peerHeardAt) {
		return m.view
	}
	m.changed = false
	m.loadChanged = false
	minority := m.minority()
	hosts := make([]Host, len(m.sorted))
	for i, r := range m.sorted {
		hosts[i] = r.Host
		hosts[i].State = m.published(r, minority)
	}
	m.view = &View{
		Self:        m.self.ID,
		Hosts:       hosts,
		PeerHeardAt: m.peerHeardAt,
		Minority:    minority,
		Replaced:    m.replaced,
	}
	return m.view
}

// StateChanged reports that more than loads and times changed since the last
// View.
func (m *Membership) StateChanged() bool { return m.changed }

// published is the state that traffic sees; see hostList for the rule.
func (m *Membership) published(r *record, minority bool) State {
	if r == m.self && m.replaced {
		return StateLeaving
	}
	if minority && r.State == StateDead && r.Region == m.self.Region {
		return StateSuspect
	}
	return min(r.State, StateDead)
}

// minority reports that half of the own region or more is lost to the probes
// and nothing but the probes says so.
func (m *Membership) minority() bool {
	total, lost := 0, 0
	for _, r := range m.sorted {
		if r.Region != m.self.Region {
			continue
		}
		if r.State != StateGone {
			total++
		}
		if r.State == StateDead {
			lost++
		}
	}
	return 2*lost >= total
}

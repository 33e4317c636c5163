package member

// View returns the membership to publish. It is built anew only when something
// changed since the last.
func (m *Membership) View() *View {
	if m.view != nil && !m.changed && !m.loadChanged && m.view.PeerHeardAt.Equal(m.peerHeardAt) {
		return m.view
	}
	m.changed = false
	m.loadChanged = false
	minority, hold := m.minority()
	hosts := make([]Host, len(m.sorted))
	for i, r := range m.sorted {
		hosts[i] = r.Host
		hosts[i].State = m.published(r, hold)
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
func (m *Membership) published(r *record, hold bool) State {
	if r == m.self && m.replaced {
		return StateLeaving
	}
	if hold && r.State == StateDead && r.Region == m.self.Region {
		return StateSuspect
	}
	return min(r.State, StateDead)
}

// minority reports that half of the own region or more is lost to the probes
// and that nothing but the probes says so. Hold counts suspects as well: when
// many hosts are lost at once the first deaths would be shown before the last
// made it half, and hosts would leave the views only to come back.
func (m *Membership) minority() (minority, hold bool) {
	total, lost, suspect := 0, 0, 0
	for _, r := range m.sorted {
		if r.Region != m.self.Region {
			continue
		}
		if r.State != StateGone {
			total++
		}
		switch r.State {
		case StateDead:
			lost++
		case StateSuspect:
			suspect++
		case StateAlive, StateLeaving, StateGone:
		}
	}
	return 2*lost >= total, 2*(lost+suspect) >= total
}

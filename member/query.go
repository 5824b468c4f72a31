package member

import "github.com/sapphiretack/sapphiretack/request"

// Self returns this instance as others see it.
func (m *Membership) Self() Member { return m.self.Member }

// Members appends all members to out, this instance and dead ones included.
func (m *Membership) Members(out []Member) []Member {
	for _, e := range m.list.entries {
		out = append(out, e.Member)
	}
	return out
}

// Member returns a member by its instance.
func (m *Membership) Member(id request.InstanceID) (Member, bool) {
	e := m.list.find(id)
	if e == nil {
		return Member{}, false
	}
	return e.Member, true
}

// Service appends the members of a service that are not dead to out.
func (m *Membership) Service(id request.ServiceID, out []Member) []Member {
	for _, e := range m.list.entries {
		if e.Service == id && e.State != Dead {
			out = append(out, e.Member)
		}
	}
	return out
}

// Peers appends the near peers to out; the shell keeps their connections open and closes others when idle.
func (m *Membership) Peers(out []request.InstanceID) []request.InstanceID {
	for _, e := range m.contacts.peers {
		out = append(out, e.Instance)
	}
	return out
}

// Len returns the number of members held, dead ones included.
func (m *Membership) Len() int { return len(m.list.entries) }

// Health returns the local health score; 0 is healthy.
func (m *Membership) Health() int { return m.health }

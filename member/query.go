package member

import "github.com/sapphiretack/sapphiretack/request"

// Self returns this instance as it is announced to other nodes.
func (m *Membership) Self() Member { return m.self.Member }

// Members appends all members to out, including this instance and dead ones.
func (m *Membership) Members(out []Member) []Member {
	for _, e := range m.list.entries {
		out = append(out, e.Member)
	}
	return out
}

// Member returns an instance and whether the list contains it, dead ones included.
func (m *Membership) Member(id request.InstanceID) (Member, bool) {
	e := m.list.find(id)
	if e == nil {
		return Member{}, false
	}
	return e.Member, true
}

// ServiceMembers appends the members of a service to out, except dead ones.
func (m *Membership) ServiceMembers(id request.ServiceID, out []Member) []Member {
	for _, e := range m.list.entries {
		if e.Service == id && e.State != Dead {
			out = append(out, e.Member)
		}
	}
	return out
}

// ZonePeers appends the zone peers to out; the driver keeps their connections open and closes other idle ones.
func (m *Membership) ZonePeers(out []request.InstanceID) []request.InstanceID {
	for _, e := range m.sampler.peers {
		out = append(out, e.Instance)
	}
	return out
}

// Len returns the number of members in the list, including dead ones.
func (m *Membership) Len() int { return len(m.list.entries) }

// HealthScore returns the local health score; 0 is healthy.
func (m *Membership) HealthScore() int { return m.health }

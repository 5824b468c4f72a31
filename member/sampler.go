package member

import "slices"

// peerSampler selects the members that this node contacts. It keeps a random subset of the members of the zone as
// zone peers, which are contacted regularly.
type peerSampler struct {
	// stale is set when the lists below have to be rebuilt.
	stale bool
	// sameZone and otherZones hold the members that are not dead, without this instance; dead holds the dead ones.
	sameZone, otherZones, dead []*entry
	// peers is the random subset of sameZone that the node probes round-robin and sends gossip to.
	peers     []*entry
	nextIndex int
}

// refresh rebuilds the lists if a member was added, removed, declared dead or came back since the last call.
func (s *peerSampler) refresh(m *Membership) {
	if !s.stale {
		return
	}
	s.stale = false
	s.sameZone, s.otherZones, s.dead = s.sameZone[:0], s.otherZones[:0], s.dead[:0]
	for _, e := range m.list.entries {
		switch {
		case e == m.self:
		case e.State == Dead:
			s.dead = append(s.dead, e)
		case e.Zone == m.self.Zone:
			s.sameZone = append(s.sameZone, e)
		default:
			s.otherZones = append(s.otherZones, e)
		}
	}
	s.peers = slices.DeleteFunc(s.peers, func(e *entry) bool { return e.State == Dead || e.Zone != m.self.Zone })
	s.fill(m)
}

// fill adds random zone peers until their number reaches the setting.
func (s *peerSampler) fill(m *Membership) {
	want := min(m.settings.ZonePeers, len(s.sameZone))
	if len(s.peers) >= want {
		return
	}
	order := m.random.Perm(len(s.sameZone))
	for _, i := range order {
		if len(s.peers) >= want {
			return
		}
		if !slices.Contains(s.peers, s.sameZone[i]) {
			at := m.random.IntN(len(s.peers) + 1)
			s.peers = slices.Insert(s.peers, at, s.sameZone[i])
		}
	}
}

// resample replaces some zone peers at random, so that each member is probed by changing nodes. If all members of the
// zone are zone peers, it only changes their order.
func (s *peerSampler) resample(m *Membership) {
	if len(s.sameZone) <= m.settings.ZonePeers {
		m.random.Shuffle(len(s.peers), func(i, j int) { s.peers[i], s.peers[j] = s.peers[j], s.peers[i] })
		return
	}
	for range min(m.settings.ResampledPeers, len(s.peers)) {
		i := m.random.IntN(len(s.peers))
		s.peers = slices.Delete(s.peers, i, i+1)
	}
	s.fill(m)
}

// nextPeer returns the next zone peer to probe, or nil if the zone has no other live member.
func (s *peerSampler) nextPeer(m *Membership) *entry {
	s.refresh(m)
	if s.nextIndex >= len(s.peers) {
		s.nextIndex = 0
		s.resample(m)
	}
	if len(s.peers) == 0 {
		return nil
	}
	e := s.peers[s.nextIndex]
	s.nextIndex++
	return e
}

// pick returns a random element other than exclude, or nil if three draws found none.
func (m *Membership) pick(from []*entry, exclude *entry) *entry {
	for range 3 {
		if len(from) == 0 {
			return nil
		}
		if e := from[m.random.IntN(len(from))]; e != exclude {
			return e
		}
	}
	return nil
}

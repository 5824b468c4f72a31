package member

import "slices"

// contacts are the members that this node may contact, and the near peers that it contacts regularly.
type contacts struct {
	stale bool
	// near and far are the members of this zone and of other zones that are not dead; dead are the others.
	near, far, dead []*entry
	// peers is the random subset of near that the node probes in turn and sends gossip to.
	peers []*entry
	next  int
}

// refresh rebuilds the lists after a member was added, died or came back.
func (c *contacts) refresh(m *Membership) {
	if !c.stale {
		return
	}
	c.stale = false
	c.near, c.far, c.dead = c.near[:0], c.far[:0], c.dead[:0]
	for _, e := range m.list.entries {
		switch {
		case e == m.self:
		case e.State == Dead:
			c.dead = append(c.dead, e)
		case e.Zone == m.self.Zone:
			c.near = append(c.near, e)
		default:
			c.far = append(c.far, e)
		}
	}
	c.peers = slices.DeleteFunc(c.peers, func(e *entry) bool { return e.State == Dead || e.Zone != m.self.Zone })
	c.fill(m)
}

// fill draws near peers at random until the set is full.
func (c *contacts) fill(m *Membership) {
	want := min(m.settings.NearPeers, len(c.near))
	if len(c.peers) >= want {
		return
	}
	order := m.random.Perm(len(c.near))
	for _, i := range order {
		if len(c.peers) >= want {
			return
		}
		if !slices.Contains(c.peers, c.near[i]) {
			at := m.random.IntN(len(c.peers) + 1)
			c.peers = slices.Insert(c.peers, at, c.near[i])
		}
	}
}

// redraw replaces some near peers, so that over time every member is probed by others.
func (c *contacts) redraw(m *Membership) {
	if len(c.near) <= m.settings.NearPeers {
		m.random.Shuffle(len(c.peers), func(i, j int) { c.peers[i], c.peers[j] = c.peers[j], c.peers[i] })
		return
	}
	for range min(m.settings.RedrawnPeers, len(c.peers)) {
		i := m.random.IntN(len(c.peers))
		c.peers = slices.Delete(c.peers, i, i+1)
	}
	c.fill(m)
}

// nextPeer returns the next near peer to probe, or nil if this node is alone in its zone.
func (c *contacts) nextPeer(m *Membership) *entry {
	c.refresh(m)
	if c.next >= len(c.peers) {
		c.next = 0
		c.redraw(m)
	}
	if len(c.peers) == 0 {
		return nil
	}
	e := c.peers[c.next]
	c.next++
	return e
}

// pick returns a random element other than avoid, or nil.
func (m *Membership) pick(from []*entry, avoid *entry) *entry {
	for range 3 {
		if len(from) == 0 {
			return nil
		}
		if e := from[m.random.IntN(len(from))]; e != avoid {
			return e
		}
	}
	return nil
}

package member

import (
	"math"
	"slices"
	"time"

	"github.com/sapphiretack/sapphiretack/request"
)

// apply takes over an update if it supersedes what is known; spread passes it on.
func (m *Membership) apply(u *Member, spread bool) {
	if u.Instance == m.self.Instance {
		m.refute(u)
		return
	}
	e := m.list.find(u.Instance)
	if e == nil {
		m.add(u, spread)
		return
	}
	if e.provisional && !m.settleBy(e, u) {
		return
	}
	if compare(u, &e.Member) <= 0 {
		m.confirm(e, u)
		return
	}
	if u.Incarnation > e.Incarnation {
		m.replace(e, u, spread)
		return
	}
	m.change(e, u, spread)
}

// addProvisional takes over a row of the platform for a while.
func (m *Membership) addProvisional(row *Member) {
	e := m.list.insert(*row)
	e.provisional = true
	m.schedule(e, m.now.Add(m.settings.ProvisionalTime))
	m.contacts.stale = true
	m.changed = true
}

// settle makes a provisional entry a full one.
func (e *entry) settle() {
	if e.provisional {
		e.provisional = false
		e.deadline = 0
	}
}

// settleBy compares a provisional entry with an update and reports whether the update still has to be applied.
func (m *Membership) settleBy(e *entry, u *Member) bool {
	if u.Incarnation < e.Incarnation {
		return false
	}
	e.settle()
	if u.State != Dead || u.Incarnation > e.Incarnation {
		return true
	}
	// The row is older than the death that the other node knows, so there is nobody to refute it.
	e.Revision = u.Revision
	m.declareDead(e)
	return false
}

// drop removes a member without a tombstone.
func (m *Membership) drop(e *entry) {
	m.list.remove(e)
	// Contacts and probes that still refer to the entry skip dead members.
	e.State = Dead
	m.contacts.stale = true
	m.changed = true
}

// add takes over a member that is not known. A state alone does not describe a member, and a dead one is not needed;
// repair brings the whole record if the member lives.
func (m *Membership) add(u *Member, spread bool) {
	if u.State == Dead || u.isStateOnly() {
		return
	}
	e := m.list.insert(*u)
	m.contacts.stale = true
	m.changed = true
	if e.State == Suspect {
		m.suspect(e, u.SuspectedBy)
	}
	if spread {
		m.rumours.add(e)
	}
}

// replace takes over a later incarnation of a known member.
func (m *Membership) replace(e *entry, u *Member, spread bool) {
	if u.isStateOnly() {
		return
	}
	e.Member = *u
	e.deadline = 0
	m.contacts.stale = true
	m.changed = true
	switch e.State {
	case Suspect:
		m.suspect(e, u.SuspectedBy)
	case Dead:
		m.declareDead(e)
	}
	if spread {
		m.rumours.add(e)
	}
}

// change takes over a later state of the same incarnation.
func (m *Membership) change(e *entry, u *Member, spread bool) {
	switch {
	case u.State == Dead && e.State == Leaving:
		e.Revision = u.Revision
		m.declareDead(e)
	case u.State == Dead && e.State == Suspect && u.Revision == e.Revision:
		// The other node's timer has run out; this node allows the shortest time for a refutation that it has not heard.
		m.schedule(e, min(e.deadline, m.now.Add(m.settings.SuspicionMin)))
		return
	case u.State == Dead || u.State == Suspect:
		if e.State == Dead {
			m.contacts.stale = true
		}
		// A live member gets the time to refute, whatever the other node concluded.
		e.Revision = u.Revision
		m.suspect(e, u.SuspectedBy)
		// A suspicion is always passed on, since the suspect must hear of it.
		spread = true
		m.askForProbe(e)
	default:
		if e.State == Dead {
			m.contacts.stale = true
		}
		e.Revision = u.Revision
		e.State = u.State
		e.SuspectedBy = ""
		e.deadline = 0
		if !u.isStateOnly() {
			e.Slots = u.Slots
		}
	}
	m.changed = true
	if spread {
		m.rumours.add(e)
	}
}

// refute answers an update about this instance.
func (m *Membership) refute(u *Member) {
	self := m.self
	switch {
	case u.Incarnation > self.Incarnation:
		if u.Incarnation > m.replaced {
			m.replaced = u.Incarnation
			m.emit(Replaced{Incarnation: u.Incarnation})
		}
	case u.Incarnation < self.Incarnation:
		m.rumours.add(self)
	case u.Revision < self.Revision:
	case u.State == self.State && u.Revision == self.Revision:
	case u.State < self.State && u.Revision == self.Revision && u.State == Alive:
	default:
		self.Revision = u.Revision + 1
		m.refuted = true
		m.rumours.add(self)
		m.raiseHealth(1)
	}
}

// suspect starts the timer of a suspicion.
func (m *Membership) suspect(e *entry, by request.InstanceID) {
	e.State = Suspect
	e.SuspectedBy = by
	e.suspectedAt = m.now
	e.confirmed = 0
	e.checked = false
	if e.Zone != m.self.Zone {
		m.suspectZone, m.suspectZoneUntil = e.Zone, m.now.Add(suspectZoneTime)
	}
	m.addSuspecter(e, by)
	m.schedule(e, m.now.Add(m.suspicionTimeout(e)))
}

// confirm counts a second source of the same suspicion, which shortens the timer.
func (m *Membership) confirm(e *entry, u *Member) {
	same := u.Incarnation == e.Incarnation && u.Revision == e.Revision
	if !same || e.State != Suspect || u.State != Suspect || u.SuspectedBy == "" {
		return
	}
	m.confirmBy(e, u.SuspectedBy)
}

func (m *Membership) confirmBy(e *entry, by request.InstanceID) {
	if !m.addSuspecter(e, by) {
		return
	}
	e.SuspectedBy = by
	m.schedule(e, e.suspectedAt.Add(m.suspicionTimeout(e)))
	// While many members fail, their first suspicions take precedence over confirmations.
	if m.rumours.pending <= m.settings.MaxUpdates {
		m.rumours.add(e)
	}
}

// addSuspecter reports whether the suspecter is a new one.
func (m *Membership) addSuspecter(e *entry, by request.InstanceID) bool {
	limit := min(m.settings.Confirmations+1, maxConfirmations)
	if by == "" || int(e.confirmed) >= limit {
		return false
	}
	key := keyOf(by)
	if slices.Contains(e.suspecters[:e.confirmed], key) {
		return false
	}
	e.suspecters[e.confirmed] = key
	e.confirmed++
	return true
}

// suspicionTimeout falls from the maximum to the minimum with the logarithm of the confirmations, as in Lifeguard.
func (m *Membership) suspicionTimeout(e *entry) time.Duration {
	s := &m.settings
	confirmations := max(int(e.confirmed)-1, 0)
	share := math.Log(float64(confirmations+1)) / math.Log(float64(s.Confirmations+1))
	return max(s.SuspicionMin, s.SuspicionMax-time.Duration(share*float64(s.SuspicionMax-s.SuspicionMin)))
}

// declareDead declares a member dead and keeps a tombstone.
func (m *Membership) declareDead(e *entry) {
	e.State = Dead
	e.SuspectedBy = ""
	m.contacts.stale = true
	m.changed = true
	m.schedule(e, m.now.Add(m.settings.Tombstone))
}

func (m *Membership) schedule(e *entry, at request.Instant) {
	e.deadline = at
	m.nextDeadline = min(m.nextDeadline, at)
}

// expire declares suspects dead and forgets dead members whose time has come.
func (m *Membership) expire() {
	if m.now < m.nextDeadline {
		return
	}
	if !m.trusted() {
		m.nextDeadline = m.now.Add(m.settings.TickInterval)
		return
	}
	m.nextDeadline = never
	var unchecked, forgotten []*entry
	for _, e := range m.list.entries {
		if e.deadline == 0 {
			continue
		}
		switch {
		case e.deadline > m.now:
		case e.State == Leaving:
			m.declareDead(e)
			m.rumours.add(e)
		case e.State == Dead || e.provisional:
			forgotten = append(forgotten, e)
			continue
		case e.checked:
			m.declareDead(e)
		case len(unchecked) < m.settings.MaxUpdates && m.tokens > 0:
			unchecked = append(unchecked, e)
			e.checked = true
			e.deadline = m.now.Add(m.settings.LastCheck)
		}
		m.nextDeadline = min(m.nextDeadline, e.deadline)
	}
	for _, e := range forgotten {
		m.drop(e)
	}
	m.checkLast(unchecked)
}

// checkLast asks two peers about suspects whose time is up. A peer that heard a refutation says so in its response;
// without this step up to 4 of 80 nodes missed the refutation of a node that had been frozen for 4 s.
func (m *Membership) checkLast(suspects []*entry) {
	if len(suspects) == 0 {
		return
	}
	m.contacts.refresh(m)
	var first *entry
	for range 2 {
		to := m.pick(m.contacts.peers, first)
		if to == nil {
			to = m.pick(m.contacts.far, first)
		}
		if to == nil {
			return
		}
		first = to
		msg := Message{From: m.self.Instance, ConfigurationVersion: m.self.ConfigurationVersion}
		for _, e := range suspects {
			msg.Members = append(msg.Members, e.stateOnly())
		}
		m.spend(&msg)
		m.emit(SendGossip{To: to.Instance, Address: to.Address, Message: msg})
	}
}

// askForProbe lets about as many nodes of the zone as there are confirmations probe a member that was reported failing.
func (m *Membership) askForProbe(e *entry) {
	if e.Zone != m.self.Zone {
		return
	}
	m.contacts.refresh(m)
	near := len(m.contacts.near)
	if near == 0 || m.random.IntN(near) > m.settings.Confirmations {
		return
	}
	m.urgent = append(m.urgent, e)
}

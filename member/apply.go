package member

import (
	"math"
	"slices"
	"time"

	"github.com/sapphiretack/sapphiretack/request"
)

// apply applies an update if it supersedes the known state, and queues it for gossip if gossip is set.
func (m *Membership) apply(u *Member, gossip bool) {
	if u.Instance == m.self.Instance {
		m.refute(u)
		return
	}
	e := m.list.find(u.Instance)
	if e == nil {
		m.add(u, gossip)
		return
	}
	if e.provisional && !m.resolveProvisional(e, u) {
		return
	}
	if compare(u, &e.Member) <= 0 {
		m.confirmSuspicion(e, u)
		return
	}
	if u.Incarnation > e.Incarnation {
		m.replaceIncarnation(e, u, gossip)
		return
	}
	m.changeState(e, u, gossip)
}

// addProvisional adds a row of the platform's table, which is removed after a timeout unless confirmed.
func (m *Membership) addProvisional(row *Member) {
	e := m.list.insert(*row)
	e.provisional = true
	m.setDeadline(e, m.now.Add(m.settings.ProvisionalTTL))
	m.sampler.stale = true
	m.changed = true
}

// clearProvisional turns a provisional entry into a regular one.
func (e *entry) clearProvisional() {
	if e.provisional {
		e.provisional = false
		e.deadline = 0
	}
}

// resolveProvisional confirms a provisional entry by an update, unless the update is of an earlier incarnation, and
// reports whether the update still has to be applied.
func (m *Membership) resolveProvisional(e *entry, u *Member) bool {
	if u.Incarnation < e.Incarnation {
		return false
	}
	e.clearProvisional()
	if u.State != Dead || u.Incarnation > e.Incarnation {
		return true
	}
	// The row predates the death known to the other node, so that no process is left to refute it.
	e.Revision = u.Revision
	m.declareDead(e)
	return false
}

// drop removes a member from the list without leaving a tombstone.
func (m *Membership) drop(e *entry) {
	m.list.remove(e)
	// The sampler and probes may still refer to the entry; they skip dead members.
	e.State = Dead
	m.sampler.stale = true
	m.changed = true
}

// add adds an unknown member. It ignores dead members, which need no entry, and state-only updates, which lack the fields
// of an entry. If the member is alive, repair transfers the complete record.
func (m *Membership) add(u *Member, gossip bool) {
	if u.State == Dead || u.isStateOnly() {
		return
	}
	e := m.list.insert(*u)
	m.sampler.stale = true
	m.changed = true
	m.repeatLeave()
	if e.State == Suspect {
		m.suspect(e, u.SuspectedBy)
	}
	if gossip {
		m.updates.add(e)
	}
}

// replaceIncarnation replaces a member with a later incarnation of it.
func (m *Membership) replaceIncarnation(e *entry, u *Member, gossip bool) {
	if u.isStateOnly() {
		return
	}
	e.Member = *u
	e.deadline = 0
	m.sampler.stale = true
	m.changed = true
	m.repeatLeave()
	switch e.State {
	case Suspect:
		m.suspect(e, u.SuspectedBy)
	case Dead:
		m.declareDead(e)
	}
	if gossip {
		m.updates.add(e)
	}
}

// repeatLeave gossips again that this instance leaves, if it does: a member that has started since knows it from its row, as alive.
func (m *Membership) repeatLeave() {
	if m.self.State == Leaving {
		m.updates.add(m.self)
	}
}

// changeState applies a later state of the same incarnation.
func (m *Membership) changeState(e *entry, u *Member, gossip bool) {
	switch {
	case u.State == Dead && e.State == Leaving:
		e.Revision = u.Revision
		m.declareDead(e)
	case u.State == Dead && e.State == Suspect && u.Revision == e.Revision:
		// The suspicion timeout of the other node has expired. This node waits for at most SuspicionMin more, in case it
		// has missed a refutation.
		m.setDeadline(e, min(e.deadline, m.now.Add(m.settings.SuspicionMin)))
		return
	case u.State == Dead || u.State == Suspect:
		if e.State == Dead {
			m.sampler.stale = true
		}
		// A member that is alive here gets the full suspicion timeout to refute, even if the other node declared it dead.
		e.Revision = u.Revision
		m.suspect(e, u.SuspectedBy)
		// Suspicions are always gossiped, because the suspect must receive them to refute them.
		gossip = true
		m.queueUrgentProbe(e)
	default:
		if e.State == Dead {
			m.sampler.stale = true
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
	if gossip {
		m.updates.add(e)
	}
}

// refute handles an update about this instance. It refutes a wrong state with a higher revision, gossips the current
// incarnation if the update has an earlier one, and reports a later incarnation by Replaced.
func (m *Membership) refute(u *Member) {
	self := m.self
	switch {
	case u.Incarnation > self.Incarnation:
		if u.Incarnation > m.reportedReplacement {
			m.reportedReplacement = u.Incarnation
			m.emit(Replaced{Incarnation: u.Incarnation})
		}
	case u.Incarnation < self.Incarnation:
		m.updates.add(self)
	case u.Revision < self.Revision:
	case u.State == self.State && u.Revision == self.Revision:
	case u.State < self.State && u.Revision == self.Revision && u.State == Alive:
	default:
		self.Revision = u.Revision + 1
		m.refuted = true
		m.updates.add(self)
		m.raiseHealth(1)
	}
}

// suspect marks a member as suspect and starts the suspicion timeout.
func (m *Membership) suspect(e *entry, by request.InstanceID) {
	e.State = Suspect
	e.SuspectedBy = by
	e.suspectedAt = m.now
	e.suspecterCount = 0
	e.finalCheckSent = false
	if e.Zone != m.self.Zone {
		m.suspectZone, m.suspectZoneUntil = e.Zone, m.now.Add(suspectZoneTTL)
	}
	m.addSuspecter(e, by)
	m.setDeadline(e, m.now.Add(m.suspicionTimeout(e)))
}

// confirmSuspicion counts an independent report of the same suspicion, which shortens the timeout.
func (m *Membership) confirmSuspicion(e *entry, u *Member) {
	same := u.Incarnation == e.Incarnation && u.Revision == e.Revision
	if !same || e.State != Suspect || u.State != Suspect || u.SuspectedBy == "" {
		return
	}
	m.addConfirmation(e, u.SuspectedBy)
}

func (m *Membership) addConfirmation(e *entry, by request.InstanceID) {
	if !m.addSuspecter(e, by) {
		return
	}
	e.SuspectedBy = by
	m.setDeadline(e, e.suspectedAt.Add(m.suspicionTimeout(e)))
	// With many failed members, first suspicions take precedence over confirmations in the update queue.
	if m.updates.pending <= m.settings.MaxUpdates {
		m.updates.add(e)
	}
}

// addSuspecter records a suspecter and reports whether it is a new one.
func (m *Membership) addSuspecter(e *entry, by request.InstanceID) bool {
	limit := min(m.settings.Confirmations+1, maxConfirmations)
	if by == "" || int(e.suspecterCount) >= limit {
		return false
	}
	key := hashKey(by)
	if slices.Contains(e.suspecters[:e.suspecterCount], key) {
		return false
	}
	e.suspecters[e.suspecterCount] = key
	e.suspecterCount++
	return true
}

// suspicionTimeout returns the timeout of a suspicion, which falls from SuspicionMax to SuspicionMin with the logarithm
// of the number of confirmations, as in Lifeguard.
func (m *Membership) suspicionTimeout(e *entry) time.Duration {
	s := &m.settings
	confirmations := max(int(e.suspecterCount)-1, 0)
	fraction := math.Log(float64(confirmations+1)) / math.Log(float64(s.Confirmations+1))
	return max(s.SuspicionMin, s.SuspicionMax-time.Duration(fraction*float64(s.SuspicionMax-s.SuspicionMin)))
}

// declareDead marks a member as dead and keeps it as a tombstone.
func (m *Membership) declareDead(e *entry) {
	e.State = Dead
	e.SuspectedBy = ""
	m.sampler.stale = true
	m.changed = true
	m.setDeadline(e, m.now.Add(m.settings.TombstoneTTL))
}

func (m *Membership) setDeadline(e *entry, at request.Instant) {
	e.deadline = at
	m.nextDeadline = min(m.nextDeadline, at)
}

// expire handles due deadlines: it declares suspect and leaving members dead, and removes tombstones and provisional
// members. A suspect is declared dead only after a final check with peers.
func (m *Membership) expire() {
	if m.now < m.nextDeadline {
		return
	}
	if !m.probesTrusted() {
		m.nextDeadline = m.now.Add(m.settings.TickInterval)
		return
	}
	m.nextDeadline = noDeadline
	var finalChecks, expired []*entry
	for _, e := range m.list.entries {
		if e.deadline == 0 {
			continue
		}
		switch {
		case e.deadline > m.now:
		case e.State == Leaving:
			m.declareDead(e)
			m.updates.add(e)
		case e.State == Dead || e.provisional:
			expired = append(expired, e)
			continue
		case e.finalCheckSent:
			m.declareDead(e)
		case len(finalChecks) < m.settings.MaxUpdates && m.tokens > 0:
			finalChecks = append(finalChecks, e)
			e.finalCheckSent = true
			e.deadline = m.now.Add(m.settings.FinalCheckTimeout)
		}
		m.nextDeadline = min(m.nextDeadline, e.deadline)
	}
	for _, e := range expired {
		m.drop(e)
	}
	m.runFinalCheck(finalChecks)
}

// runFinalCheck asks two peers about suspects whose suspicion timeout has expired. A peer that knows a refutation
// includes it in its response. Without this check, up to 4 of 80 nodes missed the refutation of a node that had been
// frozen for 4 s.
func (m *Membership) runFinalCheck(suspects []*entry) {
	if len(suspects) == 0 {
		return
	}
	m.sampler.refresh(m)
	var first *entry
	for range 2 {
		to := m.pick(m.sampler.peers, first)
		if to == nil {
			to = m.pick(m.sampler.otherZones, first)
		}
		if to == nil {
			return
		}
		first = to
		msg := Message{From: m.self.Instance, ConfigurationVersion: m.self.ConfigurationVersion}
		for _, e := range suspects {
			msg.Members = append(msg.Members, e.stateOnly())
		}
		m.chargeBudget(&msg)
		m.emit(SendGossip{To: to.Instance, Address: to.Address, Message: msg})
	}
}

// queueUrgentProbe queues a probe of a reported suspect of the same zone. It does so at random, such that about as many
// nodes probe the suspect as confirmations are needed.
func (m *Membership) queueUrgentProbe(e *entry) {
	if e.Zone != m.self.Zone {
		return
	}
	m.sampler.refresh(m)
	sameZone := len(m.sampler.sameZone)
	if sameZone == 0 || m.random.IntN(sameZone) > m.settings.Confirmations {
		return
	}
	m.urgentTargets = append(m.urgentTargets, e)
}

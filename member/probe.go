package member

import (
	"slices"
	"time"

	"github.com/sapphiretack/sapphiretack/request"
)

// probe is a probe that this node sent and whose final result is pending.
type probe struct {
	seqNo  SeqNo
	target *entry
	// incarnation is the incarnation that was probed; a failure does not count against a later one.
	incarnation request.Incarnation
	// pendingIndirect is the number of indirect probes without a result.
	pendingIndirect int
	startedAt       request.Instant
}

// maxProbeAge is the age at which a probe is discarded because the driver never reported its result.
const maxProbeAge = 30 * time.Second

// probeTimeout returns the timeout of a direct probe, which grows with the local health score.
func (m *Membership) probeTimeout() time.Duration {
	return m.settings.ProbeTimeout * time.Duration(m.health+1)
}

// probeIfDue probes a zone peer, and at times a member of another zone, once per probe interval. Urgent targets are probed
// at any tick.
func (m *Membership) probeIfDue() {
	if m.now < m.nextProbe {
		m.probeUrgent()
		return
	}
	// A node with a high local health score probes less often, as in Lifeguard.
	m.nextProbe = m.now.Add(m.settings.ProbeInterval * time.Duration(m.health+1))
	m.probes = slices.DeleteFunc(m.probes, func(p probe) bool { return m.now.Sub(p.startedAt) > maxProbeAge })
	if !m.probeUrgent() {
		if e := m.sampler.nextPeer(m); e != nil {
			m.sendProbe(e)
		}
	}
	m.sampler.refresh(m)
	if m.random.Float64() < m.settings.CrossZoneProbeProbability || len(m.sampler.sameZone) == 0 {
		if e := m.pickOtherZone(); e != nil {
			m.sendProbe(e)
		}
	}
}

// suspectZoneTTL is the time for which a suspicion in another zone directs cross-zone probes to that zone.
const suspectZoneTTL = 10 * time.Second

// pickOtherZone returns a random member of another zone. Half of the picks prefer the zone of a recent suspicion, because
// a zone that fails as a whole has no node left to probe its members.
func (m *Membership) pickOtherZone() *entry {
	e := m.pick(m.sampler.otherZones, nil)
	if m.now >= m.suspectZoneUntil || m.random.IntN(2) == 0 {
		return e
	}
	const maxDraws = 16
	for range maxDraws {
		if e == nil || e.Zone == m.suspectZone && e.State == Alive {
			return e
		}
		e = m.pick(m.sampler.otherZones, nil)
	}
	return e
}

// probeUrgent probes the next urgent target that is still suspect or leaving and reports whether there was one.
func (m *Membership) probeUrgent() bool {
	for len(m.urgentTargets) > 0 {
		e := m.urgentTargets[0]
		m.urgentTargets = m.urgentTargets[1:]
		if e.State == Suspect || e.State == Leaving {
			m.sendProbe(e)
			return true
		}
	}
	return false
}

// sendProbe starts a direct probe.
func (m *Membership) sendProbe(e *entry) {
	m.lastSeqNo++
	m.probes = append(m.probes, probe{seqNo: m.lastSeqNo, target: e, incarnation: e.Incarnation, startedAt: m.now})
	msg := m.compose(e)
	m.chargeBudget(&msg)
	m.emit(Probe{SeqNo: m.lastSeqNo, Instance: e.Instance, Address: e.Address, Timeout: m.probeTimeout(), Message: msg})
}

// relayProbe probes a member on behalf of another node, whose gossip request gets the result in its response.
func (m *Membership) relayProbe(target request.InstanceID, exchange ExchangeID) {
	e := m.list.find(target)
	if e == nil || e == m.self {
		m.emit(Reply{Exchange: exchange, Message: Message{From: m.self.Instance, ProbeAnswered: e == m.self}})
		return
	}
	m.emit(Probe{
		Exchange: exchange,
		Instance: e.Instance,
		Address:  e.Address,
		Timeout:  m.settings.ProbeTimeout,
		Message:  m.compose(e),
	})
}

func (m *Membership) probeAnswered(e ProbeAnswered) {
	m.merge(&e.Message)
	if e.Exchange != 0 {
		reply := m.compose(nil)
		reply.ProbeAnswered = true
		m.emit(Reply{Exchange: e.Exchange, Message: reply})
		return
	}
	i := m.probeIndex(e.SeqNo)
	if i < 0 {
		return
	}
	p := &m.probes[i]
	if p.target.State == Leaving && (p.pendingIndirect == 0 || e.Message.ProbeAnswered) {
		p.target.deadline = 0
	}
	if p.pendingIndirect > 0 && !e.Message.ProbeAnswered {
		// The intermediary itself responded, so the failure is not counted against the health of this node.
		m.indirectProbeFailed(i)
		return
	}
	m.probes = slices.Delete(m.probes, i, i+1)
	m.lowerHealth()
	m.selfChecksLeft = max(m.selfChecksLeft-1, 0)
}

func (m *Membership) probeFailed(e ProbeFailed) {
	if e.Exchange != 0 {
		m.emit(Reply{Exchange: e.Exchange, Message: m.compose(nil)})
		return
	}
	i := m.probeIndex(e.SeqNo)
	if i < 0 {
		return
	}
	if m.probes[i].pendingIndirect > 0 {
		// A failure to reach the intermediary as well suggests that this node is at fault.
		m.raiseHealth(1)
		m.indirectProbeFailed(i)
		return
	}
	if !m.probeIndirectly(i) {
		m.failProbe(i)
	}
}

// probeIndex returns the index of a pending probe, or -1.
func (m *Membership) probeIndex(n SeqNo) int {
	return slices.IndexFunc(m.probes, func(p probe) bool { return p.seqNo == n })
}

// probeIndirectly asks other members to probe the target and reports whether it found any to ask.
func (m *Membership) probeIndirectly(i int) bool {
	p := &m.probes[i]
	m.sampler.refresh(m)
	var asked []*entry
	for n := range m.settings.IndirectProbes {
		from := m.sampler.sameZone
		if (p.target.Zone != m.self.Zone && n > 0) || len(from) < 2 {
			from = m.sampler.otherZones
		}
		if e := m.pick(from, p.target); e != nil && !slices.Contains(asked, e) {
			asked = append(asked, e)
		}
	}
	p.pendingIndirect = len(asked)
	for _, e := range asked {
		msg := m.compose(e)
		msg.Probe = p.target.Instance
		m.emit(IndirectProbe{
			SeqNo:        p.seqNo,
			Target:       p.target.Instance,
			Intermediary: e.Instance,
			Address:      e.Address,
			Timeout:      2 * m.probeTimeout(),
			Message:      msg,
		})
	}
	return len(asked) > 0
}

func (m *Membership) indirectProbeFailed(i int) {
	m.probes[i].pendingIndirect--
	if m.probes[i].pendingIndirect == 0 {
		m.failProbe(i)
	}
}

// failProbe handles a target whose direct and indirect probes failed: a live one becomes suspect, and a provisional one is
// removed.
func (m *Membership) failProbe(i int) {
	p := m.probes[i]
	m.probes = slices.Delete(m.probes, i, i+1)
	m.raiseHealth(1)
	e := p.target
	if !m.probesTrusted() || e.Incarnation != p.incarnation {
		return
	}
	if e.provisional {
		m.drop(e)
		return
	}
	switch e.State {
	case Alive:
		m.suspect(e, m.self.Instance)
		m.changed = true
		m.updates.add(e)
	case Suspect:
		m.addConfirmation(e, m.self.Instance)
	case Leaving:
		m.recheckLeaving(e)
	}
}

// recheckLeaving sets the deadline of a leaving member that did not respond and probes it again. The member stays in state
// Leaving, because a suspicion would hide that it leaves and an early death would break the requests that it is still
// completing.
func (m *Membership) recheckLeaving(e *entry) {
	if e.deadline == 0 {
		m.setDeadline(e, m.now.Add(m.settings.SuspicionMax))
	}
	m.urgentTargets = append(m.urgentTargets, e)
}

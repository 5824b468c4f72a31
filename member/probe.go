package member

import (
	"slices"
	"time"

	"github.com/sapphiretack/sapphiretack/request"
)

// probe is a probe of this node that has no verdict yet.
type probe struct {
	number Number
	target *entry
	// incarnation is the target's at the time of the probe; a failure says nothing about a later one.
	incarnation request.Incarnation
	// indirect is the number of indirect probes without a result.
	indirect int
	began    request.Instant
}

// probeLimit ends a probe whose result the shell never reported.
const probeLimit = 30 * time.Second

func (m *Membership) timeout() time.Duration {
	return m.settings.ProbeTimeout * time.Duration(m.health+1)
}

func (m *Membership) probeDue() {
	if m.now < m.nextProbe {
		m.probeUrgent()
		return
	}
	// A node in bad health probes less often, as in Lifeguard.
	m.nextProbe = m.now.Add(m.settings.ProbeInterval * time.Duration(m.health+1))
	m.probes = slices.DeleteFunc(m.probes, func(p probe) bool { return m.now.Sub(p.began) > probeLimit })
	if !m.probeUrgent() {
		if e := m.contacts.nextPeer(m); e != nil {
			m.probe(e)
		}
	}
	m.contacts.refresh(m)
	if m.random.Float64() < m.settings.FarProbeShare || len(m.contacts.near) == 0 {
		if e := m.pickFar(); e != nil {
			m.probe(e)
		}
	}
}

// suspectZoneTime is the time for which a suspicion directs the probes of other zones to the zone of the suspect.
const suspectZoneTime = 10 * time.Second

// pickFar returns a random member of another zone, for half of the time of the zone where a member was suspected lately.
// A zone that fails as a whole has nobody left to probe within it.
func (m *Membership) pickFar() *entry {
	e := m.pick(m.contacts.far, nil)
	if m.now >= m.suspectZoneUntil || m.random.IntN(2) == 0 {
		return e
	}
	const draws = 16
	for range draws {
		if e == nil || e.Zone == m.suspectZone && e.State == Alive {
			return e
		}
		e = m.pick(m.contacts.far, nil)
	}
	return e
}

// probeUrgent probes one member that others suspect.
func (m *Membership) probeUrgent() bool {
	for len(m.urgent) > 0 {
		e := m.urgent[0]
		m.urgent = m.urgent[1:]
		if e.State == Suspect || e.State == Leaving {
			m.probe(e)
			return true
		}
	}
	return false
}

func (m *Membership) probe(e *entry) {
	m.number++
	m.probes = append(m.probes, probe{number: m.number, target: e, incarnation: e.Incarnation, began: m.now})
	msg := m.compose(e)
	m.spend(&msg)
	m.emit(Probe{Number: m.number, Instance: e.Instance, Address: e.Address, Timeout: m.timeout(), Message: msg})
}

// relay probes a member for another node; the exchange is answered when the result is known.
func (m *Membership) relay(target request.InstanceID, exchange Exchange) {
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
	i := m.pending(e.Number)
	if i < 0 {
		return
	}
	p := &m.probes[i]
	if p.target.State == Leaving && (p.indirect == 0 || e.Message.ProbeAnswered) {
		p.target.deadline = 0
	}
	if p.indirect > 0 && !e.Message.ProbeAnswered {
		// The intermediary answers for itself, so this node's connections work.
		m.indirectFailed(i)
		return
	}
	m.probes = slices.Delete(m.probes, i, i+1)
	m.lowerHealth()
	m.checks = max(m.checks-1, 0)
}

func (m *Membership) probeFailed(e ProbeFailed) {
	if e.Exchange != 0 {
		m.emit(Reply{Exchange: e.Exchange, Message: m.compose(nil)})
		return
	}
	i := m.pending(e.Number)
	if i < 0 {
		return
	}
	if m.probes[i].indirect > 0 {
		// A missing answer of the intermediary points at this node.
		m.raiseHealth(1)
		m.indirectFailed(i)
		return
	}
	if !m.probeIndirectly(i) {
		m.probeLost(i)
	}
}

func (m *Membership) pending(n Number) int {
	return slices.IndexFunc(m.probes, func(p probe) bool { return p.number == n })
}

// probeIndirectly asks others to probe the target and reports whether there was anyone to ask.
func (m *Membership) probeIndirectly(i int) bool {
	p := &m.probes[i]
	m.contacts.refresh(m)
	var asked []*entry
	for n := range m.settings.IndirectProbes {
		from := m.contacts.near
		if (p.target.Zone != m.self.Zone && n > 0) || len(from) < 2 {
			from = m.contacts.far
		}
		if e := m.pick(from, p.target); e != nil && !slices.Contains(asked, e) {
			asked = append(asked, e)
		}
	}
	p.indirect = len(asked)
	for _, e := range asked {
		msg := m.compose(e)
		msg.Probe = p.target.Instance
		m.emit(IndirectProbe{
			Number:  p.number,
			Target:  p.target.Instance,
			Through: e.Instance,
			Address: e.Address,
			Timeout: 2 * m.timeout(),
			Message: msg,
		})
	}
	return len(asked) > 0
}

func (m *Membership) indirectFailed(i int) {
	m.probes[i].indirect--
	if m.probes[i].indirect == 0 {
		m.probeLost(i)
	}
}

// probeLost takes the target for suspect after its direct and indirect probes failed.
func (m *Membership) probeLost(i int) {
	p := m.probes[i]
	m.probes = slices.Delete(m.probes, i, i+1)
	m.raiseHealth(1)
	e := p.target
	if !m.trusted() || e.Incarnation != p.incarnation {
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
		m.rumours.add(e)
	case Suspect:
		m.confirmBy(e, m.self.Instance)
	case Leaving:
		m.watchLeaving(e)
	}
}

// watchLeaving starts the timer of a leaving member that did not answer, and probes it again. It keeps its state, since
// a suspicion would hide that it leaves, and a hasty death would break the requests that it still finishes.
func (m *Membership) watchLeaving(e *entry) {
	if e.deadline == 0 {
		m.schedule(e, m.now.Add(m.settings.SuspicionMax))
	}
	m.urgent = append(m.urgent, e)
}

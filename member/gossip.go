package member

import (
	"slices"
	"time"

	"github.com/sapphiretack/sapphiretack/quarantine"
	"github.com/sapphiretack/sapphiretack/request"
)

// notice is a notice that was not answered yet.
type notice struct {
	number Number
	to     *entry
	crash  *quarantine.Record
	next   request.Instant
	until  request.Instant
}

// refill adds the byte budget of the time since the last tick.
func (m *Membership) refill() {
	earned := m.now.Sub(m.refilledAt).Seconds() * float64(m.settings.BytesPerSecond)
	m.tokens = min(m.tokens+earned, float64(m.settings.BurstBytes))
	m.refilledAt = m.now
}

// spend charges a message to the byte budget, which may become negative.
func (m *Membership) spend(msg *Message) {
	m.tokens -= float64(msg.Size() + m.settings.MessageOverheadBytes)
}

// compose returns a message with piggybacked updates. A receiver that is not alive here is told so first, so that it
// can refute at once.
func (m *Membership) compose(to *entry) Message {
	msg := Message{From: m.self.Instance, ConfigurationVersion: m.self.ConfigurationVersion}
	if to != nil && (to.State == Suspect || to.State == Dead) {
		msg.Members = append(msg.Members, to.stateOnly())
	}
	if m.tokens <= 0 {
		return msg
	}
	if m.rumours.pending > 0 {
		msg.addUpdates(m.rumours.take(m.settings.MaxUpdates-len(msg.Members), m.transmissions(), nil), to)
	}
	msg.Crashes = m.takeCrashes()
	return msg
}

// composeReply returns a response with piggybacked updates. It counts no transmissions, because the sender of a request
// often knows the updates already.
func (m *Membership) composeReply(to *entry) Message {
	msg := Message{From: m.self.Instance, ConfigurationVersion: m.self.ConfigurationVersion}
	if m.tokens > 0 {
		msg.addUpdates(m.rumours.peek(m.settings.MaxUpdates, nil), to)
	}
	return msg
}

func (msg *Message) addUpdates(entries []*entry, to *entry) {
	for _, e := range entries {
		if e != to {
			msg.Members = append(msg.Members, e.update())
		}
	}
}

// update returns the member for a message: whole while it may be new to others, else its state only.
func (e *entry) update() Member {
	if e.State == Alive && e.Revision == 0 {
		return e.Member
	}
	return e.stateOnly()
}

// gossip sends pending updates to a few peers.
func (m *Membership) gossip() {
	if m.rumours.pending == 0 && len(m.crashes) == 0 && m.versionSends == 0 {
		return
	}
	if m.tokens <= 0 {
		return
	}
	m.versionSends = max(m.versionSends-1, 0)
	m.contacts.refresh(m)
	for _, i := range m.random.Perm(len(m.contacts.peers))[:min(m.settings.GossipFanout, len(m.contacts.peers))] {
		m.sendGossip(m.contacts.peers[i])
	}
	if m.random.Float64() < m.farShare() {
		if e := m.pick(m.contacts.far, nil); e != nil {
			m.sendGossip(e)
		}
	}
}

// farShare is the chance that a round of gossip leaves the zone. It grows in small zones, which would otherwise send too
// few messages for an update to reach each other zone: with 6 members a zone missed one in 3 of 10 runs.
func (m *Membership) farShare() float64 {
	const messagesPerRound = 4
	return max(m.settings.FarGossipShare, messagesPerRound/float64(len(m.contacts.near)+1))
}

func (m *Membership) sendGossip(to *entry) {
	msg := m.compose(to)
	m.spend(&msg)
	m.emit(SendGossip{To: to.Instance, Address: to.Address, Message: msg})
}

// reconnectDue contacts a dead member, which finds the other side again after a partition longer than the suspicion.
func (m *Membership) reconnectDue() {
	if m.now < m.nextReconnect {
		return
	}
	m.nextReconnect = m.now.Add(m.settings.ReconnectInterval)
	m.contacts.refresh(m)
	if len(m.contacts.near)+len(m.contacts.far) == 0 {
		m.contactSeeds()
	}
	if m.random.Float64() >= m.reconnectShare() {
		return
	}
	if e := m.pick(m.contacts.dead, nil); e != nil {
		m.sendGossip(e)
	}
}

// contactSeeds asks the seeds again while no member is known, for example because the first messages were lost.
func (m *Membership) contactSeeds() {
	for _, address := range m.seeds {
		m.emit(SendGossip{Address: address, Message: m.compose(nil)})
	}
}

// reconnectShare is the chance of an attempt in one interval, so that all nodes together make a bounded number of
// attempts for each dead member. With an attempt by every node, one frozen node among 2,800 had to answer 2 MB when it
// resumed after 30 s.
func (m *Membership) reconnectShare() float64 {
	live := len(m.contacts.near) + len(m.contacts.far) + 1
	attempts := float64(len(m.contacts.dead)) * m.settings.ReconnectsPerSecond * m.settings.ReconnectInterval.Seconds()
	return attempts / float64(live)
}

// leave announces the departure to the sources directly and to all by gossip.
func (m *Membership) leave(sources []request.InstanceID) {
	if m.self.State == Leaving {
		return
	}
	m.self.State = Leaving
	m.self.Revision++
	m.changed = true
	m.rumours.add(m.self)
	for _, id := range sources {
		if e := m.list.find(id); e != nil && e != m.self {
			m.notify(e, nil)
		}
	}
}

// crashObserved tells the instances of the service of a crash, and the others by gossip.
func (m *Membership) crashObserved(r quarantine.Record) {
	m.addCrashRumour(r)
	for _, e := range m.list.entries {
		if e != m.self && e.Service == r.Service && e.State != Dead {
			m.notify(e, &r)
		}
	}
}

func (m *Membership) notify(to *entry, crash *quarantine.Record) {
	m.number++
	n := notice{number: m.number, to: to, crash: crash, until: m.now.Add(m.settings.NoticeLimit)}
	m.sendNotice(&n)
	m.notices = append(m.notices, n)
}

func (m *Membership) sendNotice(n *notice) {
	n.next = m.now.Add(m.settings.NoticeRetry)
	msg := Message{From: m.self.Instance, ConfigurationVersion: m.self.ConfigurationVersion}
	if n.crash != nil {
		msg.Crashes = []quarantine.Record{*n.crash}
	} else {
		msg.Members = []Member{m.self.stateOnly()}
	}
	m.emit(SendNotice{Number: n.number, To: n.to.Instance, Address: n.to.Address, Message: msg})
}

func (m *Membership) retryNotices() {
	m.notices = slices.DeleteFunc(m.notices, func(n notice) bool { return m.now >= n.until })
	for i := range m.notices {
		if m.now >= m.notices[i].next {
			m.sendNotice(&m.notices[i])
		}
	}
}

func (m *Membership) noticeAnswered(n Number) {
	m.notices = slices.DeleteFunc(m.notices, func(p notice) bool { return p.number == n })
}

// repair is the comparison of digests that this node started last.
type repair struct {
	with    *entry
	rounds  int
	began   request.Instant
	members []Member
	digests []RangeDigest
	// cut is set when a bound cut a message of the comparison short.
	cut bool
}

// repairTimeout ends a comparison whose partner stopped answering.
const repairTimeout = 5 * time.Second

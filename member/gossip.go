package member

import (
	"slices"
	"time"

	"github.com/sapphiretack/sapphiretack/quarantine"
	"github.com/sapphiretack/sapphiretack/request"
)

// notice is an unacknowledged notice. It carries the crash, or without one the state of this instance.
type notice struct {
	seqNo SeqNo
	to    *entry
	crash *quarantine.Record
	// retryAt is the time of the next send; at expiresAt the notice is dropped.
	retryAt   request.Instant
	expiresAt request.Instant
}

// refill adds the tokens for the time since the last refill.
func (m *Membership) refill() {
	refilled := m.now.Sub(m.refilledAt).Seconds() * float64(m.settings.BytesPerSecond)
	m.tokens = min(m.tokens+refilled, float64(m.settings.BurstBytes))
	m.refilledAt = m.now
}

// chargeBudget takes the size of a message from the token bucket, which may become negative.
func (m *Membership) chargeBudget(msg *Message) {
	m.tokens -= float64(msg.Size() + m.settings.MessageOverheadBytes)
}

// compose returns a message with piggybacked updates. A receiver that this node holds suspect or dead gets this state as
// the first update, so that it can refute it immediately.
func (m *Membership) compose(to *entry) Message {
	msg := Message{From: m.self.Instance, ConfigurationVersion: m.self.ConfigurationVersion}
	if to != nil && (to.State == Suspect || to.State == Dead) {
		msg.Members = append(msg.Members, to.stateOnly())
	}
	if m.tokens <= 0 {
		return msg
	}
	if m.updates.pending > 0 {
		msg.addUpdates(m.updates.take(m.settings.MaxUpdates-len(msg.Members), m.transmissions(), nil), to)
	}
	msg.Crashes = m.takeCrashes()
	return msg
}

// composeReply returns a response with piggybacked updates. It does not count transmissions, because the sender of the
// request often has the updates already.
func (m *Membership) composeReply(to *entry) Message {
	msg := Message{From: m.self.Instance, ConfigurationVersion: m.self.ConfigurationVersion}
	if m.tokens > 0 {
		msg.addUpdates(m.updates.peek(m.settings.MaxUpdates, nil), to)
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

// update returns the member to send: complete while other nodes may not know it, otherwise its state only.
func (e *entry) update() Member {
	if e.State == Alive && e.Revision == 0 {
		return e.Member
	}
	return e.stateOnly()
}

// gossip sends queued updates to a few peers, if there are any and the byte budget allows it.
func (m *Membership) gossip() {
	if m.updates.pending == 0 && len(m.crashQueue) == 0 && m.versionTicks == 0 {
		return
	}
	if m.tokens <= 0 {
		return
	}
	m.versionTicks = max(m.versionTicks-1, 0)
	m.sampler.refresh(m)
	for _, i := range m.random.Perm(len(m.sampler.peers))[:min(m.settings.GossipFanout, len(m.sampler.peers))] {
		m.sendGossip(m.sampler.peers[i])
	}
	if m.random.Float64() < m.crossZoneProbability() {
		if e := m.pick(m.sampler.otherZones, nil); e != nil {
			m.sendGossip(e)
		}
	}
}

// crossZoneProbability returns the probability that a tick also sends gossip to another zone. It is higher in small
// zones, which would otherwise send too few messages for an update to reach every zone: with 6 members per zone, a zone
// missed an update in 3 of 10 runs.
func (m *Membership) crossZoneProbability() float64 {
	const messagesPerTick = 4
	return max(m.settings.MinCrossZoneGossipProbability, messagesPerTick/float64(len(m.sampler.sameZone)+1))
}

func (m *Membership) sendGossip(to *entry) {
	msg := m.compose(to)
	m.chargeBudget(&msg)
	m.emit(SendGossip{To: to.Instance, Address: to.Address, Message: msg})
}

// reconnectIfDue contacts a random dead member with reconnectProbability once per reconnect interval, so that the sides of
// a partition that outlasted the suspicion timeout find each other again.
func (m *Membership) reconnectIfDue() {
	if m.now < m.nextReconnect {
		return
	}
	m.nextReconnect = m.now.Add(m.settings.ReconnectInterval)
	m.sampler.refresh(m)
	if len(m.sampler.sameZone)+len(m.sampler.otherZones) == 0 {
		m.contactSeeds()
	}
	if m.random.Float64() >= m.reconnectProbability() {
		return
	}
	if e := m.pick(m.sampler.dead, nil); e != nil {
		m.sendGossip(e)
	}
}

// contactSeeds sends gossip to the seeds. It is called again while no live member is known, for example because the first
// messages were lost.
func (m *Membership) contactSeeds() {
	for _, address := range m.seeds {
		m.emit(SendGossip{Address: address, Message: m.compose(nil)})
	}
}

// reconnectProbability returns the probability of an attempt in one interval. It bounds the attempts that all nodes make
// together for each dead member. With an attempt by every node, a frozen node among 2,800 had to respond with 2 MB when it
// resumed after 30 s.
func (m *Membership) reconnectProbability() float64 {
	live := len(m.sampler.sameZone) + len(m.sampler.otherZones) + 1
	attempts := float64(len(m.sampler.dead)) * m.settings.ReconnectsPerSecond * m.settings.ReconnectInterval.Seconds()
	return attempts / float64(live)
}

// leave announces that this instance is leaving, to the sources by notices and to all nodes by gossip.
func (m *Membership) leave(sources []request.InstanceID) {
	if m.self.State == Leaving {
		return
	}
	m.self.State = Leaving
	m.self.Revision++
	m.changed = true
	m.updates.add(m.self)
	for _, id := range sources {
		if e := m.list.find(id); e != nil && e != m.self {
			m.notify(e, nil)
		}
	}
}

// crashObserved announces a crash to the instances of the service by notices and to all nodes by gossip.
func (m *Membership) crashObserved(r quarantine.Record) {
	m.queueCrash(r)
	for _, e := range m.list.entries {
		if e != m.self && e.Service == r.Service && e.State != Dead {
			m.notify(e, &r)
		}
	}
}

// notify sends a notice to a member and retries it until it is acknowledged or expires. Without a crash, the notice
// carries the state of this instance.
func (m *Membership) notify(to *entry, crash *quarantine.Record) {
	m.lastSeqNo++
	n := notice{seqNo: m.lastSeqNo, to: to, crash: crash, expiresAt: m.now.Add(m.settings.NoticeTimeout)}
	m.sendNotice(&n)
	m.notices = append(m.notices, n)
}

func (m *Membership) sendNotice(n *notice) {
	n.retryAt = m.now.Add(m.settings.NoticeRetryInterval)
	msg := Message{From: m.self.Instance, ConfigurationVersion: m.self.ConfigurationVersion}
	if n.crash != nil {
		msg.Crashes = []quarantine.Record{*n.crash}
	} else {
		msg.Members = []Member{m.self.stateOnly()}
	}
	m.emit(SendNotice{SeqNo: n.seqNo, To: n.to.Instance, Address: n.to.Address, Message: msg})
}

func (m *Membership) retryNotices() {
	m.notices = slices.DeleteFunc(m.notices, func(n notice) bool { return m.now >= n.expiresAt })
	for i := range m.notices {
		if m.now >= m.notices[i].retryAt {
			m.sendNotice(&m.notices[i])
		}
	}
}

func (m *Membership) noticeAnswered(n SeqNo) {
	m.notices = slices.DeleteFunc(m.notices, func(p notice) bool { return p.seqNo == n })
}

// repair is the anti-entropy repair that this node started last.
type repair struct {
	partner   *entry
	rounds    int
	startedAt request.Instant
	// members and digests are the contents of the next request.
	members []Member
	digests []RangeDigest
	// truncated is set if a message of the repair did not have room for everything that differs.
	truncated bool
}

// repairTimeout is the age at which a new repair may replace one whose partner no longer responds.
const repairTimeout = 5 * time.Second

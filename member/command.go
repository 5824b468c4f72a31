package member

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/sapphiretack/sapphiretack/request"
)

// Membership is the member list of one instance.
type Membership struct {
	settings Settings
	random   *rand.Rand
	list     list
	self     *entry
	now      request.Instant
	out      []Action
	changed  bool
	replaced request.Incarnation
	// refuted is set when the message at hand made this node raise its revision.
	refuted bool

	lastEvent request.Instant
	started   bool
	// health is the local health score of Lifeguard: 0 is healthy, a higher score stretches probe timeouts.
	health int
	// checks is the number of answered probes that are missing before a node that was frozen trusts itself.
	checks     int
	checkUntil request.Instant

	contacts contacts
	// seeds are the addresses without an instance that Bootstrap brought.
	seeds  []string
	probes []probe
	number Number
	urgent []*entry

	rumours      rumours
	crashes      []crashRumour
	versionSends int
	seen         seenVersion
	notices      []notice

	repair     repair
	tokens     float64
	refilledAt request.Instant

	// suspectZone is another zone in which a member was suspected, until suspectZoneUntil.
	suspectZone      request.ZoneID
	suspectZoneUntil request.Instant

	nextProbe     request.Instant
	nextRepair    request.Instant
	nextReconnect request.Instant
	nextDeadline  request.Instant
	nextChanged   request.Instant
}

// seenVersion is the configuration version that was last announced to the shell.
type seenVersion struct {
	version uint64
	at      request.Instant
}

// never is an instant that no node reaches.
const never = request.Instant(1<<63 - 1)

// New returns a membership that knows only self, whose incarnation must be higher than that of any earlier run.
func New(self Member, s Settings, random *rand.Rand) *Membership {
	m := &Membership{settings: s, random: random, nextDeadline: never}
	m.self = m.list.insert(self)
	m.tokens = float64(s.BurstBytes)
	m.contacts.stale = true
	return m
}

// Handle takes an event at the present time and appends the resulting actions to out.
func (m *Membership) Handle(now request.Instant, e Event, out []Action) []Action {
	m.now = now
	m.out = out
	m.start()
	m.checkFrozen()
	switch e := e.(type) {
	case Tick:
		m.tick()
	case Bootstrap:
		m.bootstrap(e.Rows)
	case Received:
		m.received(e)
	case ProbeAnswered:
		m.probeAnswered(e)
	case ProbeFailed:
		m.probeFailed(e)
	case NoticeAnswered:
		m.noticeAnswered(e.Number)
	case Leave:
		m.leave(e.Sources)
	case CrashObserved:
		m.crashObserved(e.Record)
	case CrashesMerged:
		for _, r := range e.Records {
			m.addCrashRumour(r)
		}
	case ConfigurationApplied:
		m.configurationApplied(e.Version)
	}
	if m.changed && m.now >= m.nextChanged {
		m.changed = false
		m.nextChanged = m.now.Add(m.settings.ChangedInterval)
		m.emit(Changed{})
	}
	out, m.out = m.out, nil
	return out
}

func (m *Membership) emit(a Action) { m.out = append(m.out, a) }

// start spreads the periodic work of nodes that start together and announces this instance.
func (m *Membership) start() {
	if m.started {
		return
	}
	m.started = true
	m.lastEvent = m.now
	m.refilledAt = m.now
	m.nextProbe = m.now.Add(m.fraction(m.settings.ProbeInterval))
	m.nextRepair = m.now.Add(m.fraction(m.settings.RepairInterval))
	m.nextReconnect = m.now.Add(m.fraction(m.settings.ReconnectInterval))
	m.rumours.add(m.self)
}

func (m *Membership) fraction(d time.Duration) time.Duration {
	return time.Duration(m.random.Float64() * float64(d))
}

// checkFrozen notices that this process did not run for a while. Its pending probes and suspicions prove nothing then,
// since the answers may have arrived while it could not read them.
func (m *Membership) checkFrozen() {
	gap := m.now.Sub(m.lastEvent)
	m.lastEvent = m.now
	if gap < m.settings.FreezeGap {
		return
	}
	m.raiseHealth(2)
	m.probes = m.probes[:0]
	m.checks = m.settings.SelfCheckProbes
	m.checkUntil = m.now.Add(m.settings.SelfCheckLimit)
	for _, e := range m.list.entries {
		switch {
		case e.State == Suspect:
			e.suspectedAt = m.now
			e.deadline = m.now.Add(m.suspicionTimeout(e))
		case e.State == Leaving && e.deadline != 0:
			e.deadline = m.now.Add(m.settings.SuspicionMax)
		}
	}
	m.nextProbe = m.now
	m.refilledAt = m.now
}

// trusted reports whether the node may hold others responsible for missing answers.
func (m *Membership) trusted() bool { return m.checks == 0 || m.now >= m.checkUntil }

func (m *Membership) raiseHealth(by int) { m.health = min(m.health+by, m.settings.MaxHealth) }
func (m *Membership) lowerHealth()       { m.health = max(m.health-1, 0) }

func (m *Membership) tick() {
	m.refill()
	m.expire()
	m.retryNotices()
	m.probeDue()
	m.gossip()
	m.repairDue()
	m.reconnectDue()
}

// bootstrap takes rows over without passing them on, since every node that starts reads the same rows.
func (m *Membership) bootstrap(rows []Member) {
	for i := range rows {
		if rows[i].Instance == "" {
			if !slices.Contains(m.seeds, rows[i].Address) {
				m.seeds = append(m.seeds, rows[i].Address)
			}
			m.emit(SendGossip{Address: rows[i].Address, Message: m.compose(nil)})
			continue
		}
		if m.list.find(rows[i].Instance) == nil && rows[i].State == Alive && !rows[i].isStateOnly() {
			m.addProvisional(&rows[i])
			continue
		}
		m.apply(&rows[i], false)
	}
	m.nextRepair = m.now
}

func (m *Membership) received(e Received) {
	known := m.list.find(e.Message.From) != nil
	m.refuted = false
	var reply Message
	if e.Kind == GossipRequest && e.Message.Probe == "" {
		// Composed before the merge, so that the updates of the request do not use up transmissions on their sender.
		reply = m.composeReply(m.list.find(e.Message.From))
	}
	m.merge(&e.Message)
	switch e.Kind {
	case GossipRequest:
		if e.Message.Probe != "" {
			m.relay(e.Message.Probe, e.Exchange)
			return
		}
		// A sender that knows only this node's address, or that suspects this node, needs its record whatever the budget.
		if !known || m.refuted {
			reply.Members = append(reply.Members, m.self.Member)
		}
		m.correct(e.Message.Members, &reply)
		m.answerDigests(e.Message.Digests, &reply)
		m.spend(&reply)
		m.emit(Reply{Exchange: e.Exchange, Message: reply})
	case GossipResponse:
		m.continueRepair(&e.Message)
	}
}

// correct appends what this node knows better than the updates of a request. The death of a member that the sender
// suspects is no news, since the sender is about to declare it itself.
func (m *Membership) correct(updates []Member, reply *Message) {
	for i := range updates {
		if len(reply.Members) >= m.settings.MaxUpdates {
			return
		}
		e := m.list.find(updates[i].Instance)
		if e == nil || e == m.self || compare(&e.Member, &updates[i]) <= 0 {
			continue
		}
		declared := e.State == Dead && updates[i].State == Suspect && e.Revision == updates[i].Revision
		switch {
		case e.Incarnation != updates[i].Incarnation:
			reply.Members = append(reply.Members, e.Member)
		case !declared:
			reply.Members = append(reply.Members, e.stateOnly())
		}
	}
}

// merge takes over what a message says, apart from its digests.
func (m *Membership) merge(msg *Message) {
	// A message with more than the piggybacked updates comes from a repair. Its sender knows them already, so passing
	// on each would flood the gossip after a partition.
	spread := len(msg.Members) <= m.settings.MaxUpdates
	for i := range msg.Members {
		m.apply(&msg.Members[i], spread)
	}
	if len(msg.Crashes) > 0 {
		m.emit(Crashes{Records: msg.Crashes})
	}
	m.seeVersion(msg)
}

func (m *Membership) seeVersion(msg *Message) {
	from := m.list.find(msg.From)
	if from == nil || from == m.self {
		return
	}
	from.settle()
	from.ConfigurationVersion = max(from.ConfigurationVersion, msg.ConfigurationVersion)
	if msg.ConfigurationVersion <= m.self.ConfigurationVersion {
		return
	}
	// The same version is announced again after a second, in case the fetch from the first sender failed.
	if msg.ConfigurationVersion <= m.seen.version && m.now.Sub(m.seen.at) < time.Second {
		return
	}
	m.seen = seenVersion{version: msg.ConfigurationVersion, at: m.now}
	m.emit(ConfigurationSeen{Version: msg.ConfigurationVersion, From: from.Instance, Address: from.Address})
}

func (m *Membership) configurationApplied(version uint64) {
	if version <= m.self.ConfigurationVersion {
		return
	}
	m.self.ConfigurationVersion = version
	m.versionSends = m.transmissions()
}

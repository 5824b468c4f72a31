package member

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/sapphiretack/sapphiretack/request"
)

// Membership is the SWIM state machine of one instance and its membership list. It is not safe for concurrent use.
type Membership struct {
	settings Settings
	random   *rand.Rand
	list     list
	self     *entry
	now      request.Instant
	out      []Action
	// changed is set while a Changed action is due.
	changed bool
	// reportedReplacement is the latest incarnation of this instance that was reported by Replaced.
	reportedReplacement request.Incarnation
	// refuted is set if the message being handled made this node increment its revision.
	refuted bool

	lastEvent request.Instant
	started   bool
	// health is the local health score of Lifeguard: 0 is healthy, and probe timeouts and intervals grow with the score.
	health int
	// selfChecksLeft is the number of successful probes that this node still needs after a freeze before it may suspect
	// others; from selfCheckDeadline on it may suspect others without them.
	selfChecksLeft    int
	selfCheckDeadline request.Instant

	sampler peerSampler
	// seeds holds the addresses from Bootstrap that have no instance.
	seeds  []string
	probes []probe
	// lastSeqNo is the number of the latest probe or notice.
	lastSeqNo SeqNo
	// urgentTargets holds suspect and leaving members to probe before the next zone peer.
	urgentTargets []*entry

	updates    updateQueue
	crashQueue []queuedCrash
	// versionTicks is the number of ticks with gossip that still announce the latest configuration version.
	versionTicks int
	announced    announcedVersion
	notices      []notice

	repair repair
	// tokens is the remaining byte budget of the token bucket; it may be negative.
	tokens     float64
	refilledAt request.Instant

	// suspectZone is the other zone in which a member was suspected most recently; it attracts cross-zone probes until
	// suspectZoneUntil.
	suspectZone      request.ZoneID
	suspectZoneUntil request.Instant

	nextProbe     request.Instant
	nextRepair    request.Instant
	nextReconnect request.Instant
	nextDeadline  request.Instant
	nextChanged   request.Instant
}

// announcedVersion is the configuration version last reported by ConfigurationAvailable, and the time of that report.
type announcedVersion struct {
	version     uint64
	announcedAt request.Instant
}

// noDeadline is later than any instant that a node reaches.
const noDeadline = request.Instant(1<<63 - 1)

// New returns a membership that knows only self, whose incarnation must be higher than all earlier ones of the instance.
func New(self Member, s Settings, random *rand.Rand) *Membership {
	m := &Membership{settings: s, random: random, nextDeadline: noDeadline}
	m.self = m.list.insert(self)
	m.tokens = float64(s.BurstBytes)
	m.sampler.stale = true
	return m
}

// Handle processes one event and appends the resulting actions to out.
func (m *Membership) Handle(now request.Instant, e Event, out []Action) []Action {
	m.now = now
	m.out = out
	m.start()
	m.detectFreeze()
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
		m.noticeAnswered(e.SeqNo)
	case Leave:
		m.leave(e.Sources)
	case CrashObserved:
		m.crashObserved(e.Record)
	case CrashesMerged:
		for _, r := range e.Records {
			m.queueCrash(r)
		}
	case ConfigurationApplied:
		m.configurationApplied(e.Version)
	}
	if m.changed && m.now >= m.nextChanged {
		m.changed = false
		m.nextChanged = m.now.Add(m.settings.MinChangedInterval)
		m.emit(Changed{})
	}
	out, m.out = m.out, nil
	return out
}

func (m *Membership) emit(a Action) { m.out = append(m.out, a) }

// start runs at the first event. It randomizes the phase of the periodic work, so that nodes that start together do not
// send in step, and queues the announcement of this instance.
func (m *Membership) start() {
	if m.started {
		return
	}
	m.started = true
	m.lastEvent = m.now
	m.refilledAt = m.now
	m.nextProbe = m.now.Add(m.randomDelay(m.settings.ProbeInterval))
	m.nextRepair = m.now.Add(m.randomDelay(m.settings.RepairInterval))
	m.nextReconnect = m.now.Add(m.randomDelay(m.settings.ReconnectInterval))
	m.updates.add(m.self)
}

// randomDelay returns a random duration in [0, d).
func (m *Membership) randomDelay(d time.Duration) time.Duration {
	return time.Duration(m.random.Float64() * float64(d))
}

// detectFreeze detects that this process did not run for a while. It then discards the pending probes and restarts the
// timeouts of suspect and leaving members, because responses may have arrived while the process could not read them.
func (m *Membership) detectFreeze() {
	gap := m.now.Sub(m.lastEvent)
	m.lastEvent = m.now
	if gap < m.settings.FreezeThreshold {
		return
	}
	m.raiseHealth(2)
	m.probes = m.probes[:0]
	m.selfChecksLeft = m.settings.SelfCheckProbes
	m.selfCheckDeadline = m.now.Add(m.settings.SelfCheckTimeout)
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

// probesTrusted reports whether a failed probe counts against its target. It does not while this node recovers from a
// freeze.
func (m *Membership) probesTrusted() bool {
	return m.selfChecksLeft == 0 || m.now >= m.selfCheckDeadline
}

func (m *Membership) raiseHealth(by int) { m.health = min(m.health+by, m.settings.MaxHealthScore) }
func (m *Membership) lowerHealth()       { m.health = max(m.health-1, 0) }

func (m *Membership) tick() {
	m.refill()
	m.expire()
	m.retryNotices()
	m.probeIfDue()
	m.gossip()
	m.repairIfDue()
	m.reconnectIfDue()
}

// bootstrap adds the rows without gossiping them, because every starting node reads the same rows.
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
		// Composed before the merge, so that the updates of the request are not sent back to their sender.
		reply = m.composeReply(m.list.find(e.Message.From))
	}
	m.merge(&e.Message)
	switch e.Kind {
	case GossipRequest:
		if e.Message.Probe != "" {
			m.relayProbe(e.Message.Probe, e.Exchange)
			return
		}
		// A sender that knows only the address of this node, or that suspects it, gets its member regardless of the budget.
		if !known || m.refuted {
			reply.Members = append(reply.Members, m.self.Member)
		}
		m.appendNewer(e.Message.Members, &reply)
		m.compareDigests(e.Message.Digests, &reply)
		m.chargeBudget(&reply)
		m.emit(Reply{Exchange: e.Exchange, Message: reply})
	case GossipResponse:
		m.continueRepair(&e.Message)
	}
}

// appendNewer appends this node's members that supersede the given updates. It skips a dead member that the sender
// suspects at the same revision, since the sender is about to declare the death itself.
func (m *Membership) appendNewer(updates []Member, reply *Message) {
	for i := range updates {
		if len(reply.Members) >= m.settings.MaxUpdates {
			return
		}
		e := m.list.find(updates[i].Instance)
		if e == nil || e == m.self || compare(&e.Member, &updates[i]) <= 0 {
			continue
		}
		alreadySuspected := e.State == Dead && updates[i].State == Suspect && e.Revision == updates[i].Revision
		switch {
		case e.Incarnation != updates[i].Incarnation:
			reply.Members = append(reply.Members, e.Member)
		case !alreadySuspected:
			reply.Members = append(reply.Members, e.stateOnly())
		}
	}
}

// merge applies the contents of a message, except its digests.
func (m *Membership) merge(msg *Message) {
	// A message with more than MaxUpdates members comes from a repair. Gossiping all of them again would flood the update
	// queue after a partition, although the sender has them already.
	gossip := len(msg.Members) <= m.settings.MaxUpdates
	for i := range msg.Members {
		m.apply(&msg.Members[i], gossip)
	}
	if len(msg.Crashes) > 0 {
		m.emit(MergeCrashes{Records: msg.Crashes})
	}
	m.observeVersion(msg)
}

// observeVersion records the configuration version of the sender and reports a newer one to the driver.
func (m *Membership) observeVersion(msg *Message) {
	from := m.list.find(msg.From)
	if from == nil || from == m.self {
		return
	}
	from.clearProvisional()
	from.ConfigurationVersion = max(from.ConfigurationVersion, msg.ConfigurationVersion)
	if msg.ConfigurationVersion <= m.self.ConfigurationVersion {
		return
	}
	// The same version is reported again after 1 s, in case the fetch from the first sender failed.
	if msg.ConfigurationVersion <= m.announced.version && m.now.Sub(m.announced.announcedAt) < time.Second {
		return
	}
	m.announced = announcedVersion{version: msg.ConfigurationVersion, announcedAt: m.now}
	m.emit(ConfigurationAvailable{Version: msg.ConfigurationVersion, From: from.Instance, Address: from.Address})
}

func (m *Membership) configurationApplied(version uint64) {
	if version <= m.self.ConfigurationVersion {
		return
	}
	m.self.ConfigurationVersion = version
	m.versionTicks = m.transmissions()
}

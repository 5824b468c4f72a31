package fleet

import (
	"maps"
	"math/bits"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/sapphiretack/sapphiretack/quarantine"
	"github.com/sapphiretack/sapphiretack/request"
	"github.com/sapphiretack/sapphiretack/routing"
)

// Settings configure the gossip between nodes and the age at which entries become stale.
type Settings struct {
	// ZoneFanout is the number of nodes of the local zone that a tick sends a message to. One of them is sent summaries of other
	// zones, if there are any, and the others entries.
	ZoneFanout int
	// CrossZoneInterval is the minimum time between messages to other zones, which limits the cost of traffic between zones.
	CrossZoneInterval time.Duration
	// ZoneMaxAge and SummaryMaxAge are the ages from which entries of the local zone and summaries of other zones may count as
	// stale; see ageMeter.
	ZoneMaxAge, SummaryMaxAge time.Duration
	// CrossZoneMaxAge is the age at which an entry of another zone becomes stale. Only nodes of earlier versions send these.
	CrossZoneMaxAge time.Duration
	// RetryInterval is the minimum time between messages to a node whose entry is stale or unknown.
	RetryInterval time.Duration
	// WatchersPerZone is the number of nodes of each zone that watch the store for the others.
	WatchersPerZone int
	// IsolationTime is the time without messages of other nodes after which a node watches the store itself.
	IsolationTime time.Duration
	// SettleTime is the time without news of further nodes of the zone after which a node that has started, or was paused for
	// longer than PauseTime, summarizes its zone.
	SettleTime, PauseTime time.Duration
}

// DefaultSettings returns the default settings.
func DefaultSettings() Settings {
	return Settings{
		ZoneFanout:        3,
		CrossZoneInterval: 200 * time.Millisecond,
		ZoneMaxAge:        time.Second, SummaryMaxAge: 1500 * time.Millisecond, CrossZoneMaxAge: 1500 * time.Millisecond,
		WatchersPerZone: 6, IsolationTime: 500 * time.Millisecond,
		RetryInterval: time.Second, SettleTime: 200 * time.Millisecond, PauseTime: time.Second,
	}
}

// Endpoint is the network address and zone of a node, as registered in the store.
type Endpoint struct {
	Address netip.Addr
	Zone    request.ZoneID
}

// Message is a batch of entries, of summaries or of crash reports to send to one node.
type Message struct {
	To        netip.Addr
	Entries   []Entry
	Summaries []Summary
	Crashes   []quarantine.Report
	// ConfigurationVersion is the version that the sender of summaries or crash reports uses.
	ConfigurationVersion routing.Version
}

type member struct {
	entry    Entry
	renewed  request.Instant // when the node renewed the entry
	told     request.Instant // when the entry was last sent on
	hasEntry bool            // whether an entry has been received
	lastSent request.Instant // when the last message was sent
	// heard is the last time at which the node is known to have lived, from its entry or from a summary that names it; for an
	// address from the store, it is the time at which that was read.
	heard request.Instant
	// failed is the time of the last failed connection to the node, after which it is avoided until avoidUntil. While its entry is
	// not renewed, it counts as gone early.
	failed, avoidUntil request.Instant
	// earlier is the backend server that the node had before its last restart and that had not left, or empty, and confirmed counts the
	// messages that have told the node so.
	earlier   request.InstanceID
	confirmed int
}

const (
	// maxMembers bounds the nodes in a table, and the departures that it holds: a faulty store or node could name new ones for ever.
	maxMembers = 1 << 13
	// maxSummaries bounds the summaries, of which there is one for each service in each zone.
	maxSummaries = 1 << 13
)

// neverSent precedes any instant that the driver passes.
const neverSent = request.Instant(-1 << 62)

// Table holds the entries and summaries that a node knows; it is not safe for concurrent use.
type Table struct {
	settings      Settings
	self          netip.Addr
	zone          request.ZoneID
	random        *rand.Rand
	members       map[netip.Addr]*member
	summaries     map[summaryKey]*heldSummary
	ticks         int             // number of calls of Messages
	lastCrossZone request.Instant // when a message to another zone was last sent
	lastRenewed   request.Instant // when the entry of the local node was last renewed
	lastReceived  request.Instant // when a message of another node was last merged
	resumed       request.Instant // when the last pause of the local node ended
	discovered    request.Instant // when a node of the zone was last discovered
	isSettled     bool            // whether the node summarizes its zone
	// minIncarnation is the lowest incarnation that supersedes the entries other nodes have of this node. The clock, from which the
	// incarnation is derived, may have been set back since an earlier incarnation of the node.
	minIncarnation request.Incarnation
	// left holds the backend servers that have said to this node that they leave.
	left map[request.InstanceID]departure
	// held are the departures that nodes of the zone are told again after a restart, by their address, and toldDepartures those that other
	// nodes have told the local node.
	held           map[netip.Addr]*heldDeparture
	toldDepartures []ToldDeparture
	// confirmedInstances are the backend servers of the local node that had not left before its restart, as other nodes have told it.
	confirmedInstances []request.InstanceID
	// entryAges and summaryAges tell how long entries of the local zone and summaries of other zones take to arrive.
	entryAges, summaryAges ageMeter
}

// New returns a table that contains only the local node.
func New(s Settings, self Endpoint, random *rand.Rand) *Table {
	t := &Table{
		settings: s, self: self.Address, zone: self.Zone, random: random,
		members: map[netip.Addr]*member{}, summaries: map[summaryKey]*heldSummary{}, left: map[request.InstanceID]departure{},
		held: map[netip.Addr]*heldDeparture{},
	}
	t.lastCrossZone, t.lastRenewed, t.lastReceived, t.resumed = neverSent, neverSent, neverSent, neverSent
	t.members[self.Address] = &member{entry: Entry{Address: self.Address, Zone: self.Zone}}
	return t
}

// AddEndpoints adds nodes read from the store; known nodes are left unchanged.
func (t *Table) AddEndpoints(now request.Instant, endpoints []Endpoint) {
	for _, e := range endpoints {
		if t.members[e.Address] == nil && len(t.members) < maxMembers {
			t.members[e.Address] = &member{entry: Entry{Address: e.Address, Zone: e.Zone}, lastSent: neverSent, told: neverSent, heard: now}
			if e.Zone == t.zone {
				t.isSettled, t.discovered = false, now
			}
		}
	}
}

// RenewSelf replaces the entry of the local node and increments its sequence number.
func (t *Table) RenewSelf(now request.Instant, e Entry) {
	if now.Sub(t.lastRenewed) >= t.settings.PauseTime {
		t.isSettled, t.discovered = false, now
		if t.lastRenewed != neverSent {
			t.resumed = now
		}
	}
	t.lastRenewed = now
	m := t.members[t.self]
	e.Address, e.Zone = t.self, t.zone
	e.Sequence = m.entry.Sequence + 1
	e.Incarnation = max(e.Incarnation, t.minIncarnation)
	m.entry, m.renewed, m.hasEntry = e, now, true
	if now >= t.resumed.Add(t.settings.SettleTime) {
		t.measureAges(now)
	}
}

// Merge adds received entries that are newer than the known ones, and leaves out those that no node can mean. It returns the highest configuration version among the received
// entries, or 0 if there is none, and the address of a node that has it.
func (t *Table) Merge(now request.Instant, entries []Entry) (routing.Version, netip.Addr) {
	var newest routing.Version
	var holder netip.Addr
	if len(entries) > 0 {
		t.lastReceived = now
	}
	for i := range entries {
		e := &entries[i]
		if !e.isValid() {
			continue
		}
		if e.Address == t.self {
			if e.Health == Departed {
				t.toldDepartures = append(t.toldDepartures, ToldDeparture{e.Instance, e.Age})
			} else if e.Incarnation == 0 && e.Instance != "" { // not an entry of this node that has come back
				t.confirmedInstances = append(t.confirmedInstances, e.Instance)
			}
			if e.Incarnation > t.members[t.self].entry.Incarnation {
				t.minIncarnation = max(t.minIncarnation, e.Incarnation+1)
			}
			continue
		}
		if e.ConfigurationVersion > newest {
			newest, holder = e.ConfigurationVersion, e.Address
		}
		m := t.members[e.Address]
		if m == nil {
			if len(t.members) >= maxMembers {
				continue
			}
			m = &member{lastSent: neverSent, told: neverSent}
			t.members[e.Address] = m
		}
		if m.hasEntry && !e.isNewer(&m.entry) {
			continue
		}
		if m.hasEntry && e.Incarnation > m.entry.Incarnation {
			m.avoidUntil = 0
			m.earlier, m.confirmed = t.earlierInstance(m), 0
		}
		if e.Zone == t.zone && !t.isFresh(now, m) {
			t.discovered = now
		}
		m.entry, m.hasEntry = *e, true
		m.renewed = now.Add(-e.Age)
		m.heard = m.renewed
		if e.Health == Departed {
			t.hold(now, e)
		}
	}
	return newest, holder
}

// MarkUnreachable records a failed connection to a node, which is then avoided for the given time.
func (t *Table) MarkUnreachable(now request.Instant, a netip.Addr, d time.Duration) {
	if m := t.members[a]; m != nil && a != t.self {
		m.failed, m.avoidUntil = now, now.Add(d)
	}
}

// SetHealth sets the health of a node's backend server, as reported in a refusal, without waiting for its next entry. A node of
// another zone without an entry is avoided for SummaryMaxAge, within which a later summary leaves it out.
func (t *Table) SetHealth(now request.Instant, a netip.Addr, h Health) {
	m := t.members[a]
	if m == nil || a == t.self {
		return
	}
	if m.hasEntry {
		m.entry.Health = h
	} else if h != Serving {
		m.avoidUntil = now.Add(t.settings.SummaryMaxAge)
	}
}

// Messages returns the messages to send in one tick: entries of the zone to nodes of the zone, summaries of other zones to
// one of them, and at each CrossZoneInterval those of the local zone to a node of another one.
func (t *Table) Messages(now request.Instant) []Message {
	var local, remote []*member
	for a, m := range t.members {
		if a == t.self || !t.isDue(now, m) {
			continue
		}
		if m.entry.Zone == t.zone {
			local = append(local, m)
		} else {
			remote = append(remote, m)
		}
	}
	t.ticks++
	local = t.recipients(local)
	t.shuffle(remote)
	var out []Message
	if len(local) > 0 {
		if out = t.appendSummaries(out, now, local[0], false); len(out) > 0 && len(local) > 1 {
			local = local[1:]
		}
	}
	for _, m := range local {
		out = append(out, Message{To: m.entry.Address, Entries: t.nextEntries(now, m)})
		m.lastSent = now
	}
	for _, m := range out {
		out = t.appendConfirmed(t.appendHeld(out, now, m.To), m.To)
	}
	if now.Sub(t.lastCrossZone) >= t.settings.CrossZoneInterval && len(remote) > 0 {
		t.lastCrossZone = now
		out = t.appendSummaries(out, now, remote[0], true)
	}
	return out
}

// Partners returns live nodes, chosen at random: at most the given number of nodes of the zone, and one of each of at most the given
// number of other zones.
func (t *Table) Partners(now request.Instant, local, otherZones int) []netip.Addr {
	byZone := map[request.ZoneID][]*member{}
	for a, m := range t.members {
		if a != t.self && t.isDue(now, m) {
			byZone[m.entry.Zone] = append(byZone[m.entry.Zone], m)
		}
	}
	var out []netip.Addr
	zones := slices.Sorted(maps.Keys(byZone))
	t.random.Shuffle(len(zones), func(i, j int) { zones[i], zones[j] = zones[j], zones[i] })
	for _, zone := range zones {
		members := byZone[zone]
		count := 1
		if zone == t.zone {
			count = local
		} else if otherZones--; otherZones < 0 {
			continue
		}
		t.shuffle(members)
		for _, m := range members[:min(count, len(members))] {
			out = append(out, m.entry.Address)
		}
	}
	return out
}

// appendSummaries appends a message with the summaries of the local zone, or of all others, unless there are none.
func (t *Table) appendSummaries(out []Message, now request.Instant, to *member, isOwn bool) []Message {
	summaries := t.nextSummaries(now, isOwn)
	if len(summaries) == 0 {
		return out
	}
	to.lastSent = now
	version := t.members[t.self].entry.ConfigurationVersion
	return append(out, Message{To: to.entry.Address, Summaries: summaries, ConfigurationVersion: version})
}

// isDue reports whether a node may be sent a message; nodes without a sign of life are due once per RetryInterval.
func (t *Table) isDue(now request.Instant, m *member) bool {
	isLive := t.isFresh(now, m) || m.entry.Zone != t.zone && now.Sub(m.heard) < maxSilence
	return isLive || now.Sub(m.lastSent) >= t.settings.RetryInterval
}

// recipients returns the nodes of the zone that a tick sends messages to. All but the last one are at distances in the order of
// addresses that double with each tick, so that news reaches all nodes after about log2(n) ticks and no node is left out for long, as
// some always are if all choices are random. The last one is random, so that nodes that know different parts of the zone meet.
func (t *Table) recipients(candidates []*member) []*member {
	t.shuffle(candidates)
	n := len(candidates)
	if n <= t.settings.ZoneFanout {
		return candidates
	}
	random := candidates[0]
	slices.SortFunc(candidates, compareAddresses)
	begin, _ := slices.BinarySearchFunc(candidates, t.self, func(m *member, a netip.Addr) int { return m.entry.Address.Compare(a) })
	var out []*member
	steps := bits.Len(uint(n - 1))
	for i := range t.settings.ZoneFanout - 1 {
		distance := 1 << ((t.ticks + i*steps/t.settings.ZoneFanout) % steps)
		if m := candidates[(begin+distance-1)%n]; !slices.Contains(out, m) {
			out = append(out, m)
		}
	}
	if !slices.Contains(out, random) {
		out = append(out, random)
	}
	return out
}

func compareAddresses(a, b *member) int { return a.entry.Address.Compare(b.entry.Address) }

// shuffle puts the members into a random order that depends only on the random source.
func (t *Table) shuffle(members []*member) {
	slices.SortFunc(members, compareAddresses)
	t.random.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
}

// nextEntries returns the entries for one message to a node of the zone: that of the local node, then those of other nodes in a
// random order, first those renewed since they were last sent. Sending the most recently renewed ones instead would leave out the
// same entries for seconds in a zone of more nodes than fit into a message.
func (t *Table) nextEntries(now request.Instant, to *member) []Entry {
	maxAge := t.zoneMaxAge(now)
	var candidates []*member
	for a, m := range t.members {
		if a != t.self && m != to && m.hasEntry && m.entry.Zone == t.zone && now.Sub(m.renewed) < maxAge {
			candidates = append(candidates, m)
		}
	}
	t.shuffle(candidates)
	slices.SortStableFunc(candidates, func(a, b *member) int { return compareNews(a.renewed, a.told, b.renewed, b.told) })
	out := []Entry{t.members[t.self].entry}
	size := messageOverhead + out[0].size()
	for _, m := range candidates {
		e := m.entry
		e.Age = now.Sub(m.renewed)
		if size += e.size(); size > MaxMessageBytes {
			break
		}
		m.told = now
		out = append(out, e)
	}
	return out
}

// isFresh reports whether the entry of a node is recent enough to use for placement.
func (t *Table) isFresh(now request.Instant, m *member) bool {
	if m.entry.Address == t.self {
		return true
	}
	limit := t.settings.CrossZoneMaxAge
	if m.entry.Zone == t.zone {
		limit = t.zoneMaxAge(now)
	}
	if m.failed > m.renewed {
		limit = min(limit, t.settings.ZoneMaxAge)
	}
	return m.hasEntry && now.Sub(m.renewed) < limit
}

// zoneMaxAge returns the age at which entries of the local zone become stale.
func (t *Table) zoneMaxAge(now request.Instant) time.Duration {
	if now < t.resumed.Add(t.settings.SettleTime) {
		return maxSilence // the local node was paused, the others were not silent
	}
	return t.entryAges.maxAge(t.settings.ZoneMaxAge)
}

// measureAges updates the ages of the entries of the local zone and of the summaries of other zones.
func (t *Table) measureAges(now request.Instant) {
	var entries, summaries []time.Duration
	for a, m := range t.members {
		if a != t.self && m.hasEntry && m.entry.Zone == t.zone {
			entries = append(entries, now.Sub(m.renewed))
		}
	}
	for key, h := range t.summaries {
		if key.zone != t.zone {
			summaries = append(summaries, now.Sub(h.made))
		}
	}
	t.entryAges.update(entries)
	t.summaryAges.update(summaries)
}

// Instance is the last known state of a backend server.
type Instance struct {
	Entry
	IsSelf bool
	// IsFresh is set if the entry is not stale.
	IsFresh bool
	// IsUnreachable is set if a connection to its node failed recently.
	IsUnreachable bool
	// IsSummarized is set if a summary of its zone counts the instance.
	IsSummarized bool
}

// View is what a node knows of the fleet.
type View struct {
	// Instances are the instances of the local zone and those of other zones that summaries name, sorted by address.
	Instances []Instance
	// Summaries are those of other zones.
	Summaries []Summary
}

// Snapshot returns the current view.
func (t *Table) Snapshot(now request.Instant) View {
	v := View{Summaries: t.Summaries(now)}
	isSummarized := map[summaryKey]bool{}
	for _, s := range v.Summaries {
		isSummarized[summaryKey{s.Zone, s.Service}] = true
		for _, server := range s.Servers {
			if m := t.members[server.Address]; m != nil && m.entry.Zone != t.zone {
				v.Instances = append(v.Instances, Instance{
					Entry: Entry{
						Address: server.Address, Zone: s.Zone, Service: s.Service, Instance: server.Instance, Age: s.Age, Health: Serving, Limit: server.Limit,
						DominantRoute: server.DominantRoute, ServiceTime: server.ServiceTime,
					},
					IsFresh: true, IsUnreachable: now < m.avoidUntil, IsSummarized: true,
				})
			}
		}
	}
	for a, m := range t.members {
		if m.hasEntry && (m.entry.Zone == t.zone || !isSummarized[summaryKey{m.entry.Zone, m.entry.Service}]) {
			e := m.entry
			e.Age = now.Sub(m.renewed)
			v.Instances = append(v.Instances, Instance{Entry: e, IsSelf: a == t.self, IsFresh: t.isFresh(now, m), IsUnreachable: now < m.avoidUntil})
		}
	}
	for i := range v.Instances {
		in := &v.Instances[i]
		if in.Health == Serving && !in.IsSelf && t.isMarkedLeaving(in.Instance) {
			in.Health = Leaving
		}
	}
	slices.SortFunc(v.Instances, func(a, b Instance) int { return a.Address.Compare(b.Address) })
	return v
}

// IsWatcher reports whether the local node watches the store, and tells others what changes there. These are the live nodes with
// the lowest addresses of each zone, so that the calls to the store do not grow with the zone, and each node that hears of no
// other one. Nothing is elected: while nodes disagree, more of them watch.
func (t *Table) IsWatcher(now request.Instant) bool {
	if now.Sub(t.lastReceived) >= t.settings.IsolationTime {
		return true
	}
	before := 0
	for a, m := range t.members {
		if m.entry.Zone == t.zone && a.Less(t.self) && t.isFresh(now, m) {
			before++
		}
	}
	return before < t.settings.WatchersPerZone
}

// LiveEndpoints returns the local node and the nodes of its zone that are known to live.
func (t *Table) LiveEndpoints(now request.Instant) []Endpoint {
	var out []Endpoint
	for a, m := range t.members {
		if m.entry.Zone == t.zone && t.isFresh(now, m) {
			out = append(out, Endpoint{Address: a, Zone: m.entry.Zone})
		}
	}
	slices.SortFunc(out, func(a, b Endpoint) int { return a.Address.Compare(b.Address) })
	return out
}

// LiveNodes returns the number of nodes in the fleet that are known to live.
func (v View) LiveNodes() int {
	n := 0
	for _, in := range v.Instances {
		if in.IsFresh && !in.IsSummarized {
			n++
		}
	}
	for _, s := range v.Summaries {
		n += int(s.Nodes)
	}
	return n
}

// RemoveOlder removes nodes without a sign of life for maxAge, so that replaced instances do not accumulate, and summaries and
// departures of that age. The nodes of a zone of which all are silent are kept: the zone is cut off, and its nodes are needed when it is not.
func (t *Table) RemoveOlder(now request.Instant, maxAge time.Duration) {
	t.removeSummaries(now, maxAge)
	t.removeDepartures(now, maxAge)
	heard := map[request.ZoneID]request.Instant{}
	for _, m := range t.members {
		heard[m.entry.Zone] = max(heard[m.entry.Zone], m.heard)
	}
	for a, m := range t.members {
		if a != t.self && now.Sub(m.heard) > maxAge && now.Sub(heard[m.entry.Zone]) <= maxAge {
			delete(t.members, a)
		}
	}
}

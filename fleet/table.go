package fleet

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/sapphiretack/sapphiretack/request"
	"github.com/sapphiretack/sapphiretack/routing"
)

// Settings configure the gossip between nodes and the age at which entries become stale.
type Settings struct {
	// ZoneFanout and CrossZoneFanout are the numbers of nodes that a tick sends messages to, in the local zone and in all other
	// zones together.
	ZoneFanout, CrossZoneFanout int
	// CrossZoneInterval is the minimum time between messages to other zones, which limits the cost of traffic between zones.
	CrossZoneInterval time.Duration
	// MaxEntriesPerMessage is the maximum number of entries in a message, so that it fits into one datagram.
	MaxEntriesPerMessage int
	// ZoneMaxAge and CrossZoneMaxAge are the ages at which an entry becomes stale, for nodes in the zone and in other zones.
	ZoneMaxAge, CrossZoneMaxAge time.Duration
	// RetryInterval is the minimum time between messages to a node whose entry is stale or unknown.
	RetryInterval time.Duration
}

// DefaultSettings returns the default settings.
func DefaultSettings() Settings {
	return Settings{
		ZoneFanout: 3, CrossZoneFanout: 1,
		CrossZoneInterval:    200 * time.Millisecond,
		MaxEntriesPerMessage: 12,
		ZoneMaxAge:           time.Second, CrossZoneMaxAge: 1500 * time.Millisecond,
		RetryInterval: time.Second,
	}
}

// Endpoint is the network address and zone of a node, as registered in the store.
type Endpoint struct {
	Address netip.Addr
	Zone    request.ZoneID
}

// Message is a batch of entries to send to one node.
type Message struct {
	To      netip.Addr
	Entries []Entry
}

type member struct {
	entry    Entry
	renewed  request.Instant // when the node renewed the entry
	hasEntry bool            // whether an entry has been received
	lastSent request.Instant // when the last message was sent
	// avoidUntil is the time until which the node is avoided after a failed connection.
	avoidUntil request.Instant
}

// neverSent precedes any instant that the driver passes.
const neverSent = request.Instant(-1 << 62)

// Table holds the entries that a node knows; it is not safe for concurrent use.
type Table struct {
	settings      Settings
	self          netip.Addr
	zone          request.ZoneID
	random        *rand.Rand
	members       map[netip.Addr]*member
	lastCrossZone request.Instant // when messages to other zones were last sent
	// minIncarnation is the lowest incarnation that supersedes the entries other nodes have of this node. The clock, from which the
	// incarnation is derived, may have been set back since an earlier incarnation of the node.
	minIncarnation request.Incarnation
}

// New returns a table that contains only the local node.
func New(s Settings, self Endpoint, random *rand.Rand) *Table {
	t := &Table{settings: s, self: self.Address, zone: self.Zone, random: random, members: map[netip.Addr]*member{}}
	t.lastCrossZone = neverSent
	t.members[self.Address] = &member{entry: Entry{Address: self.Address, Zone: self.Zone}}
	return t
}

// AddEndpoints adds nodes read from the store; known nodes are left unchanged.
func (t *Table) AddEndpoints(endpoints []Endpoint) {
	for _, e := range endpoints {
		if t.members[e.Address] == nil {
			t.members[e.Address] = &member{entry: Entry{Address: e.Address, Zone: e.Zone}, lastSent: neverSent}
		}
	}
}

// RenewSelf replaces the entry of the local node and increments its sequence number.
func (t *Table) RenewSelf(now request.Instant, e Entry) {
	m := t.members[t.self]
	e.Address, e.Zone = t.self, t.zone
	e.Sequence = m.entry.Sequence + 1
	e.Incarnation = max(e.Incarnation, t.minIncarnation)
	m.entry, m.renewed, m.hasEntry = e, now, true
}

// Merge adds received entries that are newer than the known ones. It returns the highest configuration version among the received
// entries, or 0 if there is none, and the address of a node that has it.
func (t *Table) Merge(now request.Instant, entries []Entry) (routing.Version, netip.Addr) {
	var newest routing.Version
	var holder netip.Addr
	for i := range entries {
		e := &entries[i]
		if !e.Address.IsValid() || e.Age < 0 {
			continue
		}
		if e.Address == t.self {
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
			m = &member{lastSent: neverSent}
			t.members[e.Address] = m
		}
		if m.hasEntry && !e.isNewer(&m.entry) {
			continue
		}
		if m.hasEntry && e.Incarnation > m.entry.Incarnation {
			m.avoidUntil = 0
		}
		m.entry, m.hasEntry = *e, true
		m.renewed = now.Add(-e.Age)
	}
	return newest, holder
}

// MarkUnreachable records a failed connection to a node, which is then avoided for the given time.
func (t *Table) MarkUnreachable(now request.Instant, a netip.Addr, d time.Duration) {
	if m := t.members[a]; m != nil && a != t.self {
		m.avoidUntil = now.Add(d)
	}
}

// SetHealth sets the health of a node's backend server, as reported in a refusal, without waiting for its next entry.
func (t *Table) SetHealth(a netip.Addr, h Health) {
	if m := t.members[a]; m != nil && m.hasEntry && a != t.self {
		m.entry.Health = h
	}
}

// Messages returns the messages to send in one tick.
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
	out := t.messagesTo(now, local, t.settings.ZoneFanout, t.freshest(now, false))
	if now.Sub(t.lastCrossZone) >= t.settings.CrossZoneInterval {
		t.lastCrossZone = now
		out = append(out, t.messagesTo(now, remote, t.settings.CrossZoneFanout, t.freshest(now, true))...)
	}
	return out
}

// isDue reports whether a node may be sent a message; nodes without a fresh entry are due once per RetryInterval.
func (t *Table) isDue(now request.Instant, m *member) bool {
	return t.isFresh(now, m) || now.Sub(m.lastSent) >= t.settings.RetryInterval
}

// messagesTo addresses the entries to up to n random candidates.
func (t *Table) messagesTo(now request.Instant, candidates []*member, n int, entries []Entry) []Message {
	slices.SortFunc(candidates, func(a, b *member) int { return a.entry.Address.Compare(b.entry.Address) })
	t.random.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	var out []Message
	for _, m := range candidates[:min(n, len(candidates))] {
		m.lastSent = now
		out = append(out, Message{To: m.entry.Address, Entries: entries})
	}
	return out
}

// freshest returns the entry of the local node and the most recently renewed other entries, limited to the local zone if zoneOnly
// is set.
func (t *Table) freshest(now request.Instant, zoneOnly bool) []Entry {
	var fresh []*member
	for a, m := range t.members {
		if a != t.self && m.hasEntry && t.isFresh(now, m) && (!zoneOnly || m.entry.Zone == t.zone) {
			fresh = append(fresh, m)
		}
	}
	slices.SortFunc(fresh, func(a, b *member) int {
		if a.renewed != b.renewed {
			return int(b.renewed - a.renewed)
		}
		return a.entry.Address.Compare(b.entry.Address)
	})
	out := []Entry{t.members[t.self].entry}
	for _, m := range fresh[:min(len(fresh), t.settings.MaxEntriesPerMessage-1)] {
		e := m.entry
		e.Age = now.Sub(m.renewed)
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
		limit = t.settings.ZoneMaxAge
	}
	return m.hasEntry && now.Sub(m.renewed) < limit
}

// Instance is the last known state of a backend server.
type Instance struct {
	Entry
	IsSelf bool
	// IsFresh is set if the entry is not stale.
	IsFresh bool
	// IsUnreachable is set if a connection to its node failed recently.
	IsUnreachable bool
}

// Snapshot returns the known instances, sorted by address.
func (t *Table) Snapshot(now request.Instant) []Instance {
	out := make([]Instance, 0, len(t.members))
	for a, m := range t.members {
		if m.hasEntry {
			e := m.entry
			e.Age = now.Sub(m.renewed)
			out = append(out, Instance{Entry: e, IsSelf: a == t.self, IsFresh: t.isFresh(now, m), IsUnreachable: now < m.avoidUntil})
		}
	}
	slices.SortFunc(out, func(a, b Instance) int { return a.Address.Compare(b.Address) })
	return out
}

// RemoveOlder removes nodes whose last entry is older than maxAge, so that replaced instances do not accumulate.
func (t *Table) RemoveOlder(now request.Instant, maxAge time.Duration) {
	for a, m := range t.members {
		if a != t.self && m.hasEntry && now.Sub(m.renewed) > maxAge {
			delete(t.members, a)
		}
	}
}

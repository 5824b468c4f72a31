package fleet

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/sapphiretack/sapphiretack/request"
	"github.com/sapphiretack/sapphiretack/routing"
)

// Settings bound the messages between nodes and the age of what they say.
type Settings struct {
	// NearTargets and FarTargets are the nodes that one round of messages reaches, in and outside the zone.
	NearTargets, FarTargets int
	// FarInterval is the time between messages to other zones, whose bytes are dear.
	FarInterval time.Duration
	// EntriesPerMessage keeps a message within one datagram.
	EntriesPerMessage int
	// NearStale and FarStale are the ages from which an entry is not used for placement.
	NearStale, FarStale time.Duration
	// RetryInterval is the time between messages to a node that does not answer.
	RetryInterval time.Duration
}

// DefaultSettings returns the settings of the design.
func DefaultSettings() Settings {
	return Settings{
		NearTargets: 3, FarTargets: 1,
		FarInterval:       200 * time.Millisecond,
		EntriesPerMessage: 12,
		NearStale:         time.Second, FarStale: 1500 * time.Millisecond,
		RetryInterval: time.Second,
	}
}

// Address is where a node can be found, before anything else is known of it.
type Address struct {
	Address netip.Addr
	Zone    request.ZoneID
}

// Message is a batch of entries for one node.
type Message struct {
	To      netip.Addr
	Entries []Entry
}

type member struct {
	entry   Entry
	learned request.Instant // when the entry was true
	known   bool            // an entry has arrived
	sent    request.Instant
	// broken is until when attempts to the node are avoided after a failed connection.
	broken request.Instant
}

// neverSent is before any instant that a caller passes.
const neverSent = request.Instant(-1 << 62)

// Table is what one node knows of the fleet; it is not safe for concurrent use.
type Table struct {
	settings Settings
	self     netip.Addr
	zone     request.ZoneID
	random   *rand.Rand
	members  map[netip.Addr]*member
	lastFar  request.Instant
	// floor is above the incarnations under which others know the own node, whose clock may have been set back since.
	floor request.Incarnation
}

// New returns a table that knows the own node only.
func New(s Settings, self Address, random *rand.Rand) *Table {
	t := &Table{settings: s, self: self.Address, zone: self.Zone, random: random, members: map[netip.Addr]*member{}}
	t.lastFar = neverSent
	t.members[self.Address] = &member{entry: Entry{Address: self.Address, Zone: self.Zone}}
	return t
}

// Introduce adds nodes that the store knows.
func (t *Table) Introduce(addresses []Address) {
	for _, a := range addresses {
		if t.members[a.Address] == nil {
			t.members[a.Address] = &member{entry: Entry{Address: a.Address, Zone: a.Zone}, sent: neverSent}
		}
	}
}

// Renew replaces the entry of the own node.
func (t *Table) Renew(now request.Instant, e Entry) {
	m := t.members[t.self]
	e.Address, e.Zone = t.self, t.zone
	e.Sequence = m.entry.Sequence + 1
	e.Incarnation = max(e.Incarnation, t.floor)
	m.entry, m.learned, m.known = e, now, true
}

// Merge takes over what another node knows and returns the highest configuration version among the entries, with the
// address of the node that has it.
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
				t.floor = max(t.floor, e.Incarnation+1)
			}
			continue
		}
		if e.Configuration > newest {
			newest, holder = e.Configuration, e.Address
		}
		m := t.members[e.Address]
		if m == nil {
			m = &member{sent: neverSent}
			t.members[e.Address] = m
		}
		if m.known && !e.isNewer(&m.entry) {
			continue
		}
		if m.known && e.Incarnation > m.entry.Incarnation {
			m.broken = 0
		}
		m.entry, m.known = *e, true
		m.learned = now.Add(-e.Age)
	}
	return newest, holder
}

// Break records that a connection to the node failed; it is avoided for the given time.
func (t *Table) Break(now request.Instant, a netip.Addr, d time.Duration) {
	if m := t.members[a]; m != nil && a != t.self {
		m.broken = now.Add(d)
	}
}

// Mark records at once that the backend server beside a node takes no requests, as its refusal said.
func (t *Table) Mark(a netip.Addr, h Health) {
	if m := t.members[a]; m != nil && m.known && a != t.self {
		m.entry.Health = h
	}
}

// Messages returns the messages of one round.
func (t *Table) Messages(now request.Instant) []Message {
	var near, far []*member
	for a, m := range t.members {
		if a == t.self || !t.isDue(now, m) {
			continue
		}
		if m.entry.Zone == t.zone {
			near = append(near, m)
		} else {
			far = append(far, m)
		}
	}
	out := t.messagesTo(now, near, t.settings.NearTargets, t.freshest(now, false))
	if now.Sub(t.lastFar) >= t.settings.FarInterval {
		t.lastFar = now
		out = append(out, t.messagesTo(now, far, t.settings.FarTargets, t.freshest(now, true))...)
	}
	return out
}

// isDue limits the messages to nodes that have not been heard of for some time.
func (t *Table) isDue(now request.Instant, m *member) bool {
	return t.isFresh(now, m) || now.Sub(m.sent) >= t.settings.RetryInterval
}

func (t *Table) messagesTo(now request.Instant, candidates []*member, n int, entries []Entry) []Message {
	slices.SortFunc(candidates, func(a, b *member) int { return a.entry.Address.Compare(b.entry.Address) })
	t.random.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	var out []Message
	for _, m := range candidates[:min(n, len(candidates))] {
		m.sent = now
		out = append(out, Message{To: m.entry.Address, Entries: entries})
	}
	return out
}

// freshest returns the own entry and the most recently renewed ones, only of the own zone if zoneOnly is set.
func (t *Table) freshest(now request.Instant, zoneOnly bool) []Entry {
	var known []*member
	for a, m := range t.members {
		if a != t.self && m.known && t.isFresh(now, m) && (!zoneOnly || m.entry.Zone == t.zone) {
			known = append(known, m)
		}
	}
	slices.SortFunc(known, func(a, b *member) int {
		if a.learned != b.learned {
			return int(b.learned - a.learned)
		}
		return a.entry.Address.Compare(b.entry.Address)
	})
	out := []Entry{t.members[t.self].entry}
	for _, m := range known[:min(len(known), t.settings.EntriesPerMessage-1)] {
		e := m.entry
		e.Age = now.Sub(m.learned)
		out = append(out, e)
	}
	return out
}

func (t *Table) isFresh(now request.Instant, m *member) bool {
	if m.entry.Address == t.self {
		return true
	}
	limit := t.settings.FarStale
	if m.entry.Zone == t.zone {
		limit = t.settings.NearStale
	}
	return m.known && now.Sub(m.learned) < limit
}

// Instance is a backend server as its last entry describes it.
type Instance struct {
	Entry
	IsSelf bool
	// IsFresh is set if the entry is recent enough to be trusted.
	IsFresh bool
	// IsBroken is set if a connection to its node failed a moment ago.
	IsBroken bool
}

// Snapshot returns the instances that are known, in the order of their addresses.
func (t *Table) Snapshot(now request.Instant) []Instance {
	out := make([]Instance, 0, len(t.members))
	for a, m := range t.members {
		if m.known {
			e := m.entry
			e.Age = now.Sub(m.learned)
			out = append(out, Instance{Entry: e, IsSelf: a == t.self, IsFresh: t.isFresh(now, m), IsBroken: now < m.broken})
		}
	}
	slices.SortFunc(out, func(a, b Instance) int { return a.Address.Compare(b.Address) })
	return out
}

// Forget removes members that have been silent for the given time, so that replaced instances do not pile up.
func (t *Table) Forget(now request.Instant, silence time.Duration) {
	for a, m := range t.members {
		if a != t.self && m.known && now.Sub(m.learned) > silence {
			delete(t.members, a)
		}
	}
}

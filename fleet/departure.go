package fleet

import (
	"maps"
	"net/netip"
	"time"

	"github.com/sapphiretack/sapphiretack/request"
)

// departure is an incarnation of a backend server that has said that it leaves; its identifier is the key of the map.
type departure struct {
	start  string // of the incarnation, as in request.InstanceID.SplitStart
	marked request.Instant
}

// MarkLeaving records that an incarnation of a backend server has said in a response that it leaves. It counts as leaving whatever its
// node tells later: after a restart, the node may not know. A later incarnation under the same identifier does not count as leaving.
func (t *Table) MarkLeaving(now request.Instant, incarnation request.InstanceID) {
	if incarnation == "" {
		return
	}
	id, start := incarnation.SplitStart()
	if _, ok := t.left[id]; ok || len(t.left) < maxMembers {
		t.left[id] = departure{start, now}
	}
}

// isMarkedLeaving reports whether MarkLeaving was called for the incarnation, or for one of an unknown start time. The first start time
// that becomes known is taken for that of the incarnation that leaves.
func (t *Table) isMarkedLeaving(incarnation request.InstanceID) bool {
	id, start := incarnation.SplitStart()
	d, ok := t.left[id]
	if ok && d.start == "" && start != "" {
		d.start = start
		t.left[id] = d
	}
	return ok && (start == "" || start == d.start)
}

// maxTold is the number of times that a node tells another one of a departure after each start of that one. Datagrams can be lost, and
// the other nodes of the zone do the same.
const maxTold = 8

// heldDeparture is a departure of the backend server of another node.
type heldDeparture struct {
	instance request.InstanceID
	marked   request.Instant
	// aware is the incarnation of the node that has told of the departure itself, or 0 if the backend server has said so in a response.
	aware request.Incarnation
	// told counts the messages to the given incarnation of the node.
	told        int
	incarnation request.Incarnation
}

// ToldDeparture is a departure of the local backend server that the local node has told other nodes, and may have forgotten in a restart.
type ToldDeparture struct {
	// Instance has the start time of the incarnation if that was known.
	Instance request.InstanceID
	// Age is the time since the other node heard of it.
	Age time.Duration
}

// hold keeps the departure in an entry, so that the backend server is avoided and its node is told again after a restart. Only an entry with
// a start time leads to avoidance: the identifier alone may be that of a later incarnation, which its node can tell apart.
func (t *Table) hold(now request.Instant, e *Entry) {
	if _, start := e.Instance.SplitStart(); start != "" {
		t.MarkLeaving(now, e.Instance)
	}
	t.HoldDeparture(now.Add(-e.Age), e.Address, e.Instance)
	if h := t.held[e.Address]; h != nil {
		h.aware = e.Incarnation
	}
}

// HoldDeparture keeps the departure of the backend server of a node, so that the node is told again after a restart.
func (t *Table) HoldDeparture(now request.Instant, a netip.Addr, incarnation request.InstanceID) {
	if incarnation == "" || a == t.self {
		return
	}
	h := t.held[a]
	if h == nil && len(t.held) < maxMembers || h != nil && h.instance != incarnation {
		t.held[a] = &heldDeparture{instance: incarnation, marked: now}
	}
}

// appendHeld appends a message that tells a node of the zone of the departure of its backend server, if the node has restarted since it
// knew of that. The message is an entry of the recipient itself, which nodes of earlier versions ignore.
func (t *Table) appendHeld(out []Message, now request.Instant, to netip.Addr) []Message {
	h, m := t.held[to], t.members[to]
	if h == nil || m == nil || !m.hasEntry || m.entry.Zone != t.zone || m.entry.Incarnation == h.aware {
		return out
	}
	if h.incarnation != m.entry.Incarnation {
		h.incarnation, h.told = m.entry.Incarnation, 0
	}
	if h.told == maxTold {
		return out
	}
	h.told++
	return append(out, Message{To: to, Entries: []Entry{{
		Address: to, Zone: m.entry.Zone, Instance: h.instance, Health: Departed, Age: now.Sub(h.marked),
	}}})
}

// TakeToldDepartures returns the departures of the local backend server that other nodes have told since the last call.
func (t *Table) TakeToldDepartures() []ToldDeparture {
	told := t.toldDepartures
	t.toldDepartures = nil
	return told
}

// maxConfirmations is the number of times that a node tells another one after each start of that one that its backend server had not left.
// Datagrams can be lost, and the other nodes of the zone do the same.
const maxConfirmations = 3

// earlierInstance returns the backend server of a node that has just restarted if it had not left until then, or else an empty identifier.
func (t *Table) earlierInstance(m *member) request.InstanceID {
	e := &m.entry
	h := t.held[e.Address]
	if e.Health == Absent || e.Health == Departed || t.isMarkedLeaving(e.Instance) || h != nil && h.instance == e.Instance {
		return ""
	}
	return e.Instance
}

// appendConfirmed appends a message that tells a node of the zone which backend server it had before its restart, unless that has left. The
// message is an entry of the recipient itself, which nodes of earlier versions ignore.
func (t *Table) appendConfirmed(out []Message, to netip.Addr) []Message {
	m := t.members[to]
	if m == nil || m.earlier == "" || m.entry.Zone != t.zone || m.confirmed == maxConfirmations {
		return out
	}
	m.confirmed++
	return append(out, Message{To: to, Entries: []Entry{{Address: to, Zone: m.entry.Zone, Instance: m.earlier, Health: Serving}}})
}

// TakeConfirmed returns the backend servers that the local node had before its restart and that had not left until then, as other nodes have
// told since the last call.
func (t *Table) TakeConfirmed() []request.InstanceID {
	confirmed := t.confirmedInstances
	t.confirmedInstances = nil
	return confirmed
}

// removeDepartures removes departures that were marked longer ago than maxAge.
func (t *Table) removeDepartures(now request.Instant, maxAge time.Duration) {
	maps.DeleteFunc(t.left, func(_ request.InstanceID, d departure) bool { return now.Sub(d.marked) > maxAge })
	maps.DeleteFunc(t.held, func(_ netip.Addr, h *heldDeparture) bool { return now.Sub(h.marked) > maxAge })
}

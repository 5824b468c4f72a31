package member

import (
	"math"
	"slices"
)

// repairIfDue sends the next request of the current repair, or starts a repair once per repair interval.
func (m *Membership) repairIfDue() {
	r := &m.repair
	if r.partner != nil && len(r.members)+len(r.digests) > 0 && m.tokens > 0 {
		m.sendRepair()
		return
	}
	if m.now < m.nextRepair || m.tokens <= 0 {
		return
	}
	if r.partner != nil && m.now.Sub(r.startedAt) < repairTimeout {
		return
	}
	m.nextRepair = m.now.Add(m.settings.RepairInterval)
	m.sampler.refresh(m)
	from := m.sampler.peers
	if len(from) == 0 || (len(m.sampler.otherZones) > 0 && m.random.Float64() < m.settings.CrossZoneRepairProbability) {
		from = m.sampler.otherZones
	}
	if e := m.pick(from, nil); e != nil {
		m.startRepair(e)
		m.sendRepair()
	}
}

// startRepair prepares the first request of a repair: the digest of the whole key space.
func (m *Membership) startRepair(partner *entry) {
	m.repair = repair{partner: partner, startedAt: m.now, digests: []RangeDigest{m.list.digest(0, math.MaxUint64)}}
}

func (m *Membership) sendRepair() {
	r := &m.repair
	r.rounds++
	msg := m.compose(r.partner)
	msg.Members = append(msg.Members, r.members...)
	msg.Digests = r.digests
	r.members, r.digests = nil, nil
	m.chargeBudget(&msg)
	m.emit(SendGossip{To: r.partner.Instance, Address: r.partner.Address, Message: msg})
}

// continueRepair handles a response and prepares the next request, which is sent at the next tick.
func (m *Membership) continueRepair(response *Message) {
	r := &m.repair
	if r.partner == nil || response.From != r.partner.Instance {
		return
	}
	// A response with more than the piggybacked updates indicates that the lists differ considerably.
	r.truncated = r.truncated || len(response.Members) > m.settings.MaxUpdates
	var next Message
	// The other side sends the members that it holds alive, even if this side holds them dead.
	m.appendNewer(response.Members, &next)
	// A response with nothing to compare belongs to other gossip to the same member, or ends the repair.
	if len(response.Digests)+len(next.Members) == 0 && !r.truncated {
		return
	}
	if r.rounds < m.settings.MaxRepairRounds {
		r.truncated = m.compareDigests(response.Digests, &next) || r.truncated
	}
	r.members, r.digests = next.Members, next.Digests
	if len(r.members)+len(r.digests) > 0 {
		return
	}
	partner, truncated := r.partner, r.truncated
	m.repair = repair{}
	if truncated {
		// Many members differ, for example after a start or a partition. Continue without waiting for the interval.
		m.startRepair(partner)
	}
}

// repairBuilder adds digests and members to a message up to a size in bytes.
type repairBuilder struct {
	message   *Message
	bytesLeft int
	truncated bool
}

func (b *repairBuilder) addDigest(d RangeDigest) {
	if size := lengthDelimited(d.size()); b.reserve(size) {
		b.message.Digests = append(b.message.Digests, d)
	}
}

func (b *repairBuilder) addMember(m Member) {
	if size := lengthDelimited(m.size()); b.reserve(size) {
		b.message.Members = append(b.message.Members, m)
	}
}

// reserve reports whether size more bytes fit into the message, and marks it as truncated otherwise.
func (b *repairBuilder) reserve(size int) bool {
	if size > b.bytesLeft {
		b.truncated = true
		return false
	}
	b.bytesLeft -= size
	return true
}

// compareDigests compares the digests of another node with the list and adds the next level of detail to the message: for
// a differing range the hashes of its subranges, for a small range the hashes of its members, and for member hashes the
// members that the other node may lack. It reports whether the message was truncated at MaxRepairBytes.
func (m *Membership) compareDigests(digests []RangeDigest, to *Message) (truncated bool) {
	b := repairBuilder{message: to, bytesLeft: m.settings.MaxRepairBytes}
	for i := range digests {
		d := &digests[i]
		switch {
		case d.First > d.Last:
		case len(d.Parts) > 0:
			m.compareParts(d, &b)
		case len(d.Entries) > 0 || d.Count == 0:
			m.compareEntries(d, &b)
		default:
			local := m.list.digest(d.First, d.Last)
			if local.Hash != d.Hash || local.Count != d.Count {
				m.describeRange(local, &b)
			}
		}
	}
	return b.truncated
}

// compareParts compares the subranges of a digest and describes those that differ in more detail.
func (m *Membership) compareParts(remote *RangeDigest, b *repairBuilder) {
	for i := range remote.Parts {
		first, last, ok := subrange(remote.First, remote.Last, len(remote.Parts), i)
		if !ok {
			return
		}
		if local := m.list.digest(first, last); fold32(local.Hash) != remote.Parts[i] {
			m.describeRange(local, b)
		}
	}
}

// describeRange adds a digest of a range with the hashes of its members if these are few, otherwise with the hashes of
// its subranges.
func (m *Membership) describeRange(local RangeDigest, b *repairBuilder) {
	d := RangeDigest{First: local.First, Last: local.Last}
	if local.Count <= uint32(m.settings.MaxLeafMembers) || local.First == local.Last {
		d.Count = local.Count
		d.Entries = m.entryHashes(local.First, local.Last)
		b.addDigest(d)
		return
	}
	for i := range m.settings.RangeFanout {
		first, last, ok := subrange(local.First, local.Last, m.settings.RangeFanout, i)
		if !ok {
			break
		}
		d.Parts = append(d.Parts, fold32(m.list.digest(first, last).Hash))
	}
	b.addDigest(d)
}

// subrange returns the bounds of part i of a range that is split into equal parts; ok is false if the range is too small
// to have that part.
func subrange(first, last uint64, parts, i int) (lo, hi uint64, ok bool) {
	width := (last-first)/uint64(parts) + 1
	if uint64(i) > (last-first)/width {
		return 0, 0, false
	}
	lo = first + uint64(i)*width
	if last-lo < width {
		return lo, last, true
	}
	return lo, lo + width - 1, true
}

// entryHashes returns the hashes of the members of a range that digests include.
func (m *Membership) entryHashes(first, last uint64) []uint32 {
	var hashes []uint32
	for _, e := range m.list.within(first, last) {
		if e.inDigests() {
			hashes = append(hashes, fold32(e.digestHash()))
		}
	}
	return hashes
}

// compareEntries adds the members that the other side lacks or holds in another state. If the other side has entries that
// are unknown here, it also adds the local entry hashes, so that the other side sends its members in turn.
func (m *Membership) compareEntries(remote *RangeDigest, b *repairBuilder) {
	known := 0
	for _, e := range m.list.within(remote.First, remote.Last) {
		if e.State != Dead {
			switch {
			case slices.Contains(remote.Entries, fold32(e.digestHash())):
				known++
				e.clearProvisional()
			case !e.provisional:
				b.addMember(e.Member)
			}
			continue
		}
		// A tombstone is sent only if the other side holds the member alive or leaving.
		if slices.Contains(remote.Entries, fold32(e.digestHashAs(Alive))) || slices.Contains(remote.Entries, fold32(e.digestHashAs(Leaving))) {
			known++
			b.addMember(e.Member)
		}
	}
	if known < len(remote.Entries) {
		local := RangeDigest{First: remote.First, Last: remote.Last, Entries: m.entryHashes(remote.First, remote.Last)}
		local.Count = uint32(len(local.Entries))
		b.addDigest(local)
	}
}

package member

import (
	"math"
	"slices"
)

// repairDue continues the comparison of digests or starts one.
func (m *Membership) repairDue() {
	r := &m.repair
	if r.with != nil && len(r.members)+len(r.digests) > 0 && m.tokens > 0 {
		m.sendRepair()
		return
	}
	if m.now < m.nextRepair || m.tokens <= 0 {
		return
	}
	if r.with != nil && m.now.Sub(r.began) < repairTimeout {
		return
	}
	m.nextRepair = m.now.Add(m.settings.RepairInterval)
	m.contacts.refresh(m)
	from := m.contacts.peers
	if len(from) == 0 || (len(m.contacts.far) > 0 && m.random.Float64() < m.settings.FarRepairShare) {
		from = m.contacts.far
	}
	if e := m.pick(from, nil); e != nil {
		m.startRepair(e)
		m.sendRepair()
	}
}

// startRepair prepares the first request of a comparison, the digest of the whole range.
func (m *Membership) startRepair(with *entry) {
	m.repair = repair{with: with, began: m.now, digests: []RangeDigest{m.list.digest(0, math.MaxUint64)}}
}

func (m *Membership) sendRepair() {
	r := &m.repair
	r.rounds++
	msg := m.compose(r.with)
	msg.Members = append(msg.Members, r.members...)
	msg.Digests = r.digests
	r.members, r.digests = nil, nil
	m.spend(&msg)
	m.emit(SendGossip{To: r.with.Instance, Address: r.with.Address, Message: msg})
}

// continueRepair takes the response of a comparison and prepares the next request, which follows at the next tick.
func (m *Membership) continueRepair(response *Message) {
	r := &m.repair
	if r.with == nil || response.From != r.with.Instance {
		return
	}
	// A response that brings more than the piggybacked updates comes from a list that differs much.
	r.cut = r.cut || len(response.Members) > m.settings.MaxUpdates
	// A response with nothing to compare ends the comparison, or it answers gossip that was sent to the same member.
	var next Message
	// The other side sends what it holds alive, also if this side knows of the death.
	m.correct(response.Members, &next)
	if len(response.Digests)+len(next.Members) == 0 && !r.cut {
		return
	}
	if r.rounds < m.settings.RepairRounds {
		r.cut = m.answerDigests(response.Digests, &next) || r.cut
	}
	r.members, r.digests = next.Members, next.Digests
	if len(r.members)+len(r.digests) > 0 {
		return
	}
	with, cut := r.with, r.cut
	m.repair = repair{}
	if cut {
		// Much is missing, for example after a start or a partition; go on without waiting for the interval.
		m.startRepair(with)
	}
}

// answer collects the digests and members of one message up to a bound.
type answer struct {
	message *Message
	room    int
	cut     bool
}

func (a *answer) addDigest(d RangeDigest) {
	if size := nested(d.size()); a.take(size) {
		a.message.Digests = append(a.message.Digests, d)
	}
}

func (a *answer) addMember(m Member) {
	if size := nested(m.size()); a.take(size) {
		a.message.Members = append(a.message.Members, m)
	}
}

func (a *answer) take(size int) bool {
	if size > a.room {
		a.cut = true
		return false
	}
	a.room -= size
	return true
}

// answerDigests adds to the message what the sender of the digests may lack: for a differing range the hashes of its
// parts, for a small one the hashes of its members, and for those the members themselves. It reports whether the bound
// cut the answer short.
func (m *Membership) answerDigests(digests []RangeDigest, to *Message) (cut bool) {
	a := answer{message: to, room: m.settings.MaxRepairBytes}
	for i := range digests {
		d := &digests[i]
		switch {
		case d.First > d.Last:
		case len(d.Parts) > 0:
			m.answerParts(d, &a)
		case len(d.Entries) > 0 || d.Count == 0:
			m.answerEntries(d, &a)
		default:
			mine := m.list.digest(d.First, d.Last)
			if mine.Hash != d.Hash || mine.Count != d.Count {
				m.split(mine, &a)
			}
		}
	}
	return a.cut
}

// answerParts compares the parts of a range and describes those that differ in more detail.
func (m *Membership) answerParts(theirs *RangeDigest, a *answer) {
	for i := range theirs.Parts {
		first, last, ok := part(theirs.First, theirs.Last, len(theirs.Parts), i)
		if !ok {
			return
		}
		if mine := m.list.digest(first, last); short(mine.Hash) != theirs.Parts[i] {
			m.split(mine, a)
		}
	}
}

// split describes a range by the hashes of its members if these are few, else by the hashes of its parts.
func (m *Membership) split(mine RangeDigest, a *answer) {
	d := RangeDigest{First: mine.First, Last: mine.Last}
	if mine.Count <= uint32(m.settings.LeafMembers) || mine.First == mine.Last {
		d.Count = mine.Count
		d.Entries = m.entries(mine.First, mine.Last)
		a.addDigest(d)
		return
	}
	for i := range m.settings.RangeFanout {
		first, last, ok := part(mine.First, mine.Last, m.settings.RangeFanout, i)
		if !ok {
			break
		}
		d.Parts = append(d.Parts, short(m.list.digest(first, last).Hash))
	}
	a.addDigest(d)
}

// part returns the bounds of one of the equal parts of a range; ok is false if the range has fewer parts.
func part(first, last uint64, parts, i int) (from, to uint64, ok bool) {
	width := (last-first)/uint64(parts) + 1
	if uint64(i) > (last-first)/width {
		return 0, 0, false
	}
	from = first + uint64(i)*width
	if last-from < width {
		return from, last, true
	}
	return from, from + width - 1, true
}

// entries returns the hash of each member of a range that is not dead.
func (m *Membership) entries(first, last uint64) []uint32 {
	var hashes []uint32
	for _, e := range m.list.within(first, last) {
		if e.shared() {
			hashes = append(hashes, short(e.summary()))
		}
	}
	return hashes
}

// answerEntries adds the members that the other side lacks or has in another state. If the other side has entries that
// are unknown here, it also adds the own entries, so that the other side sends its members.
func (m *Membership) answerEntries(theirs *RangeDigest, a *answer) {
	known := 0
	for _, e := range m.list.within(theirs.First, theirs.Last) {
		if e.State != Dead {
			switch {
			case slices.Contains(theirs.Entries, short(e.summary())):
				known++
				e.settle()
			case !e.provisional:
				a.addMember(e.Member)
			}
			continue
		}
		// A tombstone is of interest only to a node that holds the member alive or leaving.
		if slices.Contains(theirs.Entries, short(e.summaryIn(Alive))) || slices.Contains(theirs.Entries, short(e.summaryIn(Leaving))) {
			known++
			a.addMember(e.Member)
		}
	}
	if known < len(theirs.Entries) {
		mine := RangeDigest{First: theirs.First, Last: theirs.Last, Entries: m.entries(theirs.First, theirs.Last)}
		mine.Count = uint32(len(mine.Entries))
		a.addDigest(mine)
	}
}

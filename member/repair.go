package member

import (
	"math"
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
	e := m.pick(from, nil)
	if e == nil {
		return
	}
	*r = repair{with: e, began: m.now, digests: []RangeDigest{m.list.digest(0, math.MaxUint64)}}
	m.sendRepair()
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
	var next Message
	// A response that brings more than the piggybacked updates comes from a list that differs much.
	cut := len(response.Members) > m.settings.MaxUpdates
	if r.rounds < m.settings.RepairRounds {
		cut = m.answerDigests(response.Digests, &next) || cut
	}
	r.members, r.digests = next.Members, next.Digests
	if len(r.members)+len(r.digests) > 0 {
		return
	}
	m.repair = repair{}
	if cut {
		// Much is missing, for example after a start or a partition; go on without waiting for the interval.
		m.nextRepair = m.now
	}
}

// answerDigests appends what the sender of the digests may lack: for a differing range the members if it is small,
// else the digests of its parts. It reports whether a bound cut the answer short.
func (m *Membership) answerDigests(digests []RangeDigest, answer *Message) (cut bool) {
	for i := range digests {
		if m.answerDigest(&digests[i], answer) {
			cut = true
		}
	}
	return cut
}

func (m *Membership) answerDigest(theirs *RangeDigest, answer *Message) (cut bool) {
	if theirs.First > theirs.Last {
		return false
	}
	mine := m.list.digest(theirs.First, theirs.Last)
	if mine.Hash == theirs.Hash && mine.Count == theirs.Count {
		return false
	}
	small := max(mine.Count, theirs.Count) <= uint32(m.settings.LeafMembers)
	if small || mine.Count == 0 || theirs.Count == 0 || theirs.First == theirs.Last {
		return m.answerMembers(mine, theirs, answer)
	}
	return m.answerParts(mine, answer)
}

// answerMembers appends the members of a range, dead ones included, and the digest that lets the other side send its own.
func (m *Membership) answerMembers(mine RangeDigest, theirs *RangeDigest, answer *Message) (cut bool) {
	for _, e := range m.list.within(mine.First, mine.Last) {
		if len(answer.Members) >= m.settings.MaxRepairMembers {
			return true
		}
		answer.Members = append(answer.Members, e.Member)
	}
	if theirs.Count == 0 {
		return false
	}
	if len(answer.Digests) >= m.settings.MaxDigests {
		return true
	}
	answer.Digests = append(answer.Digests, mine)
	return false
}

// answerParts appends the digests of the equal parts of a range.
func (m *Membership) answerParts(mine RangeDigest, answer *Message) (cut bool) {
	parts := uint64(m.settings.RangeFanout)
	width := (mine.Last-mine.First)/parts + 1
	for first := mine.First; ; first += width {
		if len(answer.Digests) >= m.settings.MaxDigests {
			return true
		}
		last := mine.Last
		if mine.Last-first >= width {
			last = first + width - 1
		}
		answer.Digests = append(answer.Digests, m.list.digest(first, last))
		if last == mine.Last {
			return false
		}
	}
}

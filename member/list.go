package member

import (
	"math"
	"slices"

	"github.com/sapphiretack/sapphiretack/request"
)

// maxConfirmations bounds the suspecters remembered for one suspicion.
const maxConfirmations = 4

// entry is a member with what this node alone knows about it.
type entry struct {
	Member
	key uint64
	// deadline is when a suspect is declared dead or a dead member is forgotten.
	deadline request.Instant
	// suspectedAt is when the current suspicion began.
	suspectedAt request.Instant
	suspecters  [maxConfirmations]uint64
	confirmed   uint8
	// checked is set when peers were asked about a suspect whose time is up.
	checked bool
	// provisional is set for a row of the platform that no message has confirmed; the instance may be gone for long.
	provisional bool
	// rumour is the latest generation of the update in the rumour queue.
	rumour uint32
}

// keyOf hashes the instance into the space that range digests divide; FNV-1a with a final mix, so that short names
// spread over the whole range.
func keyOf(id request.InstanceID) uint64 {
	h := uint64(14695981039346656037)
	for i := range len(id) {
		h ^= uint64(id[i])
		h *= 1099511628211
	}
	return mix(h)
}

// mix is the finalizer of SplitMix64.
func mix(h uint64) uint64 {
	h ^= h >> 30
	h *= 0xbf58476d1ce4e5b9
	h ^= h >> 27
	h *= 0x94d049bb133111eb
	return h ^ h>>31
}

// list holds the entries ordered by key.
type list struct{ entries []*entry }

// position returns the index of the first entry with a key of at least key.
func (l *list) position(key uint64) int {
	low, high := 0, len(l.entries)
	for low < high {
		middle := int(uint(low+high) >> 1)
		if l.entries[middle].key < key {
			low = middle + 1
		} else {
			high = middle
		}
	}
	return low
}

func (l *list) find(id request.InstanceID) *entry {
	key := keyOf(id)
	for i := l.position(key); i < len(l.entries) && l.entries[i].key == key; i++ {
		if l.entries[i].Instance == id {
			return l.entries[i]
		}
	}
	return nil
}

func (l *list) insert(m Member) *entry {
	e := &entry{Member: m, key: keyOf(m.Instance)}
	l.entries = slices.Insert(l.entries, l.position(e.key), e)
	return e
}

func (l *list) remove(e *entry) {
	for i := l.position(e.key); i < len(l.entries) && l.entries[i].key == e.key; i++ {
		if l.entries[i] == e {
			l.entries = slices.Delete(l.entries, i, i+1)
			return
		}
	}
}

// within returns the entries whose key lies in [first, last].
func (l *list) within(first, last uint64) []*entry {
	from := l.position(first)
	to := len(l.entries)
	if last < math.MaxUint64 {
		to = l.position(last + 1)
	}
	if from >= to {
		return nil
	}
	return l.entries[from:to]
}

// shared reports whether digests cover the entry. Dead members are left out because nodes forget them at different times,
// and provisional ones because a node that starts would bring back members that the others have forgotten.
func (e *entry) shared() bool { return e.State != Dead && !e.provisional }

// digest summarizes the entries of a range. A suspect counts as alive because suspicions pass by themselves.
func (l *list) digest(first, last uint64) RangeDigest {
	d := RangeDigest{First: first, Last: last}
	for _, e := range l.within(first, last) {
		if !e.shared() {
			continue
		}
		d.Hash += e.summary()
		d.Count++
	}
	return d
}

// short folds a hash to the length that parts and entries have in a message.
func short(h uint64) uint32 { return uint32(h ^ h>>32) }

// summary hashes what two nodes must agree on about a member. The sum of the summaries of a range does not depend on
// their order.
func (e *entry) summary() uint64 {
	state := e.State
	if state == Suspect {
		state = Alive
	}
	return e.summaryIn(state)
}

// summaryIn is the summary that the member has where it is in the given state.
func (e *entry) summaryIn(state State) uint64 {
	h := mix(e.key ^ uint64(e.Incarnation))
	return mix(h ^ uint64(e.Revision)<<8 ^ uint64(state))
}

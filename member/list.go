package member

import (
	"math"
	"slices"

	"github.com/sapphiretack/sapphiretack/request"
)

// maxConfirmations bounds the distinct suspecters recorded for one suspicion.
const maxConfirmations = 4

// entry is a member with the local state that this node keeps about it.
type entry struct {
	Member
	key uint64
	// deadline is when a suspect or leaving member is declared dead, or a dead or provisional one is removed; zero if
	// none is set.
	deadline request.Instant
	// suspectedAt is the start of the current suspicion.
	suspectedAt    request.Instant
	suspecters     [maxConfirmations]uint64
	suspecterCount uint8
	// finalCheckSent is set once peers have been asked about a suspect whose suspicion timeout has expired.
	finalCheckSent bool
	// provisional marks a row of the platform's table that no message has confirmed; the instance may be long gone.
	provisional bool
	// queueGeneration is the generation of the latest update of this member in the update queue.
	queueGeneration uint32
}

// hashKey returns the position of the instance in the key space that range digests divide: an FNV-1a hash with a
// finalizer, so that short names are distributed over the whole space.
func hashKey(id request.InstanceID) uint64 {
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

// list holds the entries sorted by key.
type list struct{ entries []*entry }

// search returns the index of the first entry whose key is not less than key.
func (l *list) search(key uint64) int {
	lo, hi := 0, len(l.entries)
	for lo < hi {
		mid := int(uint(lo+hi) >> 1)
		if l.entries[mid].key < key {
			lo = mid + 1
		} else {
			hi = mid
		}
	}
	return lo
}

func (l *list) find(id request.InstanceID) *entry {
	key := hashKey(id)
	for i := l.search(key); i < len(l.entries) && l.entries[i].key == key; i++ {
		if l.entries[i].Instance == id {
			return l.entries[i]
		}
	}
	return nil
}

func (l *list) insert(m Member) *entry {
	e := &entry{Member: m, key: hashKey(m.Instance)}
	l.entries = slices.Insert(l.entries, l.search(e.key), e)
	return e
}

func (l *list) remove(e *entry) {
	for i := l.search(e.key); i < len(l.entries) && l.entries[i].key == e.key; i++ {
		if l.entries[i] == e {
			l.entries = slices.Delete(l.entries, i, i+1)
			return
		}
	}
}

// within returns the entries whose key is in [first, last].
func (l *list) within(first, last uint64) []*entry {
	from := l.search(first)
	to := len(l.entries)
	if last < math.MaxUint64 {
		to = l.search(last + 1)
	}
	if from >= to {
		return nil
	}
	return l.entries[from:to]
}

// inDigests reports whether digests include the entry. Dead members are excluded because nodes remove them at different
// times, and provisional ones because a starting node would reintroduce members that the others have removed.
func (e *entry) inDigests() bool { return e.State != Dead && !e.provisional }

// digest summarizes the entries of a range. Suspects are hashed as alive, because suspicions resolve without repair.
func (l *list) digest(first, last uint64) RangeDigest {
	d := RangeDigest{First: first, Last: last}
	for _, e := range l.within(first, last) {
		if !e.inDigests() {
			continue
		}
		d.Hash += e.digestHash()
		d.Count++
	}
	return d
}

// fold32 folds a hash to the 32 bits that Parts and Entries have in a RangeDigest.
func fold32(h uint64) uint32 { return uint32(h ^ h>>32) }

// digestHash hashes the fields on which two nodes must agree. A range is hashed as the sum over its members, which does
// not depend on their order.
func (e *entry) digestHash() uint64 {
	state := e.State
	if state == Suspect {
		state = Alive
	}
	return e.digestHashAs(state)
}

// digestHashAs returns the digest hash of the member on a node that holds it in the given state.
func (e *entry) digestHashAs(state State) uint64 {
	h := mix(e.key ^ uint64(e.Incarnation))
	return mix(h ^ uint64(e.Revision)<<8 ^ uint64(state))
}

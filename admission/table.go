package admission

import "github.com/sapphiretack/sapphiretack/request"

// position is the index of an entry in the table; 0 means none.
type position int32

// state is the state of an attempt in the table.
type state uint8

const (
	stateFree state = iota
	stateQueued
	stateRunning
	stateFinished
	stateTombstone
)

// entry is the record of one attempt.
type entry struct {
	attempt  request.AttemptID
	deadline request.Instant
	// since is the time at which the state became running, finished or tombstone.
	since      request.Instant
	next, prev position
	priority   request.Priority
	state      state
	suspect    bool
}

// table holds the entries of all known attempts. It keeps a free list of
// entries and finds attempts through an open-addressing hash index, so that it
// allocates only while it grows.
type table struct {
	entries  []entry
	freeList position
	index    []position
	used     int
}

// minIndex is the initial size of the hash index, a power of two.
const minIndex = 1024

func newTable() table {
	return table{entries: make([]entry, 1, minIndex), index: make([]position, minIndex)}
}

func (t *table) home(a request.AttemptID) int {
	h := (uint64(a.Source)*0x9e3779b97f4a7c15 ^ a.Number) * 0xd6e8feb86659fd93
	return int((h ^ h>>32) & uint64(len(t.index)-1))
}

func (t *table) at(p position) *entry { return &t.entries[p] }

// find returns the position of the attempt, or 0.
func (t *table) find(a request.AttemptID) position {
	mask := len(t.index) - 1
	for i := t.home(a); t.index[i] != 0; i = (i + 1) & mask {
		if t.entries[t.index[i]].attempt == a {
			return t.index[i]
		}
	}
	return 0
}

// insert adds an attempt that is not in the table.
func (t *table) insert(a request.AttemptID) position {
	if 2*(t.used+1) > len(t.index) {
		t.grow()
	}
	p := t.freeList
	if p != 0 {
		t.freeList = t.entries[p].next
	} else {
		t.entries = append(t.entries, entry{})
		p = position(len(t.entries) - 1)
	}
	t.entries[p] = entry{attempt: a}
	t.addToIndex(a, p)
	t.used++
	return p
}

func (t *table) addToIndex(a request.AttemptID, p position) {
	mask := len(t.index) - 1
	i := t.home(a)
	for t.index[i] != 0 {
		i = (i + 1) & mask
	}
	t.index[i] = p
}

func (t *table) grow() {
	old := t.index
	t.index = make([]position, 2*len(old))
	for _, p := range old {
		if p != 0 {
			t.addToIndex(t.entries[p].attempt, p)
		}
	}
}

// remove frees an entry. It moves the following positions in the index back, so
// that the index needs no deletion markers.
func (t *table) remove(p position) {
	mask := len(t.index) - 1
	hole := t.home(t.entries[p].attempt)
	for t.index[hole] != p {
		hole = (hole + 1) & mask
	}
	for i := (hole + 1) & mask; t.index[i] != 0; i = (i + 1) & mask {
		home := t.home(t.entries[t.index[i]].attempt)
		if (i-home)&mask >= (i-hole)&mask {
			t.index[hole] = t.index[i]
			hole = i
		}
	}
	t.index[hole] = 0
	t.entries[p] = entry{next: t.freeList}
	t.freeList = p
	t.used--
}

// list is a doubly linked list of entries in order of insertion.
type list struct {
	head, tail position
	length     int
}

func (t *table) pushBack(l *list, p position) {
	e := t.at(p)
	e.prev, e.next = l.tail, 0
	if l.tail != 0 {
		t.at(l.tail).next = p
	} else {
		l.head = p
	}
	l.tail = p
	l.length++
}

func (t *table) unlink(l *list, p position) {
	e := t.at(p)
	if e.prev != 0 {
		t.at(e.prev).next = e.next
	} else {
		l.head = e.next
	}
	if e.next != 0 {
		t.at(e.next).prev = e.prev
	} else {
		l.tail = e.prev
	}
	e.prev, e.next = 0, 0
	l.length--
}

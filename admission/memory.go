package admission

import (
	"time"

	"github.com/sapphiretack/sapphiretack/request"
)

// memory remembers attempts that are neither queued nor running: tombstones
// of withdrawn attempts, and finished attempts, so that a withdrawal that
// arrives late is not answered with a false proof.
type memory struct {
	tombstones list
	finished   list
	// forgotten holds, for each source, the highest number among its finished
	// attempts that are no longer listed.
	forgotten map[request.Incarnation]forgotten
	// unsureUntil is set when forgotten was full: until then no attempt that
	// is not listed is proven not to have run.
	unsureUntil request.Instant

	keep           time.Duration
	tombstoneLimit int
	finishedLimit  int
}

type forgotten struct {
	number uint64
	at     request.Instant
}

// maxSources bounds the sources with forgotten attempts; one backend server has at most 1,450 connections.
const maxSources = 1 << 13

func newMemory(s Settings) memory {
	return memory{
		forgotten:      make(map[request.Incarnation]forgotten),
		unsureUntil:    longAgo,
		keep:           s.TombstoneTime,
		tombstoneLimit: s.TombstoneLimit,
		finishedLimit:  s.FinishedLimit,
	}
}

// bury turns an entry that is in no list into a tombstone, or frees it if there is no room.
func (m *memory) bury(t *table, p position, now request.Instant) {
	if m.tombstones.length >= m.tombstoneLimit {
		t.remove(p)
		return
	}
	e := t.at(p)
	e.state, e.since = stateTombstone, now
	t.pushBack(&m.tombstones, p)
}

func (m *memory) isFull() bool { return m.tombstones.length >= m.tombstoneLimit }

// finish keeps an entry that is in no list as finished.
func (m *memory) finish(t *table, p position, now request.Instant) {
	e := t.at(p)
	e.state, e.since = stateFinished, now
	t.pushBack(&m.finished, p)
	if m.finished.length > m.finishedLimit {
		m.forgetOldest(t, now)
	}
}

func (m *memory) forgetOldest(t *table, now request.Instant) {
	p := m.finished.head
	a := t.at(p).attempt
	t.unlink(&m.finished, p)
	t.remove(p)
	f, known := m.forgotten[a.Source]
	if !known && len(m.forgotten) >= maxSources {
		m.unsureUntil = now.Add(m.keep)
		return
	}
	m.forgotten[a.Source] = forgotten{number: max(f.number, a.Number), at: now}
}

// mayHaveRun reports whether an attempt that the table does not hold may have run.
func (m *memory) mayHaveRun(a request.AttemptID, now request.Instant) bool {
	f, known := m.forgotten[a.Source]
	return now < m.unsureUntil || known && a.Number <= f.number
}

// sweep frees what is older than the time to keep.
func (m *memory) sweep(t *table, now request.Instant) {
	for p := m.tombstones.head; p != 0 && now.Sub(t.at(p).since) >= m.keep; p = m.tombstones.head {
		t.unlink(&m.tombstones, p)
		t.remove(p)
	}
	for source, f := range m.forgotten {
		if now.Sub(f.at) >= m.keep {
			delete(m.forgotten, source)
		}
	}
}

package admission

import (
	"time"

	"github.com/sapphiretack/sapphiretack/request"
)

// history records attempts that are neither queued nor running: tombstones of
// withdrawn attempts, and finished attempts. Without the latter, the late
// withdrawal of an attempt would be confirmed although it has run.
type history struct {
	tombstones list
	finished   list
	// evicted holds the highest number among the finished attempts of each
	// source that were evicted from finished.
	evicted map[request.Incarnation]watermark
	// uncertainUntil is set when an entry did not fit into evicted. Until then
	// any attempt that is not in the table may have run.
	uncertainUntil request.Instant

	ttl            time.Duration
	tombstoneLimit int
	finishedLimit  int
}

// watermark is the highest number of an evicted finished attempt and the time of the last eviction.
type watermark struct {
	number uint64
	at     request.Instant
}

// maxSources is the maximum number of entries in evicted; a backend server has at most 1,450 connections from sources.
const maxSources = 1 << 13

func newHistory(s Settings) history {
	return history{
		evicted:        make(map[request.Incarnation]watermark),
		uncertainUntil: distantPast,
		ttl:            s.TombstoneTTL,
		tombstoneLimit: s.TombstoneLimit,
		finishedLimit:  s.FinishedLimit,
	}
}

// addTombstone turns an entry that is in no list into a tombstone, or frees it at the tombstone limit.
func (h *history) addTombstone(t *table, p position, now request.Instant) {
	if h.tombstones.length >= h.tombstoneLimit {
		t.remove(p)
		return
	}
	e := t.at(p)
	e.state, e.since = stateTombstone, now
	t.pushBack(&h.tombstones, p)
}

func (h *history) isFull() bool { return h.tombstones.length >= h.tombstoneLimit }

// addFinished adds an entry that is in no list to the finished attempts.
func (h *history) addFinished(t *table, p position, now request.Instant) {
	e := t.at(p)
	e.state, e.since = stateFinished, now
	t.pushBack(&h.finished, p)
	if h.finished.length > h.finishedLimit {
		h.evictOldest(t, now)
	}
}

func (h *history) evictOldest(t *table, now request.Instant) {
	p := h.finished.head
	a := t.at(p).attempt
	t.unlink(&h.finished, p)
	t.remove(p)
	mark, known := h.evicted[a.Source]
	if !known && len(h.evicted) >= maxSources {
		h.uncertainUntil = now.Add(h.ttl)
		return
	}
	h.evicted[a.Source] = watermark{number: max(mark.number, a.Number), at: now}
}

// mayHaveRun reports whether an attempt that is not in the table may have run.
func (h *history) mayHaveRun(a request.AttemptID, now request.Instant) bool {
	mark, known := h.evicted[a.Source]
	return now < h.uncertainUntil || known && a.Number <= mark.number
}

// expire removes tombstones and watermarks that are older than their time to live.
func (h *history) expire(t *table, now request.Instant) {
	for p := h.tombstones.head; p != 0 && now.Sub(t.at(p).since) >= h.ttl; p = h.tombstones.head {
		t.unlink(&h.tombstones, p)
		t.remove(p)
	}
	for source, mark := range h.evicted {
		if now.Sub(mark.at) >= h.ttl {
			delete(h.evicted, source)
		}
	}
}

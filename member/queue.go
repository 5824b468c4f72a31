package member

import (
	"math"
	"slices"

	"github.com/sapphiretack/sapphiretack/quarantine"
	"github.com/sapphiretack/sapphiretack/request"
)

// queuedUpdate is an update in the queue; it is obsolete if the entry has a later generation.
type queuedUpdate struct {
	entry      *entry
	generation uint32
}

// updateQueue holds the updates to piggyback, ordered by the number of transmissions, so that new ones are sent first.
type updateQueue struct {
	// bySends[n] holds the updates that were sent n times, oldest first.
	bySends [][]queuedUpdate
	// pending is the number of queued updates, including obsolete ones.
	pending int
}

func (u *updateQueue) add(e *entry) {
	e.queueGeneration++
	u.push(0, queuedUpdate{e, e.queueGeneration})
}

func (u *updateQueue) push(sends int, q queuedUpdate) {
	for len(u.bySends) <= sends {
		u.bySends = append(u.bySends, nil)
	}
	u.bySends[sends] = append(u.bySends[sends], q)
	u.pending++
}

// take appends up to limit updates to out and counts a transmission of each. An update leaves the queue once it
// was sent maxSends times.
func (u *updateQueue) take(limit, maxSends int, out []*entry) []*entry {
	start := len(out)
	var sent [][2]int
	for sends := 0; sends < len(u.bySends) && len(out)-start < limit; sends++ {
		bucket := u.bySends[sends]
		n := 0
		before := len(out)
		for n < len(bucket) && len(out)-start < limit {
			q := bucket[n]
			n++
			if q.generation == q.entry.queueGeneration {
				out = append(out, q.entry)
			}
		}
		u.bySends[sends] = append(bucket[:0], bucket[n:]...)
		u.pending -= n
		sent = append(sent, [2]int{sends, len(out) - before})
	}
	// Requeue after the loop, so that no update is added twice to one message.
	i := start
	for _, s := range sent {
		for range s[1] {
			if s[0]+1 < maxSends {
				u.push(s[0]+1, queuedUpdate{out[i], out[i].queueGeneration})
			}
			i++
		}
	}
	return out
}

// peek appends up to limit updates to out without counting a transmission.
func (u *updateQueue) peek(limit int, out []*entry) []*entry {
	for _, bucket := range u.bySends {
		for _, q := range bucket {
			if len(out) >= limit {
				return out
			}
			if q.generation == q.entry.queueGeneration {
				out = append(out, q.entry)
			}
		}
	}
	return out
}

// queuedCrash is a quarantine record to piggyback.
type queuedCrash struct {
	record   quarantine.Record
	queuedAt request.Instant // time at which the record was queued
	sends    int
}

// maxQueuedCrashes bounds the queued records; one crash of the largest backend server creates 230.
const maxQueuedCrashes = 512

// crashTransmissionFactor multiplies the transmissions of crash records, because anti-entropy repair does not cover them.
// With the transmissions of a member update, one of 40 nodes missed a crash in the quarantine script of this package.
const crashTransmissionFactor = 2

// queueCrash queues a record to piggyback and replaces a queued one of the same fingerprint. A full queue evicts the
// oldest record of losses alone, or else the oldest record; a record of losses alone never evicts one of crashes.
func (m *Membership) queueCrash(r quarantine.Record) {
	c := queuedCrash{record: r, queuedAt: m.now}
	for i := range m.crashQueue {
		if m.crashQueue[i].record.Fingerprint == r.Fingerprint {
			m.crashQueue[i] = c
			return
		}
	}
	if len(m.crashQueue) >= maxQueuedCrashes {
		victim := max(0, slices.IndexFunc(m.crashQueue, queuedCrash.isLossOnly))
		if c.isLossOnly() && !m.crashQueue[victim].isLossOnly() {
			return
		}
		m.crashQueue = slices.Delete(m.crashQueue, victim, victim+1)
	}
	m.crashQueue = append(m.crashQueue, c)
}

// isLossOnly reports whether the record has losses only and no confirmed crash.
func (c queuedCrash) isLossOnly() bool { return c.record.Count == 0 }

// lossTransmissions is the number of times that this node sends a record of losses alone, and maxLossesPerMessage bounds
// such records in one message. They are kept low because the attempts of a request carry its losses as well, and because
// a partition breaks the streams of many requests at once.
const (
	lossTransmissions   = 2
	maxLossesPerMessage = 2
)

// takeCrashes returns the records to piggyback on a message, crashes before losses alone, and counts a transmission of
// each.
func (m *Membership) takeCrashes() []quarantine.Record {
	if len(m.crashQueue) == 0 {
		return nil
	}
	records := m.dequeueCrashes(nil, crashTransmissionFactor*m.transmissions(), m.settings.MaxCrashes, false)
	room := min(maxLossesPerMessage, m.settings.MaxCrashes-len(records))
	return m.dequeueCrashes(records, lossTransmissions, room, true)
}

// dequeueCrashes appends up to limit records of one kind: of losses alone if lossOnly is set, else of crashes. It moves
// them to the end of the queue, and removes those that have expired or were sent maxSends times.
func (m *Membership) dequeueCrashes(records []quarantine.Record, maxSends, limit int, lossOnly bool) []quarantine.Record {
	var requeued []queuedCrash
	m.crashQueue = slices.DeleteFunc(m.crashQueue, func(c queuedCrash) bool {
		if limit <= 0 || c.isLossOnly() != lossOnly {
			return false
		}
		limit--
		r, ok := c.record.After(m.now.Sub(c.queuedAt))
		if !ok {
			return true
		}
		records = append(records, r)
		c.sends++
		if c.sends < maxSends {
			requeued = append(requeued, c)
		}
		return true
	})
	m.crashQueue = append(m.crashQueue, requeued...)
	return records
}

// backlogMessages is the queue length, in full messages, above which each update is sent half as often; repair recovers
// the updates that are missed then.
const backlogMessages = 4

// transmissions returns the number of times that this node sends one update: in proportion to the logarithm of the cluster
// size, half of that with a backlog, and at least 3.
func (m *Membership) transmissions() int {
	n := m.settings.RetransmitFactor * math.Log10(float64(len(m.list.entries)+1))
	if m.updates.pending > backlogMessages*m.settings.MaxUpdates {
		n /= 2
	}
	return max(3, int(math.Ceil(n)))
}

package member

import (
	"math"
	"slices"

	"github.com/sapphiretack/sapphiretack/quarantine"
	"github.com/sapphiretack/sapphiretack/request"
)

// queued is a place of an update in the rumour queue; it is stale if the entry has a later generation.
type queued struct {
	entry      *entry
	generation uint32
}

// rumours orders the pending updates by the number of times they were sent, so that new ones go first.
type rumours struct {
	// bySends[n] holds the updates that were sent n times, oldest first.
	bySends [][]queued
	pending int
}

func (r *rumours) add(e *entry) {
	e.rumour++
	r.push(0, queued{e, e.rumour})
}

func (r *rumours) push(sends int, q queued) {
	for len(r.bySends) <= sends {
		r.bySends = append(r.bySends, nil)
	}
	r.bySends[sends] = append(r.bySends[sends], q)
	r.pending++
}

// take returns up to limit updates and counts a transmission of each.
func (r *rumours) take(limit, transmissions int, out []*entry) []*entry {
	start := len(out)
	var sent [][2]int
	for sends := 0; sends < len(r.bySends) && len(out)-start < limit; sends++ {
		bucket := r.bySends[sends]
		n := 0
		before := len(out)
		for n < len(bucket) && len(out)-start < limit {
			q := bucket[n]
			n++
			if q.generation == q.entry.rumour {
				out = append(out, q.entry)
			}
		}
		r.bySends[sends] = append(bucket[:0], bucket[n:]...)
		r.pending -= n
		sent = append(sent, [2]int{sends, len(out) - before})
	}
	// Requeue after the walk, so that no update is taken twice into one message.
	i := start
	for _, s := range sent {
		for range s[1] {
			if s[0]+1 < transmissions {
				r.push(s[0]+1, queued{out[i], out[i].rumour})
			}
			i++
		}
	}
	return out
}

// peek returns up to limit updates without counting a transmission.
func (r *rumours) peek(limit int, out []*entry) []*entry {
	for _, bucket := range r.bySends {
		for _, q := range bucket {
			if len(out) >= limit {
				return out
			}
			if q.generation == q.entry.rumour {
				out = append(out, q.entry)
			}
		}
	}
	return out
}

// crashRumour is a quarantine record that is passed on.
type crashRumour struct {
	record quarantine.Record
	at     request.Instant // when the record was added
	sends  int
}

// maxCrashRumours bounds the records waiting to be passed on; one crash of the largest backend server has 230.
const maxCrashRumours = 512

// crashTransmissions times the transmissions of a crash record, since no repair follows for those who miss it. With the
// transmissions of a member update one of 40 nodes did not hear of a crash in the script of this package.
const crashTransmissions = 2

func (m *Membership) addCrashRumour(r quarantine.Record) {
	c := crashRumour{record: r, at: m.now}
	for i := range m.crashes {
		if m.crashes[i].record.Fingerprint == r.Fingerprint {
			m.crashes[i] = c
			return
		}
	}
	if len(m.crashes) >= maxCrashRumours {
		victim := max(0, slices.IndexFunc(m.crashes, crashRumour.isLoss))
		if c.isLoss() && !m.crashes[victim].isLoss() {
			return
		}
		m.crashes = slices.Delete(m.crashes, victim, victim+1)
	}
	m.crashes = append(m.crashes, c)
}

// isLoss reports whether no crash of the fingerprint is known.
func (c crashRumour) isLoss() bool { return c.record.Count == 0 }

// lossTransmissions is the number of times that this node sends a record of losses alone, and lossesPerMessage bounds those
// of one message. The sends of a request carry the losses as well, and a partition loses the streams of many at once.
const (
	lossTransmissions = 2
	lossesPerMessage  = 2
)

// takeCrashes returns records to piggyback, those of crashes before those of losses alone, and counts a transmission of
// each.
func (m *Membership) takeCrashes() []quarantine.Record {
	if len(m.crashes) == 0 {
		return nil
	}
	records := m.take(nil, crashTransmissions*m.transmissions(), m.settings.MaxCrashes, false)
	room := min(lossesPerMessage, m.settings.MaxCrashes-len(records))
	return m.take(records, lossTransmissions, room, true)
}

// take appends up to limit records of one rank, which then wait behind the others, and drops those that were sent often
// enough or have expired.
func (m *Membership) take(records []quarantine.Record, transmissions, limit int, losses bool) []quarantine.Record {
	var again []crashRumour
	m.crashes = slices.DeleteFunc(m.crashes, func(c crashRumour) bool {
		if limit <= 0 || c.isLoss() != losses {
			return false
		}
		limit--
		r, ok := c.record.After(m.now.Sub(c.at))
		if !ok {
			return true
		}
		records = append(records, r)
		c.sends++
		if c.sends < transmissions {
			again = append(again, c)
		}
		return true
	})
	m.crashes = append(m.crashes, again...)
	return records
}

// busyMessages is the number of full messages of pending updates at which each update is sent half as often; repair
// brings the updates that are missed then.
const busyMessages = 4

// transmissions is the number of times that this node sends one update.
func (m *Membership) transmissions() int {
	n := m.settings.RetransmitFactor * math.Log10(float64(len(m.list.entries)+1))
	if m.rumours.pending > busyMessages*m.settings.MaxUpdates {
		n /= 2
	}
	return max(3, int(math.Ceil(n)))
}

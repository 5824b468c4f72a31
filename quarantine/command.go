package quarantine

import (
	"slices"
	"time"

	"github.com/sapphiretack/sapphiretack/request"
)

// ReportCrash counts a crash for a fingerprint and returns its record; changed is false if the crash was already counted
// or cannot be recorded because the table or the record is full.
func (t *Table) ReportCrash(now request.Instant, f request.Fingerprint, service request.ServiceID, c Crash) (record Record, changed bool) {
	changed = t.merge(now, Record{
		Fingerprint: f,
		Service:     service,
		Count:       1,
		Crashes:     []Crash{c},
		Remaining:   t.settings.Expiry,
	})
	record, _ = t.Record(now, f)
	return record, changed
}

// ReportLoss records an unconfirmed loss for a fingerprint and returns its record; changed is false if the loss, or a crash
// that explains it, is already known, or if the table or the record is full.
func (t *Table) ReportLoss(now request.Instant, f request.Fingerprint, service request.ServiceID, l Loss) (record Record, changed bool) {
	l.Remaining = t.settings.LossExpiry
	changed = t.merge(now, Record{Fingerprint: f, Service: service, Losses: []Loss{l}})
	record, _ = t.Record(now, f)
	return record, changed
}

// Merge merges the records of another node and returns the resulting records that changed, for the driver to gossip.
func (t *Table) Merge(now request.Instant, records []Record) []Record {
	var changed []Record
	for _, r := range records {
		if !t.merge(now, r) {
			continue
		}
		if merged, ok := t.Record(now, r.Fingerprint); ok {
			changed = append(changed, merged)
		}
	}
	return changed
}

// Expire removes the expired records; the driver calls it periodically to free memory.
func (t *Table) Expire(now request.Instant) {
	for f, e := range t.entries {
		if e.isExpired(now) {
			delete(t.entries, f)
		}
	}
}

func (t *Table) merge(now request.Instant, r Record) bool {
	remaining := min(r.Remaining, t.settings.Expiry)
	if remaining <= 0 || r.Count <= 0 {
		r.Count, r.Crashes = 0, nil
	}
	if r.Count == 0 && r.lossesRemaining() <= 0 {
		return false
	}
	e, ok := t.entries[r.Fingerprint]
	if ok && e.isExpired(now) {
		delete(t.entries, r.Fingerprint)
		ok = false
	}
	if !ok {
		t.evict(now, r.State())
		if len(t.entries) >= t.settings.Capacity {
			return false
		}
		e = &entry{service: r.Service}
		t.entries[r.Fingerprint] = e
	}
	e.expire(now)
	crashesChanged := e.mergeCrashes(r)
	if crashesChanged {
		// Only a record with a new crash extends the expiry. Otherwise each exchange of the same record between two nodes
		// would extend it by the transmission delay.
		e.expires = max(e.expires, now.Add(remaining))
	}
	return e.mergeLosses(now, r.Losses, t.settings.LossExpiry) || crashesChanged
}

// expire removes the expired crashes and losses.
func (e *entry) expire(now request.Instant) {
	if e.expires <= now {
		e.count, e.crashes = 0, nil
	}
	e.losses = slices.DeleteFunc(e.losses, func(l loss) bool { return l.expires <= now })
}

// mergeCrashes merges the crashes and the count of the record and reports whether either increased.
func (e *entry) mergeCrashes(r Record) bool {
	changed := false
	for _, c := range r.Crashes {
		if len(e.crashes) >= MaxCrashes {
			break
		}
		if !slices.Contains(e.crashes, c) {
			e.crashes = append(e.crashes, c)
			changed = true
		}
	}
	count := min(max(e.count, r.Count, len(e.crashes)), MaxCrashes)
	if count > e.count {
		e.count = count
		changed = true
	}
	// Removes losses that the crashes explain; otherwise those crashes would count twice.
	e.losses = slices.DeleteFunc(e.losses, func(l loss) bool { return e.isExplained(l.Loss) })
	return changed
}

// mergeLosses merges the losses that no crash explains and reports whether any is new. The expiry of a known loss does not change.
func (e *entry) mergeLosses(now request.Instant, losses []Loss, expiry time.Duration) bool {
	changed := false
	for _, l := range losses {
		if len(e.losses) >= MaxCrashes {
			break
		}
		if l.Remaining <= 0 || e.isExplained(l) || e.hasLoss(l) {
			continue
		}
		e.losses = append(e.losses, loss{Loss: l, expires: now.Add(min(l.Remaining, expiry))})
		changed = true
	}
	return changed
}

func (e *entry) isExplained(l Loss) bool {
	return slices.ContainsFunc(e.crashes, func(c Crash) bool { return c.explains(l) })
}

func (e *entry) hasLoss(l Loss) bool {
	return slices.ContainsFunc(e.losses, func(o loss) bool {
		return o.Instance == l.Instance && o.Incarnation == l.Incarnation
	})
}

// evict makes room in a full table for a record with the incoming state. It removes the expired records or, if there are
// none, the record of the lowest state that expires first. Records with losses only are Clear, so they are evicted first. A
// record is never evicted for one of a lower state.
func (t *Table) evict(now request.Instant, incoming State) {
	if len(t.entries) < t.settings.Capacity {
		return
	}
	var victim request.Fingerprint
	var victimEntry *entry
	for f, e := range t.entries {
		if e.isExpired(now) {
			delete(t.entries, f)
			continue
		}
		if victimEntry == nil || evictsBefore(now, f, e, victim, victimEntry) {
			victim, victimEntry = f, e
		}
	}
	if len(t.entries) < t.settings.Capacity || victimEntry == nil {
		return
	}
	if victimEntry.state(now) <= incoming {
		delete(t.entries, victim)
	}
}

func evictsBefore(now request.Instant, f request.Fingerprint, e *entry, g request.Fingerprint, h *entry) bool {
	if a, b := e.state(now), h.state(now); a != b {
		return a < b
	}
	if a, b := e.lastExpiry(), h.lastExpiry(); a != b {
		return a < b
	}
	return f < g
}

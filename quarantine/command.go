package quarantine

import (
	"slices"
	"time"

	"github.com/sapphiretack/sapphiretack/request"
)

// Report counts a crash against a fingerprint and returns its record; changed is false if the crash was counted before.
func (t *Table) Report(now request.Instant, f request.Fingerprint, service request.ServiceID, c Crash) (record Record, changed bool) {
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

// ReportLoss records an unconfirmed loss against a fingerprint; changed is false if the loss, or a crash that explains it,
// is known.
func (t *Table) ReportLoss(now request.Instant, f request.Fingerprint, service request.ServiceID, l Loss) (record Record, changed bool) {
	l.Remaining = t.settings.LossExpiry
	changed = t.merge(now, Record{Fingerprint: f, Service: service, Losses: []Loss{l}})
	record, _ = t.Record(now, f)
	return record, changed
}

// Merge adds the records of another node and returns the merged records that changed, which the caller passes on.
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

// Expire removes the records whose time has passed; the caller runs it now and then to free memory.
func (t *Table) Expire(now request.Instant) {
	for f, e := range t.entries {
		if e.isOver(now) {
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
	if ok && e.isOver(now) {
		delete(t.entries, r.Fingerprint)
		ok = false
	}
	if !ok {
		t.makeRoom(now, r.State())
		if len(t.entries) >= t.settings.Capacity {
			return false
		}
		e = &entry{service: r.Service}
		t.entries[r.Fingerprint] = e
	}
	e.forget(now)
	grew := e.add(r)
	if grew {
		// Only a record with a new crash extends the expiry. Otherwise two nodes that exchange the same record would
		// extend it by the transmission delay each time.
		e.expires = max(e.expires, now.Add(remaining))
	}
	return e.addLosses(now, r.Losses, t.settings.LossExpiry) || grew
}

// forget removes the crashes and the losses whose time has passed.
func (e *entry) forget(now request.Instant) {
	if e.expires <= now {
		e.count, e.crashes = 0, nil
	}
	e.losses = slices.DeleteFunc(e.losses, func(l loss) bool { return l.expires <= now })
}

// add merges the crashes and the count of the record and reports whether either grew.
func (e *entry) add(r Record) bool {
	grew := false
	for _, c := range r.Crashes {
		if len(e.crashes) >= MaxCrashes {
			break
		}
		if !slices.Contains(e.crashes, c) {
			e.crashes = append(e.crashes, c)
			grew = true
		}
	}
	count := min(max(e.count, r.Count, len(e.crashes)), MaxCrashes)
	if count > e.count {
		e.count = count
		grew = true
	}
	// A loss that turns out to be a counted crash would count the crash twice.
	e.losses = slices.DeleteFunc(e.losses, func(l loss) bool { return e.explained(l.Loss) })
	return grew
}

// addLosses merges the losses that no crash explains and reports whether one is new. A known loss keeps its expiry.
func (e *entry) addLosses(now request.Instant, losses []Loss, expiry time.Duration) bool {
	grew := false
	for _, l := range losses {
		if len(e.losses) >= MaxCrashes {
			break
		}
		if l.Remaining <= 0 || e.explained(l) || e.hasLoss(l) {
			continue
		}
		e.losses = append(e.losses, loss{Loss: l, expires: now.Add(min(l.Remaining, expiry))})
		grew = true
	}
	return grew
}

func (e *entry) explained(l Loss) bool {
	return slices.ContainsFunc(e.crashes, func(c Crash) bool { return c.explains(l) })
}

func (e *entry) hasLoss(l Loss) bool {
	return slices.ContainsFunc(e.losses, func(o loss) bool {
		return o.Instance == l.Instance && o.Incarnation == l.Incarnation
	})
}

// makeRoom evicts one record from a full table: an expired one, else the one of the lowest state that expires first. A
// record of losses alone goes first, and no record makes room for one of a lower state.
func (t *Table) makeRoom(now request.Instant, incoming State) {
	if len(t.entries) < t.settings.Capacity {
		return
	}
	var victim request.Fingerprint
	var found *entry
	for f, e := range t.entries {
		if e.isOver(now) {
			delete(t.entries, f)
			continue
		}
		if found == nil || evictBefore(now, f, e, victim, found) {
			victim, found = f, e
		}
	}
	if len(t.entries) < t.settings.Capacity || found == nil {
		return
	}
	if found.state(now) <= incoming {
		delete(t.entries, victim)
	}
}

func evictBefore(now request.Instant, f request.Fingerprint, e *entry, g request.Fingerprint, than *entry) bool {
	if a, b := e.state(now), than.state(now); a != b {
		return a < b
	}
	if a, b := e.end(), than.end(); a != b {
		return a < b
	}
	return f < g
}

package quarantine

import (
	"slices"

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
		if e.expires <= now {
			delete(t.entries, f)
		}
	}
}

func (t *Table) merge(now request.Instant, r Record) bool {
	remaining := min(r.Remaining, t.settings.Expiry)
	if remaining <= 0 || r.Count <= 0 {
		return false
	}
	e, ok := t.entries[r.Fingerprint]
	if ok && e.expires <= now {
		delete(t.entries, r.Fingerprint)
		ok = false
	}
	if !ok {
		t.makeRoom(now, stateOf(r.Count))
		if len(t.entries) >= t.settings.Capacity {
			return false
		}
		e = &entry{service: r.Service}
		t.entries[r.Fingerprint] = e
	}
	if !e.add(r) {
		return false
	}
	// Only a record with a new crash extends the expiry. Otherwise two nodes that exchange the same record would extend
	// it by the transmission delay each time.
	e.expires = max(e.expires, now.Add(remaining))
	return true
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
	return grew
}

// makeRoom evicts one record from a full table: an expired one, else the suspect that expires first, else, for a record
// already in quarantine, the quarantined one that expires first.
func (t *Table) makeRoom(now request.Instant, incoming State) {
	if len(t.entries) < t.settings.Capacity {
		return
	}
	var victim request.Fingerprint
	var found *entry
	for f, e := range t.entries {
		if e.expires <= now {
			delete(t.entries, f)
			continue
		}
		if found == nil || evictBefore(f, e, victim, found) {
			victim, found = f, e
		}
	}
	if len(t.entries) < t.settings.Capacity || found == nil {
		return
	}
	if stateOf(found.count) <= incoming {
		delete(t.entries, victim)
	}
}

func evictBefore(f request.Fingerprint, e *entry, g request.Fingerprint, than *entry) bool {
	if a, b := stateOf(e.count), stateOf(than.count); a != b {
		return a < b
	}
	if e.expires != than.expires {
		return e.expires < than.expires
	}
	return f < g
}

package quarantine

import (
	"cmp"
	"slices"

	"github.com/sapphiretack/sapphiretack/request"
)

// State returns the verdict on a fingerprint.
func (t *Table) State(now request.Instant, f request.Fingerprint) State {
	e, ok := t.entries[f]
	if !ok || e.expires <= now {
		return Clear
	}
	return stateOf(e.count)
}

// Record returns the record of a fingerprint; ok is false if the fingerprint is clear.
func (t *Table) Record(now request.Instant, f request.Fingerprint) (r Record, ok bool) {
	e, ok := t.entries[f]
	if !ok || e.expires <= now {
		return Record{}, false
	}
	return e.record(now, f), true
}

// Records returns all records, the highest count first, then the one that expires last; explain lists them.
func (t *Table) Records(now request.Instant) []Record {
	records := make([]Record, 0, len(t.entries))
	for f, e := range t.entries {
		if e.expires > now {
			records = append(records, e.record(now, f))
		}
	}
	slices.SortFunc(records, func(a, b Record) int {
		return cmp.Or(
			cmp.Compare(b.Count, a.Count),
			cmp.Compare(b.Remaining, a.Remaining),
			cmp.Compare(a.Fingerprint, b.Fingerprint),
		)
	})
	return records
}

// Len returns the number of records held, including expired ones that Expire has not removed.
func (t *Table) Len() int { return len(t.entries) }

func (e *entry) record(now request.Instant, f request.Fingerprint) Record {
	return Record{
		Fingerprint: f,
		Service:     e.service,
		Count:       e.count,
		Crashes:     slices.Clone(e.crashes),
		Remaining:   e.expires.Sub(now),
	}
}

package quarantine

import (
	"cmp"
	"slices"

	"github.com/sapphiretack/sapphiretack/request"
)

// State returns the state of a fingerprint.
func (t *Table) State(now request.Instant, f request.Fingerprint) State {
	e, ok := t.entries[f]
	if !ok {
		return Clear
	}
	return e.state(now)
}

// Record returns the record of a fingerprint; ok is false if it has neither crashes nor losses.
func (t *Table) Record(now request.Instant, f request.Fingerprint) (r Record, ok bool) {
	e, ok := t.entries[f]
	if !ok || e.isExpired(now) {
		return Record{}, false
	}
	return e.record(now, f), true
}

// Losses returns the unconfirmed losses of a fingerprint, which a source sends with each attempt.
func (t *Table) Losses(now request.Instant, f request.Fingerprint) []Loss {
	e, ok := t.entries[f]
	if !ok {
		return nil
	}
	return e.currentLosses(now)
}

// Records returns all records, as listed by explain, sorted by descending count and then by descending time to expiry.
func (t *Table) Records(now request.Instant) []Record {
	records := make([]Record, 0, len(t.entries))
	for f, e := range t.entries {
		if !e.isExpired(now) {
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
	r := Record{Fingerprint: f, Service: e.service, Losses: e.currentLosses(now)}
	if e.expires > now {
		r.Count, r.Crashes, r.Remaining = e.count, slices.Clone(e.crashes), e.expires.Sub(now)
	}
	return r
}

func (e *entry) currentLosses(now request.Instant) []Loss {
	var current []Loss
	for _, l := range e.losses {
		if l.expires > now {
			l.Remaining = l.expires.Sub(now)
			current = append(current, l.Loss)
		}
	}
	return current
}

func (e *entry) state(now request.Instant) State {
	count, losses := 0, 0
	if e.expires > now {
		count = e.count
	}
	for i := range e.losses {
		if e.losses[i].expires > now {
			losses++
		}
	}
	return stateOf(count, losses)
}

// lastExpiry returns the time at which the last crash or loss of the entry expires.
func (e *entry) lastExpiry() request.Instant {
	last := e.expires
	for i := range e.losses {
		last = max(last, e.losses[i].expires)
	}
	return last
}

func (e *entry) isExpired(now request.Instant) bool { return e.lastExpiry() <= now }

package quarantine

import (
	"cmp"
	"slices"

	"github.com/sapphiretack/sapphiretack/request"
)

// State returns the verdict on a fingerprint.
func (t *Table) State(now request.Instant, f request.Fingerprint) State {
	e, ok := t.entries[f]
	if !ok {
		return Clear
	}
	return e.state(now)
}

// Record returns the record of a fingerprint; ok is false if neither a crash nor a loss is known.
func (t *Table) Record(now request.Instant, f request.Fingerprint) (r Record, ok bool) {
	e, ok := t.entries[f]
	if !ok || e.isOver(now) {
		return Record{}, false
	}
	return e.record(now, f), true
}

// Losses returns the unconfirmed losses of a fingerprint, which a source sends with an attempt.
func (t *Table) Losses(now request.Instant, f request.Fingerprint) []Loss {
	e, ok := t.entries[f]
	if !ok {
		return nil
	}
	return e.presentLosses(now)
}

// Records returns all records, the highest count first, then the one that expires last; explain lists them.
func (t *Table) Records(now request.Instant) []Record {
	records := make([]Record, 0, len(t.entries))
	for f, e := range t.entries {
		if !e.isOver(now) {
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
	r := Record{Fingerprint: f, Service: e.service, Losses: e.presentLosses(now)}
	if e.expires > now {
		r.Count, r.Crashes, r.Remaining = e.count, slices.Clone(e.crashes), e.expires.Sub(now)
	}
	return r
}

func (e *entry) presentLosses(now request.Instant) []Loss {
	var present []Loss
	for _, l := range e.losses {
		if l.expires > now {
			l.Remaining = l.expires.Sub(now)
			present = append(present, l.Loss)
		}
	}
	return present
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

// end is the time at which nothing is left of the entry.
func (e *entry) end() request.Instant {
	end := e.expires
	for i := range e.losses {
		end = max(end, e.losses[i].expires)
	}
	return end
}

func (e *entry) isOver(now request.Instant) bool { return e.end() <= now }

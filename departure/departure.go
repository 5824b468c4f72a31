package departure

import (
	"slices"
	"time"

	"github.com/sapphiretack/sapphiretack/request"
)

const (
	// Retention is how long a departure is kept. A backend server that leaves may go on for many seconds, and its reports may be late by
	// seconds.
	Retention = time.Hour
	// maxDepartures bounds the departures of one node; the earliest ones are dropped.
	maxDepartures = 16
)

// Departure is an incarnation of a backend server that has left.
type Departure struct {
	// Incarnation is the result of Incarnation: it lacks the start time if that is unknown.
	Incarnation request.InstanceID
	// Time is when the node learned of the departure, by the clock of its machine.
	Time time.Time
}

// Incarnation returns the identifier of the incarnation that started at the given time, or id if the start time is unknown.
func Incarnation(id request.InstanceID, start time.Time) request.InstanceID {
	if !IsKnown(start) {
		return id
	}
	return id.WithStart(start)
}

// IsKnown reports whether a start time is known: reports without one have that of the Unix epoch.
func IsKnown(start time.Time) bool { return start.UnixMilli() > 0 }

// IsExpired reports whether a departure is too old to be kept.
func (d Departure) IsExpired(now time.Time) bool { return now.Sub(d.Time) > Retention }

// Covers reports whether d tells that the incarnation which started under the identifier id at the given time has left. If the start time is
// unknown, it reports whether d is that of any incarnation under the identifier.
func (d Departure) Covers(id request.InstanceID, start time.Time) bool {
	left, leftStart := d.Incarnation.SplitStart()
	switch {
	case left != id:
		return false
	case !IsKnown(start):
		return true
	case leftStart == "":
		// The identifier may belong to a later incarnation by now.
		return !start.After(d.Time)
	}
	return d.Incarnation == id.WithStart(start)
}

// Log holds the departures of one node in the order in which they became known; it is not safe for concurrent use. The zero value is an
// empty Log.
type Log struct {
	departures []Departure
}

// Add adds a departure and reports whether the log lacked it.
func (l *Log) Add(d Departure) bool {
	if d.Incarnation == "" || slices.ContainsFunc(l.departures, func(known Departure) bool { return known.Incarnation == d.Incarnation }) {
		return false
	}
	l.departures = slices.DeleteFunc(l.departures, func(known Departure) bool { return known.IsExpired(d.Time) })
	if len(l.departures) == maxDepartures {
		l.departures = slices.Delete(l.departures, 0, 1)
	}
	l.departures = append(l.departures, d)
	return true
}

// Includes reports whether the incarnation that started under the identifier id at the given time has left, according to departures that have
// not expired at the time now. If the start time is unknown, it reports whether any incarnation under the identifier has.
func (l *Log) Includes(now time.Time, id request.InstanceID, start time.Time) bool {
	return slices.ContainsFunc(l.departures, func(d Departure) bool { return d.Covers(id, start) && !d.IsExpired(now) })
}

// RemoveBefore removes and returns the departures that became known before the given time, at which a later incarnation has started at the
// address of the backend server.
func (l *Log) RemoveBefore(start time.Time) []Departure {
	var removed []Departure
	l.departures = slices.DeleteFunc(l.departures, func(d Departure) bool {
		isBefore := d.Time.Before(start)
		if isBefore {
			removed = append(removed, d)
		}
		return isBefore
	})
	return removed
}

// All returns the departures in the order in which they became known.
func (l *Log) All() []Departure { return slices.Clone(l.departures) }

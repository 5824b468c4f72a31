package departure

import (
	"slices"
	"time"

	"github.com/sapphiretack/sapphiretack/request"
)

const (
	// MaxReportDelay is the time after the start of a node from which on no report arrives that was sent before that start.
	MaxReportDelay = 5 * time.Second
	// MaxReportSilence is the time without a report after which an incarnation that is not confirmed is no longer in use. Backend servers
	// report about every 1.5 s.
	MaxReportSilence = 3 * time.Second
	// maxConfirmed bounds the confirmed incarnations of one node; the earliest ones are dropped.
	maxConfirmed = 16
)

// Verifier decides which incarnations of the backend server beside a node may be used after a restart of the node: one that is older than the
// node may have left before, and all that knew may have forgotten. It is not safe for concurrent use.
type Verifier struct {
	started      time.Time // the start of the node
	isFirstStart bool
	store        storeState
	confirmed    []request.InstanceID // as returned by Incarnation
	heard        request.InstanceID   // the incarnation of the latest report, as returned by Incarnation
	heardAt      time.Time
}

// storeState is what a node knows of the departures in the store.
type storeState uint8

const (
	unread storeState = iota
	complete
	incomplete // the store was away when the node started, and may have been away at a departure before that
)

// NewVerifier returns the Verifier of a node that starts at the given time; isFirstStart is set if all nodes start for the first time, so that
// there are no earlier departures.
func NewVerifier(started time.Time, isFirstStart bool) *Verifier {
	return &Verifier{started: started, isFirstStart: isFirstStart}
}

// StoreRead records that the node has read its departures from the store.
func (v *Verifier) StoreRead() {
	if v.store == unread {
		v.store = complete
	}
}

// StoreAway records that the store did not respond to the node.
func (v *Verifier) StoreAway() {
	if v.store == unread {
		v.store = incomplete
	}
}

// Confirm records that an incarnation has not left before the start of the node, as another node knows that has run since before.
func (v *Verifier) Confirm(incarnation request.InstanceID) {
	if incarnation == "" || slices.Contains(v.confirmed, incarnation) {
		return
	}
	if len(v.confirmed) == maxConfirmed {
		v.confirmed = slices.Delete(v.confirmed, 0, 1)
	}
	v.confirmed = append(v.confirmed, incarnation)
}

// Report records a report of the incarnation that started under the identifier id at the given time, and that it is ready.
func (v *Verifier) Report(now time.Time, id request.InstanceID, start time.Time) {
	v.heard, v.heardAt = Incarnation(id, start), now
	if now.Sub(v.started) >= MaxReportDelay {
		v.Confirm(v.heard)
	}
}

// IsUsable reports whether the incarnation that started under the identifier id at the given time may be used, as far as is known at the time
// now. The start time is unknown if a health check was first to find the incarnation.
func (v *Verifier) IsUsable(now time.Time, id request.InstanceID, start time.Time) bool {
	switch {
	case v.isFirstStart, v.isLater(now, start), v.isConfirmed(id, start):
		return true
	case v.store != complete:
		return false
	}
	last := v.started
	if v.heard == Incarnation(id, start) {
		last = v.heardAt
	}
	return now.Sub(last) < MaxReportSilence
}

// isLater reports whether an incarnation has started after the node. A start time in the future is that of a clock that has been set back.
func (v *Verifier) isLater(now, start time.Time) bool {
	return !start.Before(v.started) && !start.After(now)
}

// isConfirmed reports whether an incarnation is confirmed. Who confirms one may know less of its start time.
func (v *Verifier) isConfirmed(id request.InstanceID, start time.Time) bool {
	return slices.ContainsFunc(v.confirmed, func(known request.InstanceID) bool {
		knownID, knownStart := known.SplitStart()
		return knownID == id && (knownStart == "" || !IsKnown(start) || known == id.WithStart(start))
	})
}

package quarantine

import (
	"time"

	"github.com/sapphiretack/sapphiretack/request"
)

// State is the verdict on a fingerprint.
type State uint8

// The states, in the order in which crashes raise them.
const (
	Clear State = iota
	Suspect
	Quarantined
)

var stateNames = [...]string{"clear", "suspect", "quarantined"}

// String returns the name of the state as explain prints it.
func (s State) String() string {
	if int(s) < len(stateNames) {
		return stateNames[s]
	}
	return "invalid"
}

// MaxCrashes bounds the crashes kept for one fingerprint; further crashes change neither the verdict nor its end.
const MaxCrashes = 4

// quarantineCount is the number of crashes at which a fingerprint is refused (design 4.6).
const quarantineCount = 2

// Crash identifies one crash of a backend server, whichever source reports it.
type Crash struct {
	Instance request.InstanceID
	// Incarnation is the incarnation of the backend server, which its node raises at each restart.
	Incarnation request.Incarnation
}

// Loss identifies a node whose stream a source lost while the fingerprint was in flight there. Whether the backend server
// beside the node crashed is not known.
type Loss struct {
	Instance request.InstanceID
	// Incarnation is that of the node.
	Incarnation request.Incarnation
	// Remaining is the time until the loss expires.
	Remaining time.Duration
}

// maxRuns bounds the runs of a backend server under one incarnation of its node. The incarnations of two processes that
// follow each other differ by more, as request.NewIncarnation takes them from the clock.
const maxRuns = 1 << 20

// explains reports whether the crash was counted under the lost node, so that crash and loss are the same event.
func (c Crash) explains(l Loss) bool {
	return c.Instance == l.Instance && c.Incarnation >= l.Incarnation && c.Incarnation-l.Incarnation < maxRuns
}

// Record is what one node tells another about a fingerprint.
type Record struct {
	Fingerprint request.Fingerprint
	Service     request.ServiceID
	Count       int
	// Crashes are the identities of the counted crashes that the sender knows, at most MaxCrashes.
	Crashes []Crash
	// Remaining is the time until the crashes expire; it is a duration because clocks differ between nodes. It is zero in a
	// record of losses alone.
	Remaining time.Duration
	// Losses are the unconfirmed losses that no known crash explains, at most MaxCrashes.
	Losses []Loss
}

// State returns the verdict that the crashes and losses of the record imply.
func (r Record) State() State { return stateOf(r.Count, len(r.Losses)) }

// StateRemaining returns the time for which the verdict holds if nothing is added.
func (r Record) StateRemaining() time.Duration {
	if r.State() == Quarantined && r.Count < quarantineCount {
		return min(r.Remaining, r.lossesRemaining())
	}
	return r.Remaining
}

// After returns the record as it is when the duration has passed; ok is false if nothing is left of it.
func (r Record) After(d time.Duration) (later Record, ok bool) {
	later = r
	later.Remaining -= d
	if later.Remaining <= 0 {
		later.Count, later.Crashes, later.Remaining = 0, nil, 0
	}
	later.Losses = nil
	for _, l := range r.Losses {
		if l.Remaining > d {
			l.Remaining -= d
			later.Losses = append(later.Losses, l)
		}
	}
	return later, later.Count > 0 || len(later.Losses) > 0
}

func (r Record) lossesRemaining() time.Duration {
	var longest time.Duration
	for _, l := range r.Losses {
		longest = max(longest, l.Remaining)
	}
	return longest
}

// Settings bounds a Table.
type Settings struct {
	// Capacity is the largest number of fingerprints held.
	Capacity int
	// Expiry is the time from the latest crash until a fingerprint is forgotten.
	Expiry time.Duration
	// LossExpiry is the time from an unconfirmed loss until it is forgotten.
	LossExpiry time.Duration
}

// DefaultSettings returns the settings of the design: 10 minutes for crashes, 60 s for losses (the longest deadline of a
// request), and room for the fingerprints in flight on 17 of the largest backend servers (230 slots).
func DefaultSettings() Settings {
	return Settings{Capacity: 4096, Expiry: 10 * time.Minute, LossExpiry: time.Minute}
}

type entry struct {
	service request.ServiceID
	count   int
	crashes []Crash
	// expires is the end of the crashes; the losses have their own.
	expires request.Instant
	losses  []loss
}

type loss struct {
	Loss
	expires request.Instant
}

// Table holds the fingerprints with at least one crash or unconfirmed loss.
type Table struct {
	settings Settings
	entries  map[request.Fingerprint]*entry
}

// New returns an empty table.
func New(s Settings) *Table {
	return &Table{settings: s, entries: make(map[request.Fingerprint]*entry)}
}

// stateOf returns the verdict on a fingerprint. Losses weigh only beside a crash, and all together as one, because a
// partition loses many streams of innocent requests.
func stateOf(count, losses int) State {
	if count > 0 && losses > 0 {
		count++
	}
	switch {
	case count <= 0:
		return Clear
	case count < quarantineCount:
		return Suspect
	default:
		return Quarantined
	}
}

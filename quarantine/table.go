package quarantine

import (
	"time"

	"github.com/sapphiretack/sapphiretack/request"
)

// State tells how a request with a fingerprint is treated.
type State uint8

// The states, in the order in which further crashes reach them.
const (
	// Clear means that no crash is counted; losses alone do not change it.
	Clear State = iota
	// Suspect means that one crash is counted; an instance runs one suspect request at a time.
	Suspect
	// Quarantined means that the request is refused, after two crashes or after one crash and a loss.
	Quarantined
)

var stateNames = [...]string{"clear", "suspect", "quarantined"}

// String returns the name of the state, as printed by explain.
func (s State) String() string {
	if int(s) < len(stateNames) {
		return stateNames[s]
	}
	return "invalid"
}

// MaxCrashes is the maximum number of crashes, and of losses, recorded for one fingerprint; further ones change neither its
// state nor its expiry.
const MaxCrashes = 4

// quarantineCount is the number of crashes at which a fingerprint is quarantined (section 4.6 of the design).
const quarantineCount = 2

// Crash identifies one crash of a backend server; it is the same for every source that reports it.
type Crash struct {
	Instance request.InstanceID
	// Incarnation is that of the backend server, which its node increments at each restart.
	Incarnation request.Incarnation
}

// Loss identifies a node to which a source lost the stream of a request with the fingerprint. It is not known whether the
// backend server of the node crashed.
type Loss struct {
	Instance request.InstanceID
	// Incarnation is that of the node.
	Incarnation request.Incarnation
	// Remaining is the time until the loss expires.
	Remaining time.Duration
}

// maxRestarts bounds the restarts of a backend server within one incarnation of its node. The incarnations of consecutive
// node processes differ by more, because request.NewIncarnation derives them from the clock.
const maxRestarts = 1 << 20

// explains reports whether the crash is that of the lost node's backend server in the same incarnation of the node, so that
// the crash and the loss are the same event.
func (c Crash) explains(l Loss) bool {
	return c.Instance == l.Instance && c.Incarnation >= l.Incarnation && c.Incarnation-l.Incarnation < maxRestarts
}

// Record is the state of a fingerprint as exchanged between nodes.
type Record struct {
	Fingerprint request.Fingerprint
	Service     request.ServiceID
	Count       int
	// Crashes are the counted crashes that the sender can identify, at most MaxCrashes.
	Crashes []Crash
	// Remaining is the time until the crashes expire; it is a duration because the clocks of nodes differ. It is zero in a
	// record with losses only.
	Remaining time.Duration
	// Losses are the unconfirmed losses that no known crash explains, at most MaxCrashes.
	Losses []Loss
}

// State returns the state that follows from the crashes and losses of the record.
func (r Record) State() State { return stateOf(r.Count, len(r.Losses)) }

// StateRemaining returns the time until the state changes if no crash or loss is added.
func (r Record) StateRemaining() time.Duration {
	if r.State() == Quarantined && r.Count < quarantineCount {
		return min(r.Remaining, r.lossesRemaining())
	}
	return r.Remaining
}

// After returns the record as it will be after the duration; ok is false if all of it has expired by then.
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

// Settings limits the size of a Table and the lifetime of its records.
type Settings struct {
	// Capacity is the maximum number of fingerprints.
	Capacity int
	// Expiry is the time from the last crash of a fingerprint until its crashes are removed.
	Expiry time.Duration
	// LossExpiry is the time from an unconfirmed loss until it is removed.
	LossExpiry time.Duration
}

// DefaultSettings returns the settings of the design: an expiry of 10 minutes for crashes and of 60 s for losses (the longest
// deadline of a request), and capacity for the fingerprints in flight on 17 of the largest backend servers (230 slots).
func DefaultSettings() Settings {
	return Settings{Capacity: 4096, Expiry: 10 * time.Minute, LossExpiry: time.Minute}
}

// entry is the record of one fingerprint.
type entry struct {
	service request.ServiceID
	count   int
	crashes []Crash
	// expires is the expiry of the crashes; each loss has its own.
	expires request.Instant
	losses  []loss
}

type loss struct {
	Loss
	expires request.Instant
}

// Table holds the records of fingerprints with at least one crash or unconfirmed loss; it is not safe for concurrent use.
type Table struct {
	settings Settings
	entries  map[request.Fingerprint]*entry
}

// New returns an empty table.
func New(s Settings) *Table {
	return &Table{settings: s, entries: make(map[request.Fingerprint]*entry)}
}

// stateOf returns the state of a fingerprint with the given counts. Losses count only together with a crash, and all of them
// as one, because a partition loses many streams of requests that crash nothing.
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

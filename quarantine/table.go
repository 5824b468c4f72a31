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

// Record is what one node tells another about a fingerprint.
type Record struct {
	Fingerprint request.Fingerprint
	Service     request.ServiceID
	Count       int
	// Crashes are the identities of the counted crashes that the sender knows, at most MaxCrashes.
	Crashes []Crash
	// Remaining is the time until the record expires; it is a duration because clocks differ between nodes.
	Remaining time.Duration
}

// State returns the verdict that the count of the record implies.
func (r Record) State() State { return stateOf(r.Count) }

// Settings bounds a Table.
type Settings struct {
	// Capacity is the largest number of fingerprints held.
	Capacity int
	// Expiry is the time from the latest crash until a fingerprint is forgotten.
	Expiry time.Duration
}

// DefaultSettings returns the settings of the design: 10 minutes, and room for the fingerprints in flight on 17 of the
// largest backend servers (230 slots).
func DefaultSettings() Settings {
	return Settings{Capacity: 4096, Expiry: 10 * time.Minute}
}

type entry struct {
	service request.ServiceID
	count   int
	crashes []Crash
	expires request.Instant
}

// Table holds the fingerprints with at least one crash.
type Table struct {
	settings Settings
	entries  map[request.Fingerprint]*entry
}

// New returns an empty table.
func New(s Settings) *Table {
	return &Table{settings: s, entries: make(map[request.Fingerprint]*entry)}
}

func stateOf(count int) State {
	switch {
	case count <= 0:
		return Clear
	case count < quarantineCount:
		return Suspect
	default:
		return Quarantined
	}
}

package route

import (
	"time"

	"github.com/sapphiretack/sapphiretack/request"
)

// Settings describe the source and bound what it remembers.
type Settings struct {
	// Instance is the source itself.
	Instance request.InstanceID
	Zone     request.ZoneID
	Region   request.RegionID
	// Connections is the number of connections that a backend server's node accepts from sources.
	Connections int
	// ReportLife is the age at which a reported load or level is no longer used.
	ReportLife time.Duration
	// RefusalLife is the longest time for which a refusal is remembered.
	RefusalLife time.Duration
	// BrokenMin and BrokenMax bound the time for which a broken instance is avoided; it doubles with each failure in a row.
	BrokenMin time.Duration
	BrokenMax time.Duration
	// ProbeShare is the share of requests above the level that the first node lets through to learn that a level has risen.
	ProbeShare float64
}

// DefaultSettings returns the settings of a source, with 250 connections, the smallest number that a backend server declares.
func DefaultSettings(instance request.InstanceID, zone request.ZoneID, region request.RegionID) Settings {
	return Settings{
		Instance:    instance,
		Zone:        zone,
		Region:      region,
		Connections: 250,
		// Half of the recovery target of 2 s, so that no old report holds back recovery.
		ReportLife: time.Second,
		// One control interval of the destination, after which its level may differ.
		RefusalLife: 250 * time.Millisecond,
		BrokenMin:   50 * time.Millisecond,
		BrokenMax:   time.Second,
		// At ten times the load a share of 0.01 wasted 4% to 8% of the work (docs/measurements.md).
		ProbeShare: 0.001,
	}
}

// State is the state of a member as gossip tells it.
type State uint8

// The states; only alive and suspect members receive attempts.
const (
	Alive State = iota
	Suspect
	Leaving
	Dead
)

// Member is an instance that the table may choose.
type Member struct {
	Instance    request.InstanceID
	Service     request.ServiceID
	Zone        request.ZoneID
	Region      request.RegionID
	Address     string
	Incarnation request.Incarnation
	State       State
	// Slots is the number of requests that the backend server declares it can run at once.
	Slots uint32
}

// Load is what a destination reports with a response.
type Load struct {
	InFlight uint32
	Queued   uint32
	// Limit is the number of requests that the destination runs at once now.
	Limit uint32
	// Level is the admission level of the destination.
	Level request.Priority
}

// Choice is the instance that an attempt goes to.
type Choice struct {
	Instance    request.InstanceID
	Address     string
	Incarnation request.Incarnation
	// RetryAfter is the time until an instance may be available, when none was picked.
	RetryAfter time.Duration
}

// Verdict tells whether Pick found an instance, and if not, why.
type Verdict uint8

// The verdicts.
const (
	// NoInstance means that no instance is known, or that each one is excluded or broken.
	NoInstance Verdict = iota
	// Picked means that the choice is valid.
	Picked
	// AllRefused means that an instance is reachable, but each of them lately refused this priority or a more important one.
	AllRefused
)

var verdictNames = [...]string{"no_instance", "picked", "all_refused"}

// String returns the name of the verdict.
func (v Verdict) String() string { return verdictNames[v] }

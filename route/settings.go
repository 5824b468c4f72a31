package route

import (
	"time"

	"github.com/sapphiretack/sapphiretack/request"
)

// Settings identifies the source and sets the limits of its Table.
type Settings struct {
	// Instance is the instance of the source.
	Instance request.InstanceID
	Zone     request.ZoneID
	Region   request.RegionID
	// MaxConnections is the maximum number of connections from sources that the node of a backend server accepts.
	MaxConnections int
	// ReportTTL is the maximum age of a reported load or level.
	ReportTTL time.Duration
	// RefusalTTL is the maximum time for which a refusal is in effect.
	RefusalTTL time.Duration
	// MinBackoff and MaxBackoff bound the time for which a broken instance is avoided; it doubles with each consecutive failure.
	MinBackoff time.Duration
	MaxBackoff time.Duration
	// ProbeShare is the share of requests at or above the level that the first node lets through to detect that the level has risen.
	ProbeShare float64
}

// DefaultSettings returns the default settings of a source, with 250 connections, the smallest number that a backend server declares.
func DefaultSettings(instance request.InstanceID, zone request.ZoneID, region request.RegionID) Settings {
	return Settings{
		Instance:       instance,
		Zone:           zone,
		Region:         region,
		MaxConnections: 250,
		// Half of the recovery target of 2 s, so that outdated reports do not delay recovery.
		ReportTTL: time.Second,
		// One control interval of the destination, after which its level may have changed.
		RefusalTTL: 250 * time.Millisecond,
		MinBackoff: 50 * time.Millisecond,
		MaxBackoff: time.Second,
		// With 0.01, the requests that passed wasted 4% to 8% of the work at ten times the load (docs/measurements.md).
		ProbeShare: 0.001,
	}
}

// State is the membership state of an instance, as spread by gossip.
type State uint8

// The membership states; only alive and suspect members receive attempts.
const (
	Alive State = iota
	Suspect
	Leaving
	Dead
)

// Member describes an instance from the membership list.
type Member struct {
	Instance    request.InstanceID
	Service     request.ServiceID
	Zone        request.ZoneID
	Region      request.RegionID
	Address     string
	Incarnation request.Incarnation
	State       State
	// Slots is the number of requests that the backend server declares it can run concurrently.
	Slots uint32
}

// Load is the load that a destination reports with a response; InFlight and Queued are numbers of attempts.
type Load struct {
	InFlight uint32
	Queued   uint32
	// Limit is the current concurrency limit of the destination.
	Limit uint32
	// Level is the admission level of the destination.
	Level request.Priority
}

// Choice is the instance selected for an attempt.
type Choice struct {
	Instance    request.InstanceID
	Address     string
	Incarnation request.Incarnation
	// RetryAfter is the time until an instance may become available, if none was picked.
	RetryAfter time.Duration
}

// PickResult is the result of Pick: whether it found an instance and, if not, why.
type PickResult uint8

// The results of Pick.
const (
	// NoInstance means that no instance is known, or that all of them are excluded or broken.
	NoInstance PickResult = iota
	// Picked means that an instance was selected.
	Picked
	// AllRefused means that at least one instance is neither excluded nor broken, but each such instance has recently refused this priority or a more important one.
	AllRefused
)

var resultNames = [...]string{"no_instance", "picked", "all_refused"}

// String returns the name of the result.
func (r PickResult) String() string { return resultNames[r] }

package operator

import (
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"regexp"

	"github.com/sapphiretack/sapphiretack/request"
)

// ChangeID identifies a change and makes resending it idempotent. It consists of 32 lower-case hexadecimal digits.
type ChangeID string

// NewChangeID returns a random identifier.
func NewChangeID() ChangeID {
	var id [16]byte
	// crypto/rand.Read never fails since Go 1.24.
	_, _ = rand.Read(id[:])
	return ChangeID(hex.EncodeToString(id[:]))
}

var changeIDPattern = regexp.MustCompile(`^[0-9a-f]{32}$`)

// Valid reports whether the identifier is well-formed.
func (id ChangeID) Valid() bool { return changeIDPattern.MatchString(string(id)) }

// Kind is the kind of a configuration object.
type Kind string

// The kinds of objects, as used in paths after /v1/.
const (
	KindTemplate Kind = "templates"
	KindCustomer Kind = "customers"
)

// Change creates, replaces or withdraws an object, provided that the current revision of the object equals Revision.
type Change struct {
	ID        ChangeID
	Kind      Kind
	Name      string
	Revision  uint64 // 0 if the object does not exist yet
	Document  []byte
	Withdrawn bool
}

// Object is a template or a customer, with its revision and the configuration version of its last change.
type Object struct {
	Kind      Kind            `json:"kind"`
	Name      string          `json:"name"`
	Revision  uint64          `json:"revision"`
	Version   uint64          `json:"version"`
	Withdrawn bool            `json:"withdrawn,omitempty"`
	Document  json.RawMessage `json:"document,omitempty"`
}

// Status is the view of one node of itself and of the other instances.
type Status struct {
	Self    SelfStatus     `json:"self"`
	Members []MemberStatus `json:"members"`
}

// SelfStatus describes the node that responds.
type SelfStatus struct {
	MemberStatus
	Ready        bool             `json:"ready"`
	Level        request.Priority `json:"level"` // requests with a priority below it are admitted; 768 admits all
	InFlight     int              `json:"in_flight"`
	Queued       int              `json:"queued"`
	Limit        int              `json:"limit"`         // adaptive limit on requests in flight
	CPUShare     float64          `json:"cpu_share"`     // fraction of one core used since the start of the process
	MemoryBytes  uint64           `json:"memory_bytes"`  // memory obtained from the operating system
	ControlBytes uint64           `json:"control_bytes"` // bytes sent for membership and configuration since the start
	Streams      int              `json:"streams"`       // open streams of callers
}

// MemberStatus is the entry of an instance in the membership.
type MemberStatus struct {
	Instance             request.InstanceID  `json:"instance"`
	Service              request.ServiceID   `json:"service"`
	Zone                 request.ZoneID      `json:"zone"`
	Region               request.RegionID    `json:"region"`
	Address              string              `json:"address"`
	Incarnation          request.Incarnation `json:"incarnation"`
	State                string              `json:"state"` // alive, suspect, leaving or dead
	ConfigurationVersion uint64              `json:"configuration_version"`
	Slots                int                 `json:"slots"`
}

// ExplainQuery selects the requests to explain; the service is required, the other fields are optional filters.
type ExplainQuery struct {
	Service     request.ServiceID
	Customer    request.CustomerID
	Operation   request.Operation
	Fingerprint request.Fingerprint // 0 for none
}

// Explanation says why the requests that match a query are currently admitted or refused.
type Explanation struct {
	Service         request.ServiceID  `json:"service"`
	Customer        request.CustomerID `json:"customer,omitempty"`
	Operation       request.Operation  `json:"operation,omitempty"`
	Class           string             `json:"class,omitempty"`
	PriorityFirst   request.Priority   `json:"priority_first"` // first and most important priority of these requests
	PriorityLast    request.Priority   `json:"priority_last"`  // last and least important priority of these requests
	Level           request.Priority   `json:"level"`          // lowest known admission level on the path
	LimitingService request.ServiceID  `json:"limiting_service,omitempty"`
	Verdict         Verdict            `json:"verdict"`
	Reason          string             `json:"reason,omitempty"`
	Remedy          string             `json:"remedy,omitempty"`
	Instances       []InstanceLoad     `json:"instances,omitempty"`
	// Quarantine holds the record of the fingerprint, or all records of the service if the query has no fingerprint.
	Quarantine []QuarantineRecord `json:"quarantine,omitempty"`
}

// Verdict says whether the requests that match a query are admitted.
type Verdict string

// The verdicts.
const (
	VerdictAdmitted      Verdict = "admitted"
	VerdictPartlyRefused Verdict = "partly_refused" // the admission level is within the range of priorities of the class
	VerdictRefused       Verdict = "refused"
)

// InstanceLoad is the admission level and the load that an instance last reported to this node.
type InstanceLoad struct {
	Instance request.InstanceID `json:"instance"`
	Level    request.Priority   `json:"level"`
	InFlight int                `json:"in_flight"`
	Queued   int                `json:"queued"`
}

// QuarantineRecord is the quarantine record of a request fingerprint.
type QuarantineRecord struct {
	Fingerprint string `json:"fingerprint"` // 16 hexadecimal digits
	Crashes     int    `json:"crashes"`
	State       string `json:"state"` // suspect or quarantined
	RemainingMs int64  `json:"remaining_ms"`
}

// LogLevel is the body of a request that sets the log level.
type LogLevel struct {
	Level string `json:"level"`
}

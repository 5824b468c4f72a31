package operator

import (
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"regexp"

	"github.com/sapphiretack/sapphiretack/request"
)

// ChangeID identifies one change, so that sending it again has no further effect; it has 32 hexadecimal digits.
type ChangeID string

// NewChangeID returns a random ChangeID.
func NewChangeID() ChangeID {
	var id [16]byte
	// crypto/rand.Read never fails since Go 1.24.
	_, _ = rand.Read(id[:])
	return ChangeID(hex.EncodeToString(id[:]))
}

var changeIDPattern = regexp.MustCompile(`^[0-9a-f]{32}$`)

// Valid reports whether the identifier has the right form.
func (id ChangeID) Valid() bool { return changeIDPattern.MatchString(string(id)) }

// Kind is the kind of an object of the configuration.
type Kind string

// The kinds, as they stand in paths after /v1/.
const (
	KindTemplate Kind = "templates"
	KindCustomer Kind = "customers"
)

// Change replaces or withdraws one object if its revision is still the given one.
type Change struct {
	ID        ChangeID
	Kind      Kind
	Name      string
	Revision  uint64 // 0 if the object does not exist yet
	Document  []byte
	Withdrawn bool
}

// Object is a template or a customer with its revision and the global version of its last change.
type Object struct {
	Kind      Kind            `json:"kind"`
	Name      string          `json:"name"`
	Revision  uint64          `json:"revision"`
	Version   uint64          `json:"version"`
	Withdrawn bool            `json:"withdrawn,omitempty"`
	Document  json.RawMessage `json:"document,omitempty"`
}

// Status is what one node knows about itself and the others.
type Status struct {
	Self    SelfStatus     `json:"self"`
	Members []MemberStatus `json:"members"`
}

// SelfStatus describes the node that answers.
type SelfStatus struct {
	MemberStatus
	Ready        bool             `json:"ready"`
	Level        request.Priority `json:"level"` // admitted if the priority is below; 768 admits all
	InFlight     int              `json:"in_flight"`
	Queued       int              `json:"queued"`
	Limit        int              `json:"limit"`         // adaptive limit of requests in flight
	CPUShare     float64          `json:"cpu_share"`     // share of one core used since the start
	MemoryBytes  uint64           `json:"memory_bytes"`  // obtained from the system
	ControlBytes uint64           `json:"control_bytes"` // sent for membership and configuration since the start
	Streams      int              `json:"streams"`       // open streams of callers
}

// MemberStatus describes an instance as the membership knows it.
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

// ExplainQuery says what to explain; the service is required, the other fields narrow the answer.
type ExplainQuery struct {
	Service     request.ServiceID
	Customer    request.CustomerID
	Operation   request.Operation
	Fingerprint request.Fingerprint // 0 for none
}

// Explanation says why requests of one kind are admitted or refused at present.
type Explanation struct {
	Service         request.ServiceID  `json:"service"`
	Customer        request.CustomerID `json:"customer,omitempty"`
	Operation       request.Operation  `json:"operation,omitempty"`
	Class           string             `json:"class,omitempty"`
	PriorityFirst   request.Priority   `json:"priority_first"` // most important priority of such requests
	PriorityLast    request.Priority   `json:"priority_last"`  // least important priority of such requests
	Level           request.Priority   `json:"level"`          // lowest level on the path, as this node knows it
	LimitingService request.ServiceID  `json:"limiting_service,omitempty"`
	Verdict         Verdict            `json:"verdict"`
	Reason          string             `json:"reason,omitempty"`
	Remedy          string             `json:"remedy,omitempty"`
	Instances       []InstanceLevel    `json:"instances,omitempty"`
	// Quarantine holds the record of the fingerprint, or all records of the service if the query names none.
	Quarantine []QuarantineDecision `json:"quarantine,omitempty"`
}

// Verdict says what happens to requests of one kind.
type Verdict string

// The verdicts.
const (
	VerdictAdmitted Verdict = "admitted"
	VerdictPartly   Verdict = "partly_refused" // the level lies within the priorities of the class
	VerdictRefused  Verdict = "refused"
)

// InstanceLevel is the level that an instance last reported to this node.
type InstanceLevel struct {
	Instance request.InstanceID `json:"instance"`
	Level    request.Priority   `json:"level"`
	InFlight int                `json:"in_flight"`
	Queued   int                `json:"queued"`
}

// QuarantineDecision is the state of one fingerprint.
type QuarantineDecision struct {
	Fingerprint string `json:"fingerprint"` // 16 hexadecimal digits
	Crashes     int    `json:"crashes"`
	State       string `json:"state"` // suspect or quarantined
	RemainingMs int64  `json:"remaining_ms"`
}

// LogLevel is the body of a change of the log level.
type LogLevel struct {
	Level string `json:"level"`
}

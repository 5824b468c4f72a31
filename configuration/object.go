package configuration

import (
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"hash/fnv"

	"github.com/zeebo/errs"

	"github.com/sapphiretack/sapphiretack/template"
)

// The error classes. An invalid change is reported as a *template.ValidationError, an outdated revision as a *ConflictError.
var (
	// Unavailable means that the change was not applied or the state cannot be read.
	Unavailable = errs.Class("configuration unavailable")
	// Indeterminate means that the change may have been applied; committing the same Change again resolves the outcome.
	Indeterminate = errs.Class("configuration outcome unknown")
	// NotFound means that the object does not exist.
	NotFound = errs.Class("configuration object not found")
	// Rejected means that an update is malformed or inconsistent with the version it names.
	Rejected = errs.Class("configuration update rejected")
)

// Kind is the kind of an object.
type Kind uint8

// The kinds.
const (
	Template Kind = iota + 1
	Customer
)

// String returns the name of the kind.
func (k Kind) String() string {
	switch k {
	case Template:
		return "template"
	case Customer:
		return "customer"
	}
	return "invalid"
}

// ParseKind returns the kind with the name; the error is of class Rejected.
func ParseKind(s string) (Kind, error) {
	switch s {
	case "template":
		return Template, nil
	case "customer":
		return Customer, nil
	}
	return 0, Rejected.New("kind %q does not exist; use template or customer", s)
}

// MarshalText implements encoding.TextMarshaler.
func (k Kind) MarshalText() ([]byte, error) { return []byte(k.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (k *Kind) UnmarshalText(b []byte) (err error) {
	*k, err = ParseKind(string(b))
	return err
}

// ChangeID identifies a change. The client chooses it and reuses it when it sends the same change again.
type ChangeID string

// maxChangeIDBytes is the maximum length of a change identifier, which is part of a table key.
const maxChangeIDBytes = 64

// Revision counts the changes of one object, from 1.
type Revision uint64

// Version counts the changes of all objects, from 1.
type Version uint64

// Change publishes, changes or withdraws an object.
type Change struct {
	ID        ChangeID
	Kind      Kind
	Name      string
	Revision  Revision // expected revision; 0 if the object must not exist or must be withdrawn
	Document  []byte
	Withdrawn bool
}

// Object is an object as of its last change. A withdrawn object is kept without its document, so that its revision keeps
// counting and replicas learn of the withdrawal.
type Object struct {
	Kind      Kind     `json:"kind"`
	Name      string   `json:"name"`
	Revision  Revision `json:"revision"`
	Version   Version  `json:"version"`
	Document  []byte   `json:"document,omitempty"`
	Withdrawn bool     `json:"withdrawn,omitempty"`
}

// Exists reports whether the object was published and not withdrawn.
func (o *Object) Exists() bool { return o.Revision != 0 && !o.Withdrawn }

// Update brings a replica to Version: the objects changed since the replica's version or, in a snapshot, all objects.
type Update struct {
	Version  Version
	Objects  []Object
	Snapshot bool
}

// ConflictError is the error for a change whose expected revision is not the current one.
type ConflictError struct {
	Expected Revision
	Current  Object // zero if the object never existed
}

// Error returns the current state, the expected revision and the remedy in one line.
func (c *ConflictError) Error() string {
	state := fmt.Sprintf("has revision %d", c.Current.Revision)
	switch {
	case c.Current.Revision == 0:
		state = "does not exist"
	case c.Current.Withdrawn:
		state += " and is withdrawn"
	}
	return fmt.Sprintf("%v %q %s, the change expects %d; read the present state and make the change again",
		c.Current.Kind, c.Current.Name, state, c.Expected)
}

// fingerprint hashes the content of a change, so that reuse of an identifier for another change is detected.
func (c *Change) fingerprint() string {
	h := sha256.New()
	fmt.Fprintf(h, "%v %q %d %t ", c.Kind, c.Name, c.Revision, c.Withdrawn)
	h.Write(c.Document)
	return fmt.Sprintf("%x", h.Sum(nil)[:16])
}

// validate reports every problem that can be detected without reading the table.
func (c *Change) validate() error {
	var problems []template.Problem
	if !validChangeID(c.ID) {
		problems = append(problems, template.Problem{
			Field: "change", Message: "is not a change identifier", Remedy: "use 1 to 64 letters, digits, '-' or '_'",
		})
	}
	if c.Kind != Template && c.Kind != Customer {
		problems = append(problems, template.Problem{Field: "kind", Message: "is unknown", Remedy: "use template or customer"})
	}
	problems = appendProblems(problems, template.CheckName(c.Name))
	switch {
	case c.Withdrawn && len(c.Document) > 0:
		problems = append(problems, template.Problem{
			Field: "document", Message: "is given with a withdrawal", Remedy: "withdraw without a document",
		})
	case c.Withdrawn:
	case c.Kind == Template:
		_, err := template.ParseTemplate(c.Document)
		problems = appendProblems(problems, err)
	case c.Kind == Customer:
		_, err := template.ParseCustomer(c.Document)
		problems = appendProblems(problems, err)
	}
	if len(problems) > 0 {
		return &template.ValidationError{Problems: problems}
	}
	return nil
}

// appendProblems appends the problems of err if it is a *template.ValidationError.
func appendProblems(problems []template.Problem, err error) []template.Problem {
	if invalid, ok := err.(*template.ValidationError); ok {
		problems = append(problems, invalid.Problems...)
	}
	return problems
}

// invalidField returns a *template.ValidationError with one problem.
func invalidField(field, message, remedy string) error {
	return &template.ValidationError{Problems: []template.Problem{{Field: field, Message: message, Remedy: remedy}}}
}

func validChangeID(id ChangeID) bool {
	if id == "" || len(id) > maxChangeIDBytes {
		return false
	}
	for i := range len(id) {
		c := id[i]
		if (c < 'a' || c > 'z') && (c < 'A' || c > 'Z') && (c < '0' || c > '9') && c != '-' && c != '_' {
			return false
		}
	}
	return true
}

// digest hashes the identity and version of an object. The sum over all objects is compared to the head row to detect a
// snapshot that mixes versions.
func (o *Object) digest() uint64 {
	if o.Revision == 0 {
		return 0
	}
	h := fnv.New64a()
	var version [8]byte
	binary.BigEndian.PutUint64(version[:], uint64(o.Version))
	h.Write(version[:])
	h.Write([]byte{byte(o.Kind)})
	h.Write([]byte(o.Name))
	return h.Sum64()
}

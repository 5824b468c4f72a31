package configuration

import (
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"hash/fnv"

	"github.com/zeebo/errs"

	"github.com/sapphiretack/sapphiretack/template"
)

// The classes of errors. A fault of the change itself is a *template.Invalid, a lost race is a *Conflict.
var (
	// Unavailable means that the change was not applied or the state cannot be read.
	Unavailable = errs.Class("configuration unavailable")
	// Indeterminate means that the change may have been applied; committing the same Change again settles it.
	Indeterminate = errs.Class("configuration outcome unknown")
	// NotFound means that the object does not exist.
	NotFound = errs.Class("configuration object not found")
	// Rejected means that an update cannot belong to the version it names.
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

// ParseKind returns the kind with the name.
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

// ChangeID identifies a change; whoever makes the change chooses it and keeps it when the change is sent again.
type ChangeID string

// maxChangeIDBytes bounds a change identifier, which is part of a table key.
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
	Revision  Revision // that the object must have; 0 if it must not exist or be withdrawn
	Document  []byte
	Withdrawn bool
}

// Object is an object as of its last change. A withdrawn object stays, without its document, so that its revision and version go on.
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

// Update is a part of the configuration: the objects changed since a version, or all of them.
type Update struct {
	Version  Version
	Objects  []Object
	Snapshot bool
}

// Conflict is the error for a change whose revision is not the present one.
type Conflict struct {
	Expected Revision
	Present  Object // zero if the object never existed
}

// Error returns the present state in one line.
func (c *Conflict) Error() string {
	state := fmt.Sprintf("has revision %d", c.Present.Revision)
	switch {
	case c.Present.Revision == 0:
		state = "does not exist"
	case c.Present.Withdrawn:
		state += " and is withdrawn"
	}
	return fmt.Sprintf("%v %q %s, the change expects %d; read the present state and make the change again",
		c.Present.Kind, c.Present.Name, state, c.Expected)
}

// fingerprint identifies the content of a change, so that an identifier cannot be used for two changes.
func (c *Change) fingerprint() string {
	h := sha256.New()
	fmt.Fprintf(h, "%v %q %d %t ", c.Kind, c.Name, c.Revision, c.Withdrawn)
	h.Write(c.Document)
	return fmt.Sprintf("%x", h.Sum(nil)[:16])
}

// check reports every fault that can be seen without reading the table.
func (c *Change) check() error {
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
		return &template.Invalid{Problems: problems}
	}
	return nil
}

func appendProblems(problems []template.Problem, err error) []template.Problem {
	if invalid, ok := err.(*template.Invalid); ok {
		problems = append(problems, invalid.Problems...)
	}
	return problems
}

func invalid(field, message, remedy string) error {
	return &template.Invalid{Problems: []template.Problem{{Field: field, Message: message, Remedy: remedy}}}
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

// digest hashes the identity and version of an object. The sum over all objects shows whether a snapshot is whole.
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

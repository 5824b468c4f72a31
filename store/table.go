package store

import (
	"context"

	"github.com/zeebo/errs"
)

// The classes of errors. After any error of another class than Indeterminate, or of no class, nothing was applied.
var (
	// ConditionFailed means that a row did not have the required revision; nothing was applied.
	ConditionFailed = errs.Class("condition failed")
	// Unavailable means that the platform cannot be reached or cannot serve the request; nothing was applied.
	Unavailable = errs.Class("platform unavailable")
	// Indeterminate means that the transaction may or may not have been applied.
	Indeterminate = errs.Class("platform outcome unknown")
	// Refused means that an argument exceeds a limit of the protocol; nothing was applied.
	Refused = errs.Class("platform request refused")
	// NotFound means that there is no object with the name.
	NotFound = errs.Class("object not found")
)

// Limits of the protocol.
const (
	MaxKeyBytes   = 256
	MaxValueBytes = 1 << 20
	MaxKeys       = 256 // keys in one Read
	MaxRows       = 256 // rows in one Scan
	MaxWrites     = 256 // writes, and conditions, in one Transaction
	// MaxPageBytes limits the values of one Scan: a page ends after the row that reaches it, so it has at least one row.
	MaxPageBytes = 4 << 20
)

// Era counts how often a store came back from a copy that is older than what it had acknowledged, and is 0 if that is not known. What was
// written since the copy is gone, and revisions are given out again, so a revision stands for a content within one era only.
type Era uint64

// Key is the key of a row; keys are ordered bytewise.
type Key string

// Revision identifies the content of a row; a missing row has the zero Revision.
type Revision struct {
	// Number is the number of the transaction that wrote the row, from 1.
	Number uint64 `json:"number"`
	// Write tells apart writes that got the same number, as a store gives it out again that came back from a copy. It is 0 if it is not
	// known; a condition then requires the number only.
	Write uint64 `json:"write,omitempty"`
}

// Exists reports whether a row with the revision exists.
func (r Revision) Exists() bool { return r.Number != 0 }

// meets reports whether a row of the revision meets a condition.
func (r Revision) meets(required Revision) bool {
	return r.Number == required.Number && (required.Write == 0 || r.Write == required.Write)
}

// Row is a row of the table as read.
type Row struct {
	Key      Key      `json:"key"`
	Value    []byte   `json:"value"`
	Revision Revision `json:"revision"`
}

// Condition requires that a row has a revision when the transaction is applied.
type Condition struct {
	Key      Key      `json:"key"`
	Revision Revision `json:"revision"`
}

// Write sets or deletes a row.
type Write struct {
	Key    Key    `json:"key"`
	Value  []byte `json:"value,omitempty"`
	Delete bool   `json:"delete,omitempty"`
}

// Transaction is an atomic list of writes that is applied only if all conditions hold. Without writes, its success shows that
// all conditions held at one point in time.
type Transaction struct {
	Conditions []Condition `json:"conditions"`
	Writes     []Write     `json:"writes"`
}

// Table is the transactional table.
type Table interface {
	// Read returns one row per key, in the order of the keys. The rows are a consistent snapshot, but may be stale. The error
	// is of class Refused for too many keys or an invalid key, and Unavailable if the platform cannot be reached.
	Read(ctx context.Context, keys []Key) ([]Row, error)
	// Scan returns up to limit rows, in key order, whose keys have the prefix and are greater than after. An empty page marks
	// the end. The error is of class Refused for a limit outside 1 to MaxRows, and Unavailable if the platform cannot be
	// reached.
	Scan(ctx context.Context, prefix, after Key, limit int) ([]Row, error)
	// Commit applies the transaction; the class of the error tells whether it was applied.
	Commit(ctx context.Context, t Transaction) error
	// Era returns the latest era that a response has shown.
	Era() Era
}

// Objects is the object store.
type Objects interface {
	// Get returns the content of an object; the error is of class NotFound if the object does not exist.
	Get(ctx context.Context, name string) ([]byte, error)
	// Put creates or replaces an object; after an error of class Indeterminate, the object may have been replaced.
	Put(ctx context.Context, name string, data []byte) error
}

// Validate returns an error of class Refused if the transaction exceeds a limit of the protocol.
func (t Transaction) Validate() error {
	if len(t.Conditions) > MaxWrites || len(t.Writes) > MaxWrites {
		return Refused.New("the transaction has %d conditions and %d writes; send at most %d of each",
			len(t.Conditions), len(t.Writes), MaxWrites)
	}
	for _, c := range t.Conditions {
		if err := checkKey(c.Key); err != nil {
			return err
		}
	}
	for _, w := range t.Writes {
		if err := checkKey(w.Key); err != nil {
			return err
		}
		if len(w.Value) > MaxValueBytes {
			return Refused.New("the value of row %q has %d bytes; send at most %d", w.Key, len(w.Value), MaxValueBytes)
		}
	}
	return nil
}

func checkKey(k Key) error {
	if k == "" || len(k) > MaxKeyBytes {
		return Refused.New("a key has %d bytes; send 1 to %d", len(k), MaxKeyBytes)
	}
	return nil
}

func checkKeys(keys []Key) error {
	if len(keys) > MaxKeys {
		return Refused.New("%d keys are read at once; send at most %d", len(keys), MaxKeys)
	}
	for _, k := range keys {
		if err := checkKey(k); err != nil {
			return err
		}
	}
	return nil
}

func checkScan(limit int) error {
	if limit < 1 || limit > MaxRows {
		return Refused.New("the scan limit is %d; send 1 to %d", limit, MaxRows)
	}
	return nil
}

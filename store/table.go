package store

import (
	"context"

	"github.com/zeebo/errs"
)

// The classes of errors. An error of another class, such as a refused argument, was not applied either.
var (
	// ConditionFailed means that a row had another revision; nothing was applied.
	ConditionFailed = errs.Class("condition failed")
	// Unavailable means that the platform cannot be reached; nothing was applied.
	Unavailable = errs.Class("platform unavailable")
	// Indeterminate means that the transaction may or may not have been applied.
	Indeterminate = errs.Class("platform outcome unknown")
	// Refused means that an argument breaks a bound of the protocol.
	Refused = errs.Class("platform request refused")
	// NotFound means that no object has the name.
	NotFound = errs.Class("object not found")
)

// Bounds of the protocol.
const (
	MaxKeyBytes   = 256
	MaxValueBytes = 1 << 20
	MaxKeys       = 256 // keys in one Read
	MaxRows       = 256 // rows in one Scan
	MaxWrites     = 256 // writes, and conditions, in one Transaction
	// MaxPageBytes bounds the values of one Scan; a page that reaches it ends early and holds at least one row.
	MaxPageBytes = 4 << 20
)

// Key is the key of a row; keys are ordered by their bytes.
type Key string

// Revision counts the transactions of the table; a row has the revision of the transaction that wrote it, a missing row has 0.
type Revision uint64

// Row is a row as read.
type Row struct {
	Key      Key      `json:"key"`
	Value    []byte   `json:"value"`
	Revision Revision `json:"revision"`
}

// Condition requires that a row has the revision when the transaction is applied.
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

// Transaction is applied if all conditions hold, otherwise not at all.
// One without writes proves that the conditions held at one point in time.
type Transaction struct {
	Conditions []Condition `json:"conditions"`
	Writes     []Write     `json:"writes"`
}

// Table is the transactional table.
type Table interface {
	// Read returns one row for each key, in the order of the keys. The rows are consistent, but may be out of date.
	Read(ctx context.Context, keys []Key) ([]Row, error)
	// Scan returns up to limit rows whose keys begin with prefix and follow after, in key order. An empty page is the end.
	Scan(ctx context.Context, prefix, after Key, limit int) ([]Row, error)
	// Commit applies the transaction.
	Commit(ctx context.Context, t Transaction) error
}

// Objects is the object store.
type Objects interface {
	Get(ctx context.Context, name string) ([]byte, error)
	Put(ctx context.Context, name string, data []byte) error
}

// Check reports which bound the transaction breaks.
func (t Transaction) Check() error {
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

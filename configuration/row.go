package configuration

import (
	"encoding/json"
	"fmt"

	"github.com/sapphiretack/sapphiretack/store"
)

// The row keys and key prefixes. All begin with rowPrefix.
const (
	rowPrefix    = "configuration/"
	headKey      = store.Key(rowPrefix + "head")
	objectPrefix = rowPrefix + "object/"
	changePrefix = rowPrefix + "change/"
	logPrefix    = rowPrefix + "log/"
	usesPrefix   = rowPrefix + "uses/"
)

// DefaultLogLength is the number of changes that are kept in the log, together with their identifiers: those of one day in the
// largest deployment.
const DefaultLogLength = 12_000

func objectRowKey(k Kind, name string) store.Key {
	return store.Key(objectPrefix + k.String() + "/" + name)
}

func changeKey(id ChangeID) store.Key { return store.Key(changePrefix + string(id)) }

// logKey returns the key of a log row. The version has a fixed number of digits, so that key order is version order.
func logKey(v Version) store.Key {
	return store.Key(fmt.Sprintf("%s%016x", logPrefix, uint64(v)))
}

func usesKey(name string) store.Key { return store.Key(usesPrefix + name) }

// headRow is the value of the head row, which each change updates.
type headRow struct {
	Version Version `json:"version"`
	Digest  uint64  `json:"digest"` // sum of the digests of all objects
}

// changeRow is the value of the row that records a change by its identifier.
type changeRow struct {
	Fingerprint string `json:"fingerprint"`
	Object      Object `json:"object"`
}

// logRow is the value of a log row.
type logRow struct {
	Change ChangeID `json:"change"`
	Object Object   `json:"object"`
}

// usesRow counts the customers that reference a template, so that a template in use cannot be withdrawn.
type usesRow struct {
	Customers int `json:"customers"`
}

// decode decodes a row's value into v; a missing row leaves v unchanged. The error is of class Unavailable.
func decode(row store.Row, v any) error {
	if !row.Revision.Exists() {
		return nil
	}
	if err := json.Unmarshal(row.Value, v); err != nil {
		return Unavailable.New("row %q cannot be read: %v; check which program writes to the table", row.Key, err)
	}
	return nil
}

// encode returns the write of a row with the value v.
func encode(key store.Key, v any) store.Write {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err) // the row types always marshal
	}
	return store.Write{Key: key, Value: data}
}

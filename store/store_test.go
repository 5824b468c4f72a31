package store_test

import (
	"context"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/sapphiretack/sapphiretack/store"
)

// TestArgumentLimits guards against arguments over the protocol's limits that the fake accepts.
func TestArgumentLimits(t *testing.T) {
	c := qt.New(t)
	ctx := context.Background()
	f := store.NewFake()
	long := store.Key(strings.Repeat("k", store.MaxKeyBytes+1))
	_, err := f.Read(ctx, []store.Key{long})
	c.Check(store.Refused.Has(err), qt.IsTrue)
	_, err = f.Read(ctx, make([]store.Key, store.MaxKeys+1))
	c.Check(store.Refused.Has(err), qt.IsTrue)
	_, err = f.Scan(ctx, "a", "", store.MaxRows+1)
	c.Check(store.Refused.Has(err), qt.IsTrue)
	err = f.Commit(ctx, store.Transaction{Writes: make([]store.Write, store.MaxWrites+1)})
	c.Check(store.Refused.Has(err), qt.IsTrue)
	err = f.Commit(ctx, store.Transaction{Writes: []store.Write{{Key: "k", Value: make([]byte, store.MaxValueBytes+1)}}})
	c.Check(store.Refused.Has(err), qt.IsTrue)
}

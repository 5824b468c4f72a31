package configuration

import (
	"context"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/sapphiretack/sapphiretack/store"
)

// TestAcceptedChangesAfterRestore guards against accepted changes that are lost with a store that comes back from a copy, and against a later
// change that gets the version of one of them, which nodes that have that one would never take over.
func TestAcceptedChangesAfterRestore(t *testing.T) {
	c := qt.New(t)
	ctx := context.Background()
	fake := store.NewFake()
	clock := time.Now()
	newStore := func() *Store {
		s := New(fake)
		s.now = func() time.Time { return clock }
		return s
	}
	s, ahead := newStore(), NewReplica()
	update := func(s *Store, r *Replica) {
		c.Helper()
		u, err := s.Since(ctx, r.Version())
		c.Assert(err, qt.IsNil)
		c.Assert(r.Apply(u.Version, u.Objects, u.Snapshot), qt.IsNil)
	}
	commit := func(s *Store, change Change) (Object, error) {
		update(s, ahead)
		return s.Commit(ctx, change)
	}
	customer := func(id string, name string, revision Revision, rate int) Change {
		return Change{
			ID: ChangeID(id), Kind: Customer, Name: name, Revision: revision,
			Document: fmt.Appendf(nil, `{"template": "clubs", "parameters": {"rate_per_second": %d}}`, rate),
		}
	}
	accept := func(s *Store, change Change) Object {
		c.Helper()
		o, err := commit(s, change)
		c.Assert(err, qt.IsNil)
		return o
	}
	accept(s, Change{ID: "t", Kind: Template, Name: "clubs", Document: []byte(`{"operations": [{"service": "racedesk",
		"operation": "record-arrival", "class": "essential", "idempotent": false, "timeout_ms": 2000}],
		"parameters": [{"name": "rate_per_second", "default": 50, "min": 1, "max": 500}]}`)})
	accept(s, customer("c1", "club-1", 0, 10))
	fake.SaveCopy()
	const lost = 20
	for i := range lost {
		accept(s, customer(fmt.Sprint("lost", i), fmt.Sprint("club-", i+2), 0, 10+i))
	}
	accept(s, customer("changed", "club-1", 1, 99))
	update(s, ahead)
	c.Assert(ahead.Version(), qt.Equals, Version(lost+3))

	fake.Restore()
	_, err := commit(s, customer("early", "club-early", 0, 10))
	c.Check(Unavailable.Has(err), qt.IsTrue, qt.Commentf("%v", err))
	written, err := s.WriteBack(ctx, ahead)
	c.Assert(err, qt.IsNil)
	c.Check(written, qt.Equals, lost+1)
	written, err = newStore().WriteBack(ctx, ahead)
	c.Assert(err, qt.IsNil)
	c.Check(written, qt.Equals, 0)

	clock = clock.Add(writeBackTime)
	c.Check(accept(s, customer("late", "club-late", 0, 10)).Version, qt.Equals, ahead.Version()+1)
	update(s, ahead)
	late := NewReplica()
	update(newStore(), late)
	for _, r := range []*Replica{ahead, late} {
		c.Check(r.Version(), qt.Equals, Version(lost+4))
		for _, name := range []string{"club-1", "club-2", "club-21", "club-late"} {
			o, ok := r.Show(Customer, name)
			c.Check(ok, qt.IsTrue, qt.Commentf("%s", name))
			expected, _ := ahead.Show(Customer, name)
			c.Check(string(o.Document), qt.Equals, string(expected.Document))
		}
	}
	// The template is in use by all customers, those that were written back included.
	_, err = commit(s, Change{ID: "w", Kind: Template, Name: "clubs", Revision: 1, Withdrawn: true})
	c.Check(err, qt.ErrorMatches, fmt.Sprintf(`(?s).*%d customers name template.*`, lost+2))
}

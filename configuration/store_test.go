package configuration_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net/http/httptest"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/sapphiretack/sapphiretack/configuration"
	"github.com/sapphiretack/sapphiretack/platform"
	"github.com/sapphiretack/sapphiretack/standin"
	"github.com/sapphiretack/sapphiretack/store"
	"github.com/sapphiretack/sapphiretack/template"
)

const templateDocument = `{"operations": [{"service": "racedesk", "operation": "record-arrival", "class": "essential",
	"idempotent": false, "timeout_ms": 2000}],
	"parameters": [{"name": "rate_per_second", "default": 50, "min": 1, "max": 500}]}`

func customerDocument(rate int) []byte {
	return fmt.Appendf(nil, `{"template": "clubs", "parameters": {"rate_per_second": %d}}`, rate)
}

func publishTemplate(t testing.TB, s *configuration.Store) {
	_, err := s.Commit(context.Background(), configuration.Change{
		ID: "t-1", Kind: configuration.Template, Name: "clubs", Document: []byte(templateDocument),
	})
	qt.Assert(t, err, qt.IsNil)
}

func customerChange(id configuration.ChangeID, revision configuration.Revision, rate int) configuration.Change {
	return configuration.Change{ID: id, Kind: configuration.Customer, Name: "club-17", Revision: revision, Document: customerDocument(rate)}
}

// newTable returns a fake platform with a template and a customer at revision 1; stale reads do not see the customer. The log
// keeps two changes, so that each further change also trims it.
func newTable(t testing.TB) (*store.Fake, *configuration.Store) {
	fake := store.NewFake()
	s := configuration.NewWithLogLength(fake, 2)
	publishTemplate(t, s)
	fake.SaveStaleState()
	_, err := s.Commit(context.Background(), customerChange("c-1", 0, 10))
	qt.Assert(t, err, qt.IsNil)
	return fake, s
}

// faultScript maps the number of a request to its fault.
type faultScript map[int]store.Fault

func (s faultScript) inject(fake *store.Fake, steps *int) {
	fake.SetFaultHook(func(context.Context, store.OperationKind) store.Fault {
		*steps++
		return s[*steps]
	})
}

func show(t testing.TB, s *configuration.Store) configuration.Object {
	o, err := s.Show(context.Background(), configuration.Customer, "club-17")
	qt.Assert(t, err, qt.IsNil)
	return o
}

// checkCommit commits a change under the faults and checks that the reported result matches the stored state, also after the
// delivery of delayed transactions and when the same change is committed again.
func checkCommit(t *testing.T, faults faultScript) {
	fake, s := newTable(t)
	ctx := context.Background()
	change := customerChange("c-2", 1, 20)
	steps := 0
	faults.inject(fake, &steps)
	o, err := s.Commit(ctx, change)
	fake.SetFaultHook(nil)
	fake.ApplyDelayed()
	comment := qt.Commentf("faults %v, error %v", faults, err)
	switch {
	case err == nil:
		qt.Assert(t, o, qt.DeepEquals, show(t, s), comment)
		qt.Assert(t, o.Revision, qt.Equals, configuration.Revision(2), comment)
	case configuration.Unavailable.Has(err):
		qt.Assert(t, show(t, s).Revision, qt.Equals, configuration.Revision(1), comment)
	default:
		qt.Assert(t, configuration.Indeterminate.Has(err), qt.IsTrue, comment)
	}
	again, err := s.Commit(ctx, change)
	qt.Assert(t, err, qt.IsNil, comment)
	qt.Assert(t, again, qt.DeepEquals, show(t, s), comment)
	qt.Assert(t, again.Revision, qt.Equals, configuration.Revision(2), comment)
	qt.Assert(t, again.Version, qt.Equals, configuration.Version(3), comment)
	u, err := s.Since(ctx, 0)
	qt.Assert(t, err, qt.IsNil, comment)
	qt.Assert(t, u.Version, qt.Equals, configuration.Version(3), comment)
}

// TestCommitOutcomeUnderFaults guards against a change that is applied twice, lost or reported with a wrong result, with one
// or two faults at every request of its commit.
func TestCommitOutcomeUnderFaults(t *testing.T) {
	faults := []store.Fault{store.Down, store.LostRequest, store.LostResponse, store.StaleRead, store.Delayed}
	const steps = 10 // a commit sends 3 reads and a transaction, so 10 requests cover two attempts
	for first := 1; first <= steps; first++ {
		for _, f := range faults {
			checkCommit(t, faultScript{first: f})
			for second := first + 1; second <= steps; second++ {
				for _, g := range faults {
					checkCommit(t, faultScript{first: f, second: g})
				}
			}
		}
	}
}

// TestCommitOutcomeUnderPersistentFault guards against a wrong result when a fault persists: every request from a step on
// fails, is lost, is stale or is delayed.
func TestCommitOutcomeUnderPersistentFault(t *testing.T) {
	for _, f := range []store.Fault{store.Down, store.LostRequest, store.LostResponse, store.StaleRead, store.Delayed} {
		for first := 1; first <= 8; first++ {
			faults := faultScript{}
			for step := first; step < 100; step++ {
				faults[step] = f
			}
			checkCommit(t, faults)
		}
	}
}

// TestConcurrentChangesConflict guards against two operators who are both told that their conflicting changes succeeded. The
// second operator's change is committed before each request of the first one's, with and without the loss or delay of the
// first one's commit.
func TestConcurrentChangesConflict(t *testing.T) {
	for at := 1; at <= 12; at++ {
		for _, fault := range []store.Fault{store.NoFault, store.LostResponse, store.Delayed} {
			fake, s := newTable(t)
			ctx := context.Background()
			var second error
			steps := 0
			fake.SetFaultHook(func(ctx context.Context, k store.OperationKind) store.Fault {
				steps++
				if steps == at {
					fake.ApplyDelayed()
					_, second = s.Commit(ctx, customerChange("c-3", 1, 30))
				}
				if k == store.CommitOperation && steps < at {
					return fault
				}
				return store.NoFault
			})
			_, first := s.Commit(ctx, customerChange("c-2", 1, 20))
			fake.SetFaultHook(nil)
			fake.ApplyDelayed()
			if steps < at {
				_, second = s.Commit(ctx, customerChange("c-3", 1, 30))
			}
			comment := qt.Commentf("step %d, fault %v: first %v, second %v", at, fault, first, second)
			qt.Assert(t, (first == nil) != (second == nil), qt.IsTrue, comment)
			loser := first
			if first == nil {
				loser = second
			}
			var conflict *configuration.ConflictError
			qt.Assert(t, errors.As(loser, &conflict), qt.IsTrue, comment)
			qt.Assert(t, conflict.Current, qt.DeepEquals, show(t, s), comment)
		}
	}
}

// TestLargestDocumentsFit guards against a document within the size limit that does not fit a row, a page or a response.
func TestLargestDocumentsFit(t *testing.T) {
	server := httptest.NewServer(standin.NewPlatform().Handler())
	defer server.Close()
	client, err := platform.NewClient(server.URL, 0)
	qt.Assert(t, err, qt.IsNil)
	s := configuration.New(client)
	document := append([]byte(templateDocument), bytes.Repeat([]byte(" "), template.MaxDocumentBytes-len(templateDocument))...)
	const objects = 70 // more than one page by bytes
	for i := range objects {
		_, err := s.Commit(context.Background(), configuration.Change{
			ID: configuration.ChangeID(fmt.Sprint("t-", i)), Kind: configuration.Template, Name: fmt.Sprint("clubs-", i), Document: document,
		})
		qt.Assert(t, err, qt.IsNil)
	}
	for _, since := range []configuration.Version{0, 1} {
		u, err := s.Since(context.Background(), since)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, u.Version, qt.Equals, configuration.Version(objects))
		qt.Assert(t, u.Objects, qt.HasLen, objects-int(since))
	}
}

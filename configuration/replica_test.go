package configuration_test

import (
	"context"
	"errors"
	"fmt"
	"testing"

	"github.com/cockroachdb/datadriven"
	qt "github.com/frankban/quicktest"
	"golang.org/x/sync/errgroup"

	"github.com/sapphiretack/sapphiretack/configuration"
	"github.com/sapphiretack/sapphiretack/store"
	"github.com/sapphiretack/sapphiretack/template"
)

// TestStore guards against a change that breaks a reference, an error without its remedy, an identifier used for two
// changes, and a replica that differs from the store.
func TestStore(t *testing.T) {
	s := configuration.NewWithLogLength(store.NewFake(), 100)
	replica := configuration.NewReplica()
	ctx := context.Background()
	datadriven.RunTest(t, "testdata/store", func(t *testing.T, d *datadriven.TestData) string {
		var kind, name, id string
		var revision int
		d.MaybeScanArgs(t, "kind", &kind)
		d.MaybeScanArgs(t, "name", &name)
		d.MaybeScanArgs(t, "id", &id)
		d.MaybeScanArgs(t, "revision", &revision)
		k, _ := configuration.ParseKind(kind)
		switch d.Cmd {
		case "commit":
			o, err := s.Commit(ctx, configuration.Change{
				ID: configuration.ChangeID(id), Kind: k, Name: name, Revision: configuration.Revision(revision),
				Document: []byte(d.Input), Withdrawn: d.HasArg("withdrawn"),
			})
			u, updateErr := s.Since(ctx, replica.Version())
			qt.Assert(t, updateErr, qt.IsNil)
			qt.Assert(t, replica.Apply(u.Version, u.Objects, u.Snapshot), qt.IsNil)
			if err != nil {
				return err.Error()
			}
			held, _ := replica.Show(k, name)
			qt.Assert(t, held, qt.DeepEquals, o)
			return fmt.Sprintf("revision %d version %d", o.Revision, o.Version)
		case "show":
			o, err := s.Show(ctx, k, name)
			if err != nil {
				return err.Error()
			}
			return string(o.Document)
		case "policy":
			p, err := replica.Policy("club", "a", "b")
			return fmt.Sprintf("rate %d %v", p.RatePerSecond, err)
		}
		t.Fatalf("unknown command %q", d.Cmd)
		return ""
	})
	snapshot := replica.Since(0)
	for since := range replica.Version() {
		fresh := configuration.NewReplica()
		qt.Assert(t, fresh.Apply(snapshot.Version, snapshot.Objects, snapshot.Snapshot), qt.IsNil)
		qt.Assert(t, fresh.Since(since).Objects, qt.DeepEquals, replica.Since(since).Objects)
	}
}

// TestApplyRejectsInvalidUpdates guards against an incomplete update that raises the version, and against an older one that
// lowers it.
func TestApplyRejectsInvalidUpdates(t *testing.T) {
	object := func(k configuration.Kind, name string, v configuration.Version) configuration.Object {
		return configuration.Object{Kind: k, Name: name, Revision: 1, Version: v, Withdrawn: true}
	}
	a, b := object(configuration.Template, "a", 4), object(configuration.Customer, "b", 5)
	r := configuration.NewReplica()
	qt.Assert(t, r.Apply(5, []configuration.Object{a, b}, true), qt.IsNil)
	later := object(configuration.Customer, "c", 7)
	for _, c := range []struct {
		version  configuration.Version
		objects  []configuration.Object
		snapshot bool
	}{
		{8, []configuration.Object{later}, false},   // the last change is missing
		{6, []configuration.Object{later}, false},   // a change is newer than the update
		{7, []configuration.Object{later, a}, true}, // an object of the replica is missing
		{7, nil, false}, // no change at all
		{7, []configuration.Object{{Kind: configuration.Customer, Name: "c", Version: 7}}, false},        // no revision
		{7, []configuration.Object{{Kind: 9, Name: "c", Revision: 1, Version: 7}}, false},                // invalid kind
		{7, []configuration.Object{{Kind: configuration.Customer, Revision: 1, Version: 7}}, false},      // no name
		{7, []configuration.Object{later, {Kind: configuration.Template, Name: "x", Revision: 1}}, true}, // no version
	} {
		err := r.Apply(c.version, c.objects, c.snapshot)
		qt.Check(t, configuration.Rejected.Has(err), qt.IsTrue, qt.Commentf("%+v: %v", c, err))
	}
	older := b
	older.Version, older.Revision = 3, 9
	qt.Assert(t, r.Apply(3, []configuration.Object{older}, true), qt.IsNil)
	qt.Assert(t, r.Apply(7, []configuration.Object{older, later}, false), qt.IsNil)
	held, _ := r.Show(configuration.Customer, "b")
	qt.Assert(t, held, qt.DeepEquals, b)
	qt.Assert(t, r.Version(), qt.Equals, configuration.Version(7))
}

// TestSinceBeyondRecent guards against a peer that misses a change because the list of recent changes was truncated.
func TestSinceBeyondRecent(t *testing.T) {
	fake := store.NewFake()
	s := configuration.NewWithLogLength(fake, 5000)
	publishTemplate(t, s)
	ahead, behind := configuration.NewReplica(), configuration.NewReplica()
	const changes = 2500
	for i := range changes {
		c := customerChange(configuration.ChangeID(fmt.Sprint("c-", i)), 0, 10)
		c.Name = fmt.Sprint("club-", i)
		_, err := s.Commit(context.Background(), c)
		qt.Assert(t, err, qt.IsNil)
		if i%100 == 0 {
			u, err := s.Since(context.Background(), ahead.Version())
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, ahead.Apply(u.Version, u.Objects, u.Snapshot), qt.IsNil)
		}
		if i == 300 || i == 1900 {
			u := ahead.Since(behind.Version())
			qt.Assert(t, behind.Apply(u.Version, u.Objects, u.Snapshot), qt.IsNil)
		}
	}
	u := ahead.Since(behind.Version())
	qt.Assert(t, u.Snapshot, qt.IsFalse)
	qt.Assert(t, behind.Apply(u.Version, u.Objects, u.Snapshot), qt.IsNil)
	qt.Assert(t, behind.Since(0).Objects, qt.DeepEquals, ahead.Since(0).Objects)
	qt.Assert(t, configuration.NewReplica().Since(0).Objects, qt.HasLen, 0)
	qt.Assert(t, ahead.Since(1).Snapshot, qt.IsTrue)
}

// TestReadDuringChanges guards against a snapshot or log read that mixes versions because, between its pages, the table
// changed, the log was trimmed or a read was stale.
func TestReadDuringChanges(t *testing.T) {
	for at := 1; at <= 12; at++ {
		for since := range configuration.Version(2) {
			for changes := 1; changes <= 4; changes++ {
				checkReadDuringChanges(t, at, since, changes, store.NoFault)
				checkReadDuringChanges(t, at, since, changes, store.StaleRead)
			}
		}
	}
}

// checkReadDuringChanges reads the changes after a version. Before the given request it commits other changes, and from then on
// the reads have the fault.
func checkReadDuringChanges(t *testing.T, at int, since configuration.Version, changes int, fault store.Fault) {
	fake, s := newTable(t)
	ctx := context.Background()
	replica := configuration.NewReplica()
	if since > 0 {
		u, err := configuration.NewWithLogLength(staleTable{fake}, 2).Since(ctx, 0)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, replica.Apply(u.Version, u.Objects, u.Snapshot), qt.IsNil)
		qt.Assert(t, replica.Version(), qt.Equals, since)
	}
	steps, changing := 0, false
	fake.SetFaultHook(func(context.Context, store.OperationKind) store.Fault {
		if changing {
			return store.NoFault
		}
		steps++
		if steps == at {
			changing = true
			defer func() { changing = false }()
			for i := range changes {
				c := customerChange(configuration.ChangeID(fmt.Sprint("c-2", i)), configuration.Revision(i+1), 20+i)
				_, err := s.Commit(ctx, c)
				qt.Assert(t, err, qt.IsNil)
			}
		}
		if steps >= at {
			return fault
		}
		return store.NoFault
	})
	u, err := s.Since(ctx, since)
	if err != nil {
		qt.Assert(t, configuration.Unavailable.Has(err), qt.IsTrue)
		return
	}
	comment := qt.Commentf("step %d, since %d, %d changes, fault %v, version %d", at, since, changes, fault, u.Version)
	qt.Assert(t, replica.Apply(u.Version, u.Objects, u.Snapshot), qt.IsNil, comment)
	o, _ := replica.Show(configuration.Customer, "club-17")
	qt.Assert(t, o.Revision+1, qt.Equals, configuration.Revision(replica.Version()), comment)
}

// staleTable is a table whose reads are all stale.
type staleTable struct{ *store.Fake }

func (s staleTable) Read(ctx context.Context, keys []store.Key) ([]store.Row, error) {
	defer s.stale()()
	return s.Fake.Read(ctx, keys)
}

func (s staleTable) Scan(ctx context.Context, prefix, after store.Key, limit int) ([]store.Row, error) {
	defer s.stale()()
	return s.Fake.Scan(ctx, prefix, after, limit)
}

func (s staleTable) stale() (end func()) {
	s.SetFaultHook(func(context.Context, store.OperationKind) store.Fault { return store.StaleRead })
	return func() { s.SetFaultHook(nil) }
}

// TestPolicyAllocations guards against an allocation in the policy lookup that each call makes.
func TestPolicyAllocations(t *testing.T) {
	r := newCustomerReplica(t, 1000)
	var err error
	n := testing.AllocsPerRun(1000, func() {
		_, err = r.Policy("club-7", "racedesk", "record-arrival")
	})
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, n, qt.Equals, 0.0)
	n = testing.AllocsPerRun(1000, func() { _, err = r.Policy("nobody", "racedesk", "record-arrival") })
	qt.Assert(t, n, qt.Equals, 0.0)
	var missing configuration.PolicyError
	qt.Assert(t, errors.As(err, &missing), qt.IsTrue)
	qt.Assert(t, missing, qt.Equals, configuration.NoCustomer)
}

// newCustomerReplica returns a replica with one template and n customers.
func newCustomerReplica(t testing.TB, n int) *configuration.Replica {
	objects := []configuration.Object{{
		Kind: configuration.Template, Name: "clubs", Revision: 1, Version: 1, Document: []byte(templateDocument),
	}}
	for i := range n {
		objects = append(objects, configuration.Object{
			Kind: configuration.Customer, Name: fmt.Sprint("club-", i), Revision: 1,
			Version: configuration.Version(i + 2), Document: customerDocument(1 + i%500),
		})
	}
	r := configuration.NewReplica()
	qt.Assert(t, r.Apply(configuration.Version(n+1), objects, true), qt.IsNil)
	return r
}

// policy receives the benchmark's result, so that the call is not optimized away.
var policy template.Policy

// BenchmarkPolicy measures the policy lookup of one call.
func BenchmarkPolicy(b *testing.B) {
	for _, n := range []int{100, 10_000, 100_000} {
		b.Run(fmt.Sprint("customers=", n), func(b *testing.B) {
			r := newCustomerReplica(b, n)
			b.ReportAllocs()
			for b.Loop() {
				policy, _ = r.Policy("club-77", "racedesk", "record-arrival")
			}
		})
	}
}

// BenchmarkApply measures an update of one customer.
func BenchmarkApply(b *testing.B) {
	for _, n := range []int{100, 10_000, 100_000} {
		b.Run(fmt.Sprint("customers=", n), func(b *testing.B) {
			r := newCustomerReplica(b, n)
			v := r.Version()
			b.ReportAllocs()
			for b.Loop() {
				v++
				o := configuration.Object{Kind: configuration.Customer, Name: "club-77", Revision: 2, Version: v, Document: customerDocument(7)}
				if err := r.Apply(v, []configuration.Object{o}, false); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// TestReplicaVersionNeverDecreases guards against a concurrent reader that sees the version decrease, or a policy older than
// the version it read before, while updates from the platform and from peers are applied in any order.
func TestReplicaVersionNeverDecreases(t *testing.T) {
	r := newCustomerReplica(t, 10)
	first := r.Version()
	const updates = 300
	var group errgroup.Group
	for worker := range 3 {
		group.Go(func() error {
			for i := range updates {
				v := first + 1 + configuration.Version((i*(worker+1))%updates)
				o := configuration.Object{
					Kind: configuration.Customer, Name: "club-7", Revision: 2, Version: v, Document: customerDocument(int(v)),
				}
				if err := r.Apply(v, []configuration.Object{o}, false); err != nil {
					return err
				}
			}
			return nil
		})
	}
	group.Go(func() error {
		for last := first; last < first+updates; {
			v := r.Version()
			p, err := r.Policy("club-7", "racedesk", "record-arrival")
			if err != nil {
				return err
			}
			if v < last || v > first && p.RatePerSecond < uint32(v) {
				return fmt.Errorf("version %d after %d, rate %d", v, last, p.RatePerSecond)
			}
			last = v
		}
		return nil
	})
	qt.Assert(t, group.Wait(), qt.IsNil)
}

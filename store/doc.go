// Package store is the product's view of the transactional table and the
// object store of a platform, the only services that keep state.
//
// A transaction is applied whole or not at all. Its conditions name the
// revision that a row must still have; a row that does not exist has revision 0:
//
//	rows, err := table.Read(ctx, []store.Key{"configuration/head"})
//	if err != nil {
//		return err
//	}
//	err = table.Commit(ctx, store.Transaction{
//		Conditions: []store.Condition{{Key: rows[0].Key, Revision: rows[0].Revision}},
//		Writes:     []store.Write{{Key: rows[0].Key, Value: next}},
//	})
//	switch {
//	case store.ConditionFailed.Has(err): // another writer was first
//	case store.Unavailable.Has(err):     // proven not applied
//	case store.Indeterminate.Has(err):   // may have been applied: read back
//	}
//
// Package platform implements Table and Objects over the users' platform. Fake is an
// in-memory store with scripted faults for tests, and the base of the stand-in platform.
package store

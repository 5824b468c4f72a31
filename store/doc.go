// Package store defines interfaces to the transactional table and the object
// store of a platform, the only services with persistent state.
//
// A transaction is atomic. Its conditions require that rows still have a given
// revision (optimistic concurrency control); a row that does not exist has
// revision 0:
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
//	case store.ConditionFailed.Has(err): // another transaction changed the row
//	case store.Unavailable.Has(err):     // not applied
//	case store.Indeterminate.Has(err):   // may have been applied: read the row again
//	}
//
// Package platform implements Table and Objects with the users' platform. Fake is
// an in-memory implementation with fault injection for tests; the stand-in platform
// of package standin is built on it.
package store

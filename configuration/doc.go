// Package configuration stores templates and customers in the platform's table
// and replicates them to each node.
//
// Store.Commit applies a change only if the object has the expected revision. The
// change identifier makes a commit idempotent: after a lost response the same
// Change can be committed again, and takes effect once:
//
//	object, err := store.Commit(ctx, configuration.Change{
//		ID: "c-7", Kind: configuration.Customer, Name: "club-17", Revision: 3, Document: document,
//	})
//	var conflict *configuration.ConflictError
//	if errors.As(err, &conflict) {
//		fmt.Println("current revision", conflict.Current.Revision)
//	}
//
// A Replica is a node's copy; its version never decreases. Two instances of each
// zone, its readers, poll the platform; the others fetch changes from peers. Poller
// is the state machine that decides when a node polls the platform, when it fetches
// from a peer, and when it may start to serve. It does no I/O: its driver, such as
// package node, carries out its actions. An update is read and applied like this:
//
//	update, err := store.Since(ctx, replica.Version())
//	if err == nil {
//		err = replica.Apply(update.Version, update.Objects, update.Snapshot)
//	}
//	policy, err := replica.Policy("club-17", "racedesk", "record-arrival")
package configuration

// Package configuration keeps templates and customers: transactions on the
// platform's table, and the copy that each node holds.
//
// A change is compared and set on the revision of its object. A lost response
// is settled by the change identifier, so the same Change can be committed
// again without effect:
//
//	object, err := store.Commit(ctx, configuration.Change{
//		ID: "c-7", Kind: configuration.Customer, Name: "club-17", Revision: 3, Document: document,
//	})
//	var conflict *configuration.Conflict
//	if errors.As(err, &conflict) {
//		fmt.Println("present revision", conflict.Present.Revision)
//	}
//
// A Replica never goes back to a lower version. Poller decides when a node
// reads the platform or a peer, and when it may begin to serve:
//
//	update, err := store.Since(ctx, replica.Version())
//	if err == nil {
//		err = replica.Apply(update.Version, update.Objects, update.Snapshot)
//	}
//	policy, err := replica.Policy("club-17", "racedesk", "record-arrival")
package configuration

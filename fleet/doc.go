// Package fleet disseminates the state of all nodes and their backend servers by gossip.
//
// Each node describes itself in an Entry, which it renews several times a second. In each tick, it pushes the freshest
// entries that it knows to a few random nodes. An entry supersedes another one of the same node if its incarnation, or else its
// sequence number, is higher. An entry that is not renewed becomes stale and is no longer used for placement:
//
//	t := fleet.New(fleet.DefaultSettings(), self, random)
//	t.RenewSelf(now, entry)
//	for _, m := range t.Messages(now) { send(m.To, m.Entries) }
//	t.Merge(now, received)
//
// The table is kept in memory only; after a restart, a node reads the addresses of the others from the store.
package fleet

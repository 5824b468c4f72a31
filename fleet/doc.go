// Package fleet holds what a node knows of the other nodes and their backend servers, and how the nodes tell each other.
//
// Each node describes itself in an Entry, which it renews several times a second. Nodes push the entries that they know to
// a few others; an entry is newer if its incarnation, and then its sequence number, is higher. An entry that is not renewed
// goes stale and is no longer used for placement:
//
//	t := fleet.New(fleet.DefaultSettings(), self, random)
//	t.Renew(now, entry)
//	for _, m := range t.Messages(now) { send(m.To, m.Entries) }
//	t.Merge(now, received)
//
// The state of a fleet does not survive its processes; addresses are found again in the store.
package fleet

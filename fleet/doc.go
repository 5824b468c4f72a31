// Package fleet disseminates the state of all nodes and their backend servers by gossip.
//
// Each node describes itself in an Entry, which it renews several times a second and tells the nodes of its zone. They pass it on, so
// that each node has a recent entry of every node of its zone. Other zones are told a Summary for each service, which the nodes
// there pass on too; what a message carries does not grow with the number of nodes in other zones:
//
//	t := fleet.New(fleet.DefaultSettings(), self, random)
//	t.RenewSelf(now, entry)
//	for _, m := range t.Messages(now) { send(m) }
//	view := t.Snapshot(now)
//	t.SetSummaries(now, summarize(view))
//
// and for each message that is received:
//
//	t.Merge(now, m.Entries)
//	t.MergeSummaries(now, m.Summaries)
//
// An entry supersedes another one of the same node if its incarnation, or else its sequence number, is higher; of two summaries the
// later one counts. Entries and summaries that are not renewed become stale and are no longer used for placement. How long that
// takes follows the ages that the node observes: a node whose entries arrive late is not gone.
//
// The table is kept in memory only; after a restart, a node reads the addresses of the others from the store. Some nodes of each zone
// watch the store for the others; see Table.IsWatcher.
package fleet

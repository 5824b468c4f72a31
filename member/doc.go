// Package member maintains the membership list of the cluster by gossip: which
// instances exist, their addresses, and which are suspect, leaving or dead.
//
// Membership is a deterministic state machine without I/O. Its driver (package
// node) turns RPC results and timer ticks into events and executes the actions
// that Handle returns:
//
//	m := member.New(self, member.DefaultSettings(), random)
//	out := m.Handle(now, member.Bootstrap{Rows: rows}, nil)
//	for range ticker.C {
//		out = m.Handle(now(), member.Tick{}, out[:0])
//		for _, a := range out {
//			switch a := a.(type) {
//			case member.Probe:
//				// call Gossip at a.Address with a.Message and a.Timeout,
//				// then pass ProbeAnswered or ProbeFailed to Handle
//			}
//		}
//	}
//
// The protocol is SWIM (Das, Gupta, Motivala 2002) with the Lifeguard extensions
// (Dadgar, Phillips, Currey 2018): a local health score, suspicion timeouts that
// shorten with independent confirmations, and probes that tell a suspect about
// its suspicion. It differs from SWIM as follows:
//
//   - Updates are ordered by incarnation (one run of the process), then by
//     revision (incremented by the instance itself), then by state.
//   - A report that a live member is dead only starts a local suspicion. Each
//     node declares a member dead on its own timer, so that the two sides of a
//     healed partition do not remove each other's members.
//   - A node probes a small random subset of the members of its zone, which it
//     resamples slowly, so that the number of connections per node is bounded.
//   - Rows of the platform's table are provisional: the node that read them uses
//     them, but gossips them only once another node has confirmed them.
//   - Anti-entropy repair compares digests of hash ranges to recover missed
//     updates. The recursive split follows 75/WAKU2-SYNC, the synchronization
//     protocol for Waku messages with Prolly trees.
//
// The driver passes a Tick every Settings.TickInterval. Membership is not safe
// for concurrent use.
package member

// Package member keeps the list of instances by gossip: which instances exist,
// where they are, and which of them are suspect, leaving or dead.
//
// Membership is a plain state machine. The shell turns RPC results and a timer
// into events, and carries out the actions that come back:
//
//	m := member.New(self, member.DefaultSettings(), random)
//	out := m.Handle(now, member.Bootstrap{Rows: rows}, nil)
//	for range ticker.C {
//		out = m.Handle(now(), member.Tick{}, out[:0])
//		for _, a := range out {
//			switch a := a.(type) {
//			case member.Probe:
//				// call Gossip at a.Address with a.Message within a.Timeout,
//				// then hand over ProbeAnswered or ProbeFailed
//			}
//		}
//	}
//
// The protocol is SWIM (Das, Gupta, Motivala 2002) with the additions of
// Lifeguard (Dadgar, Phillips, Currey 2018): local health, suspicion timeouts
// that shorten with independent confirmations, and probes that carry the
// suspicion to the suspect. It differs from SWIM in these points:
//
//   - An update is ordered by incarnation (one run of the process), then by
//     revision (raised by the instance itself), then by state.
//   - A report that a live member is dead only makes it a suspect here. Each
//     node declares a member dead on its own timer, so two sides of a healed
//     partition do not remove each other's members.
//   - A node probes a small random set of members of its zone, redrawn slowly,
//     so that the connections per node stay bounded.
//   - Rows of the platform's table are provisional: they serve the node that read
//     them, and are passed on only when another node confirms them.
//   - Digests by range of the hash space repair missed updates. The recursive
//     split follows the idea of 75/WAKU2-SYNC, the synchronization protocol for
//     Waku messages with Prolly trees.
//
// The shell sends Tick every Settings.TickInterval. Membership is not safe for
// concurrent use.
package member

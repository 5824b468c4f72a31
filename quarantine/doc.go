// Package quarantine counts crashes of backend servers by the fingerprints of
// the requests that were running at the time, so that a request that crashes
// one backend server after another is refused.
//
// A source whose requests run on a backend server when it crashes reports one
// crash for each fingerprint in flight there. After one crash a fingerprint is
// suspect, after two crashes it is quarantined:
//
//	table := quarantine.New(quarantine.DefaultSettings())
//	crash := quarantine.Crash{Instance: "racedesk-1", Incarnation: 7}
//	record, changed := table.ReportCrash(now, fingerprint, "racedesk", crash)
//	if changed {
//		// notify the instances of the service, then gossip the record
//	}
//	if table.State(now, fingerprint) == quarantine.Quarantined {
//		// refuse the request
//	}
//
// A crash is identified by the instance and the incarnation of the backend
// server that crashed, so the same crash counts once if two sources report it.
// The incarnation of a backend server starts at that of its node and increases
// by one with each restart of the backend server. The node sends the current
// value in the load of each response.
//
// A source that loses a stream before its end cannot tell a crash from a lost
// connection. ReportLoss records the loss for the fingerprint for a short time:
//
//	loss := quarantine.Loss{Instance: "racedesk-2", Incarnation: 9}
//	table.ReportLoss(now, fingerprint, "racedesk", loss)
//
// Losses alone leave a fingerprint clear. Together with a crash, all of them
// count as one more crash, except those that the crash explains.
//
// Table is not safe for concurrent use.
package quarantine

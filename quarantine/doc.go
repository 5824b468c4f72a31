// Package quarantine counts the crashes of backend servers against the
// fingerprints of the requests that were running when the server crashed.
//
// A source that loses a backend server in mid-request reports one crash for
// each fingerprint in flight there. One crash makes a fingerprint a suspect,
// two crashes put it in quarantine:
//
//	table := quarantine.New(quarantine.DefaultSettings())
//	crash := quarantine.Crash{Instance: "racedesk-1", Incarnation: 7}
//	record, changed := table.Report(now, fingerprint, "racedesk", crash)
//	if changed {
//		// tell the instances of the service, then gossip the record
//	}
//	if table.State(now, fingerprint) == quarantine.Quarantined {
//		// refuse the request
//	}
//
// A crash is identified by the instance and the incarnation of the backend
// server that crashed, so two sources that report the same crash count once.
// The node starts the incarnation of its backend server at its own and raises
// it by one each time the backend server restarts. It sends the current value
// in the load of each response.
//
// A source that loses a stream without an end cannot tell a crash from a lost
// connection. ReportLoss records it against the fingerprint for a short time:
//
//	loss := quarantine.Loss{Instance: "racedesk-2", Incarnation: 9}
//	table.ReportLoss(now, fingerprint, "racedesk", loss)
//
// Losses alone leave a fingerprint clear. Beside a crash they count as one more
// crash, unless the crash is the event behind the loss.
//
// Table is not safe for concurrent use.
package quarantine

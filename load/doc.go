// Package load generates load over real connections and reports the outcomes.
//
// Each caller keeps a connection to one node. It opens a session and sends
// effects with its ticket, and reads without one. It follows the protocol for
// resends: a resend has the same request ID and sequence and a higher attempt
// number, waits for the time in retry_after_ms, and follows only an outcome
// after which a resend is permitted.
//
//	report, err := load.Run(ctx, load.Settings{
//		Targets: []string{"127.0.0.1:17400", "127.0.0.1:17410"}, Customer: "sofia-club",
//		Mix: mix, Callers: 60, Interval: 100 * time.Millisecond, Duration: 8 * time.Second, MaxSends: 3, Seed: 1,
//	})
//	report.Write(os.Stdout)
package load

package quarantine_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	qt "github.com/frankban/quicktest"

	"github.com/sapphiretack/sapphiretack/quarantine"
	"github.com/sapphiretack/sapphiretack/request"
)

// TestDetector guards against a lost connection that is taken for a crash, and against a crash for which the wrong requests are blamed.
func TestDetector(t *testing.T) {
	ends := map[string]quarantine.End{
		"responded": quarantine.Responded, "disconnected": quarantine.Disconnected, "truncated": quarantine.Truncated, "timed_out": quarantine.TimedOut, "given_up": quarantine.GivenUp, "abandoned": quarantine.Abandoned,
	}
	datadriven.Walk(t, "testdata/detector", func(t *testing.T, path string) {
		detector := quarantine.NewDetector()
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			return runSteps(t, d, func(command *datadriven.TestData) string {
				var at string
				var number, fingerprint uint64
				command.MaybeScanArgs(t, "at", &at)
				command.MaybeScanArgs(t, "number", &number)
				command.MaybeScanArgs(t, "fingerprint", &fingerprint)
				var now request.Instant
				if at != "" {
					elapsed, err := time.ParseDuration(at)
					qt.Assert(t, err, qt.IsNil)
					now = request.Instant(elapsed)
				}
				switch command.Cmd {
				case "begin":
					detector.Begin(now, number, request.Fingerprint(fingerprint))
				case "alive":
					detector.Alive(now)
				case "planned":
					detector.Reset()
				case "crashed":
					return fmt.Sprintf("%d", detector.Crashed(now))
				default:
					end, ok := ends[command.Cmd]
					qt.Assert(t, ok, qt.IsTrue, qt.Commentf("unknown command %q", command.Cmd))
					return fmt.Sprintf("check=%v", detector.End(now, number, end))
				}
				return ""
			})
		})
	})
}

package mesh

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	qt "github.com/frankban/quicktest"
)

// TestStopPhases guards against a shutdown that wastes the capacity of its backend server, accepts requests that cannot
// complete in time, or rejects clients that have not learned of it yet.
func TestStopPhases(t *testing.T) {
	datadriven.RunTest(t, "testdata/stop", func(t *testing.T, d *datadriven.TestData) string {
		var text string
		d.ScanArgs(t, "limit", &text)
		limit, err := time.ParseDuration(text)
		qt.Assert(t, err, qt.IsNil)
		var out strings.Builder
		for line := range strings.Lines(d.Input) {
			var at string
			var inFlight int
			_, err := fmt.Sscan(line, &at, &inFlight)
			qt.Assert(t, err, qt.IsNil)
			elapsed, err := time.ParseDuration(at)
			qt.Assert(t, err, qt.IsNil)
			fmt.Fprintf(&out, "%s, %d in flight: %v\n", at, inFlight, phaseAt(elapsed, limit, inFlight))
		}
		return out.String()
	})
}

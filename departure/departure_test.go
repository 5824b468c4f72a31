package departure_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	qt "github.com/frankban/quicktest"

	"github.com/sapphiretack/sapphiretack/departure"
	"github.com/sapphiretack/sapphiretack/request"
)

// epoch is the time 0 s of the scripts.
var epoch = time.UnixMilli(1_785_000_000_000)

// at returns the time that an argument names in seconds, or the zero time if the argument is absent.
func at(t *testing.T, d *datadriven.TestData, name string) time.Time {
	if !d.HasArg(name) {
		return time.Time{}
	}
	var seconds float64
	d.ScanArgs(t, name, &seconds)
	return epoch.Add(time.Duration(seconds * float64(time.Second)))
}

// incarnation returns the arguments id and born of a command.
func incarnation(t *testing.T, d *datadriven.TestData) (request.InstanceID, time.Time) {
	var id string
	d.ScanArgs(t, "id", &id)
	return request.InstanceID(id), at(t, d, "born")
}

func names(departures []departure.Departure) string {
	var out strings.Builder
	for _, l := range departures {
		id, start := l.Incarnation.SplitStart()
		fmt.Fprintf(&out, "%s, start known: %t, left at %v\n", id, start != "", l.Time.Sub(epoch))
	}
	return out.String()
}

// TestLog guards against an incarnation that counts as serving although it has left, and against a later one that counts as departed.
func TestLog(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		var log departure.Log
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			switch d.Cmd {
			case "add":
				id, start := incarnation(t, d)
				return fmt.Sprintln(log.Add(departure.Departure{Incarnation: departure.Incarnation(id, start), Time: at(t, d, "at")}))
			case "includes":
				id, start := incarnation(t, d)
				return fmt.Sprintln(log.Includes(at(t, d, "now"), id, start))
			case "remove":
				return names(log.RemoveBefore(at(t, d, "before")))
			case "all":
				return names(log.All())
			}
			t.Fatalf("unknown command %q", d.Cmd)
			return ""
		})
	})
}

// TestNoIncarnation guards against a departure without an identifier, which would be that of a backend server that is not known yet.
func TestNoIncarnation(t *testing.T) {
	var log departure.Log
	qt.Check(t, log.Add(departure.Departure{Time: epoch}), qt.IsFalse)
	qt.Check(t, log.Includes(epoch, "", time.Time{}), qt.IsFalse)
}

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
	datadriven.Walk(t, "testdata/log", func(t *testing.T, path string) {
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

// TestVerifier guards against an incarnation that is in use although it may have left before its node started, and against a live one that is
// out of use for longer than that takes to find out.
func TestVerifier(t *testing.T) {
	datadriven.Walk(t, "testdata/verifier", func(t *testing.T, path string) {
		var v *departure.Verifier
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			switch d.Cmd {
			case "start":
				v = departure.NewVerifier(at(t, d, "at"), d.HasArg("first"))
			case "store-read":
				v.StoreRead()
			case "store-away":
				v.StoreAway()
			case "confirm":
				v.Confirm(departure.Incarnation(incarnation(t, d)))
			case "report":
				id, start := incarnation(t, d)
				v.Report(at(t, d, "at"), id, start)
			case "usable":
				id, start := incarnation(t, d)
				return fmt.Sprintln(v.IsUsable(at(t, d, "at"), id, start))
			default:
				t.Fatalf("unknown command %q", d.Cmd)
			}
			return ""
		})
	})
}

// TestConfirmedIncarnationsAreBounded guards against memory that grows with each incarnation that is confirmed, and against the latest one
// being dropped.
func TestConfirmedIncarnationsAreBounded(t *testing.T) {
	v := departure.NewVerifier(epoch, false)
	v.StoreAway()
	usable := 0
	for i := range 100 {
		v.Confirm(request.InstanceID(fmt.Sprint("i-", i)))
	}
	for i := range 100 {
		if v.IsUsable(epoch, request.InstanceID(fmt.Sprint("i-", i)), time.Time{}) {
			usable++
		}
	}
	qt.Check(t, usable, qt.Equals, 16)
	qt.Check(t, v.IsUsable(epoch, "i-99", time.Time{}), qt.IsTrue)
}

// TestNoIncarnation guards against a departure without an identifier, which would be that of a backend server that is not known yet.
func TestNoIncarnation(t *testing.T) {
	var log departure.Log
	qt.Check(t, log.Add(departure.Departure{Time: epoch}), qt.IsFalse)
	qt.Check(t, log.Includes(epoch, "", time.Time{}), qt.IsFalse)
}

package mesh

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/sapphiretack/sapphiretack/request"
)

// TestWatchCursor guards against a watch from a cursor that may be of an earlier era of the store: after an error, or by a node that was held
// up or did not watch for a time.
func TestWatchCursor(t *testing.T) {
	c := qt.New(t)
	var w watchCursor
	now := request.Instant(time.Hour)
	check := func(isUsable bool) {
		c.Helper()
		_, ok := w.next(now)
		c.Check(ok, qt.Equals, isUsable)
	}
	check(false)
	w.receive(now, Cursor{Era: 1, Version: 10})
	check(true)
	w.discard()
	check(false)
	w.receive(now, Cursor{Era: 2, Version: 8})
	now = now.Add(maxCursorAge)
	check(false)
}

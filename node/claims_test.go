package node

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/sapphiretack/sapphiretack/session"
)

// TestRestoreHistory guards against a node that starts after the store came back from a copy and does not know, and against one that takes the
// first era that any node has seen for a restore.
func TestRestoreHistory(t *testing.T) {
	c := qt.New(t)
	now := time.UnixMilli(1767225600000)
	h, next := restoreRow{}.history(false, 4, now)
	c.Check(h.IsRestored, qt.IsFalse)
	c.Check(next, qt.Equals, restoreRow{Era: 4})
	h, next = next.history(true, 4, now)
	c.Check(h.IsRestored, qt.IsFalse)
	c.Check(next, qt.Equals, restoreRow{Era: 4})
	h, next = next.history(true, 5, now)
	c.Check(h, qt.Equals, session.ClaimHistory{IsRestored: true})
	c.Check(next, qt.Equals, restoreRow{Era: 5, RestoredAtMs: now.UnixMilli()})
	h, kept := next.history(true, 5, now.Add(time.Minute))
	c.Check(h, qt.Equals, session.ClaimHistory{IsRestored: true, Ago: time.Minute})
	c.Check(kept, qt.Equals, next)
}

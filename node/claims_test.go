package node

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/sapphiretack/sapphiretack/request"
	"github.com/sapphiretack/sapphiretack/session"
	"github.com/sapphiretack/sapphiretack/store"
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

// TestHistoryOfNodesThatStartTogether guards against a node that does not know for a second whether the store came back from a copy, because
// another one wrote the row first, and refuses keys meanwhile.
func TestHistoryOfNodesThatStartTogether(t *testing.T) {
	c := qt.New(t)
	ctx := context.Background()
	fake := store.NewFake()
	commits := 0
	fake.SetFaultHook(func(_ context.Context, k store.OperationKind) store.Fault {
		if k != store.CommitOperation {
			return store.NoFault
		}
		if commits++; commits == 1 {
			c.Check(fake.Commit(ctx, store.Transaction{Writes: []store.Write{{Key: restoreKey, Value: []byte(`{"era":1}`)}}}), qt.IsNil)
		}
		return store.NoFault
	})
	driver := &claims{node: &Node{}, table: fake, stateMachine: session.NewClaims(session.ClaimSettings{}, request.NewRandom())}
	era, err := driver.readHistory(ctx)
	c.Check(err, qt.IsNil)
	c.Check(era, qt.Equals, store.Era(1))
	c.Check(commits, qt.Equals, 2, qt.Commentf("the row of the other node is kept"))
}

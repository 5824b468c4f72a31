package faultmatrix

import (
	"context"

	"github.com/sapphiretack/sapphiretack/call"
	"github.com/sapphiretack/sapphiretack/request"
	"github.com/sapphiretack/sapphiretack/session"
	"github.com/sapphiretack/sapphiretack/store"
)

// claim is a send with an idempotency key that waits for its claim.
type claim struct {
	message message
	attempt uint32
	conn    *callerConn
}

// keyArrives claims the idempotency key of an effect that has no ticket.
func (n *node) keyArrives(m message, attempt uint32, c *callerConn) {
	n.waiter++
	n.claimed[n.waiter] = claim{message: m, attempt: attempt, conn: c}
	n.claimEvent(session.ClaimRequested{Claim: session.Claim{
		Customer:  customerName,
		Key:       m.request.id.String(),
		FirstSend: attempt == 1,
		Deadline:  n.world.now.Add(m.remaining),
		Waiter:    n.waiter,
	}})
}

func (n *node) claimEvent(e session.ClaimEvent) {
	for _, a := range n.claims.Handle(n.world.now, e, nil) {
		n.claimAction(a)
	}
}

func (n *node) claimAction(a session.ClaimAction) {
	w := n.world
	switch a := a.(type) {
	case session.CommitClaims:
		var err error
		n.askPlatform(func(ctx context.Context) { err = w.provider.fake.Commit(ctx, a.Transaction) }, func() {
			n.claimEvent(session.ClaimCommitted{Batch: a.Batch, Err: err})
		})
	case session.ReadClaims:
		var rows []store.Row
		var err error
		n.askPlatform(func(ctx context.Context) { rows, err = w.provider.fake.Read(ctx, a.Keys) }, func() {
			n.claimEvent(session.ClaimRead{Batch: a.Batch, Rows: rows, Err: err})
		})
	case session.ResolveClaim:
		n.resolved(a)
	}
}

// resolved runs the effect of a granted claim; others end as the claim says.
func (n *node) resolved(r session.ResolveClaim) {
	c := n.claimed[r.Waiter]
	delete(n.claimed, r.Waiter)
	if !r.Granted {
		c.conn.end(call.End{Outcome: r.Outcome, Reason: r.Reason})
		return
	}
	m := c.message
	m.effect, m.request.effect = r.Effect, r.Effect
	m.remaining = c.conn.began.Add(m.remaining).Sub(n.world.now)
	c.conn.call = n.startCall(m, n.open(m.request, c.attempt), &c.conn.conn, func(e call.End) {
		key := m.request.id.String()
		if e.Outcome == request.NotRun {
			n.claimEvent(session.ClaimReleased{Customer: customerName, Key: key})
			return
		}
		n.claimEvent(session.ClaimFinished{Customer: customerName, Key: key})
	})
}

package faultmatrix

import (
	"context"

	"github.com/sapphiretack/sapphiretack/call"
	"github.com/sapphiretack/sapphiretack/request"
	"github.com/sapphiretack/sapphiretack/session"
	"github.com/sapphiretack/sapphiretack/store"
)

// pendingClaim is a send with an idempotency key whose claim is not resolved yet.
type pendingClaim struct {
	message message
	attempt uint32
	conn    *callerConn
}

// handleKeyedEffect claims the idempotency key of an effect that has no ticket.
func (n *node) handleKeyedEffect(m message, attempt uint32, c *callerConn) {
	n.lastWaiter++
	n.pendingClaims[n.lastWaiter] = pendingClaim{message: m, attempt: attempt, conn: c}
	n.claimEvent(session.ClaimRequested{Claim: session.Claim{
		Customer:  customerName,
		Key:       m.request.id.String(),
		FirstSend: attempt == 1,
		Deadline:  n.sim.now.Add(m.remaining),
		Waiter:    n.lastWaiter,
	}})
}

func (n *node) claimEvent(e session.ClaimEvent) {
	for _, a := range n.claims.Handle(n.sim.now, e, nil) {
		n.claimAction(a)
	}
}

func (n *node) claimAction(a session.ClaimAction) {
	sim := n.sim
	switch a := a.(type) {
	case session.CommitClaims:
		var err error
		n.callPlatform(func(ctx context.Context) { err = sim.platform.store.Commit(ctx, a.Transaction) }, func() {
			n.claimEvent(session.ClaimCommitted{Batch: a.Batch, Err: err})
		})
	case session.ReadClaims:
		var rows []store.Row
		var err error
		n.callPlatform(func(ctx context.Context) { rows, err = sim.platform.store.Read(ctx, a.Keys) }, func() {
			n.claimEvent(session.ClaimRead{Batch: a.Batch, Rows: rows, Err: err})
		})
	case session.ResolveClaim:
		n.handleResolvedClaim(a)
	}
}

// handleResolvedClaim executes the effect of a granted claim. Otherwise the send ends with the outcome
// of the claim.
func (n *node) handleResolvedClaim(r session.ResolveClaim) {
	c := n.pendingClaims[r.Waiter]
	delete(n.pendingClaims, r.Waiter)
	if !r.Granted {
		c.conn.end(call.End{Outcome: r.Outcome, Reason: r.Reason})
		return
	}
	m := c.message
	m.effect, m.request.effect = r.Effect, r.Effect
	m.remaining = c.conn.began.Add(m.remaining).Sub(n.sim.now)
	c.conn.call = n.startCall(m, n.openAccount(m.request, c.attempt), &c.conn.conn, func(e call.End) {
		key := m.request.id.String()
		if e.Outcome == request.NotRun {
			n.claimEvent(session.ClaimReleased{Customer: customerName, Key: key})
			return
		}
		n.claimEvent(session.ClaimFinished{Customer: customerName, Key: key})
	})
}

package node

import (
	"context"
	"sync"

	"github.com/sapphiretack/sapphiretack/request"
	"github.com/sapphiretack/sapphiretack/session"
	"github.com/sapphiretack/sapphiretack/store"
)

// claims is the driver of the state machine that claims idempotency keys: it performs the transactions and resolves waiting sends.
type claims struct {
	node  *Node
	table store.Table

	mu           sync.Mutex
	stateMachine *session.Claims
	waiters      map[session.Waiter]chan session.ResolveClaim
	lastWaiter   session.Waiter
}

// acquire claims a key and returns the result.
func (c *claims) acquire(ctx context.Context, claim session.Claim) (session.ResolveClaim, error) {
	resolved := make(chan session.ResolveClaim, 1)
	c.mu.Lock()
	c.lastWaiter++
	claim.Waiter = c.lastWaiter
	c.waiters[claim.Waiter] = resolved
	c.mu.Unlock()
	c.handle(session.ClaimRequested{Claim: claim})
	select {
	case r := <-resolved:
		return r, nil
	case <-ctx.Done():
		c.releaseAbandoned(claim, resolved)
		return session.ResolveClaim{}, ctx.Err()
	}
}

// releaseAbandoned releases the claim if it is granted after the caller disconnected.
func (c *claims) releaseAbandoned(claim session.Claim, resolved chan session.ResolveClaim) {
	c.node.inFlight.Go(func() error {
		if r := <-resolved; r.Granted {
			c.handle(session.ClaimReleased{Customer: claim.Customer, Key: claim.Key})
		}
		return nil
	})
}

func (c *claims) handle(e session.ClaimEvent) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, action := range c.stateMachine.Handle(c.node.clock.now(), e, nil) {
		c.apply(action)
	}
}

func (c *claims) apply(action session.ClaimAction) {
	switch a := action.(type) {
	case session.CommitClaims:
		c.runAsync(func(ctx context.Context) {
			err := c.table.Commit(ctx, a.Transaction)
			c.handle(session.ClaimCommitted{Batch: a.Batch, Era: c.table.Era(), Err: err})
		})
	case session.ReadClaims:
		c.runAsync(func(ctx context.Context) {
			rows, err := c.table.Read(ctx, a.Keys)
			c.handle(session.ClaimRead{Batch: a.Batch, Era: c.table.Era(), Rows: rows, Err: err})
		})
	case session.ResolveClaim:
		if resolved, ok := c.waiters[a.Waiter]; ok {
			resolved <- a
			delete(c.waiters, a.Waiter)
		}
	}
}

// runAsync runs a request to the platform without holding the lock; the state machine has one in flight at a time.
func (c *claims) runAsync(work func(context.Context)) {
	c.node.inFlight.Go(func() error {
		ctx, cancel := context.WithTimeout(context.Background(), c.node.settings.Platform.Timeout)
		defer cancel()
		work(ctx)
		return nil
	})
}

// runClaimed runs a non-idempotent call that has an idempotency key and no ticket.
func (n *Node) runClaimed(ctx context.Context, c effectCall, claim session.Claim, r responseWriter) result {
	resolved, err := n.claims.acquire(ctx, claim)
	if err != nil {
		return result{outcome: request.Unknown, reason: request.CallerGone, truncated: true}
	}
	if !resolved.Granted {
		return result{outcome: resolved.Outcome, reason: resolved.Reason}
	}
	c.out.effect = resolved.Effect.String()
	buffer := newResponseBuffer(n.settings.Limits.PartBytes)
	n.startDetached(ctx, c, buffer, func(res result) {
		var end session.ClaimEvent = session.ClaimFinished{Customer: claim.Customer, Key: claim.Key}
		if res.outcome == request.NotRun {
			end = session.ClaimReleased{Customer: claim.Customer, Key: claim.Key}
		}
		n.claims.handle(end)
	})
	res, err := buffer.copyTo(ctx, r)
	if err != nil {
		return result{outcome: request.Unknown, reason: request.InProgress, truncated: true}
	}
	return res
}

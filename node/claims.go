package node

import (
	"context"
	"sync"

	"github.com/sapphiretack/sapphiretack/request"
	"github.com/sapphiretack/sapphiretack/session"
	"github.com/sapphiretack/sapphiretack/store"
)

// claims drives the claims of idempotency keys: it carries out their transactions and wakes the sends that wait.
type claims struct {
	node  *Node
	table store.Table

	mu       sync.Mutex
	machine  *session.Claims
	waiting  map[session.Waiter]chan session.ResolveClaim
	nextWait session.Waiter
}

// request claims a key and waits for the result.
func (c *claims) request(ctx context.Context, claim session.Claim) (session.ResolveClaim, error) {
	resolved := make(chan session.ResolveClaim, 1)
	c.mu.Lock()
	c.nextWait++
	claim.Waiter = c.nextWait
	c.waiting[claim.Waiter] = resolved
	c.mu.Unlock()
	c.handle(session.ClaimRequested{Claim: claim})
	select {
	case r := <-resolved:
		return r, nil
	case <-ctx.Done():
		c.abandon(claim, resolved)
		return session.ResolveClaim{}, ctx.Err()
	}
}

// abandon releases a claim that is granted after its caller went away.
func (c *claims) abandon(claim session.Claim, resolved chan session.ResolveClaim) {
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
	for _, action := range c.machine.Handle(c.node.clock.now(), e, nil) {
		c.apply(action)
	}
}

func (c *claims) apply(action session.ClaimAction) {
	switch a := action.(type) {
	case session.CommitClaims:
		c.withPlatform(func(ctx context.Context) {
			err := c.table.Commit(ctx, a.Transaction)
			c.handle(session.ClaimCommitted{Batch: a.Batch, Err: err})
		})
	case session.ReadClaims:
		c.withPlatform(func(ctx context.Context) {
			rows, err := c.table.Read(ctx, a.Keys)
			c.handle(session.ClaimRead{Batch: a.Batch, Rows: rows, Err: err})
		})
	case session.ResolveClaim:
		if resolved, ok := c.waiting[a.Waiter]; ok {
			resolved <- a
			delete(c.waiting, a.Waiter)
		}
	}
}

// withPlatform runs a request to the platform outside of the lock; the machine has one in flight at a time.
func (c *claims) withPlatform(work func(context.Context)) {
	c.node.inFlight.Go(func() error {
		ctx, cancel := context.WithTimeout(context.Background(), c.node.settings.Platform.Timeout)
		defer cancel()
		work(ctx)
		return nil
	})
}

// runClaimed runs a non-idempotent call that carries only an idempotency key.
func (n *Node) runClaimed(ctx context.Context, c effectCall, claim session.Claim, r reply) result {
	resolved, err := n.claims.request(ctx, claim)
	if err != nil {
		return result{outcome: request.Unknown, reason: request.CallerGone, cut: true}
	}
	if !resolved.Granted {
		return result{outcome: resolved.Outcome, reason: resolved.Reason}
	}
	c.out.effect = resolved.Effect.String()
	a := newAnswer(n.settings.Limits.PartBytes)
	n.startDetached(ctx, c, a, func(res result) {
		var end session.ClaimEvent = session.ClaimFinished{Customer: claim.Customer, Key: claim.Key}
		if res.outcome == request.NotRun {
			end = session.ClaimReleased{Customer: claim.Customer, Key: claim.Key}
		}
		n.claims.handle(end)
	})
	res, err := a.copyTo(ctx, r)
	if err != nil {
		return result{outcome: request.Unknown, reason: request.InProgress, cut: true}
	}
	return res
}

package node

import (
	"context"
	"encoding/json"
	"sync"
	"time"

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

const (
	// restoreKey is the key of the row that tells when the store last came back from a copy.
	restoreKey store.Key = "restore"
	// historyInterval is the time between checks of the era, and the longest time between reads of that row while the platform is down.
	// historyRetry is the shortest one, since keys that were sent before are not granted meanwhile.
	historyInterval, historyRetry = time.Second, 50 * time.Millisecond
)

// restoreRow is the value of the row with restoreKey.
type restoreRow struct {
	Era store.Era `json:"era"`
	// RestoredAtMs is the time in Unix milliseconds at which a node noticed that this era began, or 0 if it is the first one known.
	RestoredAtMs int64 `json:"restored_at_ms"`
}

// history returns what a row tells in an era of the store, and the row to write in its place. A row of another era, which the copy had, shows
// that the store has come back from it.
func (r restoreRow) history(hasRow bool, era store.Era, now time.Time) (session.ClaimHistory, restoreRow) {
	next := r
	if !hasRow || r.Era != era {
		next = restoreRow{Era: era}
		if hasRow {
			next.RestoredAtMs = now.UnixMilli()
		}
	}
	return session.ClaimHistory{IsRestored: next.RestoredAtMs != 0, Ago: max(0, now.Sub(time.UnixMilli(next.RestoredAtMs)))}, next
}

// learnHistory reads in each era of the store when that came back from a copy, and keeps it for nodes that start later.
func (c *claims) learnHistory(ctx context.Context) error {
	isLearned, era, pause := false, store.Era(0), historyRetry
	for ; ctx.Err() == nil; request.Sleep(ctx, pause) {
		if isLearned && c.table.Era() == era {
			continue
		}
		var found store.Era
		err := c.node.withPlatformTimeout(ctx, func(ctx context.Context) (err error) {
			found, err = c.readHistory(ctx)
			return err
		})
		if err != nil {
			c.node.log.Debug().Err(err).Msg("cannot read when the store came back from a copy; keys that were sent before are not granted until then")
			isLearned, pause = false, min(2*pause, historyInterval)
			continue
		}
		isLearned, era, pause = true, found, historyInterval
	}
	return nil
}

// readHistory reads the row, and writes it if it is of another era. All nodes that start together do so; those whose write comes late read what
// the first one wrote.
func (c *claims) readHistory(ctx context.Context) (store.Era, error) {
	for {
		era, err := c.tryReadHistory(ctx)
		if !store.ConditionFailed.Has(err) || ctx.Err() != nil {
			return era, err
		}
	}
}

func (c *claims) tryReadHistory(ctx context.Context) (store.Era, error) {
	rows, err := c.table.Read(ctx, []store.Key{restoreKey})
	if err != nil {
		return 0, err
	}
	era := c.table.Era()
	var r restoreRow
	if rows[0].Revision.Exists() {
		if err := json.Unmarshal(rows[0].Value, &r); err != nil {
			return 0, Error.Wrap(err)
		}
	}
	history, next := r.history(rows[0].Revision.Exists(), era, time.Now())
	if next != r {
		value, err := json.Marshal(next)
		if err != nil {
			return 0, Error.Wrap(err)
		}
		err = c.table.Commit(ctx, store.Transaction{
			Conditions: []store.Condition{{Key: restoreKey, Revision: rows[0].Revision}}, Writes: []store.Write{{Key: restoreKey, Value: value}},
		})
		if err != nil {
			return 0, err // another node writes the row, or the next read shows that this one was written
		}
	}
	c.handle(history)
	return era, nil
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

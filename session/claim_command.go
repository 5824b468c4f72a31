package session

import (
	"slices"

	"github.com/sapphiretack/sapphiretack/request"
	"github.com/sapphiretack/sapphiretack/store"
)

// Handle processes one event and appends the resulting actions to out.
func (c *Claims) Handle(now request.Instant, e ClaimEvent, out []ClaimAction) []ClaimAction {
	switch e := e.(type) {
	case ClaimRequested:
		out = c.addClaim(now, e.Claim, out)
	case ClaimReleased:
		c.release(claimKey(e.Customer, e.Key))
	case ClaimFinished:
		c.finish(claimKey(e.Customer, e.Key))
	case ClaimCommitted:
		c.observeEra(now, e.Era)
		if e.Batch == c.batch && len(c.inFlight) > 0 {
			out = c.handleCommitted(now, e.Err, out)
		}
	case ClaimHistory:
		c.knowsHistory = true
		if e.IsRestored {
			c.doubtUntil = max(c.doubtUntil, now.Add(c.settings.RestoreDoubt-e.Ago))
		}
	case ClaimRead:
		c.observeEra(now, e.Era)
		if e.Batch == c.batch && len(c.inFlight) > 0 {
			out = c.handleRead(now, e, out)
		}
	}
	return c.startBatch(now, out)
}

func (c *Claims) addClaim(now request.Instant, claim Claim, out []ClaimAction) []ClaimAction {
	key := claimKey(claim.Customer, claim.Key)
	if e := c.entries[key]; e != nil {
		return c.addDuplicate(e, claim, out)
	}
	if c.isDoubtful(now, &claim) {
		return append(out, refuseClaim(&claim, request.PlatformDown))
	}
	if len(c.queue) >= c.settings.MaxQueue {
		return append(out, refuseClaim(&claim, request.LimitReached))
	}
	e := &claimEntry{claim: claim, key: key, nonce: c.newNonce()}
	c.entries[key] = e
	c.queue = append(c.queue, e)
	return out
}

// addDuplicate handles a claim for a key that already has an entry on this node.
func (c *Claims) addDuplicate(e *claimEntry, claim Claim, out []ClaimAction) []ClaimAction {
	switch {
	case e.state == claimReleasing:
		// The deletion was not sent, so the row of this claim is still in the table, and the effect provably did not run.
		c.queue = slices.DeleteFunc(c.queue, func(q *claimEntry) bool { return q == e })
		e.claim = claim
		return append(out, c.grant(e))
	case e.state == claimDeleting && e.deferred == nil:
		e.deferred = &claim
		return out
	}
	return append(out, refuseKeyClaimed(&claim))
}

// decide grants a claim whose row is in the table, unless the store has come back from a copy meanwhile and the effect may have run. The row
// is then deleted again.
func (c *Claims) decide(now request.Instant, e *claimEntry) ResolveClaim {
	if !c.isDoubtful(now, &e.claim) {
		return c.grant(e)
	}
	e.state = claimGranted
	c.release(e.key)
	return refuseClaim(&e.claim, request.PlatformDown)
}

func (c *Claims) grant(e *claimEntry) ResolveClaim {
	e.state = claimGranted
	return ResolveClaim{Waiter: e.claim.Waiter, Granted: true, Effect: KeyEffect(e.claim.Customer, e.claim.Key)}
}

func (c *Claims) finish(key store.Key) {
	if e := c.entries[key]; e != nil && e.state == claimGranted {
		delete(c.entries, key)
	}
}

func (c *Claims) release(key store.Key) {
	e := c.entries[key]
	if e == nil || e.state != claimGranted {
		return
	}
	e.state = claimReleasing
	e.attempts = 0
	c.queue = append(c.queue, e)
}

// startBatch starts a batch if none is in flight. A batch holds either claims or releases, in order of arrival.
func (c *Claims) startBatch(now request.Instant, out []ClaimAction) []ClaimAction {
	if len(c.inFlight) > 0 {
		return out
	}
	out = c.refuseExpired(now, out)
	if len(c.queue) == 0 {
		return out
	}
	c.inFlightDeletes = c.queue[0].state == claimReleasing
	var rest []*claimEntry
	for _, e := range c.queue {
		if len(c.inFlight) < c.settings.MaxBatch && (e.state == claimReleasing) == c.inFlightDeletes {
			if c.inFlightDeletes {
				e.state = claimDeleting
			}
			c.inFlight = append(c.inFlight, e)
		} else {
			rest = append(rest, e)
		}
	}
	c.queue = rest
	c.batch++
	if c.inFlightDeletes {
		return append(out, c.readBatch())
	}
	return append(out, c.commitBatch())
}

// refuseExpired refuses the queued claims whose deadline has passed or whose attempts are used up. They are not dispatched,
// even if an earlier commit inserts their rows later.
func (c *Claims) refuseExpired(now request.Instant, out []ClaimAction) []ClaimAction {
	c.queue = slices.DeleteFunc(c.queue, func(e *claimEntry) bool {
		if e.state != claimPending || e.attempts < c.settings.MaxAttempts && now < e.claim.Deadline {
			return false
		}
		delete(c.entries, e.key)
		reason := request.DeadlineExceeded
		if e.attempts > 0 {
			reason = request.PlatformDown
		}
		out = append(out, refuseClaim(&e.claim, reason))
		return true
	})
	return out
}

func (c *Claims) commitBatch() CommitClaims {
	var t store.Transaction
	for _, e := range c.inFlight {
		e.attempts++
		t.Conditions = append(t.Conditions, store.Condition{Key: e.key})
		t.Writes = append(t.Writes, store.Write{Key: e.key, Value: c.rowValue(e)})
	}
	return CommitClaims{Batch: c.batch, Transaction: t}
}

func (c *Claims) readBatch() ReadClaims {
	keys := make([]store.Key, len(c.inFlight))
	for i, e := range c.inFlight {
		keys[i] = e.key
	}
	return ReadClaims{Batch: c.batch, Keys: keys}
}

// deleteBatch deletes the rows of the batch, conditional on the revisions that were read.
func (c *Claims) deleteBatch() CommitClaims {
	var t store.Transaction
	for _, e := range c.inFlight {
		t.Conditions = append(t.Conditions, store.Condition{Key: e.key, Revision: e.revision})
		t.Writes = append(t.Writes, store.Write{Key: e.key, Delete: true})
	}
	return CommitClaims{Batch: c.batch, Transaction: t}
}

func (c *Claims) handleCommitted(now request.Instant, err error, out []ClaimAction) []ClaimAction {
	if c.inFlightDeletes {
		return c.handleDeleted(now, err, out)
	}
	switch {
	case err == nil:
		for _, e := range c.endBatch() {
			out = append(out, c.decide(now, e))
		}
		return out
	case store.ConditionFailed.Has(err), store.Indeterminate.Has(err):
		return append(out, c.readBatch())
	}
	return c.refuseBatch(out)
}

// endBatch ends the batch in flight and returns its entries.
func (c *Claims) endBatch() []*claimEntry {
	batch := c.inFlight
	c.inFlight = nil
	return batch
}

// refuseBatch refuses the claims of the batch in flight, which the platform did not commit.
func (c *Claims) refuseBatch(out []ClaimAction) []ClaimAction {
	for _, e := range c.endBatch() {
		delete(c.entries, e.key)
		out = append(out, refuseClaim(&e.claim, request.PlatformDown))
	}
	return out
}

func (c *Claims) handleRead(now request.Instant, r ClaimRead, out []ClaimAction) []ClaimAction {
	if r.Err == nil && len(r.Rows) != len(c.inFlight) {
		r.Err = store.Unavailable.New("the read returned %d rows for %d keys", len(r.Rows), len(c.inFlight))
	}
	if c.inFlightDeletes {
		return c.handleReadForDelete(now, r, out)
	}
	if r.Err != nil {
		return c.retryRead(now, out)
	}
	for i, e := range c.endBatch() {
		switch row := r.Rows[i]; {
		case !row.Revision.Exists():
			c.queue = append(c.queue, e) // not applied, or not applied yet: commit again with the same nonce
		case c.isOwnRow(e, row):
			out = append(out, c.decide(now, e))
		default:
			delete(c.entries, e.key)
			out = append(out, refuseKeyClaimed(&e.claim))
		}
	}
	return out
}

// retryRead retries the read that follows a failed commit, as long as attempts and deadlines permit, and then refuses the
// claims.
func (c *Claims) retryRead(now request.Instant, out []ClaimAction) []ClaimAction {
	for _, e := range c.endBatch() {
		e.attempts++
		if e.attempts < c.settings.MaxAttempts && now < e.claim.Deadline {
			c.inFlight = append(c.inFlight, e)
			continue
		}
		delete(c.entries, e.key)
		out = append(out, refuseClaim(&e.claim, request.PlatformDown))
	}
	if len(c.inFlight) > 0 {
		out = append(out, c.readBatch())
	}
	return out
}

// handleReadForDelete records the revisions of the rows to delete. A row with another nonce is not deleted.
func (c *Claims) handleReadForDelete(now request.Instant, r ClaimRead, out []ClaimAction) []ClaimAction {
	if r.Err != nil {
		return c.retryDelete(now, out)
	}
	for i, e := range c.endBatch() {
		if row := r.Rows[i]; row.Revision.Exists() && c.isOwnRow(e, row) {
			e.revision = row.Revision
			c.inFlight = append(c.inFlight, e)
		} else {
			out = c.finishRelease(now, e, !row.Revision.Exists(), out)
		}
	}
	if len(c.inFlight) > 0 {
		out = append(out, c.deleteBatch())
	}
	return out
}

func (c *Claims) handleDeleted(now request.Instant, err error, out []ClaimAction) []ClaimAction {
	if err != nil {
		return c.retryDelete(now, out)
	}
	for _, e := range c.endBatch() {
		out = c.finishRelease(now, e, true, out)
	}
	return out
}

// retryDelete retries the read and the deletion, up to the limit on attempts. If the row remains, later sends get unknown.
func (c *Claims) retryDelete(now request.Instant, out []ClaimAction) []ClaimAction {
	for _, e := range c.endBatch() {
		e.attempts++
		if e.attempts < c.settings.MaxAttempts {
			c.inFlight = append(c.inFlight, e)
		} else {
			out = c.finishRelease(now, e, false, out)
		}
	}
	if len(c.inFlight) > 0 {
		out = append(out, c.readBatch())
	}
	return out
}

// finishRelease ends a release. A deferred resend claims the key again only if the row is gone; otherwise a delayed deletion
// could remove the new row while the resend runs.
func (c *Claims) finishRelease(now request.Instant, e *claimEntry, gone bool, out []ClaimAction) []ClaimAction {
	delete(c.entries, e.key)
	switch {
	case e.deferred == nil:
		return out
	case gone:
		return c.addClaim(now, *e.deferred, out)
	}
	return append(out, refuseClaim(e.deferred, request.PlatformDown))
}

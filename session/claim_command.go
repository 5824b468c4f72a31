package session

import (
	"slices"

	"github.com/sapphiretack/sapphiretack/request"
	"github.com/sapphiretack/sapphiretack/store"
)

// Handle handles one event and appends the actions to out.
func (c *Claims) Handle(now request.Instant, e ClaimEvent, out []ClaimAction) []ClaimAction {
	switch e := e.(type) {
	case ClaimRequested:
		out = c.request(e.Claim, out)
	case ClaimReleased:
		c.release(claimKey(e.Customer, e.Key))
	case ClaimFinished:
		c.finish(claimKey(e.Customer, e.Key))
	case ClaimCommitted:
		if e.Batch == c.batch && len(c.flight) > 0 {
			out = c.committed(e.Err, out)
		}
	case ClaimRead:
		if e.Batch == c.batch && len(c.flight) > 0 {
			out = c.read(now, e, out)
		}
	}
	return c.next(now, out)
}

func (c *Claims) request(claim Claim, out []ClaimAction) []ClaimAction {
	key := claimKey(claim.Customer, claim.Key)
	if e := c.busy[key]; e != nil {
		return c.requestAgain(e, claim, out)
	}
	if len(c.queue) >= c.settings.Queue {
		return append(out, refusal(&claim, request.LimitReached))
	}
	e := &entry{claim: claim, key: key, nonce: c.newNonce()}
	c.busy[key] = e
	c.queue = append(c.queue, e)
	return out
}

// requestAgain handles a claim of a key that this node is busy with.
func (c *Claims) requestAgain(e *entry, claim Claim, out []ClaimAction) []ClaimAction {
	switch {
	case e.state == releasing:
		// The deletion was not sent, so the row is still ours and its effect is proven not run.
		c.queue = slices.DeleteFunc(c.queue, func(q *entry) bool { return q == e })
		e.claim = claim
		return append(out, c.grant(e))
	case e.state == deleting && e.deferred == nil:
		e.deferred = &claim
		return out
	}
	return append(out, claimedElsewhere(&claim))
}

func (c *Claims) grant(e *entry) ResolveClaim {
	e.state = granted
	return ResolveClaim{Waiter: e.claim.Waiter, Granted: true, Effect: KeyEffect(e.claim.Customer, e.claim.Key)}
}

func (c *Claims) finish(key store.Key) {
	if e := c.busy[key]; e != nil && e.state == granted {
		delete(c.busy, key)
	}
}

func (c *Claims) release(key store.Key) {
	e := c.busy[key]
	if e == nil || e.state != granted {
		return
	}
	e.state = releasing
	e.attempts = 0
	c.queue = append(c.queue, e)
}

// next starts a batch if none is in flight. A batch holds either claims or releases, taken in order of arrival.
func (c *Claims) next(now request.Instant, out []ClaimAction) []ClaimAction {
	if len(c.flight) > 0 {
		return out
	}
	out = c.expire(now, out)
	if len(c.queue) == 0 {
		return out
	}
	c.deletes = c.queue[0].state == releasing
	var rest []*entry
	for _, e := range c.queue {
		if len(c.flight) < c.settings.Batch && (e.state == releasing) == c.deletes {
			if c.deletes {
				e.state = deleting
			}
			c.flight = append(c.flight, e)
		} else {
			rest = append(rest, e)
		}
	}
	c.queue = rest
	c.batch++
	if c.deletes {
		return append(out, c.readFlight())
	}
	return append(out, c.commitFlight())
}

// expire refuses the queued claims whose deadline passed or that used their attempts. They are not dispatched, whatever
// becomes of their rows.
func (c *Claims) expire(now request.Instant, out []ClaimAction) []ClaimAction {
	c.queue = slices.DeleteFunc(c.queue, func(e *entry) bool {
		if e.state != claiming || e.attempts < c.settings.Attempts && now < e.claim.Deadline {
			return false
		}
		delete(c.busy, e.key)
		reason := request.DeadlineExceeded
		if e.attempts > 0 {
			reason = request.PlatformDown
		}
		out = append(out, refusal(&e.claim, reason))
		return true
	})
	return out
}

func (c *Claims) commitFlight() CommitClaims {
	var t store.Transaction
	for _, e := range c.flight {
		e.attempts++
		t.Conditions = append(t.Conditions, store.Condition{Key: e.key})
		t.Writes = append(t.Writes, store.Write{Key: e.key, Value: c.value(e)})
	}
	return CommitClaims{Batch: c.batch, Transaction: t}
}

func (c *Claims) readFlight() ReadClaims {
	keys := make([]store.Key, len(c.flight))
	for i, e := range c.flight {
		keys[i] = e.key
	}
	return ReadClaims{Batch: c.batch, Keys: keys}
}

// deleteFlight deletes the rows at the revisions that were read.
func (c *Claims) deleteFlight() CommitClaims {
	var t store.Transaction
	for _, e := range c.flight {
		t.Conditions = append(t.Conditions, store.Condition{Key: e.key, Revision: e.revision})
		t.Writes = append(t.Writes, store.Write{Key: e.key, Delete: true})
	}
	return CommitClaims{Batch: c.batch, Transaction: t}
}

func (c *Claims) committed(err error, out []ClaimAction) []ClaimAction {
	if c.deletes {
		return c.deleted(err, out)
	}
	switch {
	case err == nil:
		for _, e := range c.land() {
			out = append(out, c.grant(e))
		}
		return out
	case store.ConditionFailed.Has(err), store.Indeterminate.Has(err):
		return append(out, c.readFlight())
	}
	return c.refuseFlight(out)
}

// land ends the batch and returns its entries.
func (c *Claims) land() []*entry {
	flight := c.flight
	c.flight = nil
	return flight
}

// refuseFlight refuses the claims of the batch, which the platform did not take.
func (c *Claims) refuseFlight(out []ClaimAction) []ClaimAction {
	for _, e := range c.land() {
		delete(c.busy, e.key)
		out = append(out, refusal(&e.claim, request.PlatformDown))
	}
	return out
}

func (c *Claims) read(now request.Instant, r ClaimRead, out []ClaimAction) []ClaimAction {
	if r.Err == nil && len(r.Rows) != len(c.flight) {
		r.Err = store.Unavailable.New("the read returned %d rows for %d keys", len(r.Rows), len(c.flight))
	}
	if c.deletes {
		return c.readForDelete(r, out)
	}
	if r.Err != nil {
		return c.readFailed(now, out)
	}
	for i, e := range c.land() {
		switch row := r.Rows[i]; {
		case row.Revision == 0:
			c.queue = append(c.queue, e) // not applied, or not yet: commit again under the same nonce
		case c.ours(e, row):
			out = append(out, c.grant(e))
		default:
			delete(c.busy, e.key)
			out = append(out, claimedElsewhere(&e.claim))
		}
	}
	return out
}

// readFailed tries the read of a lost response again, while attempts and deadlines permit. The claims are refused after that.
func (c *Claims) readFailed(now request.Instant, out []ClaimAction) []ClaimAction {
	for _, e := range c.land() {
		e.attempts++
		if e.attempts < c.settings.Attempts && now < e.claim.Deadline {
			c.flight = append(c.flight, e)
			continue
		}
		delete(c.busy, e.key)
		out = append(out, refusal(&e.claim, request.PlatformDown))
	}
	if len(c.flight) > 0 {
		out = append(out, c.readFlight())
	}
	return out
}

// readForDelete takes the revisions of our rows. A row that is not ours needs no deletion.
func (c *Claims) readForDelete(r ClaimRead, out []ClaimAction) []ClaimAction {
	if r.Err != nil {
		return c.retryDelete(out)
	}
	for i, e := range c.land() {
		if row := r.Rows[i]; row.Revision != 0 && c.ours(e, row) {
			e.revision = row.Revision
			c.flight = append(c.flight, e)
		} else {
			out = c.endRelease(e, row.Revision == 0, out)
		}
	}
	if len(c.flight) > 0 {
		out = append(out, c.deleteFlight())
	}
	return out
}

func (c *Claims) deleted(err error, out []ClaimAction) []ClaimAction {
	if err != nil {
		return c.retryDelete(out)
	}
	for _, e := range c.land() {
		out = c.endRelease(e, true, out)
	}
	return out
}

// retryDelete reads and deletes again, a bounded number of times. A row that stays refuses later sends with unknown.
func (c *Claims) retryDelete(out []ClaimAction) []ClaimAction {
	for _, e := range c.land() {
		e.attempts++
		if e.attempts < c.settings.Attempts {
			c.flight = append(c.flight, e)
		} else {
			out = c.endRelease(e, false, out)
		}
	}
	if len(c.flight) > 0 {
		out = append(out, c.readFlight())
	}
	return out
}

// endRelease ends a release. A deferred resend claims the key anew only if the row is gone; otherwise a deletion that is
// still on its way could remove the row while the resend runs.
func (c *Claims) endRelease(e *entry, gone bool, out []ClaimAction) []ClaimAction {
	delete(c.busy, e.key)
	switch {
	case e.deferred == nil:
		return out
	case gone:
		return c.request(*e.deferred, out)
	}
	return append(out, refusal(e.deferred, request.PlatformDown))
}

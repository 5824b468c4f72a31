package call

import (
	"time"

	"github.com/sapphiretack/sapphiretack/budget"
	"github.com/sapphiretack/sapphiretack/request"
	"github.com/sapphiretack/sapphiretack/route"
)

// Plan describes a call before its first attempt.
type Plan struct {
	Service     request.ServiceID
	Operation   request.Operation
	Priority    request.Priority
	Fingerprint request.Fingerprint
	Deadline    request.Instant
	Idempotent  bool
}

// Router selects instances; route.Table implements it.
type Router interface {
	Pick(now request.Instant, service request.ServiceID, p request.Priority, excluded []request.InstanceID) (route.Choice, route.PickResult)
}

// Account holds the extra attempts of the request; budget.Account implements it.
type Account interface {
	// Held returns the number of extra attempts that are available to spend or lend.
	Held() uint32
	// Spend uses one extra attempt and reports whether one was available.
	Spend() bool
	// Lend takes extra attempts out of the account for the nested calls of one attempt.
	Lend() budget.Loan
	// Return adds the unused attempts of a loan to the account.
	Return(l *budget.Loan, unused uint32)
}

// Limiter limits the retries of the source; budget.Limiter implements it.
type Limiter interface {
	// Allow takes one retry from the allowance of the service and reports whether one was available.
	Allow(now request.Instant, service request.ServiceID) bool
	// RecordSuccess records a successful call, which raises the allowance of the service.
	RecordSuccess(now request.Instant, service request.ServiceID)
}

// Dependencies are the components that a call uses.
type Dependencies struct {
	Router  Router
	Account Account
	Limiter Limiter
	// NextAttempt returns an unused attempt ID.
	NextAttempt func() request.AttemptID
}

// WithdrawWait is the timeout for a withdraw reply. It is far above the round-trip time between regions, and it bounds how long the caller of a
// lost attempt waits for the outcome.
const WithdrawWait = time.Second

// inlineAttempts is the number of attempts of a call with the default number of extra attempts.
const inlineAttempts = 4

// Call is the state machine of one call.
type Call struct {
	plan     Plan
	deps     Dependencies
	state    state
	attempts []attempt
	// excluded holds the instances that already received an attempt.
	excluded []request.InstanceID
	// Initial storage of attempts and excluded, so that a call is one allocation unless it has more than inlineAttempts attempts.
	attemptBuf  [inlineAttempts]attempt
	excludedBuf [inlineAttempts]request.InstanceID
	nextPart    uint32 // index of the next part to forward to the caller
	// Reason and delay of the last refusal or loss, reported with the outcome if no attempt follows.
	reason     request.Reason
	retryAfter time.Duration
	notServing bool // the last attempt was refused by an instance that is not serving
	// withdrawDeadline is the time at which the wait for a withdraw reply ends.
	withdrawDeadline request.Instant
}

type state uint8

const (
	idle state = iota
	// running means that one attempt is in flight.
	running
	// withdrawing means that a lost attempt is being withdrawn; the reply decides whether the call is retried.
	withdrawing
	// stopping means that no attempt follows; the end of the last attempt or its withdraw reply decides the outcome.
	stopping
	ended
)

type attempt struct {
	id        request.AttemptID
	choice    route.Choice
	loan      budget.Loan
	execution execution
	// crashReported is set once the crash of the backend server was reported.
	crashReported bool
	// lossReported is set once the loss of the stream was reported.
	lossReported bool
}

// execution is what the source knows about the execution of an attempt.
type execution uint8

const (
	inFlight execution = iota
	lost               // may have run or may still run
	ran
	notRun
)

// New returns a call that has not started.
func New(p Plan, d Dependencies) *Call {
	c := &Call{plan: p, deps: d}
	c.attempts = c.attemptBuf[:0]
	c.excluded = c.excludedBuf[:0]
	return c
}

// Handle processes one event and appends the resulting actions to out.
func (c *Call) Handle(now request.Instant, e Event, out []Action) []Action {
	if crash, ok := e.(Crashed); ok {
		out = c.reportCrash(crash, out)
	}
	if c.state == ended {
		return out
	}
	switch e := e.(type) {
	case Start:
		return c.start(now, out)
	case Part:
		return c.handlePart(now, e, out)
	case Refused:
		return c.handleRefused(now, e, out)
	case Finished:
		return c.handleFinished(now, e, out)
	case StreamLost:
		return c.handleStreamLost(now, e, out)
	case Crashed:
		return c.handleCrashed(now, e, out)
	case WithdrawReply:
		return c.handleWithdrawReply(now, e, out)
	case Timer:
		return c.handleTimer(now, out)
	case CallerGone:
		return c.stop(now, request.CallerGone, out)
	}
	return out
}

func (c *Call) start(now request.Instant, out []Action) []Action {
	if c.state != idle {
		return out
	}
	if now >= c.plan.Deadline {
		return c.end(End{Outcome: request.NotRun, Reason: request.DeadlineExceeded}, out)
	}
	choice, result := c.pick(now)
	if result != route.Picked {
		return c.end(noRouteEnd(choice, result), out)
	}
	out = append(out, SetTimer{At: c.plan.Deadline})
	return c.send(now, choice, out)
}

// pick selects an instance that has not received an attempt of this call.
func (c *Call) pick(now request.Instant) (route.Choice, route.PickResult) {
	return c.deps.Router.Pick(now, c.plan.Service, c.plan.Priority, c.excluded)
}

// retry sends another attempt if the deadline, the account, the router and the limiter permit it, and ends the call otherwise.
//
// The limiter suppresses retries under overload. It does not apply after a refusal by an instance that is not serving: such
// a refusal costs nothing and does not indicate overload, and the account bounds these retries.
func (c *Call) retry(now request.Instant, out []Action) []Action {
	if now >= c.plan.Deadline || c.deps.Account.Held() == 0 {
		return c.endUnanswered(out)
	}
	choice, result := c.pick(now)
	allowed := result == route.Picked && (c.notServing || c.deps.Limiter.Allow(now, c.plan.Service))
	if !allowed || !c.deps.Account.Spend() {
		return c.endUnanswered(out)
	}
	if c.state == withdrawing {
		out = append(out, SetTimer{At: c.plan.Deadline})
	}
	return c.send(now, choice, out)
}

func (c *Call) send(now request.Instant, choice route.Choice, out []Action) []Action {
	a := attempt{id: c.deps.NextAttempt(), choice: choice, loan: c.deps.Account.Lend()}
	c.attempts = append(c.attempts, a)
	c.excluded = append(c.excluded, choice.Instance)
	c.state = running
	return append(out, Send{Attempt: a.id, Choice: choice, Remaining: c.plan.Deadline.Sub(now), Lent: a.loan.Amount()})
}

// noRouteEnd returns the end of a call for which no instance was found for the first attempt.
func noRouteEnd(choice route.Choice, result route.PickResult) End {
	e := End{Outcome: request.NotRun, Reason: request.NoInstance, RetryAfter: choice.RetryAfter}
	if result == route.AllRefused {
		e.Reason = request.Overloaded
	}
	return e
}

func (c *Call) handlePart(now request.Instant, e Part, out []Action) []Action {
	a := c.current(e.Attempt)
	if a == nil || c.state != running || e.Index < c.nextPart {
		return out
	}
	if e.Index > c.nextPart {
		return c.handleMissingPart(now, a, out)
	}
	c.nextPart++
	return append(out, ForwardPart{Attempt: a.id, Index: e.Index})
}

// handleMissingPart cancels an attempt whose response lacks a part, because the response cannot be completed.
func (c *Call) handleMissingPart(now request.Instant, a *attempt, out []Action) []Action {
	out = append(out, Cancel{Attempt: a.id})
	a.execution = ran
	return c.afterLoss(now, request.ConnectionLost, out)
}

func (c *Call) handleRefused(now request.Instant, e Refused, out []Action) []Action {
	a := c.current(e.Attempt)
	if a == nil {
		return out
	}
	if c.nextPart > 0 {
		// A refusal after a part violates the protocol; the response stays incomplete.
		return c.handleMissingPart(now, a, out)
	}
	c.markNotRun(a)
	c.notServing = e.Reason.IsNotServing()
	if c.state == running {
		c.reason, c.retryAfter = e.Reason, e.RetryAfter
	}
	return c.afterNotRun(now, isFinal(e.Reason), out)
}

// isFinal reports whether every instance of the service would refuse the request for this reason.
func isFinal(r request.Reason) bool {
	switch r {
	case request.Quarantined, request.NestedEffect, request.Malformed, request.DeadlineExceeded, request.CallerGone:
		return true
	}
	return false
}

func (c *Call) handleFinished(now request.Instant, e Finished, out []Action) []Action {
	if e.Outcome == request.NotRun {
		return c.handleRefused(now, Refused{Attempt: e.Attempt, Reason: e.Reason}, out)
	}
	a := c.current(e.Attempt)
	if a == nil {
		return out
	}
	c.deps.Account.Return(&a.loan, e.Returned)
	a.execution = ran
	switch {
	case c.state == running && e.Outcome != request.Unknown && e.Parts != c.nextPart:
		return c.handleMissingPart(now, a, out)
	case e.Outcome == request.Failed:
		return c.end(End{Outcome: request.Failed, Reason: request.BackendError}, out)
	case c.state == stopping:
		return c.cancelAndEnd(out)
	case e.Outcome == request.Answered:
		c.deps.Limiter.RecordSuccess(now, c.plan.Service)
		return c.end(End{Outcome: request.Answered}, out)
	}
	return c.afterLoss(now, e.Reason, out)
}

func (c *Call) handleStreamLost(now request.Instant, e StreamLost, out []Action) []Action {
	a := c.current(e.Attempt)
	if a == nil {
		return out
	}
	a.execution = lost
	if c.state == stopping {
		// The withdraw reply is still pending. The loss is reported without it, because the caller may resend the request.
		return c.reportLoss(a, out)
	}
	if c.nextPart > 0 {
		return c.truncate(request.ConnectionLost, c.reportLoss(a, out))
	}
	if c.plan.Idempotent {
		out = c.reportLoss(a, out)
		return c.afterLoss(now, request.ConnectionLost, out)
	}
	c.reason, c.retryAfter = request.ConnectionLost, 0
	c.state = withdrawing
	return c.withdraw(now, a, out)
}

func (c *Call) withdraw(now request.Instant, a *attempt, out []Action) []Action {
	c.withdrawDeadline = now.Add(WithdrawWait)
	return append(out, Withdraw{Attempt: a.id, Choice: a.choice}, SetTimer{At: c.withdrawDeadline})
}

func (c *Call) handleCrashed(now request.Instant, e Crashed, out []Action) []Action {
	a := c.current(e.Attempt)
	if a == nil {
		return out
	}
	c.deps.Account.Return(&a.loan, e.Returned)
	a.execution = ran
	if c.state == stopping {
		return c.cancelAndEnd(out)
	}
	return c.afterLoss(now, request.BackendCrashed, out)
}

// reportCrash reports a crash once per attempt, also for a superseded attempt, because its request was running at the crash.
func (c *Call) reportCrash(e Crashed, out []Action) []Action {
	for i := range c.attempts {
		a := &c.attempts[i]
		if a.id == e.Attempt && !a.crashReported {
			a.crashReported = true
			return append(out, ReportCrash{Instance: a.choice.Instance, Incarnation: e.Incarnation, Fingerprint: c.plan.Fingerprint})
		}
	}
	return out
}

// reportLoss reports, once per attempt, that its stream was lost and its result is unknown. It is not needed if the
// destination replies to a withdrawal: the destination is running then and counts a crash of its backend server itself.
func (c *Call) reportLoss(a *attempt, out []Action) []Action {
	if a.lossReported {
		return out
	}
	a.lossReported = true
	return append(out, ReportLoss{Instance: a.choice.Instance, Incarnation: a.choice.Incarnation, Fingerprint: c.plan.Fingerprint})
}

func (c *Call) handleWithdrawReply(now request.Instant, e WithdrawReply, out []Action) []Action {
	a := c.lastAttempt()
	if a == nil || a.id != e.Attempt || (c.state != withdrawing && c.state != stopping) {
		return out
	}
	if e.Result == Withdrawn {
		c.markNotRun(a)
		return c.afterNotRun(now, false, out)
	}
	if e.Result == NoReply {
		out = c.reportLoss(a, out)
	}
	return c.cancelAndEnd(out)
}

func (c *Call) handleTimer(now request.Instant, out []Action) []Action {
	switch {
	case (c.state == withdrawing || c.state == stopping) && now >= c.withdrawDeadline:
		return c.cancelAndEnd(c.reportLoss(c.lastAttempt(), out))
	case c.state == running && now >= c.plan.Deadline:
		return c.stop(now, request.DeadlineExceeded, out)
	}
	return out
}

// stop ends the call early. It withdraws the attempt in flight before cancelling it, because the reply may prove that the attempt did not run.
func (c *Call) stop(now request.Instant, reason request.Reason, out []Action) []Action {
	if c.state == stopping {
		return out
	}
	c.reason, c.retryAfter = reason, 0
	a := c.lastAttempt()
	if c.state == withdrawing {
		// The withdrawal was already sent.
		c.state = stopping
		return out
	}
	if a == nil {
		return c.endUnanswered(out)
	}
	if c.plan.Idempotent && reason == request.CallerGone {
		// Nobody needs the outcome, so the slot is released immediately.
		return c.endUnanswered(append(out, Cancel{Attempt: a.id}))
	}
	if c.nextPart > 0 {
		return c.truncate(reason, append(out, Cancel{Attempt: a.id}))
	}
	c.state = stopping
	return c.withdraw(now, a, out)
}

// cancelAndEnd cancels an attempt that may still run and ends the call with the outcome that is proven.
func (c *Call) cancelAndEnd(out []Action) []Action {
	if a := c.lastAttempt(); a.execution == inFlight {
		out = append(out, Cancel{Attempt: a.id})
	}
	return c.endUnanswered(out)
}

func (c *Call) markNotRun(a *attempt) {
	a.execution = notRun
	c.deps.Account.Return(&a.loan, a.loan.Amount())
}

// afterNotRun retries or ends the call after a proof that the last attempt did not run.
func (c *Call) afterNotRun(now request.Instant, final bool, out []Action) []Action {
	if c.state == stopping || final {
		return c.endUnanswered(out)
	}
	return c.retry(now, out)
}

// afterLoss retries or ends the call after the last attempt failed without a proof that it did not run.
func (c *Call) afterLoss(now request.Instant, reason request.Reason, out []Action) []Action {
	if c.nextPart > 0 {
		return c.truncate(reason, out)
	}
	c.reason, c.retryAfter = reason, 0
	c.notServing = false
	if !c.plan.Idempotent || isFinal(reason) {
		return c.endUnanswered(out)
	}
	return c.retry(now, out)
}

// truncate ends the call after some parts were forwarded and the rest was lost.
func (c *Call) truncate(reason request.Reason, out []Action) []Action {
	return c.end(End{Outcome: request.Unknown, Reason: reason, Truncated: true}, out)
}

// endUnanswered ends the call without a response: as not run if that is proven for every attempt, as unknown otherwise.
func (c *Call) endUnanswered(out []Action) []Action {
	e := End{Outcome: request.NotRun, Reason: c.reason, RetryAfter: c.retryAfter}
	for _, a := range c.attempts {
		if a.execution != notRun {
			e.Outcome = request.Unknown
		}
	}
	return c.end(e, out)
}

func (c *Call) end(e End, out []Action) []Action {
	c.state = ended
	return append(out, e)
}

func (c *Call) lastAttempt() *attempt {
	if len(c.attempts) == 0 {
		return nil
	}
	return &c.attempts[len(c.attempts)-1]
}

// current returns the attempt if it is the last one and in flight, and nil if it is superseded or has ended.
func (c *Call) current(id request.AttemptID) *attempt {
	if a := c.lastAttempt(); a != nil && a.id == id && a.execution == inFlight {
		return a
	}
	return nil
}

package call

import (
	"time"

	"github.com/sapphiretack/sapphiretack/budget"
	"github.com/sapphiretack/sapphiretack/request"
	"github.com/sapphiretack/sapphiretack/route"
)

// Plan is what a source knows of a call before it sends the first attempt.
type Plan struct {
	Service     request.ServiceID
	Operation   request.Operation
	Priority    request.Priority
	Fingerprint request.Fingerprint
	Deadline    request.Instant
	Idempotent  bool
}

// Router chooses instances; route.Table is one.
type Router interface {
	Pick(now request.Instant, service request.ServiceID, p request.Priority, excluded []request.InstanceID) (route.Choice, route.Verdict)
}

// Account holds the extra attempts of the request; budget.Account is one.
type Account interface {
	Held() uint32
	Spend() bool
	Lend() budget.Loan
	Return(l *budget.Loan, left uint32)
}

// Limiter limits the retries of the source; budget.Ratio is one.
type Limiter interface {
	Allow(now request.Instant, service request.ServiceID) bool
	Succeeded(now request.Instant, service request.ServiceID)
}

// Dependencies are what calls of one source share.
type Dependencies struct {
	Router  Router
	Account Account
	Limiter Limiter
	// NextAttempt returns an attempt ID that was not used before.
	NextAttempt func() request.AttemptID
}

// WithdrawWait is the time to wait for a withdraw reply. It is far above the round trip between regions, and the caller of a lost attempt waits
// no longer than this for the outcome.
const WithdrawWait = time.Second

// usualAttempts is one more than the default number of extra attempts.
const usualAttempts = 4

// Call is the state machine of one call.
type Call struct {
	plan     Plan
	deps     Dependencies
	state    state
	attempts []attempt
	// excluded are the instances that attempts went to.
	excluded []request.InstanceID
	// Space for the first attempt and the default number of extra ones, so that a call is one allocation.
	attemptSpace  [usualAttempts]attempt
	excludedSpace [usualAttempts]request.InstanceID
	next          uint32 // index of the next part to pass on
	// The last refusal or loss, which explains the outcome when there is no further attempt.
	reason     request.Reason
	retryAfter time.Duration
	notServing bool // the last attempt was refused by an instance that takes no calls
	// waitUntil is the end of the wait for withdraw replies.
	waitUntil request.Instant
}

type state uint8

const (
	idle state = iota
	// running means that one attempt is in flight.
	running
	// proving means that a lost attempt was withdrawn; the reply decides whether the call is retried.
	proving
	// stopping means that no attempt follows; withdraw replies decide the outcome.
	stopping
	ended
)

type attempt struct {
	id     request.AttemptID
	choice route.Choice
	loan   budget.Loan
	fate   fate
	// crashed is set once the crash of the backend server was reported.
	crashed bool
}

// fate is what the source knows about the execution of an attempt.
type fate uint8

const (
	inFlight fate = iota
	lost          // may have run, or may still run
	ran
	notRun
)

// New returns a call that has not started.
func New(p Plan, d Dependencies) *Call {
	c := &Call{plan: p, deps: d}
	c.attempts = c.attemptSpace[:0]
	c.excluded = c.excludedSpace[:0]
	return c
}

// Handle applies an event and appends what is to be done to out.
func (c *Call) Handle(now request.Instant, e Event, out []Action) []Action {
	if crash, ok := e.(Crashed); ok {
		out = c.report(crash, out)
	}
	if c.state == ended {
		return out
	}
	switch e := e.(type) {
	case Start:
		return c.start(now, out)
	case Part:
		return c.part(now, e, out)
	case Refused:
		return c.refused(now, e, out)
	case Finished:
		return c.finished(now, e, out)
	case Broken:
		return c.broken(now, e, out)
	case Crashed:
		return c.crashed(now, e, out)
	case WithdrawReply:
		return c.replied(now, e, out)
	case Timer:
		return c.timer(now, out)
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
	choice, verdict := c.pick(now)
	if verdict != route.Picked {
		return c.end(unroutable(choice, verdict), out)
	}
	out = append(out, SetTimer{At: c.plan.Deadline})
	return c.send(now, choice, out)
}

// pick chooses an instance that had no attempt of this call.
func (c *Call) pick(now request.Instant) (route.Choice, route.Verdict) {
	return c.deps.Router.Pick(now, c.plan.Service, c.plan.Priority, c.excluded)
}

// retry sends a further attempt if an instance, the deadline, the account and the limiter permit it, and ends the call otherwise.
//
// The limiter holds back retries under overload. An instance that takes no calls refuses at no cost, so that a retry
// elsewhere is no sign of overload; the account bounds it.
func (c *Call) retry(now request.Instant, out []Action) []Action {
	if now >= c.plan.Deadline || c.deps.Account.Held() == 0 {
		return c.endProven(out)
	}
	choice, verdict := c.pick(now)
	allowed := verdict == route.Picked && (c.notServing || c.deps.Limiter.Allow(now, c.plan.Service))
	if !allowed || !c.deps.Account.Spend() {
		return c.endProven(out)
	}
	if c.state == proving {
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

// unroutable is the end of a call of which no attempt was sent.
func unroutable(choice route.Choice, verdict route.Verdict) End {
	e := End{Outcome: request.NotRun, Reason: request.NoInstance, RetryAfter: choice.RetryAfter}
	if verdict == route.AllRefused {
		e.Reason = request.Overloaded
	}
	return e
}

func (c *Call) part(now request.Instant, e Part, out []Action) []Action {
	a := c.current(e.Attempt)
	if a == nil || c.state != running || e.Index < c.next {
		return out
	}
	if e.Index > c.next {
		return c.gap(now, a, out)
	}
	c.next++
	return append(out, Pass{Attempt: a.id, Index: e.Index})
}

// gap handles a response with a missing part: the attempt is of no use.
func (c *Call) gap(now request.Instant, a *attempt, out []Action) []Action {
	out = append(out, Cancel{Attempt: a.id})
	a.fate = ran
	return c.afterLoss(now, request.ConnectionLost, out)
}

func (c *Call) refused(now request.Instant, e Refused, out []Action) []Action {
	a := c.current(e.Attempt)
	if a == nil {
		return out
	}
	if c.next > 0 {
		// A destination that has sent a part cannot refuse; the response is cut.
		return c.gap(now, a, out)
	}
	c.prove(a)
	c.notServing = e.Reason.IsNotServing()
	if c.state == running {
		c.reason, c.retryAfter = e.Reason, e.RetryAfter
	}
	return c.afterProof(now, isFinal(e.Reason), out)
}

// isFinal reports whether every instance of the service would refuse for the same reason.
func isFinal(r request.Reason) bool {
	switch r {
	case request.Quarantined, request.NestedEffect, request.Malformed, request.DeadlineExceeded, request.CallerGone:
		return true
	}
	return false
}

func (c *Call) finished(now request.Instant, e Finished, out []Action) []Action {
	if e.Outcome == request.NotRun {
		return c.refused(now, Refused{Attempt: e.Attempt, Reason: e.Reason}, out)
	}
	a := c.current(e.Attempt)
	if a == nil {
		return out
	}
	c.deps.Account.Return(&a.loan, e.Returned)
	a.fate = ran
	switch {
	case c.state == running && e.Outcome != request.Unknown && e.Parts != c.next:
		return c.gap(now, a, out)
	case e.Outcome == request.Failed:
		return c.end(End{Outcome: request.Failed, Reason: request.BackendError}, out)
	case c.state == stopping:
		return c.settle(out)
	case e.Outcome == request.Answered:
		c.deps.Limiter.Succeeded(now, c.plan.Service)
		return c.end(End{Outcome: request.Answered}, out)
	}
	return c.afterLoss(now, e.Reason, out)
}

func (c *Call) broken(now request.Instant, e Broken, out []Action) []Action {
	a := c.current(e.Attempt)
	if a == nil {
		return out
	}
	a.fate = lost
	if c.state == stopping {
		// The withdraw reply is still to come.
		return out
	}
	if c.next > 0 {
		return c.cut(request.ConnectionLost, out)
	}
	if c.plan.Idempotent {
		return c.afterLoss(now, request.ConnectionLost, out)
	}
	c.reason, c.retryAfter = request.ConnectionLost, 0
	c.state = proving
	return c.withdraw(now, a, out)
}

func (c *Call) withdraw(now request.Instant, a *attempt, out []Action) []Action {
	c.waitUntil = now.Add(WithdrawWait)
	return append(out, Withdraw{Attempt: a.id, Choice: a.choice}, SetTimer{At: c.waitUntil})
}

func (c *Call) crashed(now request.Instant, e Crashed, out []Action) []Action {
	a := c.current(e.Attempt)
	if a == nil {
		return out
	}
	c.deps.Account.Return(&a.loan, e.Returned)
	a.fate = ran
	if c.state == stopping {
		return c.settle(out)
	}
	return c.afterLoss(now, request.BackendCrashed, out)
}

// report counts the crash also for an attempt that was superseded: it was the request that ran.
func (c *Call) report(e Crashed, out []Action) []Action {
	for i := range c.attempts {
		a := &c.attempts[i]
		if a.id == e.Attempt && !a.crashed {
			a.crashed = true
			return append(out, ReportCrash{Instance: a.choice.Instance, Incarnation: e.Incarnation, Fingerprint: c.plan.Fingerprint})
		}
	}
	return out
}

func (c *Call) replied(now request.Instant, e WithdrawReply, out []Action) []Action {
	a := c.last()
	if a == nil || a.id != e.Attempt || (c.state != proving && c.state != stopping) {
		return out
	}
	if e.Result == Withdrawn {
		c.prove(a)
		return c.afterProof(now, false, out)
	}
	return c.settle(out)
}

func (c *Call) timer(now request.Instant, out []Action) []Action {
	switch {
	case (c.state == proving || c.state == stopping) && now >= c.waitUntil:
		return c.settle(out)
	case c.state == running && now >= c.plan.Deadline:
		return c.stop(now, request.DeadlineExceeded, out)
	}
	return out
}

// stop gives up the call. The attempt in flight is withdrawn before it is cancelled, because the reply may prove that it did not run.
func (c *Call) stop(now request.Instant, why request.Reason, out []Action) []Action {
	if c.state == stopping {
		return out
	}
	c.reason, c.retryAfter = why, 0
	a := c.last()
	if c.state == proving {
		// The withdraw is on its way already.
		c.state = stopping
		return out
	}
	if a == nil {
		return c.endProven(out)
	}
	if c.plan.Idempotent && why == request.CallerGone {
		// Nobody waits for the outcome, so that the slot is freed at once.
		return c.endProven(append(out, Cancel{Attempt: a.id}))
	}
	if c.next > 0 {
		return c.cut(why, append(out, Cancel{Attempt: a.id}))
	}
	c.state = stopping
	return c.withdraw(now, a, out)
}

// settle ends the call with what is proven, and stops what may still run.
func (c *Call) settle(out []Action) []Action {
	if a := c.last(); a.fate == inFlight {
		out = append(out, Cancel{Attempt: a.id})
	}
	return c.endProven(out)
}

func (c *Call) prove(a *attempt) {
	a.fate = notRun
	c.deps.Account.Return(&a.loan, a.loan.Amount())
}

// afterProof goes on after the last attempt was proven not run.
func (c *Call) afterProof(now request.Instant, final bool, out []Action) []Action {
	if c.state == stopping || final {
		return c.endProven(out)
	}
	return c.retry(now, out)
}

// afterLoss goes on after the last attempt was lost without a proof that it did not run.
func (c *Call) afterLoss(now request.Instant, why request.Reason, out []Action) []Action {
	if c.next > 0 {
		return c.cut(why, out)
	}
	c.reason, c.retryAfter = why, 0
	c.notServing = false
	if !c.plan.Idempotent || isFinal(why) {
		return c.endProven(out)
	}
	return c.retry(now, out)
}

// cut ends the call after parts were passed on and the rest is lost.
func (c *Call) cut(why request.Reason, out []Action) []Action {
	return c.end(End{Outcome: request.Unknown, Reason: why, Cut: true}, out)
}

// endProven ends the call without an answer: not run if that is proven for every attempt, unknown otherwise.
func (c *Call) endProven(out []Action) []Action {
	e := End{Outcome: request.NotRun, Reason: c.reason, RetryAfter: c.retryAfter}
	for _, a := range c.attempts {
		if a.fate != notRun {
			e.Outcome = request.Unknown
		}
	}
	return c.end(e, out)
}

func (c *Call) end(e End, out []Action) []Action {
	c.state = ended
	return append(out, e)
}

func (c *Call) last() *attempt {
	if len(c.attempts) == 0 {
		return nil
	}
	return &c.attempts[len(c.attempts)-1]
}

// current returns the attempt if it is the last one and still in flight; earlier ones are superseded.
func (c *Call) current(id request.AttemptID) *attempt {
	if a := c.last(); a != nil && a.id == id && a.fate == inFlight {
		return a
	}
	return nil
}

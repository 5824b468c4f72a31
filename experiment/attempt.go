package experiment

import (
	"cmp"
	"slices"
	"time"

	"github.com/sapphiretack/sapphiretack/budget"
	"github.com/sapphiretack/sapphiretack/call"
	"github.com/sapphiretack/sapphiretack/request"
)

// attempt is one attempt at its destination.
type attempt struct {
	sim       *simulation
	hop       *hop
	instance  *instance
	id        request.AttemptID
	priority  request.Priority
	remaining time.Duration
	account   budget.Account
	state     attemptState
	// closed is set when the source knows the end of the attempt.
	closed bool

	startedAt  request.Instant
	working    bool
	workStart  request.Instant
	nested     *hop
	nestedTime time.Duration
	pathLevel  request.Priority
}

type attemptState uint8

const (
	attemptSent attemptState = iota
	attemptRunning
	attemptEnded
)

func (a *attempt) arrive() {
	in := a.instance
	if !in.up {
		a.reply(func() { a.hop.handleBroken(a) })
		return
	}
	a.pathLevel = request.PriorityCount
	in.attempts[a.id] = a
	in.gate.arrive(a)
}

// dispatched is called by the gate when the attempt may run.
func (a *attempt) dispatched() {
	a.state = attemptRunning
	a.startedAt = a.sim.clock.now
	a.instance.run(a)
}

// refused is called by the gate when the attempt will not run.
func (a *attempt) refused(r request.Reason, retryAfter time.Duration) {
	a.markEnded()
	a.reply(func() { a.hop.handleRefused(a, r, retryAfter) })
}

func (a *attempt) markEnded() {
	a.state = attemptEnded
	delete(a.instance.attempts, a.id)
}

// reply runs f at the source after the network delay, if the source is reachable.
func (a *attempt) reply(f func()) {
	from, to := a.hop.node, a.instance
	if !a.sim.reachable(from.zone, to.zone) {
		return // The source detects this by its own timeout.
	}
	a.sim.clock.after(a.sim.delay(from.zone, to.zone), f)
}

// runFirstHalf runs the first half of the work and then the nested call, runSecondHalf the rest.
func (a *attempt) runFirstHalf() {
	a.work(func() {
		if a.hop.position+1 < len(a.hop.send.request.chain.Services) {
			a.callNext()
			return
		}
		a.runSecondHalf()
	})
}

func (a *attempt) runSecondHalf() {
	a.work(func() { a.finish(request.Answered) })
}

func (a *attempt) work(then func()) {
	a.working, a.workStart = true, a.sim.clock.now
	a.sim.clock.after(a.instance.workTime(), func() {
		if a.state == attemptEnded {
			return
		}
		a.stopWork()
		then()
	})
}

func (a *attempt) stopWork() {
	if a.working {
		a.working = false
		a.hop.send.request.addWork(a.sim.clock.now.Sub(a.workStart))
	}
}

func (a *attempt) callNext() {
	from := a.sim.clock.now
	a.nested = a.sim.newHop(a.hop.send, a.instance, a, a.hop.position+1)
	a.nested.done = func(e call.End) {
		if a.state == attemptEnded {
			return
		}
		a.nestedTime += a.sim.clock.now.Sub(from)
		a.pathLevel = min(a.pathLevel, a.nested.pathLevel)
		a.nested = nil
		if e.Outcome == request.Answered {
			a.runSecondHalf()
			return
		}
		a.finish(request.Failed)
	}
	a.nested.start()
}

// finish ends a running attempt and responds.
func (a *attempt) finish(o request.Outcome) {
	a.release()
	a.reply(func() { a.hop.handleFinished(a, o) })
}

// release ends a running attempt and frees its slot.
func (a *attempt) release() {
	a.stopWork()
	total := a.sim.clock.now.Sub(a.startedAt)
	a.markEnded()
	a.instance.release()
	a.instance.gate.finish(a, total-a.nestedTime)
}

// abort is called by the gate when the source has cancelled the running attempt.
func (a *attempt) abort() {
	if a.state != attemptRunning {
		return
	}
	if i := slices.Index(a.instance.backlog, a); i >= 0 {
		// It waits for a slot of the backend server, so release must not free one.
		a.instance.backlog = slices.Delete(a.instance.backlog, i, i+1)
		a.instance.busySlots++
	}
	nested := a.nested
	a.release()
	if nested != nil {
		nested.handle(call.CallerGone{})
	}
}

// loseInstance ends an attempt whose instance has stopped.
func (a *attempt) loseInstance() {
	a.stopWork()
	a.state = attemptEnded
	a.reply(func() { a.hop.handleBroken(a) })
}

// sortedAttempts returns the attempts in a fixed order, so that runs are reproducible.
func (in *instance) sortedAttempts() []*attempt {
	out := make([]*attempt, 0, len(in.attempts))
	for _, a := range in.attempts {
		out = append(out, a)
	}
	slices.SortFunc(out, func(a, b *attempt) int {
		return cmp.Or(cmp.Compare(a.id.Source, b.id.Source), cmp.Compare(a.id.Number, b.id.Number))
	})
	return out
}

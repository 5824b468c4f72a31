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
	// answered is set when the source knows the end of the attempt.
	answered bool

	started   request.Instant
	working   bool
	workFrom  request.Instant
	nested    *hop
	nestedFor time.Duration
	pathLevel request.Priority
}

type attemptState uint8

const (
	attemptSent attemptState = iota
	attemptRunning
	attemptEnded
)

func (a *attempt) deliver() {
	in := a.instance
	if !in.up {
		a.reply(func() { a.hop.broken(a) })
		return
	}
	a.pathLevel = request.MaxPriority
	in.attempts[a.id] = a
	in.gate.arrive(a)
}

// dispatched is called by the gate when the attempt may run.
func (a *attempt) dispatched() {
	a.state = attemptRunning
	a.started = a.sim.clock.now
	a.instance.run(a)
}

// refused is called by the gate when the attempt will not run.
func (a *attempt) refused(r request.Reason, retryAfter time.Duration) {
	a.end()
	a.reply(func() { a.hop.refused(a, r, retryAfter) })
}

func (a *attempt) end() {
	a.state = attemptEnded
	delete(a.instance.attempts, a.id)
}

// reply runs f at the source after the network delay, if the source can be reached.
func (a *attempt) reply(f func()) {
	from, to := a.hop.node, a.instance
	if !a.sim.reachable(from.zone, to.zone) {
		return // The source notices by its own timer.
	}
	a.sim.clock.after(a.sim.delay(from.zone, to.zone), f)
}

// begin starts the first half of the work, begin2 the second.
func (a *attempt) begin() {
	a.work(func() {
		if a.hop.position+1 < len(a.hop.send.request.chain.Services) {
			a.callNext()
			return
		}
		a.begin2()
	})
}

func (a *attempt) begin2() {
	a.work(func() { a.finish(request.Answered) })
}

func (a *attempt) work(then func()) {
	a.working, a.workFrom = true, a.sim.clock.now
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
		a.hop.send.request.worked(a.sim.clock.now.Sub(a.workFrom))
	}
}

func (a *attempt) callNext() {
	from := a.sim.clock.now
	a.nested = a.sim.newHop(a.hop.send, a.instance, a, a.hop.position+1)
	a.nested.done = func(e call.End) {
		if a.state == attemptEnded {
			return
		}
		a.nestedFor += a.sim.clock.now.Sub(from)
		a.pathLevel = min(a.pathLevel, a.nested.pathLevel)
		a.nested = nil
		if e.Outcome == request.Answered {
			a.begin2()
			return
		}
		a.finish(request.Failed)
	}
	a.nested.start()
}

// finish ends a running attempt and responds.
func (a *attempt) finish(o request.Outcome) {
	a.leave()
	a.reply(func() { a.hop.finished(a, o) })
}

// leave frees the slot of a running attempt.
func (a *attempt) leave() {
	a.stopWork()
	total := a.sim.clock.now.Sub(a.started)
	a.end()
	a.instance.release()
	a.instance.gate.finish(a, total-a.nestedFor)
}

// abort is called by the gate when nobody waits for the attempt any more.
func (a *attempt) abort() {
	if a.state != attemptRunning {
		return
	}
	if i := slices.Index(a.instance.backlog, a); i >= 0 {
		// It has no slot of the backend server yet.
		a.instance.backlog = slices.Delete(a.instance.backlog, i, i+1)
		a.instance.busy++
	}
	nested := a.nested
	a.leave()
	if nested != nil {
		nested.handle(call.CallerGone{})
	}
}

// lose ends an attempt whose instance went away.
func (a *attempt) lose() {
	a.stopWork()
	a.state = attemptEnded
	a.reply(func() { a.hop.broken(a) })
}

// sortedAttempts returns the attempts in a fixed order, so that runs repeat.
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

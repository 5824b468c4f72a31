package faultmatrix_test

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"testing"

	"github.com/cockroachdb/datadriven"
	qt "github.com/frankban/quicktest"

	"github.com/sapphiretack/sapphiretack/budget"
	"github.com/sapphiretack/sapphiretack/call"
	"github.com/sapphiretack/sapphiretack/request"
	"github.com/sapphiretack/sapphiretack/route"
)

// tree runs the calls of one request over a deep chain of services, in which all attempts fail.
type tree struct {
	random      *rand.Rand
	depth       int
	fanOut      map[int]int
	failure     string
	weakened    bool
	lastAttempt uint64
	attempts    []int
	limit       int // number of attempts after which the run ends
	total       int
}

// unlimited is an account without a bound.
type unlimited struct{}

func (unlimited) Held() uint32                    { return 1 }
func (unlimited) Spend() bool                     { return true }
func (unlimited) Lend() budget.Loan               { return budget.Loan{} }
func (unlimited) Return(_ *budget.Loan, _ uint32) {}

// anyInstance routes to a new instance each time and permits every retry, so that only the account bounds
// the attempts.
type anyInstance struct{}

func (anyInstance) Pick(_ request.Instant, _ request.ServiceID, _ request.Priority, excluded []request.InstanceID) (route.Choice, route.PickResult) {
	if len(excluded) > 20 {
		return route.Choice{}, route.NoInstance
	}
	return route.Choice{Instance: request.InstanceID(strconv.Itoa(len(excluded)))}, route.Picked
}
func (anyInstance) Allow(request.Instant, request.ServiceID) bool    { return true }
func (anyInstance) RecordSuccess(request.Instant, request.ServiceID) {}

func (tr *tree) nextAttempt() request.AttemptID {
	tr.lastAttempt++
	return request.AttemptID{Source: 1, Number: tr.lastAttempt}
}

// call runs one call at a depth until it ends.
func (tr *tree) call(depth int, account call.Account) {
	if tr.weakened {
		account = unlimited{}
	}
	c := call.New(call.Plan{Deadline: 1 << 60, Idempotent: true}, call.Dependencies{
		Router: anyInstance{}, Account: account, Limiter: anyInstance{}, NextAttempt: tr.nextAttempt,
	})
	actions := c.Handle(0, call.Start{}, nil)
	for len(actions) > 0 {
		a := actions[0]
		actions = actions[1:]
		if send, ok := a.(call.Send); ok && tr.total < tr.limit {
			actions = append(actions, c.Handle(0, tr.attempt(depth, send), nil)...)
		}
	}
}

// attempt runs the nested calls of one attempt and returns how it fails.
func (tr *tree) attempt(depth int, send call.Send) call.Event {
	tr.attempts[depth]++
	tr.total++
	fail := tr.failure
	if fail == "mixed" {
		fail = []string{"broken", "crashed"}[tr.random.IntN(2)]
	}
	if fail == "refused" && depth == tr.depth-1 {
		return call.Refused{Attempt: send.Attempt, Reason: request.Overloaded}
	}
	account := budget.NewAccount(send.Lent)
	for range max(tr.fanOut[depth], 1) {
		if depth+1 < tr.depth {
			tr.call(depth+1, &account)
		}
	}
	if fail == "broken" {
		return call.StreamLost{Attempt: send.Attempt}
	}
	return call.Crashed{Attempt: send.Attempt, Returned: account.Held()}
}

// TestAttemptsPerDepth guards against retries that multiply on the way down a deep chain, also when
// responses that return budget are lost and the caller resends.
func TestAttemptsPerDepth(t *testing.T) {
	datadriven.RunTest(t, "testdata/tree", func(t *testing.T, d *datadriven.TestData) string {
		var extra, sends int
		tr := &tree{random: rand.New(rand.NewPCG(22, 3)), fanOut: make(map[int]int), weakened: d.HasArg("weakened"), limit: 1 << 16}
		d.ScanArgs(t, "depth", &tr.depth)
		d.ScanArgs(t, "extra", &extra)
		d.ScanArgs(t, "sends", &sends)
		d.ScanArgs(t, "fail", &tr.failure)
		for _, a := range d.CmdArgs {
			if a.Key == "fan" {
				for _, v := range a.Vals {
					depth, err := strconv.Atoi(v)
					qt.Assert(t, err, qt.IsNil)
					tr.fanOut[depth] = 2
				}
			}
		}
		tr.attempts = make([]int, tr.depth)
		allowed, held := 0, uint32(0)
		requests := budget.NewRequests(budget.DefaultSettings)
		id := request.NewID(tr.random)
		for n := range sends {
			isNew := n == 0 || d.HasArg("elsewhere")
			if isNew {
				requests = budget.NewRequests(budget.DefaultSettings)
			}
			account := requests.Open(0, "club", id, uint32(n+1), uint32(extra))
			switch {
			case isNew:
				allowed += 1 + max(extra-n, 0)
			case held == 0:
				allowed++
			}
			tr.call(0, account)
			held = account.Held()
		}
		width, within, most := 1, true, 0
		for depth, n := range tr.attempts {
			if n > allowed*width {
				within = false
			}
			most = max(most, n/width)
			width *= max(tr.fanOut[depth], 1)
		}
		t.Logf("%v: attempts per depth %v, %d allowed for each call", d.CmdArgs, tr.attempts, allowed)
		out := fmt.Sprintf("within the bound at each depth: %v", within)
		if !tr.weakened {
			out += fmt.Sprintf("; most attempts of one send's call: %d of %d", most, allowed)
		}
		return out + "\n"
	})
}

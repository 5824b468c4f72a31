package budget_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/sapphiretack/sapphiretack/budget"
	"github.com/sapphiretack/sapphiretack/request"
)

// TestExtraAttemptsNeverGrow guards against a tree of accounts whose extra attempts exceed the initial number of the
// request, including after lost and duplicate responses.
func TestExtraAttemptsNeverGrow(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	for range 200 {
		const extra = 7
		root := budget.NewAccount(extra)
		accounts := []*budget.Account{&root}
		type lent struct {
			from *budget.Account
			to   *budget.Account
			loan budget.Loan
		}
		var loans []*lent
		spent := uint32(0)
		for range 100 {
			a := accounts[random.IntN(len(accounts))]
			switch random.IntN(3) {
			case 0:
				if a.Spend() {
					spent++
				}
			case 1:
				loan := a.Lend()
				child := budget.NewAccount(loan.Amount())
				accounts = append(accounts, &child)
				loans = append(loans, &lent{from: a, to: &child, loan: loan})
			case 2:
				if len(loans) == 0 {
					continue
				}
				l := loans[random.IntN(len(loans))]
				left := l.to.Held()
				*l.to = budget.Account{}
				l.from.Return(&l.loan, left)
				l.from.Return(&l.loan, left)
			}
			sum := spent
			for _, a := range accounts {
				sum += a.Held()
			}
			qt.Assert(t, sum <= extra, qt.IsTrue, qt.Commentf("sum %d", sum))
		}
	}
}

// TestAccount guards against a zero account that permits extra attempts, and against lent attempts that are still available
// to the lender.
func TestAccount(t *testing.T) {
	var zero budget.Account
	qt.Assert(t, zero.Spend(), qt.IsFalse)
	loan := zero.Lend()
	qt.Assert(t, loan.Amount(), qt.Equals, uint32(0))
	zero.Return(&loan, 5)
	qt.Assert(t, zero.Held(), qt.Equals, uint32(0))

	a := budget.NewAccount(3)
	loan = a.Lend()
	qt.Assert(t, loan.Amount(), qt.Equals, uint32(2))
	qt.Assert(t, a.Held(), qt.Equals, uint32(1))
	a.Return(&loan, 9)
	a.Return(&loan, 9)
	qt.Assert(t, a.Held(), qt.Equals, uint32(3))
}

// TestLimiter guards against retries that exceed a tenth of the successes, and against a service without successes that is
// never allowed a retry.
func TestLimiter(t *testing.T) {
	var r budget.Limiter
	now := request.Instant(0)
	allowed := func() (n int) {
		for r.Allow(now, "registry") {
			n++
		}
		return n
	}
	qt.Assert(t, allowed(), qt.Equals, 3)
	for range 99 {
		r.RecordSuccess(now, "registry")
	}
	qt.Assert(t, allowed(), qt.Equals, 9)
	now = now.Add(999 * time.Millisecond)
	qt.Assert(t, allowed(), qt.Equals, 0)
	now = now.Add(time.Millisecond)
	qt.Assert(t, allowed(), qt.Equals, 1)
	now = now.Add(time.Hour)
	qt.Assert(t, allowed(), qt.Equals, 3)
	for range 1 << 16 {
		r.RecordSuccess(now, "registry")
	}
	qt.Assert(t, allowed(), qt.Equals, 110)
	qt.Assert(t, r.Allow(now, "transfers"), qt.IsTrue)
}

// TestRequests guards against a resend that gets a new account, and against a table that grows without bound.
func TestRequests(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	r := budget.NewRequests(budget.Settings{Capacity: 4, TTL: time.Minute})
	now := request.Instant(0)
	id := request.NewID(random)

	a := r.Open(now, "club", id, 1, 3)
	qt.Assert(t, a.Held(), qt.Equals, uint32(3))
	qt.Assert(t, r.Open(now, "club", id, 0, 3), qt.Equals, a)
	qt.Assert(t, a.Held(), qt.Equals, uint32(2))
	qt.Assert(t, r.Open(now, "other", id, 4, 3).Held(), qt.Equals, uint32(0))
	qt.Assert(t, r.Open(now, "third", id, 3, 3).Held(), qt.Equals, uint32(1))

	now = now.Add(59 * time.Second)
	qt.Assert(t, r.Open(now, "club", id, 0, 3), qt.Equals, a)
	for range 100 {
		r.Open(now, "other", id, 0, 3)
	}
	qt.Assert(t, r.Open(now, "club", id, 0, 3), qt.Equals, a)
	qt.Assert(t, a.Held(), qt.Equals, uint32(0))
	now = now.Add(time.Second)
	qt.Assert(t, r.Open(now, "club", id, 0, 3), qt.Not(qt.Equals), a)

	for range 100 {
		r.Open(now, "club", request.NewID(random), 1, 3)
		qt.Assert(t, r.Len() <= 4, qt.IsTrue)
	}
}

func BenchmarkLendReturn(b *testing.B) {
	b.ReportAllocs()
	a := budget.NewAccount(3)
	for b.Loop() {
		loan := a.Lend()
		a.Return(&loan, loan.Amount())
	}
}

func BenchmarkLimiter(b *testing.B) {
	b.ReportAllocs()
	var r budget.Limiter
	for b.Loop() {
		r.RecordSuccess(0, "registry")
		r.Allow(0, "registry")
	}
}

func BenchmarkOpen(b *testing.B) {
	b.ReportAllocs()
	r := budget.NewRequests(budget.DefaultSettings)
	random := rand.New(rand.NewPCG(1, 3))
	for b.Loop() {
		r.Open(0, "club", request.NewID(random), 1, 3)
	}
}

// TestRemaining guards against a result of Remaining that differs from the number of retries that Allow permits.
func TestRemaining(t *testing.T) {
	c := qt.New(t)
	r := budget.NewLimiter(budget.LimiterSettings{SuccessesPerRetry: 5, MinRetries: 2, RefillInterval: time.Second})
	for range 17 {
		r.RecordSuccess(0, "racedesk")
	}
	for now := request.Instant(0); ; now = now.Add(time.Millisecond) {
		left := r.Remaining(now, "racedesk")
		allowed := r.Allow(now, "racedesk")
		c.Assert(allowed, qt.Equals, left > 0)
		if !allowed {
			break
		}
		c.Check(r.Remaining(now, "racedesk"), qt.Equals, left-1)
	}
	c.Check(r.Remaining(request.Instant(time.Second), "racedesk"), qt.Equals, uint32(1))
}

// TestSavedRetriesExpire guards against retries that are saved up in minutes without failures and sent within seconds when a service fails:
// the users allow a service a fifth of the requests of a window and a few more as retries, from all nodes together.
func TestSavedRetriesExpire(t *testing.T) {
	const (
		nodes     = 12
		window    = 10 * time.Second
		calm      = 10 * time.Minute
		perSecond = 48 // requests to the service, from all nodes
		ratio     = 0.2
		slack     = 48
	)
	var limiters []*budget.Limiter
	for range nodes {
		limiters = append(limiters, budget.NewLimiter(budget.LimiterSettings{
			SuccessesPerRetry: 25, MinRetries: 1, RefillInterval: window, SuccessWindow: window,
		}))
	}
	now := request.Instant(0)
	step := time.Second / perSecond
	for i := 0; time.Duration(now) < calm; i++ {
		limiters[i%nodes].RecordSuccess(now, "racedesk")
		now = now.Add(step)
	}
	retries, requests := 0, 0
	for end := now.Add(window); now < end; now = now.Add(step) {
		if limiters[requests%nodes].Allow(now, "racedesk") {
			retries++
		}
		requests++
	}
	for _, l := range limiters {
		for l.Allow(now, "racedesk") {
			retries++
		}
	}
	qt.Assert(t, float64(retries) <= ratio*float64(requests)+slack, qt.IsTrue, qt.Commentf("%d retries of %d requests", retries, requests))
}

// TestRetriesOfWindow guards against a window in which all nodes together send more retries than the users allow, when every second
// request fails and is retried as often as the limit permits.
func TestRetriesOfWindow(t *testing.T) {
	const (
		nodes     = 12
		window    = 10 * time.Second
		perSecond = 480
		ratio     = 0.2
		slack     = 48
	)
	var limiters []*budget.Limiter
	for range nodes {
		limiters = append(limiters, budget.NewLimiter(budget.LimiterSettings{
			SuccessesPerRetry: 25, MinRetries: 1, RefillInterval: window, SuccessWindow: window,
		}))
	}
	retries := map[int]int{} // by tenths of a second
	step := time.Second / perSecond
	for i := range 60 * perSecond {
		now := request.Instant(0).Add(time.Duration(i) * step)
		l := limiters[i%nodes]
		isCalm := now.Sub(0) < 20*time.Second
		if isCalm || i/nodes%2 == 0 {
			l.RecordSuccess(now, "racedesk")
		}
		for !isCalm && l.Allow(now, "racedesk") {
			retries[int(now.Sub(0)/(window/100))]++
		}
	}
	for begin := range 500 {
		sum := 0
		for part := range 100 {
			sum += retries[begin+part]
		}
		qt.Assert(t, float64(sum) <= ratio*perSecond*window.Seconds()+slack, qt.IsTrue, qt.Commentf("%d retries from %d", sum, begin))
	}
}

// TestRepeatsOfCallTree guards against a service deep in a call tree that gets the repeats of all levels above it on top of its own: the calls
// of a run that is itself a repeat count as repeats at the service that they reach.
func TestRepeatsOfCallTree(t *testing.T) {
	const (
		levels    = 22
		window    = 10 * time.Second
		perSecond = 480 // requests to each level
		ratio     = 0.2
		slack     = 48
	)
	limiter := budget.NewLimiter(budget.LimiterSettings{
		SuccessesPerRetry: 25, MinRetries: 1, RefillInterval: window, SuccessWindow: window,
	})
	service := func(level int) request.ServiceID { return request.ServiceID(fmt.Sprint("level", level)) }
	repeats := map[int][levels]int{} // by seconds
	step := time.Second / perSecond
	for i := range 40 * perSecond {
		now := request.Instant(0).Add(time.Duration(i) * step)
		for level := range levels {
			limiter.RecordSuccess(now, service(level))
			if now.Sub(0) < 2*window || !limiter.Allow(now, service(level)) {
				continue
			}
			second := int(now.Sub(0) / time.Second)
			sums := repeats[second]
			sums[level]++
			for below := level + 1; below < levels; below++ {
				limiter.Charge(now, service(below))
				sums[below]++
			}
			repeats[second] = sums
		}
	}
	for begin := range 30 {
		var sums [levels]int
		for second := begin; second < begin+10; second++ {
			for level, n := range repeats[second] {
				sums[level] += n
			}
		}
		for level, n := range sums {
			qt.Assert(t, float64(n) <= ratio*perSecond*window.Seconds()+slack, qt.IsTrue, qt.Commentf("%d repeats at level %d from %d s", n, level, begin))
		}
	}
}

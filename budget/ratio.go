package budget

import (
	"time"

	"github.com/sapphiretack/sapphiretack/request"
)

// The limits of a Ratio.
const (
	// One retry for ten successes keeps attempts at 1.1 for each request, which is the target of the design.
	successesPerRetry = 10
	// The in-flight requests of one lost backend server (about 110 slots) can be retried at once.
	maxEarned = 110 * successesPerRetry
	// A service without successes may retry once a second, and up to three times after a pause.
	floorInterval = time.Second
	maxFloor      = 3
)

// Ratio limits the retries of one source to a share of its successes, for each service; the zero value is ready for use.
type Ratio struct {
	services map[request.ServiceID]*allowance
}

// allowance is what one service may still retry.
type allowance struct {
	successes uint32
	floor     uint32
	refilled  request.Instant
}

// Succeeded counts a call to the service that was answered.
func (r *Ratio) Succeeded(now request.Instant, service request.ServiceID) {
	a := r.service(now, service)
	a.successes = min(a.successes+1, maxEarned)
}

// Allow takes one retry from the allowance of the service and reports whether there was one.
func (r *Ratio) Allow(now request.Instant, service request.ServiceID) bool {
	a := r.service(now, service)
	if a.successes >= successesPerRetry {
		a.successes -= successesPerRetry
		return true
	}
	a.refill(now)
	if a.floor == 0 {
		return false
	}
	a.floor--
	return true
}

func (r *Ratio) service(now request.Instant, service request.ServiceID) *allowance {
	if a := r.services[service]; a != nil {
		return a
	}
	if r.services == nil {
		r.services = make(map[request.ServiceID]*allowance)
	}
	a := &allowance{floor: maxFloor, refilled: now}
	r.services[service] = a
	return a
}

func (a *allowance) refill(now request.Instant) {
	n := now.Sub(a.refilled) / floorInterval
	if n <= 0 {
		return
	}
	a.refilled = a.refilled.Add(n * floorInterval)
	a.floor = uint32(min(n+time.Duration(a.floor), maxFloor))
}

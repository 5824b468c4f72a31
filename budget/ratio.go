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

// RatioSettings are the limits of a Ratio; a field that is 0 has its default.
type RatioSettings struct {
	// SuccessesPerRetry is the number of successes that earn one retry.
	SuccessesPerRetry uint32
	// Floor is the number of retries that a service may have without successes, refilled by one each FloorInterval.
	Floor         uint32
	FloorInterval time.Duration
}

func (s RatioSettings) withDefaults() RatioSettings {
	if s.SuccessesPerRetry == 0 {
		s.SuccessesPerRetry = successesPerRetry
	}
	if s.Floor == 0 {
		s.Floor = maxFloor
	}
	if s.FloorInterval == 0 {
		s.FloorInterval = floorInterval
	}
	return s
}

// Ratio limits the retries of one source to a share of its successes, for each service; the zero value has the default
// limits and is ready for use.
type Ratio struct {
	settings RatioSettings
	services map[request.ServiceID]*allowance
}

// NewRatio returns a Ratio with the given limits.
func NewRatio(s RatioSettings) *Ratio { return &Ratio{settings: s} }

// SetFloor changes the retries without successes, for a fleet whose size has changed.
func (r *Ratio) SetFloor(floor uint32) { r.settings.Floor = max(1, floor) }

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
	settings := r.settings.withDefaults()
	if a.successes >= settings.SuccessesPerRetry {
		a.successes -= settings.SuccessesPerRetry
		return true
	}
	a.refill(now, settings)
	if a.floor == 0 {
		return false
	}
	a.floor--
	return true
}

// Left returns the number of retries that the service may have now.
func (r *Ratio) Left(now request.Instant, service request.ServiceID) uint32 {
	a := r.service(now, service)
	settings := r.settings.withDefaults()
	a.refill(now, settings)
	return a.successes/settings.SuccessesPerRetry + a.floor
}

func (r *Ratio) service(now request.Instant, service request.ServiceID) *allowance {
	if a := r.services[service]; a != nil {
		return a
	}
	if r.services == nil {
		r.services = make(map[request.ServiceID]*allowance)
	}
	a := &allowance{floor: r.settings.withDefaults().Floor, refilled: now}
	r.services[service] = a
	return a
}

func (a *allowance) refill(now request.Instant, s RatioSettings) {
	n := now.Sub(a.refilled) / s.FloorInterval
	if n <= 0 {
		return
	}
	a.refilled = a.refilled.Add(n * s.FloorInterval)
	a.floor = uint32(min(n+time.Duration(a.floor), time.Duration(s.Floor)))
}

package budget

import (
	"time"

	"github.com/sapphiretack/sapphiretack/request"
)

// Defaults of RatioSettings and the bounds of a Ratio.
const (
	// One retry per ten successes limits the load to 1.1 attempts per request, the target of the design.
	defaultSuccessesPerRetry = 10
	// Enough to retry all in-flight requests of one lost backend server (about 110 slots) immediately.
	maxSuccesses = 110 * defaultSuccessesPerRetry
	// A service without successes is allowed one retry per second, with a burst of three.
	defaultFloorInterval = time.Second
	defaultFloor         = 3
)

// RatioSettings are the limits of a Ratio; a zero field selects its default.
type RatioSettings struct {
	// SuccessesPerRetry is the number of successes that allow one retry.
	SuccessesPerRetry uint32
	// Floor is the maximum number of retries that a service is allowed without successes; one is refilled per FloorInterval.
	Floor         uint32
	FloorInterval time.Duration
}

func (s RatioSettings) withDefaults() RatioSettings {
	if s.SuccessesPerRetry == 0 {
		s.SuccessesPerRetry = defaultSuccessesPerRetry
	}
	if s.Floor == 0 {
		s.Floor = defaultFloor
	}
	if s.FloorInterval == 0 {
		s.FloorInterval = defaultFloorInterval
	}
	return s
}

// Ratio limits the retries of one source, per service, to a share of its successful calls; the zero value is ready to use
// with the default limits.
type Ratio struct {
	settings RatioSettings
	services map[request.ServiceID]*allowance
}

// NewRatio returns a Ratio with the given limits.
func NewRatio(s RatioSettings) *Ratio { return &Ratio{settings: s} }

// SetFloor sets the number of retries allowed without successes, at least 1, for use when the fleet size changes.
func (r *Ratio) SetFloor(floor uint32) { r.settings.Floor = max(1, floor) }

// allowance tracks the retries available to one service: successes not yet spent and the floor, a token bucket.
type allowance struct {
	successes uint32
	floor     uint32
	refilled  request.Instant
}

// Succeeded records a successful call to the service.
func (r *Ratio) Succeeded(now request.Instant, service request.ServiceID) {
	a := r.service(now, service)
	a.successes = min(a.successes+1, maxSuccesses)
}

// Allow takes one retry from the allowance of the service and reports whether one was available.
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

// Left returns the number of retries available to the service.
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

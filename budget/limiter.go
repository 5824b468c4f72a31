package budget

import (
	"time"

	"github.com/sapphiretack/sapphiretack/request"
)

// Defaults of LimiterSettings and the bounds of a Limiter.
const (
	// One retry per ten successes limits the load to 1.1 attempts per request, the target of the design.
	defaultSuccessesPerRetry = 10
	// The in-flight requests of one lost backend server (about 110 slots) can all be retried immediately.
	maxSuccesses = 110 * defaultSuccessesPerRetry
	// A service without successes is allowed one retry per second, with a burst of three.
	defaultRefillInterval = time.Second
	defaultMinRetries     = 3
)

// LimiterSettings are the limits of a Limiter; a zero field selects its default.
type LimiterSettings struct {
	// SuccessesPerRetry is the number of successes that allow one retry.
	SuccessesPerRetry uint32
	// MinRetries is the number of retries that a service is allowed without successes; used ones are refilled, one per
	// RefillInterval.
	MinRetries     uint32
	RefillInterval time.Duration
}

func (s LimiterSettings) withDefaults() LimiterSettings {
	if s.SuccessesPerRetry == 0 {
		s.SuccessesPerRetry = defaultSuccessesPerRetry
	}
	if s.MinRetries == 0 {
		s.MinRetries = defaultMinRetries
	}
	if s.RefillInterval == 0 {
		s.RefillInterval = defaultRefillInterval
	}
	return s
}

// Limiter limits the retries of one source, per service, to a share of its successful calls and MinRetries; the zero value is
// ready to use with the default limits. It is not safe for concurrent use.
type Limiter struct {
	settings LimiterSettings
	services map[request.ServiceID]*allowance
}

// NewLimiter returns a Limiter with the given limits.
func NewLimiter(s LimiterSettings) *Limiter { return &Limiter{settings: s} }

// SetMinRetries sets the number of retries allowed without successes, at least 1, for use when the fleet size changes.
func (l *Limiter) SetMinRetries(n uint32) { l.settings.MinRetries = max(1, n) }

// allowance tracks the retries available to one service: those earned by the successes not yet spent, and the tokens of a token
// bucket for retries without successes.
type allowance struct {
	successes uint32
	tokens    uint32
	refilled  request.Instant
}

// RecordSuccess records a successful call to the service.
func (l *Limiter) RecordSuccess(now request.Instant, service request.ServiceID) {
	a := l.service(now, service)
	a.successes = min(a.successes+1, maxSuccesses)
}

// Allow takes one retry from the allowance of the service and reports whether one was available.
func (l *Limiter) Allow(now request.Instant, service request.ServiceID) bool {
	a := l.service(now, service)
	settings := l.settings.withDefaults()
	if a.successes >= settings.SuccessesPerRetry {
		a.successes -= settings.SuccessesPerRetry
		return true
	}
	a.refill(now, settings)
	if a.tokens == 0 {
		return false
	}
	a.tokens--
	return true
}

// Remaining returns the number of retries available to the service.
func (l *Limiter) Remaining(now request.Instant, service request.ServiceID) uint32 {
	a := l.service(now, service)
	settings := l.settings.withDefaults()
	a.refill(now, settings)
	return a.successes/settings.SuccessesPerRetry + a.tokens
}

func (l *Limiter) service(now request.Instant, service request.ServiceID) *allowance {
	if a := l.services[service]; a != nil {
		return a
	}
	if l.services == nil {
		l.services = make(map[request.ServiceID]*allowance)
	}
	a := &allowance{tokens: l.settings.withDefaults().MinRetries, refilled: now}
	l.services[service] = a
	return a
}

func (a *allowance) refill(now request.Instant, s LimiterSettings) {
	n := now.Sub(a.refilled) / s.RefillInterval
	if n <= 0 {
		return
	}
	a.refilled = a.refilled.Add(n * s.RefillInterval)
	a.tokens = uint32(min(n+time.Duration(a.tokens), time.Duration(s.MinRetries)))
}

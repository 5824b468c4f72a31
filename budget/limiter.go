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
	// successParts is the number of parts into which SuccessWindow is divided.
	successParts = 4
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
	// SuccessWindow is the time after which a success no longer allows retries; 0 means that it does not expire. Without it, a source
	// saves retries up during hours without failures and spends them all within seconds.
	SuccessWindow time.Duration
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
	successes windowed // not yet spent
	debts     windowed // charged retries that no success has paid for
	partStart request.Instant
	tokens    uint32
	refilled  request.Instant
}

// windowed counts events by the part of SuccessWindow in which they were recorded, the latest part first.
type windowed [successParts]uint32

// sum returns the number of events.
func (w *windowed) sum() uint32 {
	sum := uint32(0)
	for _, n := range w {
		sum += n
	}
	return sum
}

// take removes the given number of events, the oldest first, and reports whether there were that many.
func (w *windowed) take(count uint32) bool {
	if w.sum() < count {
		return false
	}
	for i := successParts - 1; count > 0; i-- {
		taken := min(count, w[i])
		w[i] -= taken
		count -= taken
	}
	return true
}

// expire removes the events of all but the latest parts, after the given number of new parts has begun.
func (w *windowed) expire(parts int64) {
	kept := *w
	*w = windowed{}
	if parts < successParts {
		copy(w[parts:], kept[:])
	}
}

// RecordSuccess records a successful call to the service.
func (l *Limiter) RecordSuccess(now request.Instant, service request.ServiceID) {
	a := l.service(now, service)
	if a.successes.sum() < maxSuccesses {
		a.successes[0]++
	}
}

// Allow takes one retry from the allowance of the service and reports whether one was available.
func (l *Limiter) Allow(now request.Instant, service request.ServiceID) bool {
	a := l.service(now, service)
	settings := l.settings.withDefaults()
	if a.takeEarned(settings) {
		return true
	}
	a.refill(now, settings)
	if a.tokens == 0 {
		return false
	}
	a.tokens--
	return true
}

// Charge takes one retry from the allowance of the service for a call that is repeated because the request that makes it is. If none
// was earned, the next one that is earned within SuccessWindow pays for it.
func (l *Limiter) Charge(now request.Instant, service request.ServiceID) {
	a := l.service(now, service)
	if !a.takeEarned(l.settings.withDefaults()) && a.debts.sum() < maxSuccesses {
		a.debts[0]++
	}
}

// Remaining returns the number of retries available to the service.
func (l *Limiter) Remaining(now request.Instant, service request.ServiceID) uint32 {
	a := l.service(now, service)
	settings := l.settings.withDefaults()
	a.refill(now, settings)
	earned := a.successes.sum() / settings.SuccessesPerRetry
	return earned - min(earned, a.debts.sum()) + a.tokens
}

func (l *Limiter) service(now request.Instant, service request.ServiceID) *allowance {
	if a := l.services[service]; a != nil {
		a.expire(now, l.settings.SuccessWindow)
		return a
	}
	if l.services == nil {
		l.services = make(map[request.ServiceID]*allowance)
	}
	a := &allowance{tokens: l.settings.withDefaults().MinRetries, refilled: now, partStart: now}
	l.services[service] = a
	return a
}

// expire removes the successes and debts that are older than the window.
func (a *allowance) expire(now request.Instant, window time.Duration) {
	length := window / successParts
	if length <= 0 {
		return
	}
	n := now.Sub(a.partStart) / length
	if n <= 0 {
		return
	}
	a.partStart = a.partStart.Add(n * length)
	a.successes.expire(int64(n))
	a.debts.expire(int64(n))
}

// takeEarned pays the debts and then takes one retry, as far as the successes suffice, and reports whether it took one.
func (a *allowance) takeEarned(s LimiterSettings) bool {
	for a.debts.sum() > 0 {
		if !a.successes.take(s.SuccessesPerRetry) {
			return false
		}
		a.debts.take(1)
	}
	return a.successes.take(s.SuccessesPerRetry)
}

func (a *allowance) refill(now request.Instant, s LimiterSettings) {
	n := now.Sub(a.refilled) / s.RefillInterval
	if n <= 0 {
		return
	}
	a.refilled = a.refilled.Add(n * s.RefillInterval)
	a.tokens = uint32(min(n+time.Duration(a.tokens), time.Duration(s.MinRetries)))
}

package gate

import (
	"math"
	"time"

	"github.com/sapphiretack/sapphiretack/request"
)

const (
	// burstTime is the time for which unused tokens of the rate limit are kept. It makes up for timers that fire late.
	burstTime = 100 * time.Millisecond
	// maxRunningUnknown is the number of attempts that may run until the first response of an incarnation, which may name a rate
	// limit. The backend server may have named one to an earlier incarnation of the node.
	maxRunningUnknown = 8
	// limitEndTime and limitEndResponses are the time without a response that names the limit, and the number of responses that do not, after
	// which a limit is over. A faulty backend server may omit it once, and all that waits would start.
	limitEndTime      = 500 * time.Millisecond
	limitEndResponses = 2
	// maxQueueingDelay bounds the expected queueing delay, which is infinite if the backend server takes no requests.
	maxQueueingDelay = time.Hour
)

// rateLimit is a token bucket with the rate that the backend server names.
type rateLimit struct {
	perSecond float64
	isSet     bool
	tokens    float64
	refilled  request.Instant
	named     request.Instant // when the backend server last named the limit
	unnamed   int             // responses since then that do not name it
}

// refill adds the tokens since the last refill.
func (r *rateLimit) refill(now request.Instant) {
	r.tokens = min(max(1, r.perSecond*burstTime.Seconds()), r.tokens+r.perSecond*now.Sub(r.refilled).Seconds())
	r.refilled = now
}

// timeUntil returns the time until n tokens are there.
func (r *rateLimit) timeUntil(now request.Instant, n float64) time.Duration {
	r.refill(now)
	if r.tokens >= n {
		return 0
	}
	if seconds := (n - r.tokens) / r.perSecond; seconds < maxQueueingDelay.Seconds() {
		return time.Duration(math.Ceil(seconds * float64(time.Second)))
	}
	return maxQueueingDelay
}

// AwaitFirstResponse limits the attempts that run until the backend server responds, and removes the rate limit of its earlier
// incarnation. The driver calls it when it starts and for each new incarnation.
func (g *Gate) AwaitFirstResponse() {
	g.rate = rateLimit{}
	g.awaitsResponse = true
}

// SetRateLimit limits the attempts per second that start, all sources together, and starts queued attempts that now may run.
func (g *Gate) SetRateLimit(now request.Instant, perSecond float64) []Action {
	if !g.rate.isSet {
		g.rate = rateLimit{isSet: true, refilled: now}
	}
	g.rate.refill(now)
	g.rate.perSecond, g.rate.named, g.rate.unnamed = perSecond, now, 0
	return g.fill(now)
}

// OmitRateLimit counts a response that does not name the rate limit; if the limit is over, it removes it and starts queued attempts. A
// response to an attempt that began before the limit was last named is ignored: it may have been overtaken by the one that named it.
func (g *Gate) OmitRateLimit(now, began request.Instant) []Action {
	if !g.rate.isSet || began < g.rate.named {
		return nil
	}
	if g.rate.unnamed++; g.rate.unnamed < limitEndResponses || now.Sub(g.rate.named) < limitEndTime {
		return nil
	}
	g.rate = rateLimit{}
	return g.fill(now)
}

// RateLimit returns the rate limit in attempts per second and reports whether there is one.
func (g *Gate) RateLimit() (perSecond float64, isSet bool) { return g.rate.perSecond, g.rate.isSet }

// NextToken returns the time until a queued attempt may start under the rate limit. It returns false if no attempt waits for that.
func (g *Gate) NextToken(now request.Instant) (time.Duration, bool) {
	if !g.rate.isSet || len(g.queue) == 0 || len(g.running) >= g.runningLimit(now) {
		return 0, false
	}
	return max(time.Millisecond, g.rate.timeUntil(now, 1)), true
}

// Capacity returns the number of concurrent attempts that the backend server sustains: the limit or, if it takes fewer requests per
// second than that many would be, as many as run at that rate.
func (g *Gate) Capacity(now request.Instant) int {
	limit := g.Limit(now)
	if !g.rate.isSet {
		return limit
	}
	if g.rate.perSecond == 0 {
		return 0
	}
	sustained := math.Ceil(g.rate.perSecond * g.meanServiceTime.value.Seconds())
	return int(max(1, min(float64(limit), sustained)))
}

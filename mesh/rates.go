package mesh

import (
	"math"
	"sync"
	"time"

	"github.com/sapphiretack/sapphiretack/fleet"
	"github.com/sapphiretack/sapphiretack/routing"
)

// rateTimeConstant is the time constant of the moving average of request rates; it has to be shorter than a surge, which
// lasts seconds.
const rateTimeConstant = 500 * time.Millisecond

// rateMeter measures the rate of client requests at this node by route.
type rateMeter struct {
	mu     sync.Mutex
	routes map[routing.RouteID]*routeRate
}

// routeRate is the measured request rate of one route.
type routeRate struct {
	count     int
	perSecond float64
	intervals int // number of intervals averaged into perSecond
	// maxTimeout is the longest timeout seen from a client of the route. A client with a clearly shorter one has spent part of
	// its time on an earlier, refused request.
	maxTimeout time.Duration
}

func newRateMeter() *rateMeter { return &rateMeter{routes: map[routing.RouteID]*routeRate{}} }

// countRequest counts a new request and reports whether it seems to be a resend by the client after a refusal.
func (r *rateMeter) countRequest(id routing.RouteID, timeout time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	d := r.routes[id]
	if d == nil {
		d = &routeRate{}
		r.routes[id] = d
	}
	d.count++
	d.maxTimeout = max(d.maxTimeout, timeout)
	return float64(timeout) < clientResendShare*float64(d.maxTimeout)
}

// endInterval ends the current interval and returns the averaged rates.
func (r *rateMeter) endInterval(elapsed time.Duration) []fleet.Rate {
	r.mu.Lock()
	defer r.mu.Unlock()
	alpha := 1 - math.Exp(-elapsed.Seconds()/rateTimeConstant.Seconds())
	var out []fleet.Rate
	for id, d := range r.routes {
		d.intervals++
		// The first intervals have equal weight: an average that starts at 0 would admit too much for a second after a start.
		weight := max(alpha, 1/float64(d.intervals))
		d.perSecond += weight * (float64(d.count)/elapsed.Seconds() - d.perSecond)
		d.count = 0
		if d.perSecond > 0.05 {
			out = append(out, fleet.Rate{Route: id, PerSecond: float32(d.perSecond)})
		}
	}
	return out
}

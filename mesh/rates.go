package mesh

import (
	"math"
	"sync"
	"time"

	"github.com/sapphiretack/sapphiretack/fleet"
	"github.com/sapphiretack/sapphiretack/routing"
)

// rateTime is the time over which the demand of a route is averaged; surges last for seconds.
const rateTime = 500 * time.Millisecond

// rates measures what clients ask of this node.
type rates struct {
	mu     sync.Mutex
	routes map[routing.RouteID]*demand
}

type demand struct {
	count     int
	perSecond float64
	intervals int // of which perSecond is the mean
	// usual is the longest time that a client of the route waits; a client with clearly less has been here before.
	usual time.Duration
}

func newRates() *rates { return &rates{routes: map[routing.RouteID]*demand{}} }

// arrive counts a new request and reports whether its client seems to return after a refusal.
func (r *rates) arrive(id routing.RouteID, left time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	d := r.routes[id]
	if d == nil {
		d = &demand{}
		r.routes[id] = d
	}
	d.count++
	d.usual = max(d.usual, left)
	return float64(left) < returnShare*float64(d.usual)
}

// roll ends an interval and returns the present rates.
func (r *rates) roll(elapsed time.Duration) []fleet.Rate {
	r.mu.Lock()
	defer r.mu.Unlock()
	settled := 1 - math.Exp(-elapsed.Seconds()/rateTime.Seconds())
	var out []fleet.Rate
	for id, d := range r.routes {
		d.intervals++
		// The first intervals count alike, since a mean that begins at 0 would admit too much for a second after a start.
		weight := max(settled, 1/float64(d.intervals))
		d.perSecond += weight * (float64(d.count)/elapsed.Seconds() - d.perSecond)
		d.count = 0
		if d.perSecond > 0.05 {
			out = append(out, fleet.Rate{Route: id, PerSecond: float32(d.perSecond)})
		}
	}
	return out
}

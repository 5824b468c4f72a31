package placement

import (
	"math"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/sapphiretack/sapphiretack/fleet"
	"github.com/sapphiretack/sapphiretack/request"
	"github.com/sapphiretack/sapphiretack/routing"
)

// PlaceRequest chooses the instance for a new request, other than the excluded ones, and reports whether there is one.
//
// Reported loads affect the choice among the instances of a zone, but not the choice of the zone. A call tree reaches its
// bottleneck service about a second after it is placed, so all nodes would move their call trees to the zone that was idle a
// second ago, and the load would oscillate between zones.
func (p *Planner) PlaceRequest(id routing.RouteID, service request.ServiceID, excluded []netip.Addr) (Target, bool) {
	draw := p.random.Float64()
	for _, move := range p.moves[id] {
		if draw < move.share {
			return p.pick(service, move.zone, excluded)
		}
		draw -= move.share
	}
	return p.pick(service, p.zone, excluded)
}

// loadOf returns the mean reported load of a service in a zone, or infinity if it has no usable instance there.
func (p *Planner) loadOf(s request.ServiceID, zone request.ZoneID) float64 {
	z := p.zones[s][zone]
	if z == nil || len(z.usable) == 0 {
		return math.Inf(1)
	}
	return z.load
}

// PlaceCall chooses the instance for a call of a running request, other than the excluded ones, and reports whether there is
// one. It stays in the local zone unless the service is overloaded there and not in other zones.
func (p *Planner) PlaceCall(service request.ServiceID, excluded []netip.Addr) (Target, bool) {
	if own := p.loadOf(service, p.zone); own > p.settings.MaxLocalCallLoad && !math.IsInf(own, 1) {
		candidates, lowest := p.underloaded(service)
		if len(candidates) > 0 && p.random.Float64() < (own-lowest)/own {
			if t, ok := p.pickWeighted(candidates, excluded); ok {
				return t, true
			}
		}
	}
	return p.pick(service, p.zone, excluded)
}

// underloaded returns the usable instances of a service in the zones with a load below 1, and the lowest load of these zones.
func (p *Planner) underloaded(s request.ServiceID) ([]int, float64) {
	var out []int
	lowest := math.Inf(1)
	for _, zone := range p.zoneNames {
		if load := p.loadOf(s, zone); load < 1 {
			out = append(out, p.zones[s][zone].usable...)
			lowest = min(lowest, load)
		}
	}
	return out, lowest
}

// pick chooses a usable instance in the zone, else one in another zone, else an avoided one, else a stale or closed one. A few requests
// go to avoided instances of the zone first, to detect that these have recovered.
func (p *Planner) pick(s request.ServiceID, zone request.ZoneID, excluded []netip.Addr) (Target, bool) {
	if z := p.zones[s][zone]; z != nil {
		list := z.usable
		if len(z.avoided) > 0 && p.random.Float64() < p.settings.ProbeShare {
			list = z.avoided
		}
		if t, ok := p.pickWeighted(list, excluded); ok {
			return t, true
		}
	}
	var usable, avoided []int
	for _, name := range p.zoneNames {
		if z := p.zones[s][name]; z != nil {
			avoided = append(avoided, z.avoided...)
			if name != zone {
				usable = append(usable, z.usable...)
			}
		}
	}
	if t, ok := p.pickWeighted(usable, excluded); ok {
		return t, true
	}
	if t, ok := p.pickWeighted(avoided, excluded); ok {
		return t, true
	}
	return p.pickStale(s, excluded)
}

// pickWeighted chooses one of the instances at random in proportion to their weights.
func (p *Planner) pickWeighted(list []int, excluded []netip.Addr) (Target, bool) {
	sum := 0.0
	for _, i := range list {
		if !slices.Contains(excluded, p.instances[i].Address) {
			sum += p.weights[i]
		}
	}
	draw := p.random.Float64() * sum
	last := -1
	for _, i := range list {
		if slices.Contains(excluded, p.instances[i].Address) {
			continue
		}
		last = i
		if draw < p.weights[i] {
			break
		}
		draw -= p.weights[i]
	}
	if last < 0 {
		return Target{}, false
	}
	return p.target(last), true
}

const (
	// reportDelay is the age of a load value when its entry is sent: it is averaged over 200 ms and reused for up to 100 ms.
	reportDelay = 250 * time.Millisecond
	// maxGain limits the response to recent loads: a load of 1/maxGain reduces the weight of an instance by a factor of e.
	maxGain = 2
	// stableGain keeps the response to old loads stable: delayed feedback oscillates above a gain of pi/2.
	stableGain = 0.5
)

// loadGain returns the factor by which the load of an instance lowers its weight. It decreases with the age of the load relative
// to the service time: all nodes respond to the same report, and if the queue changes before they see the effect, they all send
// their attempts to the instance that was idle.
func loadGain(in fleet.Instance) float64 {
	return min(maxGain, stableGain*in.ServiceTime.Seconds()/(in.Age+reportDelay).Seconds())
}

// instanceWeights returns the selection weight of each instance: its capacity, reduced exponentially by its load.
func instanceWeights(instances []fleet.Instance, speeds []float64) []float64 {
	out := make([]float64, len(instances))
	for i, in := range instances {
		out[i] = max(1, float64(in.Limit)) * speeds[i] * math.Exp(-loadGain(in)*float64(in.LoadPermille)/1000)
	}
	return out
}

func (p *Planner) target(i int) Target {
	in := &p.instances[i]
	return Target{Address: in.Address, Instance: in.Instance, Zone: in.Zone, IsSelf: in.IsSelf}
}

// pickStale chooses an instance that was serving in its last entry, however old; its gate refuses the attempt if that has
// changed. If there is none, it chooses one whose backend server was down or unknown: its gate opens before its next entry arrives.
func (p *Planner) pickStale(s request.ServiceID, excluded []netip.Addr) (Target, bool) {
	best, closed := -1, -1
	for i, in := range p.instances {
		if in.Service != s || slices.Contains(excluded, in.Address) {
			continue
		}
		switch {
		case in.Health == fleet.Serving:
			if best < 0 || p.random.IntN(2) == 0 {
				best = i
			}
		case in.Health != fleet.Leaving && in.Health != fleet.Departed && in.IsFresh && !in.IsUnreachable:
			if closed < 0 || p.random.IntN(2) == 0 {
				closed = i
			}
		}
	}
	if best < 0 {
		best = closed
	}
	if best < 0 {
		return Target{}, false
	}
	return p.target(best), true
}

// RetryAfter returns the time after which a refused client should resend. Clients accept a wait of up to a third of the
// remaining time; the delay is random within the second third of that wait, so that clients resend neither all at once nor
// after giving up.
func RetryAfter(remaining time.Duration, random *rand.Rand) time.Duration {
	window := remaining / 3
	return window/3 + time.Duration(random.Int64N(int64(max(1, window/3))))
}

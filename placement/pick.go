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

// Root returns where the tree of a request begins; excluded instances have refused it. The loads that instances report do not
// serve for this: a tree reaches its tightest service a second after it was placed, and all nodes would move their trees to
// the zone that was idle a second ago.
func (p *Planner) Root(id routing.RouteID, service request.ServiceID, excluded []netip.Addr) (Target, bool) {
	at := p.random.Float64()
	for _, to := range p.places[id] {
		if at < to.share {
			return p.pick(service, to.zone, excluded)
		}
		at -= to.share
	}
	return p.pick(service, p.zone, excluded)
}

func (p *Planner) loadOf(s request.ServiceID, zone request.ZoneID) float64 {
	z := p.zones[s][zone]
	if z == nil || len(z.usable) == 0 {
		return math.Inf(1)
	}
	return z.load
}

// Call returns where a call of a running request goes: within the zone, unless it is much fuller there than elsewhere.
func (p *Planner) Call(service request.ServiceID, excluded []netip.Addr) (Target, bool) {
	if own := p.loadOf(service, p.zone); own > p.settings.CallLoad && !math.IsInf(own, 1) {
		room, least := p.roomElsewhere(service)
		if len(room) > 0 && p.random.Float64() < (own-least)/own {
			if t, ok := p.draw(room, excluded); ok {
				return t, true
			}
		}
	}
	return p.pick(service, p.zone, excluded)
}

// roomElsewhere returns the instances of a service in the zones that have room, and the least load of these zones.
func (p *Planner) roomElsewhere(s request.ServiceID) ([]int, float64) {
	var out []int
	least := math.Inf(1)
	for _, zone := range p.zoneNames {
		if load := p.loadOf(s, zone); load < 1 {
			out = append(out, p.zones[s][zone].usable...)
			least = min(least, load)
		}
	}
	return out, least
}

// pick chooses an instance in the zone, or in another zone, or one that is avoided, in this order.
func (p *Planner) pick(s request.ServiceID, zone request.ZoneID, excluded []netip.Addr) (Target, bool) {
	if z := p.zones[s][zone]; z != nil {
		list := z.usable
		if len(z.avoid) > 0 && p.random.Float64() < p.settings.ProbeShare {
			list = z.avoid
		}
		if t, ok := p.draw(list, excluded); ok {
			return t, true
		}
	}
	var usable, avoided []int
	for _, name := range p.zoneNames {
		if z := p.zones[s][name]; z != nil {
			avoided = append(avoided, z.avoid...)
			if name != zone {
				usable = append(usable, z.usable...)
			}
		}
	}
	if t, ok := p.draw(usable, excluded); ok {
		return t, true
	}
	if t, ok := p.draw(avoided, excluded); ok {
		return t, true
	}
	return p.stale(s, excluded)
}

// draw chooses one of the instances at random, by their weights.
func (p *Planner) draw(list []int, excluded []netip.Addr) (Target, bool) {
	sum := 0.0
	for _, i := range list {
		if !slices.Contains(excluded, p.instances[i].Address) {
			sum += p.weights[i]
		}
	}
	at := p.random.Float64() * sum
	last := -1
	for _, i := range list {
		if slices.Contains(excluded, p.instances[i].Address) {
			continue
		}
		last = i
		if at < p.weights[i] {
			break
		}
		at -= p.weights[i]
	}
	if last < 0 {
		return Target{}, false
	}
	return p.target(last), true
}

const (
	// reportDelay is how old a load is before its entry is sent: it is averaged over 200 ms and used for up to 100 ms.
	reportDelay = 250 * time.Millisecond
	// maxGain bounds the response to loads that are recent; the share of an instance changes by e for a load of 1/maxGain.
	maxGain = 2
	// stableGain keeps the response to old loads below the limit from which a delayed feedback swings, pi/2.
	stableGain = 0.5
)

// gain returns how much the load of an instance counts. A load is worth as much as it is recent, compared with the time for which
// attempts hold a slot: all nodes see the same load and respond to it, so if the queue has changed before they see that they
// have, they all crowd at the instance that was idle.
func gain(in fleet.Instance) float64 {
	return min(maxGain, stableGain*in.UsualTime.Seconds()/(in.Age+reportDelay).Seconds())
}

// weightsOf returns the share of attempts that each instance gets among those of its service: by its capacity, less what its
// load takes off.
func weightsOf(instances []fleet.Instance, speeds []float64) []float64 {
	out := make([]float64, len(instances))
	for i, in := range instances {
		out[i] = max(1, float64(in.Limit)) * speeds[i] * math.Exp(-gain(in)*float64(in.Load)/1000)
	}
	return out
}

func (p *Planner) target(i int) Target {
	in := &p.instances[i]
	return Target{Address: in.Address, Instance: in.Instance, Zone: in.Zone, IsSelf: in.IsSelf}
}

// stale returns an instance that served when it was last heard of; its gate refuses if that has changed.
func (p *Planner) stale(s request.ServiceID, excluded []netip.Addr) (Target, bool) {
	best := -1
	for i, in := range p.instances {
		if in.Service != s || in.Health != fleet.Serving || slices.Contains(excluded, in.Address) {
			continue
		}
		if best < 0 || p.random.IntN(2) == 0 {
			best = i
		}
	}
	if best < 0 {
		return Target{}, false
	}
	return p.target(best), true
}

// ReturnDelay spreads the return of refused clients over the second third of the wait that they accept.
func ReturnDelay(left time.Duration, random *rand.Rand) time.Duration {
	longest := left / 3
	return longest/3 + time.Duration(random.Int64N(int64(max(1, longest/3))))
}

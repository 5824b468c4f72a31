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
	zone := p.zone
	if own := p.loadOf(service, zone); own > p.settings.CallLoad && !math.IsInf(own, 1) {
		if other, best := p.leastLoaded(service); best < 1 && p.random.Float64() < (own-best)/own {
			zone = other
		}
	}
	return p.pick(service, zone, excluded)
}

// leastLoaded returns the zone whose instances of a service report the least load, and that load.
func (p *Planner) leastLoaded(s request.ServiceID) (request.ZoneID, float64) {
	best, load := p.zone, math.Inf(1)
	for _, name := range p.zoneNames {
		if l := p.loadOf(s, name); l < load {
			best, load = name, l
		}
	}
	return best, load
}

// pick chooses an instance in the zone, or in the least loaded other zone, or one that is avoided, in this order.
func (p *Planner) pick(s request.ServiceID, zone request.ZoneID, excluded []netip.Addr) (Target, bool) {
	if t, ok := p.choose(p.zones[s][zone], excluded, p.random.Float64() < p.settings.ProbeShare); ok {
		return t, true
	}
	var best Target
	found, load := false, math.Inf(1)
	for _, name := range p.zoneNames {
		z := p.zones[s][name]
		if z == nil || name == zone || z.load >= load {
			continue
		}
		if t, ok := p.choose(z, excluded, false); ok {
			best, found, load = t, true, z.load
		}
	}
	if found {
		return best, true
	}
	for _, name := range p.zoneNames {
		if t, ok := p.choose(p.zones[s][name], excluded, true); ok {
			return t, true
		}
	}
	return p.stale(s, excluded)
}

// choose takes the less loaded of two random instances.
func (p *Planner) choose(z *zoneLoad, excluded []netip.Addr, isProbe bool) (Target, bool) {
	if z == nil {
		return Target{}, false
	}
	list := z.usable
	if isProbe && len(z.avoid) > 0 {
		list = z.avoid
	}
	best, load := -1, math.Inf(1)
	tries := 2
	if len(list) <= 4 {
		tries = len(list)
	}
	offset := 0
	if len(list) > 0 {
		offset = p.random.IntN(len(list))
	}
	for k := 0; k < len(list) && tries > 0; k++ {
		i := list[(offset+k)%len(list)]
		if slices.Contains(excluded, p.instances[i].Address) {
			continue
		}
		tries--
		if l := p.loadAt(i); l < load {
			best, load = i, l
		}
		if len(list) > 4 {
			offset = p.random.IntN(len(list))
		}
	}
	if best < 0 {
		return Target{}, false
	}
	return p.target(best), true
}

func (p *Planner) loadAt(i int) float64 {
	in := &p.instances[i]
	return float64(in.Load)/1000 + p.sent[i]/max(1, float64(in.Limit))
}

// sentWeight is the share of an attempt that counts as load until the next update, since some of them end before it.
const sentWeight = 0.5

func (p *Planner) target(i int) Target {
	p.sent[i] += sentWeight
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

package placement

import (
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/sapphiretack/sapphiretack/fleet"
	"github.com/sapphiretack/sapphiretack/request"
	"github.com/sapphiretack/sapphiretack/routing"
)

// Settings are the thresholds of placement.
type Settings struct {
	// FilledShare of the slots is given to requests; queues grow without bound as the share nears 1.
	FilledShare float64
	// KeepLoad is the use of the tightest service up to which a tree stays in the own zone.
	KeepLoad float64
	// SlowShare is the share of its time that a tree may take in a zone; beyond it, variation makes it late too often.
	SlowShare float64
	// QueueGain turns queues beyond the slots of a service into a smaller capacity, if trees through it are late or the queue
	// nears its bound.
	QueueGain float64
	// CalmShare is the share of its time that a tree may take before queues count at all; they count fully at LateShare.
	CalmShare, LateShare float64
	// DeepQueue is the number of waiting attempts for each slot from which queues count in any case, since a full queue
	// refuses calls in mid-tree.
	DeepQueue float64
	// LeastChance is the probability of success below which a tree does not begin.
	LeastChance float64
	// CallLoad is the load from which a call leaves the zone of its tree.
	CallLoad float64
	// FailingPercent is the share of failures from which an instance is avoided.
	FailingPercent uint8
	// ProbeShare of the requests goes to avoided instances, so that their recovery is noticed.
	ProbeShare float64
}

// DefaultSettings returns the settings of the design.
func DefaultSettings() Settings {
	return Settings{
		FilledShare: 0.92, KeepLoad: 0.75, SlowShare: 0.55, QueueGain: 0.3, CalmShare: 0.35, LateShare: 0.7, DeepQueue: 1,
		LeastChance: 0.2, CallLoad: 1.2,
		FailingPercent: 30, ProbeShare: 0.02,
	}
}

// Target is the instance that an attempt is sent to.
type Target struct {
	Address  netip.Addr
	Instance request.InstanceID
	Zone     request.ZoneID
	IsSelf   bool
}

// Planner decides on admission and placement from the last Update; it is not safe for concurrent use.
type Planner struct {
	settings  Settings
	zone      request.ZoneID
	random    *rand.Rand
	instances []fleet.Instance
	zones     map[request.ServiceID]map[request.ZoneID]*zoneLoad
	zoneNames []request.ZoneID
	shares    map[routing.RouteID]Share
	passing   map[request.ServiceID]float64 // share of attempts that the backend servers do not fail
	usual     map[request.ServiceID]float64 // seconds for which a usual attempt holds a slot
	places    map[routing.RouteID][]place
	speed     float64   // of the own backend server
	weights   []float64 // by which an instance is chosen among those of its service
	updated   request.Instant
}

// New returns a planner that knows no instance.
func New(s Settings, zone request.ZoneID, random *rand.Rand) *Planner {
	return &Planner{settings: s, zone: zone, random: random, speed: 1, zones: map[request.ServiceID]map[request.ZoneID]*zoneLoad{}}
}

// Update replaces what the decisions are based on; route returns what is known of a route.
func (p *Planner) Update(now request.Instant, instances []fleet.Instance, route func(routing.RouteID) (Route, bool)) {
	p.updated = now
	p.instances = instances
	p.zones = map[request.ServiceID]map[request.ZoneID]*zoneLoad{}
	p.zoneNames = p.zoneNames[:0]
	speeds := speedsOf(instances)
	p.weights = weightsOf(instances, speeds)
	p.speed = 1
	p.usual = usualTimes(instances)
	seen := map[request.ZoneID]bool{}
	best := leastFailing(instances)
	failing, limits := map[request.ServiceID]float64{}, map[request.ServiceID]float64{}
	for i, in := range instances {
		if in.IsSelf {
			p.speed = speeds[i]
		}
		if !in.IsFresh || in.Health != fleet.Serving || in.IsBroken {
			continue
		}
		if !seen[in.Zone] {
			seen[in.Zone] = true
			p.zoneNames = append(p.zoneNames, in.Zone)
		}
		z := p.zoneOf(in.Service, in.Zone)
		if p.isAvoided(in, best[in.Service]) {
			z.avoid = append(z.avoid, i)
			continue
		}
		failing[in.Service] += float64(in.Failing) / 100 * float64(in.Limit)
		limits[in.Service] += float64(in.Limit)
		z.usable = append(z.usable, i)
		z.limit += float64(in.Limit)
		z.capacity += float64(in.Limit) * speeds[i]
		z.load += float64(in.Load) / 1000 * float64(in.Limit)
	}
	tightness := map[request.ServiceID]float64{}
	routes, rates := p.rates(route)
	for _, r := range routes {
		for s := range r.Cost {
			tightness[s] = max(tightness[s], r.tightness())
		}
	}
	capacity := map[request.ServiceID]float64{}
	p.passing = map[request.ServiceID]float64{}
	for s, byZone := range p.zones {
		load := 0.0
		for _, zone := range sortedZones(byZone) {
			z := byZone[zone]
			capacity[s] += z.capacity * p.settings.FilledShare
			load += z.load
			if z.limit > 0 {
				z.load /= z.limit
			}
		}
		if limits[s] > 0 {
			p.passing[s] = 1 - failing[s]/limits[s]
			capacity[s] /= 1 + p.settings.queueCorrection(load/limits[s]-1, tightness[s])
		}
	}
	p.plan(capacity, routes, rates)
}

// ZoneState is what the decisions know of the instances of a service in one zone.
type ZoneState struct {
	Service request.ServiceID
	Zone    request.ZoneID
	// Instances is the number of instances that are used.
	Instances int
	// Slots is the sum of their limits, corrected for their speed.
	Slots float64
	// Load is their mean reported load, and Use the planned demand as a share of Slots.
	Load, Use float64
}

// Describe passes the state of the decisions on: the share of each route that is admitted below 1, and the state by service
// and zone.
func (p *Planner) Describe(fraction func(routing.RouteID, float64), state func(ZoneState)) {
	for _, r := range slices.Sorted(maps.Keys(p.shares)) {
		if f := p.shares[r].Fraction; f < 1 {
			fraction(r, f)
		}
	}
	for _, s := range slices.Sorted(maps.Keys(p.zones)) {
		for _, z := range sortedZones(p.zones[s]) {
			l := p.zones[s][z]
			state(ZoneState{Service: s, Zone: z, Instances: len(l.usable), Slots: l.capacity, Load: l.load, Use: l.use()})
		}
	}
}

// Speed returns how fast the own backend server is relative to others of its service. Times that are multiplied by it can be
// compared between instances.
func (p *Planner) Speed() float64 { return p.speed }

// Usable returns the number of instances that take requests.
func (p *Planner) Usable() int {
	n := 0
	for _, byZone := range p.zones {
		for _, z := range byZone {
			n += len(z.usable)
		}
	}
	return n
}

// Age returns the time since the last update.
func (p *Planner) Age(now request.Instant) time.Duration { return now.Sub(p.updated) }

// Share returns which part of the route's requests may begin, and what limits it.
func (p *Planner) Share(r routing.RouteID) Share {
	if s, ok := p.shares[r]; ok {
		return s
	}
	return Share{Fraction: 1}
}

// Admit reports whether a new request of the route may begin. Clients that return after a refusal are part of the rate that
// the share was worked out for; to prefer them would admit more than the services can carry.
func (p *Planner) Admit(r routing.RouteID) bool {
	f := p.Share(r).Fraction
	return f >= 1 || p.random.Float64() < f
}

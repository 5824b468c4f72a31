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

// Settings are the thresholds for admission and placement.
type Settings struct {
	// TargetUtilization is the fraction of slots allocated to requests; queue length grows without bound as it approaches 1.
	TargetUtilization float64
	// MaxLocalUtilization is the utilization of the bottleneck service up to which call trees stay in the local zone.
	MaxLocalUtilization float64
	// MaxLatencyRatio is the maximum mean latency of a call tree in a zone, as a fraction of its bound; above it, latency
	// variation makes too many responses late.
	MaxLatencyRatio float64
	// QueueGain is the relative capacity reduction of a service per waiting attempt per slot. It applies if call trees through
	// the service are late or its queue is nearly full.
	QueueGain float64
	// LowLatencyRatio and HighLatencyRatio are latencies of a call tree, as fractions of its bound. Queues reduce capacity from
	// LowLatencyRatio on and take full effect at HighLatencyRatio.
	LowLatencyRatio, HighLatencyRatio float64
	// DeepQueuePerSlot is the number of waiting attempts per slot above which queues reduce capacity regardless of latency,
	// because a full queue refuses nested calls of running requests.
	DeepQueuePerSlot float64
	// MinSuccessProbability is the success probability of a call tree below which its request is refused.
	MinSuccessProbability float64
	// MaxLocalCallLoad is the load of a service in the local zone above which calls may go to other zones.
	MaxLocalCallLoad float64
	// AvoidFailurePercent is the percentage of failed attempts from which an instance is avoided.
	AvoidFailurePercent uint8
	// ProbeShare is the fraction of requests sent to avoided instances to detect their recovery.
	ProbeShare float64
}

// DefaultSettings returns the default settings.
func DefaultSettings() Settings {
	return Settings{
		TargetUtilization: 0.92, MaxLocalUtilization: 0.75, MaxLatencyRatio: 0.55, QueueGain: 0.3, LowLatencyRatio: 0.35, HighLatencyRatio: 0.7, DeepQueuePerSlot: 1,
		MinSuccessProbability: 0.2, MaxLocalCallLoad: 1.2,
		AvoidFailurePercent: 30, ProbeShare: 0.02,
	}
}

// Target is the instance that an attempt is sent to.
type Target struct {
	Address  netip.Addr
	Instance request.InstanceID // incarnation of the backend server
	Zone     request.ZoneID
	IsSelf   bool
}

// Planner decides on admission and placement based on the last Update; it is not safe for concurrent use.
type Planner struct {
	settings     Settings
	zone         request.ZoneID
	random       *rand.Rand
	instances    []fleet.Instance
	summaries    []fleet.Summary
	zones        map[request.ServiceID]map[request.ZoneID]*zoneLoad
	zoneNames    []request.ZoneID
	shares       map[routing.RouteID]Share
	successRates map[request.ServiceID]float64 // fraction of attempts that backend servers do not fail
	serviceTimes map[request.ServiceID]float64 // mean service time of dominant routes, in seconds
	moves        map[routing.RouteID][]zoneShare
	localSpeed   float64   // relative speed of the local backend server
	weights      []float64 // selection weight of each instance
	updated      request.Instant
}

// New returns a planner for a node in the given zone; it knows no instances before the first Update.
func New(s Settings, zone request.ZoneID, random *rand.Rand) *Planner {
	return &Planner{settings: s, zone: zone, random: random, localSpeed: 1, zones: map[request.ServiceID]map[request.ZoneID]*zoneLoad{}}
}

// Update recomputes the plan from a view of the fleet; route looks up a route.
func (p *Planner) Update(now request.Instant, view fleet.View, route func(routing.RouteID) (Route, bool)) {
	p.updated = now
	p.instances, p.summaries = view.Instances, view.Summaries
	p.zones = map[request.ServiceID]map[request.ZoneID]*zoneLoad{}
	p.zoneNames = p.zoneNames[:0]
	times := meanRouteTimes(view)
	speeds := relativeSpeeds(view.Instances, times)
	p.weights = instanceWeights(view.Instances, speeds)
	p.localSpeed = 1
	p.serviceTimes = meanServiceTimes(view)
	failures := failureSum{}
	p.addInstances(speeds, minFailureRates(view), failures)
	p.addSummaries(times, failures)
	slices.Sort(p.zoneNames)

	latencyRatios := map[request.ServiceID]float64{}
	routes, rates := p.rates(route)
	for _, r := range routes {
		for s := range r.Cost {
			latencyRatios[s] = max(latencyRatios[s], r.latencyRatio())
		}
	}
	capacity := map[request.ServiceID]float64{}
	p.successRates = map[request.ServiceID]float64{}
	for s, byZone := range p.zones {
		load := 0.0
		for _, zone := range sortedZones(byZone) {
			z := byZone[zone]
			capacity[s] += z.capacity * p.settings.TargetUtilization
			load += z.load
			if z.limit > 0 {
				z.load /= z.limit
			}
		}
		if f := failures[s]; f.limit > 0 {
			p.successRates[s] = 1 - f.failing/f.limit
			capacity[s] /= 1 + p.settings.queueCorrection(load/f.limit-1, latencyRatios[s])
		}
	}
	p.plan(capacity, routes, rates)
}

// failureSum sums the limits of the usable instances of each service, and these weighted by the fraction of failed attempts.
type failureSum map[request.ServiceID]struct{ failing, limit float64 }

func (f failureSum) add(s request.ServiceID, failurePercent uint8, limit float64) {
	sum := f[s]
	sum.failing += float64(failurePercent) / 100 * limit
	sum.limit += limit
	f[s] = sum
}

// addInstances adds the instances to the loads of their zones; a summary already counts those that it names.
func (p *Planner) addInstances(speeds []float64, minFailures map[request.ServiceID]uint8, failures failureSum) {
	for i, in := range p.instances {
		if in.IsSelf {
			p.localSpeed = speeds[i]
		}
		if !isAvailable(in) {
			continue
		}
		p.addZone(in.Zone)
		z := p.zoneLoadOf(in.Service, in.Zone)
		if p.settings.isAvoided(in, minFailures[in.Service]) {
			z.avoided = append(z.avoided, i)
			continue
		}
		z.usable = append(z.usable, i)
		if in.IsSummarized {
			continue
		}
		failures.add(in.Service, in.FailurePercent, float64(in.Limit))
		z.instances++
		z.limit += float64(in.Limit)
		z.capacity += float64(in.Limit) * speeds[i]
		z.load += float64(in.LoadPermille) / 1000 * float64(in.Limit)
	}
}

// addSummaries adds the summaries of other zones to the loads of these zones.
func (p *Planner) addSummaries(times map[routing.RouteID]float64, failures failureSum) {
	for i := range p.summaries {
		s := &p.summaries[i]
		p.addZone(s.Zone)
		z := p.zoneLoadOf(s.Service, s.Zone)
		failures.add(s.Service, s.FailurePercent, float64(s.Slots))
		z.instances += int(s.Instances)
		z.limit += float64(s.Slots)
		z.capacity += summaryCapacity(s, times)
		z.load += float64(s.LoadPermille) / 1000 * float64(s.Slots)
	}
}

func (p *Planner) addZone(zone request.ZoneID) {
	if !slices.Contains(p.zoneNames, zone) {
		p.zoneNames = append(p.zoneNames, zone)
	}
}

// ZoneState is the planned and reported load of a service in one zone.
type ZoneState struct {
	Service request.ServiceID
	Zone    request.ZoneID
	// Instances is the number of usable instances.
	Instances int
	// Slots is the sum of their limits, weighted by relative speed.
	Slots float64
	// Load is their mean reported load, and Utilization the planned demand as a fraction of Slots.
	Load, Utilization float64
}

// Describe calls fraction for each route that is not fully admitted and state for each service and zone, both in a fixed order.
func (p *Planner) Describe(fraction func(routing.RouteID, float64), state func(ZoneState)) {
	for _, r := range slices.Sorted(maps.Keys(p.shares)) {
		if f := p.shares[r].Fraction; f < 1 {
			fraction(r, f)
		}
	}
	for _, s := range slices.Sorted(maps.Keys(p.zones)) {
		for _, z := range sortedZones(p.zones[s]) {
			l := p.zones[s][z]
			state(ZoneState{Service: s, Zone: z, Instances: len(l.usable), Slots: l.capacity, Load: l.load, Utilization: l.utilization()})
		}
	}
}

// LocalSpeed returns the speed of the local backend server relative to others that run the same route; times multiplied by it
// are comparable between instances.
func (p *Planner) LocalSpeed() float64 { return p.localSpeed }

// UsableInstances returns the number of instances that are eligible for placement.
func (p *Planner) UsableInstances() int {
	n := 0
	for _, byZone := range p.zones {
		for _, z := range byZone {
			n += z.instances
		}
	}
	return n
}

// Age returns the time since the last update.
func (p *Planner) Age(now request.Instant) time.Duration { return now.Sub(p.updated) }

// Share returns the admitted share of a route's requests, which is 1 for an unknown route.
func (p *Planner) Share(r routing.RouteID) Share {
	if s, ok := p.shares[r]; ok {
		return s
	}
	return Share{Fraction: 1}
}

// Admit reports at random, by the share of the route, whether to admit a new request. Resends after a refusal get no preference:
// the share already counts them in the request rate, and preferring them would exceed the capacity of the services.
func (p *Planner) Admit(r routing.RouteID) bool {
	f := p.Share(r).Fraction
	return f >= 1 || p.random.Float64() < f
}

package placement

import (
	"maps"
	"math"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/sapphiretack/sapphiretack/fleet"
	"github.com/sapphiretack/sapphiretack/request"
	"github.com/sapphiretack/sapphiretack/routing"
	"github.com/sapphiretack/sapphiretack/tree"
)

// Route is what is known of a route.
type Route struct {
	Rank routing.Rank
	// Service is where most of its trees begin.
	Service request.ServiceID
	Cost    tree.Cost
	// Bound is the time in which a response is worth most; 0 means that none is known.
	Bound time.Duration
}

// Settings are the thresholds of placement.
type Settings struct {
	// FilledShare of the slots is given to requests; queues grow without bound as the share nears 1.
	FilledShare float64
	// KeepLoad is the use of the tightest service up to which a tree stays in the own zone.
	KeepLoad float64
	// SlowShare is the share of its time that a tree may take in a zone; beyond it, variation makes it late too often.
	SlowShare float64
	// MoveLoad is the use up to which a zone takes trees that are too slow elsewhere.
	MoveLoad float64
	// QueueGain turns queues beyond the slots of a service into a smaller capacity, if trees through it are late or the queue
	// nears its bound.
	QueueGain float64
	// CalmShare is the share of its time that a tree may take before queues count at all; they count fully at SlowShare.
	CalmShare float64
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
		FilledShare: 0.92, KeepLoad: 0.75, SlowShare: 0.7, MoveLoad: 0.92, QueueGain: 0.3, CalmShare: 0.35, DeepQueue: 1,
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

// zoneLoad is what is known of the instances of a service in one zone.
type zoneLoad struct {
	usable []int   // indices of instances
	avoid  []int   // failing ones
	limit  float64 // slots of the usable ones
	// capacity is the limit, corrected for the speed of the backend servers.
	capacity float64
	// demand is the number of slots that the requests of the zone's own clients need.
	demand float64
	load   float64 // mean load over the usable ones, as they report it
}

// Planner decides on admission and placement from the last Update; it is not safe for concurrent use.
type Planner struct {
	settings  Settings
	zone      request.ZoneID
	random    *rand.Rand
	instances []fleet.Instance
	zones     map[request.ServiceID]map[request.ZoneID]*zoneLoad
	zoneNames []request.ZoneID
	fractions map[routing.RouteID]float64
	totals    map[request.ServiceID]float64 // use of each service on all zones
	passing   map[request.ServiceID]float64 // share of attempts that the backend servers do not fail
	usual     map[request.ServiceID]float64 // seconds for which a usual attempt holds a slot
	moves     map[routing.RouteID]move
	speed     float64 // of the own backend server
	// sent counts attempts per instance since the last update, which the reported loads do not contain yet.
	sent    []float64
	updated request.Instant
}

// New returns a planner that knows no instance.
func New(s Settings, zone request.ZoneID, random *rand.Rand) *Planner {
	return &Planner{settings: s, zone: zone, random: random, speed: 1, zones: map[request.ServiceID]map[request.ZoneID]*zoneLoad{}}
}

// Update replaces what the decisions are based on; route returns what is known of a route.
func (p *Planner) Update(now request.Instant, instances []fleet.Instance, route func(routing.RouteID) (Route, bool)) {
	p.updated = now
	p.instances = instances
	p.sent = make([]float64, len(instances))
	p.zones = map[request.ServiceID]map[request.ZoneID]*zoneLoad{}
	p.zoneNames = p.zoneNames[:0]
	speeds := speedsOf(instances)
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
	tightness := p.tightness(route)
	capacity := map[request.ServiceID]float64{}
	p.passing = map[request.ServiceID]float64{}
	for s, byZone := range p.zones {
		load := 0.0
		for _, z := range byZone {
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
	p.plan(capacity, route)
}

// queueCorrection returns by how much a queue of the given length for each slot reduces the capacity of a service. Such a queue
// shows that the demand was underestimated. Where trees have time to spare it carries short peaks, and to refuse requests for
// it would leave slots empty a moment later.
func (s Settings) queueCorrection(queue, tightness float64) float64 {
	if queue <= 0 {
		return 0
	}
	late := (tightness - s.CalmShare) / (s.SlowShare - s.CalmShare)
	deep := queue/s.DeepQueue - 1
	return s.QueueGain * queue * min(1, max(0, late, deep))
}

// tightness returns for each service which share of its time the slowest tree through it takes.
func (p *Planner) tightness(route func(routing.RouteID) (Route, bool)) map[request.ServiceID]float64 {
	out := map[request.ServiceID]float64{}
	seen := map[routing.RouteID]bool{}
	for _, in := range p.instances {
		if !in.IsFresh {
			continue
		}
		for _, rate := range in.Rates {
			if seen[rate.Route] {
				continue
			}
			seen[rate.Route] = true
			r, ok := route(rate.Route)
			if !ok || r.Bound <= 0 {
				continue
			}
			for s := range r.Cost {
				out[s] = max(out[s], r.Cost[r.Service].Seconds()/r.Bound.Seconds())
			}
		}
	}
	return out
}

// leastFailing returns the lowest share of failures among the instances of each service.
func leastFailing(instances []fleet.Instance) map[request.ServiceID]uint8 {
	out := map[request.ServiceID]uint8{}
	for _, in := range instances {
		if !in.IsFresh || in.Health != fleet.Serving || in.IsBroken {
			continue
		}
		if f, ok := out[in.Service]; !ok || in.Failing < f {
			out[in.Service] = in.Failing
		}
	}
	return out
}

// isAvoided reports whether an instance fails much more than the best of its service. If all fail alike, avoiding them would
// leave nothing.
func (p *Planner) isAvoided(in fleet.Instance, best uint8) bool {
	return in.Failing >= p.settings.FailingPercent && in.Failing >= best+p.settings.FailingPercent/2
}

// chance returns the probability that a tree of the route meets no failure of a backend server, from the number of its runs
// at each service.
func (p *Planner) chance(r Route) float64 {
	chance := 1.0
	for s, held := range r.Cost {
		passing, known := p.passing[s]
		if !known || passing >= 1 {
			continue
		}
		runs := 1.0
		if usual := p.usual[s]; usual > 0 {
			runs = max(1, held.Seconds()/usual)
		}
		chance *= math.Pow(passing, runs)
	}
	return chance
}

// plan works out which share of each route is admitted, and what the admitted requests of each zone need.
func (p *Planner) plan(capacity map[request.ServiceID]float64, route func(routing.RouteID) (Route, bool)) {
	type key struct {
		zone  request.ZoneID
		route routing.RouteID
	}
	byZone := map[key]float64{}
	total := map[routing.RouteID]float64{}
	for _, in := range p.instances {
		if !in.IsFresh {
			continue
		}
		for _, r := range in.Rates {
			byZone[key{in.Zone, r.Route}] += float64(r.PerSecond)
			total[r.Route] += float64(r.PerSecond)
		}
	}
	demands := make([]Demand, 0, len(total))
	routes := map[routing.RouteID]Route{}
	var hopeless []routing.RouteID
	for id, rate := range total {
		if r, ok := route(id); ok {
			demands = append(demands, Demand{Route: id, Rank: r.Rank, PerSecond: rate, Cost: r.Cost})
			routes[id] = r
		}
	}
	for i := range demands {
		// A tree that will almost surely fail wastes the work of all services above the failure.
		if p.chance(routes[demands[i].Route]) < p.settings.LeastChance {
			hopeless = append(hopeless, demands[i].Route)
			demands[i].PerSecond = 0
		}
	}
	p.fractions = Fractions(capacity, demands)
	for _, r := range hopeless {
		p.fractions[r] = 0
	}
	for k, rate := range byZone {
		for s, held := range routes[k.route].Cost {
			p.zoneOf(s, k.zone).demand += p.fractions[k.route] * rate * held.Seconds()
		}
	}
	p.totals = map[request.ServiceID]float64{}
	for s, zones := range p.zones {
		wanted := 0.0
		for _, z := range zones {
			wanted += z.demand
		}
		if c := capacity[s]; c > 0 {
			p.totals[s] = wanted / c * p.settings.FilledShare
		}
	}
	p.moves = map[routing.RouteID]move{}
	slices.SortFunc(demands, compareDemands)
	for _, d := range demands {
		for _, zone := range p.zoneNames {
			p.moveSlow(d.Route, routes[d.Route], zone, p.fractions[d.Route]*byZone[key{zone, d.Route}])
		}
	}
}

// move is the share of a route that leaves the own zone because it would be too slow there, and where it goes.
type move struct {
	share float64
	zones []request.ZoneID
	rooms []float64
}

// moveSlow moves a route out of a zone in which its trees would take most of the time that they have, as far as zones that
// are fast enough have room.
func (p *Planner) moveSlow(id routing.RouteID, r Route, zone request.ZoneID, rate float64) {
	if rate <= 0 || !p.isSlow(r, zone) {
		return
	}
	tight := r.Service
	for s := range r.Cost {
		if p.totals[s] > p.totals[tight] || p.totals[s] == p.totals[tight] && s < tight {
			tight = s
		}
	}
	m := move{}
	total := 0.0
	for _, other := range p.zoneNames {
		z := p.zones[tight][other]
		if root := p.zones[r.Service][other]; other == zone || z == nil || root == nil || len(root.usable) == 0 || !p.isFaster(r, other, zone) {
			continue
		}
		if room := p.settings.MoveLoad*z.capacity - z.demand; room > 0 {
			m.zones, m.rooms = append(m.zones, other), append(m.rooms, room)
			total += room
		}
	}
	if total == 0 {
		return
	}
	m.share = min(1, total/(rate*r.Cost[tight].Seconds()))
	for s, held := range r.Cost {
		moved := m.share * rate * held.Seconds()
		p.zoneOf(s, zone).demand -= moved
		for i, other := range m.zones {
			p.zoneOf(s, other).demand += moved * m.rooms[i] / total
		}
	}
	if zone == p.zone {
		p.moves[id] = m
	}
}

// isSlow reports whether a tree of the route should not run in the zone: it takes more of its time there than is safe, or one
// of its services is missing there, so that its calls leave the zone and load others than those that are planned for it.
func (p *Planner) isSlow(r Route, zone request.ZoneID) bool {
	return !p.hasAll(r, zone) || r.Bound > 0 && p.treeTime(r, zone) > p.settings.SlowShare*r.Bound.Seconds()
}

// hasAll reports whether all services of a route have an instance in the zone.
func (p *Planner) hasAll(r Route, zone request.ZoneID) bool {
	for s := range r.Cost {
		if z := p.zones[s][zone]; z == nil || len(z.usable) == 0 {
			return false
		}
	}
	return true
}

// isFaster reports whether a tree of the route takes clearly less time in one zone than in another. Queues make trees slow in
// all zones alike, so only the comparison tells where the backend servers are slow.
func (p *Planner) isFaster(r Route, zone, than request.ZoneID) bool {
	if !p.hasAll(r, zone) {
		return false
	}
	return !p.hasAll(r, than) || p.treeTime(r, zone)*fasterFactor < p.treeTime(r, than)
}

// fasterFactor is the ratio of times above which a zone is worth a move.
const fasterFactor = 1.2

// treeTime returns the seconds that a tree of the route takes in the zone, or 0 if that is not known.
func (p *Planner) treeTime(r Route, zone request.ZoneID) float64 {
	z := p.zones[r.Service][zone]
	if z == nil || z.capacity == 0 {
		return 0
	}
	return r.Cost[r.Service].Seconds() * z.limit / z.capacity
}

// pickMove returns the zone that a moved request goes to.
func (p *Planner) pickMove(id routing.RouteID) (request.ZoneID, bool) {
	m, ok := p.moves[id]
	if !ok || p.random.Float64() >= m.share {
		return "", false
	}
	best, total := m.zones[0], 0.0
	for i, room := range m.rooms {
		if total += room; p.random.Float64()*total < room {
			best = m.zones[i]
		}
	}
	return best, true
}

// usualTimes returns the mean time for which a usual attempt holds a slot of each service.
func usualTimes(instances []fleet.Instance) map[request.ServiceID]float64 {
	sum, count := map[request.ServiceID]float64{}, map[request.ServiceID]float64{}
	for _, in := range instances {
		if in.IsFresh && in.UsualTime > 0 {
			sum[in.Service] += in.UsualTime.Seconds() * float64(in.Limit)
			count[in.Service] += float64(in.Limit)
		}
	}
	for s := range sum {
		sum[s] /= count[s]
	}
	return sum
}

// minSpeed and maxSpeed bound the speed of one backend server relative to the others of its service.
const minSpeed, maxSpeed = 0.25, 4.0

// speedsOf returns how fast each instance is, relative to the mean of the instances that mostly run the same route.
func speedsOf(instances []fleet.Instance) []float64 {
	sum, count := map[routing.RouteID]float64{}, map[routing.RouteID]float64{}
	for _, in := range instances {
		if in.IsFresh && in.UsualTime > 0 {
			sum[in.UsualRoute] += in.UsualTime.Seconds() * float64(in.Limit)
			count[in.UsualRoute] += float64(in.Limit)
		}
	}
	out := make([]float64, len(instances))
	for i, in := range instances {
		out[i] = 1
		if in.IsFresh && in.UsualTime > 0 && count[in.UsualRoute] > 0 {
			out[i] = min(maxSpeed, max(minSpeed, sum[in.UsualRoute]/count[in.UsualRoute]/in.UsualTime.Seconds()))
		}
	}
	return out
}

func (p *Planner) zoneOf(s request.ServiceID, zone request.ZoneID) *zoneLoad {
	byZone := p.zones[s]
	if byZone == nil {
		byZone = map[request.ZoneID]*zoneLoad{}
		p.zones[s] = byZone
	}
	z := byZone[zone]
	if z == nil {
		z = &zoneLoad{}
		byZone[zone] = z
	}
	return z
}

// Describe passes the state of the decisions on: the share of each route that is admitted below 1, and the loads by service
// and zone.
func (p *Planner) Describe(fraction func(routing.RouteID, float64), load func(s request.ServiceID, z request.ZoneID, load, use float64)) {
	for _, r := range slices.Sorted(maps.Keys(p.fractions)) {
		if f := p.fractions[r]; f < 1 {
			fraction(r, f)
		}
	}
	for _, s := range slices.Sorted(maps.Keys(p.zones)) {
		for _, z := range slices.Sorted(maps.Keys(p.zones[s])) {
			load(s, z, p.zones[s][z].load, p.useOf(s, z))
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

// Fraction returns the share of the route's requests that may begin.
func (p *Planner) Fraction(r routing.RouteID) float64 {
	if f, ok := p.fractions[r]; ok {
		return f
	}
	return 1
}

// Admit reports whether a new request of the route may begin. Clients that return after a refusal are part of the rate that
// the share was worked out for; to prefer them would admit more than the services can carry.
func (p *Planner) Admit(r routing.RouteID) bool {
	f := p.Fraction(r)
	return f >= 1 || p.random.Float64() < f
}

// Root returns where the tree of a request begins; excluded instances have refused it.
func (p *Planner) Root(id routing.RouteID, service request.ServiceID, cost tree.Cost, excluded []netip.Addr) (Target, bool) {
	if zone, ok := p.pickMove(id); ok {
		return p.pick(service, zone, excluded)
	}
	return p.pick(service, p.rootZone(service, cost), excluded)
}

// rootZone returns the zone that has room for the tree. It compares what the clients of each zone ask for with what the zone
// can carry. The loads that instances report do not serve for this: a tree reaches its tightest service a second after it
// was placed, and all nodes would move their trees to the zone that was idle a second ago.
func (p *Planner) rootZone(service request.ServiceID, cost tree.Cost) request.ZoneID {
	if own := p.zones[service][p.zone]; own == nil || len(own.usable) == 0 {
		return p.zone // pick takes another zone
	}
	tight, use := p.tightest(p.zone, service, cost)
	limit := max(p.settings.KeepLoad, p.totals[tight])
	if use <= limit {
		return p.zone
	}
	if p.random.Float64() > 1-limit/use {
		return p.zone
	}
	best, total := p.zone, 0.0
	for _, name := range p.zoneNames {
		z := p.zones[tight][name]
		root := p.zones[service][name]
		if name == p.zone || z == nil || root == nil || len(root.usable) == 0 {
			continue
		}
		if room := limit*z.capacity - z.demand; room > 0 {
			total += room
			// Each zone is taken in proportion to its room.
			if p.random.Float64()*total < room {
				best = name
			}
		}
	}
	return best
}

// tightest returns the service of the tree that the clients of the zone fill most, and how far.
func (p *Planner) tightest(zone request.ZoneID, service request.ServiceID, cost tree.Cost) (request.ServiceID, float64) {
	tight, use := service, p.useOf(service, zone)
	for s := range cost {
		if u := p.useOf(s, zone); u > use || u == use && s < tight {
			tight, use = s, u
		}
	}
	return tight, use
}

// useOf returns the demand of the zone's clients over the capacity of its instances.
func (p *Planner) useOf(s request.ServiceID, zone request.ZoneID) float64 {
	z := p.zones[s][zone]
	if z == nil || z.capacity <= 0 {
		// Calls to the service leave the zone wherever the tree runs here, which costs time and bytes, but works.
		return p.totals[s] + callPenalty
	}
	return z.demand / z.capacity
}

// callPenalty is the use that weighs as much as calls that cross zones.
const callPenalty = 0.2

func (p *Planner) loadOf(s request.ServiceID, zone request.ZoneID) float64 {
	z := p.zones[s][zone]
	if z == nil || len(z.usable) == 0 {
		return math.Inf(1)
	}
	return z.load
}

func (p *Planner) bestLoad(s request.ServiceID) float64 {
	best := math.Inf(1)
	for _, z := range p.zones[s] {
		if len(z.usable) > 0 {
			best = min(best, z.load)
		}
	}
	return best
}

// Call returns where a call of a running request goes: within the zone, unless it is much fuller there than elsewhere.
func (p *Planner) Call(service request.ServiceID, excluded []netip.Addr) (Target, bool) {
	zone := p.zone
	if own := p.loadOf(service, zone); own > p.settings.CallLoad && !math.IsInf(own, 1) {
		if best := p.bestLoad(service); best < 1 && p.random.Float64() < (own-best)/own {
			zone = p.leastLoaded(service)
		}
	}
	return p.pick(service, zone, excluded)
}

func (p *Planner) leastLoaded(s request.ServiceID) request.ZoneID {
	best, load := p.zone, math.Inf(1)
	for _, name := range p.zoneNames {
		if l := p.loadOf(s, name); l < load {
			best, load = name, l
		}
	}
	return best
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
		if isExcluded(p.instances[i].Address, excluded) {
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
		if in.Service != s || in.Health != fleet.Serving || isExcluded(in.Address, excluded) {
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

func isExcluded(a netip.Addr, excluded []netip.Addr) bool {
	for _, e := range excluded {
		if e == a {
			return true
		}
	}
	return false
}

// ReturnDelay spreads the return of refused clients over the second third of the wait that they accept.
func ReturnDelay(left time.Duration, random *rand.Rand) time.Duration {
	longest := left / 3
	return longest/3 + time.Duration(random.Int64N(int64(max(1, longest/3))))
}

package experiment

import (
	"slices"
	"time"

	"github.com/sapphiretack/sapphiretack/placement"
	"github.com/sapphiretack/sapphiretack/request"
	"github.com/sapphiretack/sapphiretack/routing"
)

// Graph is a deployment whose requests form trees of calls.
type Graph struct {
	Name     string
	Zones    []request.ZoneID
	Services []GraphService
	Routes   []GraphRoute
	// ClientShares is the fraction of the clients in each zone. If it is empty, all zones have the same
	// number.
	ClientShares []float64
	// ZoneDelay is the one-way delay between zones.
	ZoneDelay time.Duration
}

// GraphService is a service with instances in several zones.
type GraphService struct {
	Name request.ServiceID
	// Instances is the number of instances, which are distributed round-robin over the zones. Each has
	// Slots slots.
	Instances, Slots int
	// InstancesPerZone is the number of instances in each zone, if they are not distributed
	// round-robin.
	InstancesPerZone []int
}

// zones returns the zone of each instance.
func (s GraphService) zones(n int) []int {
	var out []int
	if s.InstancesPerZone == nil {
		for i := range s.Instances {
			out = append(out, i%n)
		}
		return out
	}
	for zone, count := range s.InstancesPerZone {
		out = append(out, slices.Repeat([]int{zone}, count)...)
	}
	return out
}

// clients returns the fraction of the clients in a zone.
func (g *Graph) clients(zone int) float64 {
	if g.ClientShares == nil {
		return 1 / float64(len(g.Zones))
	}
	return g.ClientShares[zone]
}

// GraphRoute is a kind of request or of nested call.
type GraphRoute struct {
	Name    string
	Rank    routing.Rank
	Service request.ServiceID
	// PerSecond is the request rate of the clients of all zones; 0 for nested calls.
	PerSecond float64
	// ServiceTime is the mean service time without nested calls on a backend server of average speed,
	// and Spread the fraction of it that is exponentially distributed.
	ServiceTime time.Duration
	Spread      float64
	// Target is the time in which a response is worth Worth; until Limit it is worth LateWorth.
	Target, Limit    time.Duration
	Worth, LateWorth float64
	// ClientTimeout is how long a client waits for a response, with all its sends. If it is less than
	// Limit, the client waits for Limit.
	ClientTimeout time.Duration
	// IsNonIdempotent is set if a client does not resend the request after a failure.
	IsNonIdempotent bool
	// Calls are the nested calls, made one after another in the middle of the work.
	Calls []GraphCall
}

// clientTimeout returns how long a client waits for a response.
func (r *GraphRoute) clientTimeout() time.Duration { return max(r.ClientTimeout, r.Limit) }

// GraphCall is a number of nested calls of one route.
type GraphCall struct {
	Route string
	Count int
}

// instanceWorkFactors multiply the service time of the instances of a service, in the order of the
// instances; their mean is 1.
var instanceWorkFactors = []float64{0.7, 0.7, 1.6}

// Graphs are the call graphs of both users, at their current size and after their growth.
var Graphs = []*Graph{
	ledgerGraph("golub-ledger", 1, [4]int{108, 108, 108, 36}, [4]int{3, 3, 3, 3}),
	orderGraph("alg-sicilia", 1, []request.ZoneID{"palermo", "catania", "siracusa"}, [4]int{261, 261, 261, 29}, [4]int{3, 3, 3, 3}),
	grownLedgerGraph(),
	orderGraph("alg-sicilia-grown", 3.4, []request.ZoneID{"palermo", "catania", "siracusa", "trapani"}, [4]int{92, 129, 96, 133}, [4]int{24, 17, 23, 4}),
}

func graphServices(names [4]request.ServiceID, slots, instances [4]int) []GraphService {
	out := make([]GraphService, len(names))
	for i, name := range names {
		out[i] = GraphService{Name: name, Instances: instances[i], Slots: slots[i]}
	}
	return out
}

// ledgerGraph returns the race ledger at a multiple of its current load.
func ledgerGraph(name string, load float64, slots, instances [4]int) *Graph {
	g := &Graph{
		Name: name, Zones: []request.ZoneID{"plovdiv-a", "plovdiv-b", "stara-zagora"}, ZoneDelay: 900 * time.Microsecond,
		Services: graphServices([4]request.ServiceID{"registry", "transfers", "archives", "racedesk"}, slots, instances),
	}
	g.Routes = []GraphRoute{
		{
			Name: "bird-lookup", Rank: 2, Service: "registry", PerSecond: 156 * load, ServiceTime: 220 * time.Millisecond, Spread: 0.3,
			Target: 1500 * time.Millisecond, Limit: 1200 * time.Millisecond, Worth: 1, LateWorth: 0.3, Calls: []GraphCall{{"owner-check", 2}},
			ClientTimeout: 5 * time.Second,
		},
		{
			Name: "ring-transfer", Rank: 0, Service: "transfers", PerSecond: 44 * load, ServiceTime: 290 * time.Millisecond, Spread: 0.5,
			Target: 2 * time.Second, Limit: 1500 * time.Millisecond, Worth: 3, LateWorth: 0.6, Calls: []GraphCall{{"archive-index", 2}},
			ClientTimeout: 5 * time.Second, IsNonIdempotent: true,
		},
		{
			Name: "season-archive", Rank: 2, Service: "archives", PerSecond: 57 * load, ServiceTime: 550 * time.Millisecond, Spread: 0.5,
			Target: 1500 * time.Millisecond, Limit: 6 * time.Second, Worth: 1, LateWorth: 0.3,
		},
		{
			Name: "arrival-clock", Rank: 1, Service: "racedesk", PerSecond: 47 * load, ServiceTime: 88 * time.Millisecond, Spread: 0.5,
			Target: 300 * time.Millisecond, Limit: 1200 * time.Millisecond, Worth: 2, LateWorth: 0.6,
		},
		{
			Name: "owner-check", Service: "transfers", ServiceTime: 15 * time.Millisecond, Spread: 0.5, Limit: 2500 * time.Millisecond,
			Calls: []GraphCall{{"archive-index", 1}},
		},
		{
			Name: "archive-index", Service: "archives", ServiceTime: 15 * time.Millisecond, Spread: 0.5, Limit: 2 * time.Second,
			Calls: []GraphCall{{"loft-coords", 4}},
		},
		{Name: "loft-coords", Service: "racedesk", ServiceTime: 55 * time.Millisecond, Spread: 0.5, Limit: 700 * time.Millisecond},
	}
	return g
}

// grownLedgerGraph returns the race ledger after its growth, with the instances and clients of each
// zone.
func grownLedgerGraph() *Graph {
	g := ledgerGraph("golub-ledger-grown", 7.9, [4]int{78, 117, 78, 110}, [4]int{33, 18, 28, 6})
	for i, inZones := range [][]int{{12, 9, 12}, {7, 6, 5}, {11, 10, 7}, {2, 3, 1}} {
		g.Services[i].InstancesPerZone = inZones
	}
	g.ClientShares = []float64{0.29, 0.4, 0.31}
	for i := range g.Routes {
		switch r := &g.Routes[i]; r.Name {
		case "bird-lookup":
			r.ServiceTime = 230 * time.Millisecond
		case "arrival-clock":
			r.ServiceTime = 90 * time.Millisecond
		case "loft-coords":
			r.ServiceTime = 56 * time.Millisecond
		}
	}
	return g
}

// orderGraph returns the call graph of the festival order desk (see Agenzia) at a multiple of its current load.
func orderGraph(name string, load float64, zones []request.ZoneID, slots, instances [4]int) *Graph {
	g := &Graph{
		Name: name, Zones: zones, ZoneDelay: 1400 * time.Microsecond,
		Services: graphServices([4]request.ServiceID{"vetrina", "ordini", "archivio", "autorizza"}, slots, instances),
	}
	g.Routes = []GraphRoute{
		{
			Name: "catalogo", Rank: 2, Service: "vetrina", PerSecond: 349 * load, ServiceTime: 60 * time.Millisecond, Spread: 0.5,
			Target: 1500 * time.Millisecond, Limit: 6 * time.Second, Worth: 1, LateWorth: 0.3, Calls: []GraphCall{{"saldo", 2}},
		},
		{
			Name: "conferma", Rank: 0, Service: "ordini", PerSecond: 140 * load, ServiceTime: 78 * time.Millisecond, Spread: 0.8,
			Target: 1500 * time.Millisecond, Limit: 6 * time.Second, Worth: 3, LateWorth: 0.6, Calls: []GraphCall{{"stampa", 1}},
			IsNonIdempotent: true,
		},
		{
			Name: "pacchetto", Rank: 2, Service: "archivio", PerSecond: 140 * load, ServiceTime: 150 * time.Millisecond, Spread: 0.8,
			Target: 400 * time.Millisecond, Limit: 800 * time.Millisecond, Worth: 1, LateWorth: 0.3,
		},
		{
			Name: "permesso", Rank: 1, Service: "autorizza", PerSecond: 82 * load, ServiceTime: 24 * time.Millisecond, Spread: 0.3,
			Target: 100 * time.Millisecond, Limit: 400 * time.Millisecond, Worth: 2, LateWorth: 0.6,
		},
		{
			Name: "saldo", Service: "ordini", ServiceTime: 15 * time.Millisecond, Spread: 0.5, Limit: 3 * time.Second,
			Calls: []GraphCall{{"stampa", 1}},
		},
		{
			Name: "stampa", Service: "archivio", ServiceTime: 15 * time.Millisecond, Spread: 0.5, Limit: 2500 * time.Millisecond,
			Calls: []GraphCall{{"calendario", 5}},
		},
		{Name: "calendario", Service: "autorizza", ServiceTime: 15 * time.Millisecond, Spread: 0.5, Limit: 700 * time.Millisecond},
	}
	return g
}

// Change is a disturbance of a graph during a pattern. Only types of this package implement it.
type Change interface{ change() }

// Surge multiplies the request rate of the clients of a zone, or of all zones.
type Surge struct {
	From, Until time.Duration
	Zone        request.ZoneID // empty for all
	Factor      float64
}

// InstanceLoss stops the instances of a service in one zone.
type InstanceLoss struct {
	From, Until time.Duration
	Service     int // index in Services
	Zone        int // index in Zones
}

// Shedding makes all backend servers of a service refuse a fraction of their attempts.
type Shedding struct {
	From, Until time.Duration
	Service     int
	Share       float64
}

// Slowdown multiplies the service time of some backend servers of a service.
type Slowdown struct {
	From, Until time.Duration
	Service     int
	// Stride is the distance between slow instances: every Stride-th instance is slow.
	Stride int
	Factor float64
}

// Silence makes some backend servers of a service stop responding while their connections stay open.
type Silence struct {
	From, Until time.Duration
	Service     int
	// Stride is the distance between silent instances: every Stride-th instance is silent.
	Stride int
}

func (Slowdown) change()     {}
func (Silence) change()      {}
func (Surge) change()        {}
func (InstanceLoss) change() {}
func (Shedding) change()     {}

// Pattern is a load with the disturbances that occur during it.
type Pattern struct {
	Name    string
	Length  time.Duration
	Changes []Change
}

// deepestService is the index of the service that executes the deepest nested calls.
const deepestService = 3

// Patterns are the loads that docs/platform.md lists, recorded at their worst on days of the users'
// benchmark.
var Patterns = []Pattern{
	{Name: "calm", Length: 10 * time.Second},
	{Name: "surge", Length: 12 * time.Second, Changes: []Change{Surge{From: 2 * time.Second, Until: 10 * time.Second, Factor: 1.6}}},
	{Name: "heavy-surge", Length: 12 * time.Second, Changes: []Change{Surge{From: 2 * time.Second, Until: 10 * time.Second, Factor: 3}}},
	{Name: "zone-surge", Length: 12 * time.Second, Changes: []Change{
		Surge{From: 2 * time.Second, Until: 10 * time.Second, Zone: "plovdiv-a", Factor: 2.5},
		Surge{From: 2 * time.Second, Until: 10 * time.Second, Zone: "palermo", Factor: 2.5},
	}},
	{Name: "lost-instance", Length: 12 * time.Second, Changes: []Change{InstanceLoss{From: 3 * time.Second, Until: 9 * time.Second, Service: deepestService, Zone: 1}}},
	{Name: "slow-instances", Length: 12 * time.Second, Changes: []Change{Slowdown{From: 3 * time.Second, Until: 9 * time.Second, Service: deepestService, Stride: 3, Factor: 5}}},
	{Name: "silent-instances", Length: 12 * time.Second, Changes: []Change{Silence{From: 3 * time.Second, Until: 9 * time.Second, Service: deepestService, Stride: 3}}},
	{Name: "shedding", Length: 12 * time.Second, Changes: []Change{Shedding{From: 3 * time.Second, Until: 9 * time.Second, Service: deepestService, Share: 0.55}}},
}

// TreePolicy decides on which instances trees run and which requests are admitted.
type TreePolicy struct {
	Name string
	// Settings are the settings of package placement.
	Settings  placement.Settings
	placement treePlacement
	admits    bool
}

type treePlacement uint8

const (
	placeRoundRobin treePlacement = iota
	placeInZone
	placeByPlanner
)

// TreePolicies are the design, the design with one mechanism switched off or one setting changed, and
// two baselines.
var TreePolicies = []TreePolicy{
	{Name: "planned", Settings: placement.DefaultSettings(), placement: placeByPlanner, admits: true},
	{Name: "no-admission", Settings: placement.DefaultSettings(), placement: placeByPlanner},
	{Name: "no-layout", Settings: placement.DefaultSettings(), placement: placeInZone, admits: true},
	{Name: "no-queues", Settings: modifiedSettings(func(s *placement.Settings) { s.QueueGain = 0 }), placement: placeByPlanner, admits: true},
	{Name: "filled-whole", Settings: modifiedSettings(func(s *placement.Settings) { s.TargetUtilization = 1 }), placement: placeByPlanner, admits: true},
	{Name: "own-zone", Settings: placement.DefaultSettings(), placement: placeInZone},
	{Name: "round-robin", Settings: placement.DefaultSettings(), placement: placeRoundRobin},
}

// modifiedSettings returns the settings of the design with a change.
func modifiedSettings(change func(*placement.Settings)) placement.Settings {
	s := placement.DefaultSettings()
	change(&s)
	return s
}

package experiment

import (
	"slices"
	"time"

	"github.com/sapphiretack/sapphiretack/placement"
	"github.com/sapphiretack/sapphiretack/request"
	"github.com/sapphiretack/sapphiretack/routing"
)

// Graph is a deployment whose requests make trees of calls.
type Graph struct {
	Name     string
	Zones    []request.ZoneID
	Services []GraphService
	Routes   []GraphRoute
	// Clients is the share of the clients in each zone; empty means that zones are alike.
	Clients []float64
	// ZoneDelay is the one-way delay between zones.
	ZoneDelay time.Duration
}

// GraphService is a service with instances in all zones.
type GraphService struct {
	Name request.ServiceID
	// Instances are spread over the zones in turn, with Slots each.
	Instances, Slots int
	// InZones is the number of instances in each zone, if they are not spread in turn.
	InZones []int
}

// zones returns the zone of each instance.
func (s GraphService) zones(n int) []int {
	var out []int
	if s.InZones == nil {
		for i := range s.Instances {
			out = append(out, i%n)
		}
		return out
	}
	for zone, count := range s.InZones {
		out = append(out, slices.Repeat([]int{zone}, count)...)
	}
	return out
}

// clients returns the share of the clients that a zone has.
func (g *Graph) clients(zone int) float64 {
	if g.Clients == nil {
		return 1 / float64(len(g.Zones))
	}
	return g.Clients[zone]
}

// GraphRoute is a kind of request or of call.
type GraphRoute struct {
	Name    string
	Rank    routing.Rank
	Service request.ServiceID
	// PerSecond is what clients of all zones send; 0 for calls.
	PerSecond float64
	// Work is the mean time at a backend server of mean speed, without calls, and Spread the part of it that varies.
	Work   time.Duration
	Spread float64
	// Target is the time in which a response is worth Worth; until Limit it is worth LateWorth.
	Target, Limit    time.Duration
	Worth, LateWorth float64
	// Patience is how long a client waits for an answer, with all its attempts; Limit if it is 0.
	Patience time.Duration
	// IsUnsafe is set if a client does not send the request again after a failure.
	IsUnsafe bool
	// Calls are made one after another, in the middle of the work.
	Calls []GraphCall
}

// patience returns how long a client waits.
func (r *GraphRoute) patience() time.Duration { return max(r.Patience, r.Limit) }

// GraphCall is a number of calls of one route.
type GraphCall struct {
	Route string
	Times int
}

// workFactors are how much longer than the mean the instances of a service take, in the order of the zones; their mean is 1.
var workFactors = []float64{0.7, 0.7, 1.6}

// Graphs are the call graphs of both users, at their present size and after their growth.
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

// ledgerGraph is the race ledger at a multiple of its present load.
func ledgerGraph(name string, load float64, slots, instances [4]int) *Graph {
	g := &Graph{
		Name: name, Zones: []request.ZoneID{"plovdiv-a", "plovdiv-b", "stara-zagora"}, ZoneDelay: 900 * time.Microsecond,
		Services: graphServices([4]request.ServiceID{"registry", "transfers", "archives", "racedesk"}, slots, instances),
	}
	g.Routes = []GraphRoute{
		{
			Name: "bird-lookup", Rank: 2, Service: "registry", PerSecond: 156 * load, Work: 220 * time.Millisecond, Spread: 0.3,
			Target: 1500 * time.Millisecond, Limit: 1200 * time.Millisecond, Worth: 1, LateWorth: 0.3, Calls: []GraphCall{{"owner-check", 2}},
			Patience: 5 * time.Second,
		},
		{
			Name: "ring-transfer", Rank: 0, Service: "transfers", PerSecond: 44 * load, Work: 290 * time.Millisecond, Spread: 0.5,
			Target: 2 * time.Second, Limit: 1500 * time.Millisecond, Worth: 3, LateWorth: 0.6, Calls: []GraphCall{{"archive-index", 2}},
			Patience: 5 * time.Second, IsUnsafe: true,
		},
		{
			Name: "season-archive", Rank: 2, Service: "archives", PerSecond: 57 * load, Work: 550 * time.Millisecond, Spread: 0.5,
			Target: 1500 * time.Millisecond, Limit: 6 * time.Second, Worth: 1, LateWorth: 0.3,
		},
		{
			Name: "arrival-clock", Rank: 1, Service: "racedesk", PerSecond: 47 * load, Work: 88 * time.Millisecond, Spread: 0.5,
			Target: 300 * time.Millisecond, Limit: 1200 * time.Millisecond, Worth: 2, LateWorth: 0.6,
		},
		{
			Name: "owner-check", Service: "transfers", Work: 15 * time.Millisecond, Spread: 0.5, Limit: 2500 * time.Millisecond,
			Calls: []GraphCall{{"archive-index", 1}},
		},
		{
			Name: "archive-index", Service: "archives", Work: 15 * time.Millisecond, Spread: 0.5, Limit: 2 * time.Second,
			Calls: []GraphCall{{"loft-coords", 4}},
		},
		{Name: "loft-coords", Service: "racedesk", Work: 55 * time.Millisecond, Spread: 0.5, Limit: 700 * time.Millisecond},
	}
	return g
}

// grownLedgerGraph is the race ledger after its growth, with the instances and clients that each zone has.
func grownLedgerGraph() *Graph {
	g := ledgerGraph("golub-ledger-grown", 7.9, [4]int{78, 117, 78, 110}, [4]int{33, 18, 28, 6})
	for i, inZones := range [][]int{{12, 9, 12}, {7, 6, 5}, {11, 10, 7}, {2, 3, 1}} {
		g.Services[i].InZones = inZones
	}
	g.Clients = []float64{0.29, 0.4, 0.31}
	for i := range g.Routes {
		switch r := &g.Routes[i]; r.Name {
		case "bird-lookup":
			r.Work = 230 * time.Millisecond
		case "arrival-clock":
			r.Work = 90 * time.Millisecond
		case "loft-coords":
			r.Work = 56 * time.Millisecond
		}
	}
	return g
}

// orderGraph is the order desk at a multiple of its present load.
func orderGraph(name string, load float64, zones []request.ZoneID, slots, instances [4]int) *Graph {
	g := &Graph{
		Name: name, Zones: zones, ZoneDelay: 1400 * time.Microsecond,
		Services: graphServices([4]request.ServiceID{"vetrina", "ordini", "archivio", "autorizza"}, slots, instances),
	}
	g.Routes = []GraphRoute{
		{
			Name: "catalogo", Rank: 2, Service: "vetrina", PerSecond: 349 * load, Work: 60 * time.Millisecond, Spread: 0.5,
			Target: 1500 * time.Millisecond, Limit: 6 * time.Second, Worth: 1, LateWorth: 0.3, Calls: []GraphCall{{"saldo", 2}},
		},
		{
			Name: "conferma", Rank: 0, Service: "ordini", PerSecond: 140 * load, Work: 78 * time.Millisecond, Spread: 0.8,
			Target: 1500 * time.Millisecond, Limit: 6 * time.Second, Worth: 3, LateWorth: 0.6, Calls: []GraphCall{{"stampa", 1}},
			IsUnsafe: true,
		},
		{
			Name: "pacchetto", Rank: 2, Service: "archivio", PerSecond: 140 * load, Work: 150 * time.Millisecond, Spread: 0.8,
			Target: 400 * time.Millisecond, Limit: 800 * time.Millisecond, Worth: 1, LateWorth: 0.3,
		},
		{
			Name: "permesso", Rank: 1, Service: "autorizza", PerSecond: 82 * load, Work: 24 * time.Millisecond, Spread: 0.3,
			Target: 100 * time.Millisecond, Limit: 400 * time.Millisecond, Worth: 2, LateWorth: 0.6,
		},
		{
			Name: "saldo", Service: "ordini", Work: 15 * time.Millisecond, Spread: 0.5, Limit: 3 * time.Second,
			Calls: []GraphCall{{"stampa", 1}},
		},
		{
			Name: "stampa", Service: "archivio", Work: 15 * time.Millisecond, Spread: 0.5, Limit: 2500 * time.Millisecond,
			Calls: []GraphCall{{"calendario", 5}},
		},
		{Name: "calendario", Service: "autorizza", Work: 15 * time.Millisecond, Spread: 0.5, Limit: 700 * time.Millisecond},
	}
	return g
}

// Change is what happens to a graph during a pattern; the set of changes is sealed.
type Change interface{ change() }

// Surge multiplies what the clients of a zone, or of all zones, send.
type Surge struct {
	From, Until time.Duration
	Zone        request.ZoneID // empty for all
	Factor      float64
}

// Loss takes the instances of a service in one zone away.
type Loss struct {
	From, Until time.Duration
	Service     int // index in Services
	Zone        int // index in Zones
}

// Shedding makes all backend servers of a service refuse a share of their attempts.
type Shedding struct {
	From, Until time.Duration
	Service     int
	Share       float64
}

// Slowdown makes some backend servers of a service take a multiple of their time.
type Slowdown struct {
	From, Until time.Duration
	Service     int
	// Every is the distance between two instances that are slow.
	Every  int
	Factor float64
}

// Silence makes some backend servers of a service answer nothing, while their connections stay open.
type Silence struct {
	From, Until time.Duration
	Service     int
	// Every is the distance between two instances that are silent.
	Every int
}

func (Slowdown) change() {}
func (Silence) change()  {}
func (Surge) change()    {}
func (Loss) change()     {}
func (Shedding) change() {}

// Pattern is a load that was seen at its worst.
type Pattern struct {
	Name    string
	Length  time.Duration
	Changes []Change
}

// deepest is the index of the service at the end of all trees.
const deepest = 3

// Patterns are the loads that docs/platform.md names, recorded from days of the users' bench.
var Patterns = []Pattern{
	{Name: "calm", Length: 10 * time.Second},
	{Name: "surge", Length: 12 * time.Second, Changes: []Change{Surge{From: 2 * time.Second, Until: 10 * time.Second, Factor: 1.6}}},
	{Name: "heavy-surge", Length: 12 * time.Second, Changes: []Change{Surge{From: 2 * time.Second, Until: 10 * time.Second, Factor: 3}}},
	{Name: "zone-surge", Length: 12 * time.Second, Changes: []Change{
		Surge{From: 2 * time.Second, Until: 10 * time.Second, Zone: "plovdiv-a", Factor: 2.5},
		Surge{From: 2 * time.Second, Until: 10 * time.Second, Zone: "palermo", Factor: 2.5},
	}},
	{Name: "lost-instance", Length: 12 * time.Second, Changes: []Change{Loss{From: 3 * time.Second, Until: 9 * time.Second, Service: deepest, Zone: 1}}},
	{Name: "slow-instances", Length: 12 * time.Second, Changes: []Change{Slowdown{From: 3 * time.Second, Until: 9 * time.Second, Service: deepest, Every: 3, Factor: 5}}},
	{Name: "silent-instances", Length: 12 * time.Second, Changes: []Change{Silence{From: 3 * time.Second, Until: 9 * time.Second, Service: deepest, Every: 3}}},
	{Name: "shedding", Length: 12 * time.Second, Changes: []Change{Shedding{From: 3 * time.Second, Until: 9 * time.Second, Service: deepest, Share: 0.55}}},
}

// TreePolicy decides where trees run and whether they begin.
type TreePolicy struct {
	Name string
	// Settings are those of package placement.
	Settings  placement.Settings
	placement treePlacement
	admits    bool
}

type treePlacement uint8

const (
	placeInTurn treePlacement = iota
	placeInOwnZone
	placeByPlan
)

// TreePolicies are the design, the design with a mechanism off or a setting changed, and two baselines.
var TreePolicies = []TreePolicy{
	{Name: "planned", Settings: placement.DefaultSettings(), placement: placeByPlan, admits: true},
	{Name: "no-admission", Settings: placement.DefaultSettings(), placement: placeByPlan},
	{Name: "no-layout", Settings: placement.DefaultSettings(), placement: placeInOwnZone, admits: true},
	{Name: "no-queues", Settings: with(func(s *placement.Settings) { s.QueueGain = 0 }), placement: placeByPlan, admits: true},
	{Name: "filled-whole", Settings: with(func(s *placement.Settings) { s.FilledShare = 1 }), placement: placeByPlan, admits: true},
	{Name: "own-zone", Settings: placement.DefaultSettings(), placement: placeInOwnZone},
	{Name: "round-robin", Settings: placement.DefaultSettings(), placement: placeInTurn},
}

// with returns the settings of the design with a change.
func with(change func(*placement.Settings)) placement.Settings {
	s := placement.DefaultSettings()
	change(&s)
	return s
}

package placement_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/sapphiretack/sapphiretack/fleet"
	"github.com/sapphiretack/sapphiretack/placement"
	"github.com/sapphiretack/sapphiretack/request"
	"github.com/sapphiretack/sapphiretack/routing"
	"github.com/sapphiretack/sapphiretack/tree"
)

const (
	lookup  routing.RouteID = 1
	arrival routing.RouteID = 2
	entry   routing.RouteID = 3
)

// world is a deployment of two services in three zones, one instance each.
type world struct {
	instances []fleet.Instance
	routes    map[routing.RouteID]placement.Route
}

func newWorld() *world {
	w := &world{routes: map[routing.RouteID]placement.Route{
		lookup:  {Rank: 2, Service: "registry", Cost: tree.Cost{"registry": 700 * time.Millisecond, "racedesk": 440 * time.Millisecond}, Bound: 1200 * time.Millisecond},
		arrival: {Rank: 1, Service: "racedesk", Cost: tree.Cost{"racedesk": 90 * time.Millisecond}, Bound: 300 * time.Millisecond},
		entry:   {Rank: 0, Service: "registry", Cost: tree.Cost{"registry": 700 * time.Millisecond, "racedesk": 440 * time.Millisecond}, Bound: 1500 * time.Millisecond},
	}}
	for i, zone := range []request.ZoneID{"a", "b", "c"} {
		for k, service := range []request.ServiceID{"registry", "racedesk"} {
			limit := uint16(100)
			if service == "racedesk" {
				limit = 34
			}
			w.instances = append(w.instances, fleet.Instance{IsFresh: true, Entry: fleet.Entry{
				Address: netip.AddrFrom4([4]byte{10, byte(i + 1), 0, byte(k + 1)}), Zone: zone, Service: service,
				Instance: request.InstanceID(fmt.Sprintf("%s-%s", service, zone)), Health: fleet.Serving, Limit: limit,
				UsualRoute: routing.RouteID(10 + k), UsualTime: 50 * time.Millisecond,
			}})
		}
	}
	return w
}

func (w *world) rate(zone request.ZoneID, r routing.RouteID, perSecond float32) {
	for i := range w.instances {
		if w.instances[i].Zone == zone {
			w.instances[i].Rates = append(w.instances[i].Rates, fleet.Rate{Route: r, PerSecond: perSecond})
			return
		}
	}
}

// slowDown makes the backend servers of a zone take 1.6 times the mean, and the others 0.7 times.
func (w *world) slowDown(zone request.ZoneID) {
	for i := range w.instances {
		factor := 0.7
		if w.instances[i].Zone == zone {
			factor = 1.6
		}
		w.instances[i].UsualTime = time.Duration(factor * float64(50*time.Millisecond))
	}
}

func (w *world) planner(zone request.ZoneID) *placement.Planner { return w.plannerOf(zone, 1) }

// plannerOf returns the planner of one of several nodes in a zone.
func (w *world) plannerOf(zone request.ZoneID, node uint64) *placement.Planner {
	p := placement.New(placement.DefaultSettings(), zone, rand.New(rand.NewPCG(node, 2)))
	p.Update(0, w.instances, func(r routing.RouteID) (placement.Route, bool) {
		route, ok := w.routes[r]
		return route, ok
	})
	return p
}

const trials = 2000

// zones counts where the trees of a route begin.
func (w *world) zones(p *placement.Planner, r routing.RouteID) map[request.ZoneID]int {
	out := map[request.ZoneID]int{}
	for range trials {
		t, ok := p.Root(r, w.routes[r].Service, nil)
		if ok {
			out[t.Zone]++
		}
	}
	return out
}

// TestFractions guards against less important requests that take the room of more important ones at a shared service, and
// against requests that are refused although their services have room.
func TestFractions(t *testing.T) {
	c := qt.New(t)
	slots := map[request.ServiceID]float64{"racedesk": 100, "registry": 1000}
	got := placement.Fractions(slots, []placement.Demand{
		{Route: lookup, Rank: 2, PerSecond: 340, Cost: tree.Cost{"racedesk": 440 * time.Millisecond}},
		{Route: entry, Rank: 0, PerSecond: 97, Cost: tree.Cost{"racedesk": 440 * time.Millisecond, "registry": time.Second}},
		{Route: arrival, Rank: 1, PerSecond: 102, Cost: tree.Cost{"racedesk": 90 * time.Millisecond}},
		{Route: 4, Rank: 2, PerSecond: 1000, Cost: tree.Cost{"archives": time.Second}},
	})
	c.Check(got[entry].Fraction, qt.Equals, 1.0)
	c.Check(got[arrival].Fraction, qt.Equals, 1.0)
	want := (100 - 97*0.44 - 102*0.09) / (340 * 0.44)
	c.Check(got[lookup].Fraction > want-1e-9 && got[lookup].Fraction < want+1e-9, qt.IsTrue, qt.Commentf("got %v, want %v", got[lookup], want))
	c.Check(got[lookup].Full, qt.Equals, request.ServiceID("racedesk"))
	c.Check(got[4], qt.Equals, placement.Share{Fraction: 1})
}

// TestCalmStays guards against trees that cross zones without need.
func TestCalmStays(t *testing.T) {
	w := newWorld()
	for _, z := range []request.ZoneID{"a", "b", "c"} {
		w.rate(z, lookup, 30)
	}
	qt.Check(t, w.zones(w.planner("a"), lookup), qt.DeepEquals, map[request.ZoneID]int{"a": trials})
}

// TestHotZoneOverflows replays a surge in one zone: whole trees move to where there is room, and only what exceeds the zone.
func TestHotZoneOverflows(t *testing.T) {
	c := qt.New(t)
	w := newWorld()
	w.rate("a", lookup, 100) // 44 of 34 slots of racedesk
	w.rate("b", lookup, 20)
	w.rate("c", lookup, 20)
	got := w.zones(w.planner("a"), lookup)
	c.Check(got["a"] > trials*45/100 && got["a"] < trials*70/100, qt.IsTrue, qt.Commentf("%v", got))
	c.Check(got["b"] > trials/8 && got["c"] > trials/8, qt.IsTrue, qt.Commentf("%v", got))
	c.Check(w.zones(w.planner("b"), lookup), qt.DeepEquals, map[request.ZoneID]int{"b": trials})
}

// TestReportedLoadDoesNotMoveTrees replays the swing of golub-ledger quiet-1: the load that racedesk reports is a second old
// for the trees that are placed now, and trees that follow it all move to the same zone.
func TestReportedLoadDoesNotMoveTrees(t *testing.T) {
	w := newWorld()
	for _, z := range []request.ZoneID{"a", "b", "c"} {
		w.rate(z, lookup, 30)
	}
	for i := range w.instances {
		if in := &w.instances[i]; in.Zone == "a" && in.Service == "racedesk" {
			in.Load = 3000
		}
	}
	qt.Check(t, w.zones(w.planner("a"), lookup)["a"], qt.Equals, trials)
}

// TestSlowZone replays a zone whose backend servers take 1.6 times as long: trees that would take most of their time there
// begin elsewhere, short ones stay.
func TestSlowZone(t *testing.T) {
	c := qt.New(t)
	w := newWorld()
	w.slowDown("c")
	for _, z := range []request.ZoneID{"a", "b", "c"} {
		w.rate(z, lookup, 20)
		w.rate(z, arrival, 10)
	}
	p := w.planner("c")
	c.Check(w.zones(p, lookup)["c"], qt.Equals, 0)
	c.Check(w.zones(p, arrival), qt.DeepEquals, map[request.ZoneID]int{"c": trials})
}

// TestVariableTreesLeaveSlowZone replays ring transfers on a calm day of golub-ledger: they take 0.6 of their time in the slow
// zone, but vary by half, so one in six ended there without a result.
func TestVariableTreesLeaveSlowZone(t *testing.T) {
	w := newWorld()
	for i := range w.instances {
		if w.instances[i].Zone == "c" {
			w.instances[i].UsualTime = 114 * time.Millisecond // 1.6 times the mean of the zones
		}
	}
	transfer := w.routes[entry]
	transfer.Bound = 1850 * time.Millisecond
	w.routes[entry] = transfer
	for _, z := range []request.ZoneID{"a", "b", "c"} {
		w.rate(z, entry, 15)
	}
	qt.Check(t, w.zones(w.planner("c"), entry)["c"], qt.Equals, 0)
}

// TestSlowZoneTakesRelaxedTrees replays the worst load on servers of unequal speed: lookups that only the fast zones serve in
// time fill these, so trees with more time have to leave them to the lookups and use the slow zone.
func TestSlowZoneTakesRelaxedTrees(t *testing.T) {
	c := qt.New(t)
	w := newWorld()
	w.slowDown("c")
	relaxed := w.routes[entry]
	relaxed.Bound = 5 * time.Second
	w.routes[entry] = relaxed
	for _, z := range []request.ZoneID{"a", "b", "c"} {
		w.rate(z, lookup, 50)
		w.rate(z, entry, 15)
	}
	a, slow := w.planner("a"), w.planner("c")
	c.Check(a.Share(lookup).Fraction > 0.9, qt.IsTrue, qt.Commentf("%v", a.Share(lookup).Fraction))
	c.Check(w.zones(a, lookup)["c"], qt.Equals, 0)
	c.Check(w.zones(slow, lookup)["c"] < trials/5, qt.IsTrue, qt.Commentf("%v", w.zones(slow, lookup)))
	c.Check(w.zones(a, entry)["c"] > trials/5, qt.IsTrue, qt.Commentf("%v", w.zones(a, entry)))
	a.Describe(func(routing.RouteID, float64) {}, func(z placement.ZoneState) {
		c.Check(z.Use < 1, qt.IsTrue, qt.Commentf("%s in %s is planned to %.2f", z.Service, z.Zone, z.Use))
	})
}

// TestGoneServers guards against attempts at instances that are known not to take them while others do.
func TestGoneServers(t *testing.T) {
	for name, spoil := range map[string]func(*fleet.Instance){
		"stale":   func(i *fleet.Instance) { i.IsFresh = false },
		"leaving": func(i *fleet.Instance) { i.Health = fleet.Leaving },
		"down":    func(i *fleet.Instance) { i.Health = fleet.Down },
		"broken":  func(i *fleet.Instance) { i.IsBroken = true },
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			w := newWorld()
			for i := range w.instances {
				if w.instances[i].Zone == "a" && w.instances[i].Service == "registry" {
					spoil(&w.instances[i])
				}
			}
			got := w.zones(w.planner("a"), lookup)
			c.Check(got["a"], qt.Equals, 0)
			c.Check(got["b"]+got["c"], qt.Equals, trials)
		})
	}
}

// TestFailingServer guards against a backend server that fails its requests and still gets them all, and against one that
// gets none and so is never found to have recovered.
func TestFailingServer(t *testing.T) {
	c := qt.New(t)
	w := newWorld()
	for i := range w.instances {
		if w.instances[i].Zone == "a" && w.instances[i].Service == "registry" {
			w.instances[i].Failing = 50
		}
	}
	got := w.zones(w.planner("a"), lookup)["a"]
	c.Check(got > 0 && got < trials/20, qt.IsTrue, qt.Commentf("%d of %d", got, trials))
}

// TestExcluded guards against a second attempt at an instance that has refused.
func TestExcluded(t *testing.T) {
	c := qt.New(t)
	w := newWorld()
	p := w.planner("a")
	var excluded []netip.Addr
	for range 3 {
		target, ok := p.Call("racedesk", excluded)
		c.Assert(ok, qt.IsTrue)
		for _, e := range excluded {
			c.Check(target.Address, qt.Not(qt.Equals), e)
		}
		excluded = append(excluded, target.Address)
	}
	_, ok := p.Call("racedesk", excluded)
	c.Check(ok, qt.IsFalse)
}

// TestReturnDelay guards against refused clients that all return at once, or after they have given up.
func TestReturnDelay(t *testing.T) {
	c := qt.New(t)
	random := rand.New(rand.NewPCG(1, 2))
	low, high := time.Hour, time.Duration(0)
	for range trials {
		d := placement.ReturnDelay(6*time.Second, random)
		low, high = min(low, d), max(high, d)
	}
	c.Check(high <= 2*time.Second, qt.IsTrue)
	c.Check(high-low > 500*time.Millisecond, qt.IsTrue)
}

// TestGreyService replays a shared service whose backend servers all refuse half of their requests: trees with eight calls
// there do not begin, and single requests still do.
func TestGreyService(t *testing.T) {
	c := qt.New(t)
	w := newWorld()
	for i := range w.instances {
		if w.instances[i].Service == "racedesk" {
			w.instances[i].Failing = 55
		}
	}
	w.rate("a", lookup, 20)
	w.rate("a", arrival, 10)
	p := w.planner("a")
	c.Check(p.Share(lookup).Fraction, qt.Equals, 0.0)
	c.Check(p.Share(arrival).Fraction, qt.Equals, 1.0)
	_, ok := p.Root(arrival, "racedesk", nil)
	c.Check(ok, qt.IsTrue)
}

// TestFractionsAtTwoServices guards against a route that is cut at a second service for requests of another route that a
// first service turns away.
func TestFractionsAtTwoServices(t *testing.T) {
	c := qt.New(t)
	got := placement.Fractions(map[request.ServiceID]float64{"racedesk": 10, "archives": 100}, []placement.Demand{
		{Route: 1, Rank: 2, PerSecond: 100, Cost: tree.Cost{"racedesk": time.Second, "archives": time.Second}},
		{Route: 2, Rank: 2, PerSecond: 50, Cost: tree.Cost{"archives": time.Second}},
	})
	c.Check(got, qt.DeepEquals, map[routing.RouteID]placement.Share{1: {Fraction: 0.1, Full: "racedesk"}, 2: {Fraction: 1}})
}

// TestQueues guards against a service that stays overloaded because its demand is underestimated.
func TestQueues(t *testing.T) {
	c := qt.New(t)
	w := newWorld()
	w.rate("a", lookup, 220) // 97 of 102 slots of racedesk
	before := w.planner("a").Share(lookup).Fraction
	for i := range w.instances {
		if w.instances[i].Service == "racedesk" {
			w.instances[i].Load = 3000
		}
	}
	c.Check(w.planner("a").Share(lookup).Fraction < 0.7*before, qt.IsTrue)
}

// TestShortQueue replays the peaks of a calm day on alg-sicilia: queues of half an attempt a slot at the deepest service while
// trees take a quarter of their time. To refuse requests for them left slots empty, and 3% of the requests without response.
func TestShortQueue(t *testing.T) {
	c := qt.New(t)
	w := newWorld()
	w.rate("a", lookup, 210)
	relaxed := w.routes[lookup]
	relaxed.Bound = 4 * relaxed.Cost["registry"]
	for i := range w.instances {
		if w.instances[i].Service == "racedesk" {
			w.instances[i].Load = 1500
		}
	}
	c.Check(w.planner("a").Share(lookup).Fraction < 1, qt.IsTrue, qt.Commentf("trees that take most of their time"))
	w.routes[lookup] = relaxed
	c.Check(w.planner("a").Share(lookup).Fraction, qt.Equals, 1.0)
	for i := range w.instances {
		if w.instances[i].Service == "racedesk" {
			w.instances[i].Load = 3500
		}
	}
	c.Check(w.planner("a").Share(lookup).Fraction < 1, qt.IsTrue, qt.Commentf("a queue that is nearly full"))
}

// TestMissingService replays a zone that has lost the only instance of a service in the middle of the trees: trees that begin
// there would load other zones unplanned.
func TestMissingService(t *testing.T) {
	c := qt.New(t)
	w := newWorld()
	for i := range w.instances {
		if w.instances[i].Zone == "a" && w.instances[i].Service == "racedesk" {
			w.instances[i].Health = fleet.Down
		}
	}
	for _, z := range []request.ZoneID{"a", "b", "c"} {
		w.rate(z, lookup, 20)
	}
	got := w.zones(w.planner("a"), lookup)
	c.Check(got["a"], qt.Equals, 0)
	c.Check(got["b"] > trials/3 && got["c"] > trials/3, qt.IsTrue, qt.Commentf("%v", got))
}

// TestCallLeavesFullZone replays calls at a full instance while that of another zone is idle.
func TestCallLeavesFullZone(t *testing.T) {
	c := qt.New(t)
	w := newWorld()
	for i := range w.instances {
		if w.instances[i].Zone == "a" && w.instances[i].Service == "racedesk" {
			w.instances[i].Load = 2000
		}
	}
	p := w.planner("a")
	moved := 0
	for range 20 {
		target, ok := p.Call("racedesk", nil)
		c.Assert(ok, qt.IsTrue)
		if target.Zone != "a" {
			moved++
		}
	}
	c.Check(moved > 10, qt.IsTrue, qt.Commentf("%d of 20", moved))
}

// BenchmarkUpdate measures the planning of one round in a fleet of the given size; docs/CAPACITY.md has the figures.
func BenchmarkUpdate(b *testing.B) {
	for _, n := range []int{12, 85, 300, 2800} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			instances := make([]fleet.Instance, n)
			routes := map[routing.RouteID]placement.Route{}
			for i := range instances {
				service := request.ServiceID(fmt.Sprint("service", i%74))
				route := routing.RouteID(i % 74)
				routes[route] = placement.Route{Rank: routing.Rank(i % 3), Service: service, Bound: time.Second, Cost: tree.Cost{service: 100 * time.Millisecond, "service1": 50 * time.Millisecond}}
				instances[i] = fleet.Instance{IsFresh: true, Entry: fleet.Entry{
					Address: netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), Zone: request.ZoneID(fmt.Sprint("zone", i%16)), Service: service,
					Health: fleet.Serving, Limit: 100, UsualRoute: route, UsualTime: 50 * time.Millisecond,
					Rates: []fleet.Rate{{Route: route, PerSecond: 3}, {Route: (route + 1) % 74, PerSecond: 2}},
				}}
			}
			p := placement.New(placement.DefaultSettings(), "zone1", rand.New(rand.NewPCG(1, 2)))
			for b.Loop() {
				p.Update(0, instances, func(r routing.RouteID) (placement.Route, bool) {
					route, ok := routes[r]
					return route, ok
				})
			}
		})
	}
}

// TestTwoZonesLackServices guards against a zone that is planned beyond its slots although all zones together have room: two
// zones have each lost the only instance of another service, so no tree can run whole in them.
func TestTwoZonesLackServices(t *testing.T) {
	c := qt.New(t)
	w := newWorld()
	for i := range w.instances {
		in := &w.instances[i]
		if in.Zone == "b" && in.Service == "racedesk" || in.Zone == "c" && in.Service == "registry" {
			in.Health = fleet.Down
		}
	}
	for _, z := range []request.ZoneID{"a", "b", "c"} {
		w.rate(z, lookup, 40) // 53 of the 68 slots of racedesk that are left
	}
	w.planner("a").Describe(func(routing.RouteID, float64) {}, func(z placement.ZoneState) {
		if z.Service == "racedesk" && z.Zone != "b" {
			c.Check(z.Use <= 1, qt.IsTrue, qt.Commentf("%s in %s is planned to %.2f", z.Service, z.Zone, z.Use))
		}
	})
}

// TestOldLoadsDoNotCrowd replays racedesk on golub-ledger-grown: it has two instances in a zone, and thirty nodes that all sent their
// calls to the one that was idle a moment ago left it with 388 waiting beside an idle one, in turns.
func TestOldLoadsDoNotCrowd(t *testing.T) {
	share := func(held, age time.Duration) float64 {
		w := newWorld()
		for i := range w.instances {
			if in := &w.instances[i]; in.Service == "racedesk" {
				in.Zone, in.UsualTime, in.Age = "a", held, age
				in.Load = uint16(1500 * i / 2) // 0, 1.5 and 3 times the slots
			}
		}
		idle := 0
		const nodes, calls = 500, 4 // that a node makes between two rounds
		for node := range nodes {
			p := w.plannerOf("a", uint64(node))
			for range calls {
				if target, _ := p.Call("racedesk", nil); target.Instance == "racedesk-a" {
					idle++
				}
			}
		}
		return float64(idle) / (nodes * calls)
	}
	c := qt.New(t)
	// The queues have changed several times since they were reported.
	old := share(56*time.Millisecond, 300*time.Millisecond)
	c.Check(old > 0.3 && old < 0.45, qt.IsTrue, qt.Commentf("%.2f of the calls at the idle instance", old))
	// Attempts that hold slots for a second are still there.
	recent := share(time.Second, 0)
	c.Check(recent > 0.9, qt.IsTrue, qt.Commentf("%.2f of the requests at the idle instance", recent))
}

// TestFasterInstanceGetsMore guards against a slow backend server that gets as many calls as a fast one beside it and so makes
// trees with many calls late.
func TestFasterInstanceGetsMore(t *testing.T) {
	w := newWorld()
	for i := range w.instances {
		if in := &w.instances[i]; in.Service == "racedesk" {
			in.UsualTime = 40 * time.Millisecond
			if in.Zone == "c" {
				in.UsualTime = 90 * time.Millisecond
			}
			in.Zone = "a"
		}
	}
	p := w.planner("a")
	slow := 0
	for range trials {
		if target, _ := p.Call("racedesk", nil); target.Instance == "racedesk-c" {
			slow++
		}
	}
	// Its share of the capacity is 4/22.
	qt.Check(t, slow > trials/8 && slow < trials/4, qt.IsTrue, qt.Commentf("%d of %d at the slow instance", slow, trials))
}

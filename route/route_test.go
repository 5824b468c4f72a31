package route_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/sapphiretack/sapphiretack/request"
	"github.com/sapphiretack/sapphiretack/route"
)

const second = request.Instant(time.Second)

// fleet returns the members of services with the given number of instances each, distributed round-robin over zones; a region has four zones.
func fleet(services, instances, zones int) []route.Member {
	var out []route.Member
	for s := range services {
		for i := range instances {
			z := (s + i) % zones
			out = append(out, route.Member{
				Instance: request.InstanceID(fmt.Sprintf("service%d-%d", s, i)),
				Service:  request.ServiceID(fmt.Sprintf("service%d", s)),
				Zone:     request.ZoneID(fmt.Sprintf("zone%d", z)),
				Region:   request.RegionID(fmt.Sprintf("region%d", z/4)),
				Slots:    100,
			})
		}
	}
	return out
}

func newTable(members []route.Member) *route.Table {
	t := route.New(route.DefaultSettings("service0-0", "zone0", "region0"), rand.New(rand.NewPCG(1, 1)))
	t.Update(members)
	t.Subset("service0")
	return t
}

func pick(t *testing.T, table *route.Table, now request.Instant, p request.Priority, excluded ...request.InstanceID) request.InstanceID {
	t.Helper()
	c, result := table.Pick(now, "service0", p, excluded)
	qt.Assert(t, result, qt.Equals, route.Picked)
	return c.Instance
}

// TestSubsetBoundsConnections guards against subsets that together open more connections to a node than it accepts, at the
// fleet size expected in two years.
func TestSubsetBoundsConnections(t *testing.T) {
	members := fleet(74, 38, 16)
	for i := range members {
		// Instances of other services count as sources only; excluding them as destinations saves time.
		if members[i].Service != "service7" {
			members[i].State = route.Leaving
		}
	}
	counts := make(map[request.InstanceID]int)
	for _, m := range members {
		s := route.DefaultSettings(m.Instance, m.Zone, m.Region)
		table := route.New(s, rand.New(rand.NewPCG(1, 1)))
		table.Update(members)
		subset := table.Subset("service7")
		qt.Assert(t, len(subset) >= 2, qt.IsTrue)
		qt.Assert(t, subset[0].Zone, qt.Equals, m.Zone)
		for _, c := range subset {
			counts[c.Instance]++
		}
	}
	most := 0
	for _, n := range counts {
		most = max(most, n)
	}
	t.Logf("%d sources, 38 instances: at most %d connections", len(members), most)
	qt.Assert(t, most <= 250, qt.IsTrue, qt.Commentf("%d connections", most))
	qt.Assert(t, len(counts), qt.Equals, 38)
}

// TestNearestTierWithFreeSlot guards against traffic that leaves the zone while it has free slots, or that stays there when
// its instances are excluded, full, broken or leaving.
func TestNearestTierWithFreeSlot(t *testing.T) {
	members := fleet(1, 3, 3)
	table := newTable(members)
	for range 100 {
		qt.Assert(t, pick(t, table, second, 0), qt.Equals, request.InstanceID("service0-0"))
	}
	qt.Assert(t, pick(t, table, second, 0, "service0-0"), qt.Not(qt.Equals), request.InstanceID("service0-0"))

	table.RecordLoad(second, "service0-0", route.Load{InFlight: 10, Queued: 1, Limit: 10})
	qt.Assert(t, pick(t, table, second, 0), qt.Not(qt.Equals), request.InstanceID("service0-0"))
	// The report has expired.
	qt.Assert(t, pick(t, table, 3*second, 0), qt.Equals, request.InstanceID("service0-0"))

	table.RecordFailure(3*second, "service0-0")
	qt.Assert(t, pick(t, table, 3*second, 0), qt.Not(qt.Equals), request.InstanceID("service0-0"))

	members[0].State = route.Leaving
	table.Update(members)
	qt.Assert(t, pick(t, table, 9*second, 0), qt.Not(qt.Equals), request.InstanceID("service0-0"))
}

// TestRefusalDuration guards against a refused bulk attempt that blocks essential ones, and against a refusal that stays in
// effect for too long.
func TestRefusalDuration(t *testing.T) {
	table := newTable(fleet(1, 1, 1))
	const essential, bulk = 10, 600
	table.RecordRefusal(second, "service0-0", bulk, second.Add(200*time.Millisecond))
	pick(t, table, second, essential)
	c, result := table.Pick(second, "service0", bulk, nil)
	qt.Assert(t, result, qt.Equals, route.AllRefused)
	qt.Assert(t, c.RetryAfter, qt.Equals, 200*time.Millisecond)
	pick(t, table, second, bulk-1)

	table.RecordRefusal(second, "service0-0", essential, 100*second)
	_, result = table.Pick(second.Add(249*time.Millisecond), "service0", essential, nil)
	qt.Assert(t, result, qt.Equals, route.AllRefused)
	pick(t, table, second.Add(250*time.Millisecond), bulk)
}

// TestBrokenBackoff guards against a broken instance that every request tries, or that is never tried again.
func TestBrokenBackoff(t *testing.T) {
	table := newTable(fleet(1, 1, 1))
	now := second
	for range 5 {
		table.Begin(now, "service0-0")
	}
	waits := []time.Duration{50, 100, 200, 400, 800, 1000, 1000}
	for _, wait := range waits {
		table.RecordFailure(now, "service0-0")
		table.RecordFailure(now, "service0-0")
		c, result := table.Pick(now, "service0", 0, nil)
		qt.Assert(t, result, qt.Equals, route.NoInstance)
		qt.Assert(t, c.RetryAfter, qt.Equals, wait*time.Millisecond)
		now = now.Add(wait * time.Millisecond)
		pick(t, table, now, 0)
		table.Begin(now, "service0-0")
		_, result = table.Pick(now, "service0", 0, nil)
		qt.Assert(t, result, qt.Equals, route.NoInstance, qt.Commentf("a second attempt was sent to a half-open instance"))
	}
	table.RecordLoad(now, "service0-0", route.Load{})
	pick(t, table, now, 0)
}

// TestPowerOfTwoChoices guards against load that is not balanced by in-flight attempts, and against in-flight counts that
// are lost when members change.
func TestPowerOfTwoChoices(t *testing.T) {
	members := fleet(1, 10, 1)
	table := newTable(members)
	counts := make(map[request.InstanceID]int)
	for range 500 {
		id := pick(t, table, second, 0)
		table.Begin(second, id)
		counts[id]++
		table.Update(members)
	}
	for _, m := range members {
		n := counts[m.Instance]
		qt.Check(t, n >= 45 && n <= 55, qt.IsTrue, qt.Commentf("%s has %d of 50", m.Instance, n))
	}
	table.RecordLoad(second, members[0].Instance, route.Load{Queued: 90, Limit: 200})
	for range 20 {
		qt.Assert(t, pick(t, table, second, 0), qt.Not(qt.Equals), members[0].Instance)
	}
	// A new incarnation starts without the in-flight attempts and reports of the old one.
	members[0].Incarnation++
	table.Update(members)
	picked := 0
	for range 100 {
		if pick(t, table, second, 0) == members[0].Instance {
			picked++
		}
	}
	qt.Assert(t, picked > 0, qt.IsTrue)
}

// TestEarlyShedding guards against early shedding of requests more important than the level, of all others so that no probe
// passes, or by an outdated level.
func TestEarlyShedding(t *testing.T) {
	table := newTable(fleet(1, 3, 1))
	shed := func(now request.Instant, p request.Priority) (n int) {
		for range 10_000 {
			if table.Shed(now, "service0", "record-arrival", p) {
				n++
			}
		}
		return n
	}
	qt.Assert(t, shed(second, 767), qt.Equals, 0)
	for range 100 {
		table.RecordLevel(second, "service0", "record-arrival", 300)
	}
	qt.Assert(t, shed(second, 299), qt.Equals, 0)
	n := shed(second, 310)
	qt.Assert(t, n >= 9_970 && n < 10_000, qt.IsTrue, qt.Commentf("%d of 10000 shed, 10 expected to pass", n))
	qt.Assert(t, table.Level(second, "service0", "fetch-archive"), qt.Equals, request.PriorityCount)
	qt.Assert(t, shed(3*second, 767), qt.Equals, 0)
	// One overloaded instance of three does not make the first node shed requests that the other two would admit.
	for range 100 {
		for _, level := range []request.Priority{0, 768, 768} {
			table.RecordLevel(4*second, "service0", "record-arrival", level)
		}
	}
	qt.Assert(t, shed(4*second, 255), qt.Equals, 0)
}

func BenchmarkPick(b *testing.B) {
	for _, instances := range []int{3, 38} {
		b.Run(fmt.Sprintf("instances=%d", instances), func(b *testing.B) {
			table := newTable(fleet(1, instances, 1))
			excluded := []request.InstanceID{"service0-1"}
			b.ReportAllocs()
			for b.Loop() {
				c, _ := table.Pick(second, "service0", 300, excluded)
				table.Begin(second, c.Instance)
				table.Done(c.Instance)
			}
		})
	}
}

// BenchmarkPickScan measures the cases in which Pick scans all instances: all but one refuse, all refuse, and all are full.
func BenchmarkPickScan(b *testing.B) {
	for _, c := range []struct {
		name           string
		refusing, full int
	}{{"refused=37", 37, 0}, {"refused=38", 38, 0}, {"full=38", 0, 38}} {
		b.Run(c.name, func(b *testing.B) {
			members := fleet(1, 38, 1)
			table := newTable(members)
			for _, m := range members[:c.refusing] {
				table.RecordRefusal(second, m.Instance, 200, 2*second)
			}
			for _, m := range members[:c.full] {
				table.RecordLoad(second, m.Instance, route.Load{InFlight: 9, Limit: 9})
			}
			b.ReportAllocs()
			for b.Loop() {
				table.Pick(second, "service0", 300, nil)
			}
		})
	}
}

func BenchmarkShed(b *testing.B) {
	table := newTable(fleet(1, 3, 1))
	b.ReportAllocs()
	for b.Loop() {
		table.RecordLevel(second, "service0", "record-arrival", 300)
		table.Shed(second, "service0", "record-arrival", 400)
	}
}

// BenchmarkUpdate measures an update of the members at full fleet size, followed by attempts at three services.
func BenchmarkUpdate(b *testing.B) {
	members := fleet(74, 38, 16)
	table := newTable(members)
	b.ReportAllocs()
	for b.Loop() {
		table.Update(members)
		for _, s := range []request.ServiceID{"service1", "service2", "service3"} {
			table.Pick(second, s, 0, nil)
		}
	}
}

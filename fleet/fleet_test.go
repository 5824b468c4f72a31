package fleet_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/sapphiretack/sapphiretack/fleet"
	"github.com/sapphiretack/sapphiretack/request"
	"github.com/sapphiretack/sapphiretack/routing"
)

func address(n int) netip.Addr { return netip.AddrFrom4([4]byte{10, 0, byte(n >> 8), byte(n)}) }

func zoneOf(n int) request.ZoneID { return []request.ZoneID{"a", "b", "c"}[n%3] }

func newTable(n int) *fleet.Table {
	return fleet.New(fleet.DefaultSettings(), fleet.Endpoint{Address: address(n), Zone: zoneOf(n)}, rand.New(rand.NewPCG(uint64(n), 1)))
}

func entry(n int, incarnation request.Incarnation, sequence uint32) fleet.Entry {
	return fleet.Entry{Address: address(n), Zone: zoneOf(n), Incarnation: incarnation, Sequence: sequence, Health: fleet.Serving}
}

func find(table *fleet.Table, now request.Instant, n int) (fleet.Instance, bool) {
	for _, i := range table.Snapshot(now) {
		if i.Address == address(n) {
			return i, true
		}
	}
	return fleet.Instance{}, false
}

// TestMergeOrder guards against an old entry that replaces a newer one when messages arrive out of order.
func TestMergeOrder(t *testing.T) {
	c := qt.New(t)
	table := newTable(0)
	for _, step := range []struct {
		incarnation  request.Incarnation
		sequence     uint32
		wantSequence uint32
	}{{5, 10, 10}, {5, 9, 10}, {4, 99, 10}, {5, 11, 11}, {6, 1, 1}, {5, 12, 1}} {
		table.Merge(0, []fleet.Entry{entry(1, step.incarnation, step.sequence)})
		got, ok := find(table, 0, 1)
		c.Assert(ok, qt.IsTrue)
		c.Check(got.Sequence, qt.Equals, step.wantSequence)
	}
}

// TestAge guards against an entry that counts as fresh on arrival although it became stale while other nodes relayed it.
func TestAge(t *testing.T) {
	c := qt.New(t)
	table := newTable(0)
	e := entry(3, 1, 1) // in the zone of node 0
	e.Age = 900 * time.Millisecond
	table.Merge(0, []fleet.Entry{e})
	got, _ := find(table, request.Instant(50*time.Millisecond), 3)
	c.Check(got.IsFresh, qt.IsTrue)
	got, _ = find(table, request.Instant(150*time.Millisecond), 3)
	c.Check(got.IsFresh, qt.IsFalse)
}

// TestClockSetBack guards against a node whose entries are ignored by all others because its clock was set back before a restart,
// so that its incarnation is lower than before.
func TestClockSetBack(t *testing.T) {
	c := qt.New(t)
	other, restarted := newTable(0), newTable(1)
	other.Merge(0, []fleet.Entry{entry(1, 900, 50)})
	renew := func() {
		restarted.RenewSelf(0, fleet.Entry{Incarnation: 700, Health: fleet.Leaving})
		self, _ := find(restarted, 0, 1)
		other.Merge(0, []fleet.Entry{self.Entry})
	}
	renew()
	restarted.Merge(0, []fleet.Entry{entry(1, 900, 50)}) // other nodes still gossip the entry of the previous incarnation
	renew()
	got, _ := find(other, 0, 1)
	c.Check(got.Health, qt.Equals, fleet.Leaving)
}

// TestNewerConfiguration guards against a node that does not learn that another node has a newer configuration.
func TestNewerConfiguration(t *testing.T) {
	c := qt.New(t)
	table := newTable(0)
	a, b := entry(1, 1, 1), entry(2, 1, 1)
	a.ConfigurationVersion, b.ConfigurationVersion = 7, 9
	version, holder := table.Merge(0, []fleet.Entry{a, b})
	c.Check(version, qt.Equals, routing.Version(9))
	c.Check(holder, qt.Equals, address(2))
}

// spread runs gossip ticks among n nodes. It returns the number of ticks after which every node has fresh entries of all
// nodes, or 0 if that did not happen, and the number of messages in all ticks.
func spread(c *qt.C, n, ticks int) (needed, messages int) {
	tables := make([]*fleet.Table, n)
	var addresses []fleet.Endpoint
	for i := range n {
		tables[i] = newTable(i)
		addresses = append(addresses, fleet.Endpoint{Address: address(i), Zone: zoneOf(i)})
	}
	for _, table := range tables {
		table.AddEndpoints(addresses)
	}
	byAddress := map[netip.Addr]*fleet.Table{}
	for i := range n {
		byAddress[address(i)] = tables[i]
	}
	for tick := 1; tick <= ticks; tick++ {
		now := request.Instant(tick) * request.Instant(100*time.Millisecond)
		for _, table := range tables {
			table.RenewSelf(now, fleet.Entry{Incarnation: 1, Health: fleet.Serving})
		}
		for _, table := range tables {
			for _, m := range table.Messages(now) {
				messages++
				data, err := fleet.Encode(m.Entries)
				c.Assert(err, qt.IsNil)
				entries, err := fleet.Decode(data)
				c.Assert(err, qt.IsNil)
				byAddress[m.To].Merge(now, entries)
			}
		}
		if needed == 0 && knowsAll(tables, now) {
			needed = tick
		}
	}
	return needed, messages
}

// knowsAll reports whether every table has a fresh entry of every node.
func knowsAll(tables []*fleet.Table, now request.Instant) bool {
	for _, table := range tables {
		fresh := 0
		for _, i := range table.Snapshot(now) {
			if i.IsFresh {
				fresh++
			}
		}
		if fresh < len(tables) {
			return false
		}
	}
	return true
}

// TestSpread guards against entries that do not reach all nodes within a second, and against a message count that grows faster
// than the number of nodes.
func TestSpread(t *testing.T) {
	c := qt.New(t)
	needed, messages := spread(c, 12, 10)
	c.Check(needed > 0 && needed <= 10, qt.IsTrue, qt.Commentf("12 nodes: %d ticks", needed))
	c.Check(messages <= 12*10*4, qt.IsTrue, qt.Commentf("%d messages", messages))
}

// TestSpreadAtGrownSize guards against entries that do not reach all nodes within a second in user deployments that have grown to
// 85 machines.
func TestSpreadAtGrownSize(t *testing.T) {
	needed, _ := spread(qt.New(t), 85, 10)
	qt.Check(t, needed > 0 && needed <= 10, qt.IsTrue, qt.Commentf("85 nodes: %d ticks, 0 means never", needed))
}

// TestDecode guards against a malformed message from an unknown sender that crashes the process.
func TestDecode(t *testing.T) {
	for _, data := range []string{"", "x", "\x9f\xff\x00", "\x81\x81"} {
		_, err := fleet.Decode([]byte(data))
		qt.Check(t, err, qt.IsNotNil, qt.Commentf("%q", data))
	}
}

// FuzzDecode guards against a message that makes decoding or merging panic.
func FuzzDecode(f *testing.F) {
	data, err := fleet.Encode([]fleet.Entry{entry(1, 2, 3)})
	qt.Assert(f, err, qt.IsNil)
	f.Add(data)
	f.Fuzz(func(_ *testing.T, data []byte) {
		entries, err := fleet.Decode(data)
		if err == nil {
			newTable(0).Merge(0, entries)
		}
	})
}

// BenchmarkTick measures one gossip tick and snapshot for a fleet of the given number of nodes; docs/CAPACITY.md has the
// results.
func BenchmarkTick(b *testing.B) {
	for _, n := range []int{12, 85, 300, 2800} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			table := newTable(0)
			var entries []fleet.Entry
			for i := 1; i < n; i++ {
				e := entry(i, 1, 1)
				e.Service = request.ServiceID(fmt.Sprint("service", i%74))
				e.Rates = []fleet.Rate{{Route: 1, PerSecond: 3}, {Route: 2, PerSecond: 1}, {Route: 3, PerSecond: 1}, {Route: 4, PerSecond: 1}}
				entries = append(entries, e)
			}
			table.Merge(0, entries)
			bytes, messages := 0, 0
			for b.Loop() {
				table.RenewSelf(0, fleet.Entry{Incarnation: 1, Health: fleet.Serving})
				for _, m := range table.Messages(0) {
					data, err := fleet.Encode(m.Entries)
					qt.Assert(b, err, qt.IsNil)
					bytes += len(data)
					messages++
				}
				_ = table.Snapshot(0)
			}
			b.ReportMetric(float64(bytes)/float64(messages), "B/message")
		})
	}
}

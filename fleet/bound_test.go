package fleet_test

import (
	"fmt"
	"net/netip"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/sapphiretack/sapphiretack/fleet"
	"github.com/sapphiretack/sapphiretack/request"
)

// maxNodes is above the number of nodes that users expect, 2,800, and far below the number that fits into the memory of a node.
const maxNodes = 10_000

// TestTableIsBounded guards against a table that grows until its node has run out of memory, because a faulty node or store names new nodes,
// zones, services or incarnations without end.
func TestTableIsBounded(t *testing.T) {
	const named = 100_000
	address := func(i int) netip.Addr { return netip.AddrFrom4([4]byte{11, byte(i >> 16), byte(i >> 8), byte(i)}) }
	for name, add := range map[string]func(table *fleet.Table, i int){
		"entries": func(table *fleet.Table, i int) {
			table.Merge(0, []fleet.Entry{{Address: address(i), Zone: "a", Incarnation: 1, Health: fleet.Serving}})
		},
		"departures": func(table *fleet.Table, i int) {
			e := fleet.Entry{Address: address(i), Zone: "a", Incarnation: 1, Health: fleet.Departed}
			e.Instance = request.InstanceID(fmt.Sprintf("i-%d@1", i))
			table.Merge(0, []fleet.Entry{e})
		},
		"departures of one node": func(table *fleet.Table, i int) {
			e := fleet.Entry{Address: address(1), Zone: "a", Incarnation: 1, Sequence: uint32(i), Health: fleet.Departed}
			e.Instance = request.InstanceID(fmt.Sprintf("i-%d@1", i))
			table.Merge(0, []fleet.Entry{e})
		},
		"endpoints": func(table *fleet.Table, i int) {
			table.AddEndpoints(0, []fleet.Endpoint{{Address: address(i), Zone: "a"}})
		},
		"summaries": func(table *fleet.Table, i int) {
			table.MergeSummaries(0, []fleet.Summary{{
				Zone: request.ZoneID(fmt.Sprint("z", i)), Service: "s", Nodes: 1, Servers: []fleet.Server{{Address: address(i)}},
			}})
		},
	} {
		t.Run(name, func(t *testing.T) {
			table := newTable(0)
			for i := range named {
				add(table, i)
			}
			qt.Check(t, table.Size() <= maxNodes, qt.IsTrue, qt.Commentf("%d", table.Size()))
			known := entry(3, 1, 1)
			table.Merge(0, []fleet.Entry{known}) // must not fail
		})
	}
}

package fleet_test

import (
	"math"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/sapphiretack/sapphiretack/fleet"
	"github.com/sapphiretack/sapphiretack/request"
)

// FuzzMessage guards against a gossip message that ends the node, or brings a value into its view that no node can mean.
func FuzzMessage(f *testing.F) {
	peer := netip.MustParseAddr("10.1.0.9")
	for _, m := range []fleet.Message{
		{Entries: []fleet.Entry{{Address: peer, Zone: "a", Service: "registry", Rates: []fleet.Rate{{Route: 1, PerSecond: 3}}}}},
		{Entries: []fleet.Entry{{Address: peer, Zone: "a", Rates: []fleet.Rate{{Route: 1, PerSecond: float32(math.NaN())}}}}},
		{Summaries: []fleet.Summary{{Zone: "b", Service: "registry", Nodes: 2, Slots: 4, Servers: []fleet.Server{{Address: peer, Limit: 4}}}}},
	} {
		data, err := fleet.Encode(m)
		qt.Assert(f, err, qt.IsNil)
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		m, err := fleet.Decode(data)
		if err != nil {
			return
		}
		self := fleet.Endpoint{Address: netip.MustParseAddr("10.1.0.8"), Zone: "a"}
		table := fleet.New(fleet.DefaultSettings(), self, request.NewRandom())
		now := request.Instant(time.Hour)
		table.RenewSelf(now, fleet.Entry{})
		table.Merge(now, m.Entries)
		table.MergeSummaries(now, m.Summaries)
		for _, out := range table.Messages(now) {
			qt.Assert(t, fleet.IsNodeAddress(out.To), qt.IsTrue)
		}
		view := table.Snapshot(now)
		for _, in := range view.Instances {
			qt.Assert(t, fleet.IsNodeAddress(in.Address) && in.Age >= 0 && in.ServiceTime >= 0, qt.IsTrue)
			for _, r := range in.Rates {
				qt.Assert(t, r.PerSecond >= 0, qt.IsTrue)
			}
		}
		for _, s := range view.Summaries {
			for _, r := range s.Rates {
				qt.Assert(t, r.PerSecond >= 0, qt.IsTrue)
			}
		}
	})
}

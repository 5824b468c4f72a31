package routing_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
	qt "github.com/frankban/quicktest"

	"github.com/sapphiretack/sapphiretack/request"
	"github.com/sapphiretack/sapphiretack/routing"
)

// TestMatch guards against a request that is routed to the service of a different route.
func TestMatch(t *testing.T) {
	var routes []routing.Route
	datadriven.RunTest(t, "testdata/match", func(t *testing.T, d *datadriven.TestData) string {
		switch d.Cmd {
		case "routes":
			routes = nil
			for line := range strings.SplitSeq(d.Input, "\n") {
				fields := strings.Fields(line)
				routes = append(routes, routing.Route{
					ID: routing.IDOf(fields[0]), Name: fields[0], Host: fields[1], Prefix: fields[2],
					Services: []routing.WeightedService{{Service: request.ServiceID(fields[3]), Weight: 1}},
				})
			}
			return ""
		case "match":
			c := routing.NewConfiguration(1, routes, nil, routing.Limits{})
			var b strings.Builder
			for line := range strings.SplitSeq(d.Input, "\n") {
				host, path, _ := strings.Cut(line, " ")
				name := "none"
				if r, ok := c.Match(host, path); ok {
					name = r.Name
				}
				fmt.Fprintf(&b, "%s: %s\n", line, name)
			}
			return b.String()
		}
		t.Fatalf("%s: unknown command %q", d.Pos, d.Cmd)
		return ""
	})
}

// TestSplitter guards against a traffic split that deviates from its weights, even over a few requests, and against one that
// does not follow new weights.
func TestSplitter(t *testing.T) {
	c := qt.New(t)
	splitter := routing.NewSplitter()
	r := routing.Route{ID: 1, Services: []routing.WeightedService{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}}}
	count := map[request.ServiceID]int{}
	for range 200 {
		count[splitter.Pick(1, &r)]++
	}
	c.Check(count, qt.DeepEquals, map[request.ServiceID]int{"a": 180, "b": 20})
	r.Services[0].Weight, r.Services[1].Weight = 10, 90
	clear(count)
	for range 200 {
		count[splitter.Pick(2, &r)]++
	}
	c.Check(count, qt.DeepEquals, map[request.ServiceID]int{"a": 20, "b": 180})
}

// TestHolder guards against a node that reverts to an older configuration.
func TestHolder(t *testing.T) {
	c := qt.New(t)
	var h routing.Holder
	c.Check(h.Version(), qt.Equals, routing.Version(0))
	for _, step := range []struct {
		version routing.Version
		taken   bool
	}{{5, true}, {4, false}, {5, false}, {9, true}, {7, false}} {
		c.Check(h.StoreIfNewer(routing.NewConfiguration(step.version, nil, nil, routing.Limits{})), qt.Equals, step.taken)
	}
	c.Check(h.Version(), qt.Equals, routing.Version(9))
}

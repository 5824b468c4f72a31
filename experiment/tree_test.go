package experiment_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
	qt "github.com/frankban/quicktest"

	"github.com/sapphiretack/sapphiretack/experiment"
)

// named returns the item with the name and fails the test if there is none.
func named[T any](t *testing.T, items []T, name string, of func(T) string) T {
	i := slices.IndexFunc(items, func(item T) bool { return of(item) == name })
	qt.Assert(t, i >= 0, qt.IsTrue, qt.Commentf("%q is unknown", name))
	return items[i]
}

// TestTrees guards against a design that earns less than a baseline, or than itself with a mechanism
// switched off, under the recorded load patterns.
func TestTrees(t *testing.T) {
	datadriven.RunTest(t, "testdata/trees", func(t *testing.T, d *datadriven.TestData) string {
		var graphName, patternName string
		d.ScanArgs(t, "graph", &graphName)
		d.ScanArgs(t, "pattern", &patternName)
		graph := named(t, experiment.Graphs, graphName, func(g *experiment.Graph) string { return g.Name })
		pattern := named(t, experiment.Patterns, patternName, func(p experiment.Pattern) string { return p.Name })
		worth := map[string]float64{}
		run := func(name string) float64 {
			if _, ok := worth[name]; !ok {
				policy := named(t, experiment.TreePolicies, name, func(p experiment.TreePolicy) string { return p.Name })
				worth[name] = experiment.RunTrees(graph, pattern, policy, 1).Worth
			}
			return worth[name]
		}
		var out strings.Builder
		for line := range strings.Lines(d.Input) {
			better, worse, _ := strings.Cut(strings.TrimSpace(line), " ")
			if run(better) > run(worse) {
				fmt.Fprintf(&out, "%s earns more than %s\n", better, worse)
			} else {
				fmt.Fprintf(&out, "%s earns %.3f, %s %.3f\n", better, run(better), worse, run(worse))
			}
		}
		return out.String()
	})
}

// TestTreesRepeat guards against a run that depends on anything but its seed.
func TestTreesRepeat(t *testing.T) {
	for range 3 {
		a := experiment.RunTrees(experiment.Graphs[0], experiment.Patterns[1], experiment.TreePolicies[0], 3)
		b := experiment.RunTrees(experiment.Graphs[0], experiment.Patterns[1], experiment.TreePolicies[0], 3)
		qt.Assert(t, a, qt.DeepEquals, b)
	}
}

// minLookupWorth is the fraction of their worth that the users want lookups of golub-ledger-grown to
// earn on a calm day, which has a burst of 1.6 times the load.
const minLookupWorth = 0.25

// TestCrowdingAtOneInstance guards against nodes that all send their calls to the instance that was
// idle a moment ago, so that its queue delays trees while another instance is idle.
func TestCrowdingAtOneInstance(t *testing.T) {
	graph := named(t, experiment.Graphs, "golub-ledger-grown", func(g *experiment.Graph) string { return g.Name })
	pattern := named(t, experiment.Patterns, "surge", func(p experiment.Pattern) string { return p.Name })
	policy := named(t, experiment.TreePolicies, "planned", func(p experiment.TreePolicy) string { return p.Name })
	got := experiment.RunTrees(graph, pattern, policy, 1).ByRoute["bird-lookup"]
	qt.Check(t, got >= minLookupWorth, qt.IsTrue, qt.Commentf("lookups earned %.3f of their worth", got))
}

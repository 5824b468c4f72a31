package main

import (
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"sync"
	"text/tabwriter"

	"github.com/integrii/flaggy"
	"github.com/zeebo/errs"
	"golang.org/x/sync/errgroup"

	"github.com/sapphiretack/sapphiretack/experiment"
)

type options struct {
	scenario, deployment, variant string
	seed                          uint64
	json, timeline                bool
	trees                         bool
	graph, pattern, policy        string
	parallel                      int
}

func main() {
	o := options{scenario: "all", deployment: "all", variant: "all", seed: 1, parallel: 2, graph: "all", pattern: "all", policy: "all"}
	flaggy.SetName("sapphiretack-experiment")
	flaggy.SetDescription("Runs overload experiments in virtual time. Example: sapphiretack-experiment --scenario surge10 --variant sapphiretack")
	flaggy.String(&o.scenario, "", "scenario", "Scenarios, separated by commas, or all")
	flaggy.String(&o.deployment, "", "deployment", "Deployments, separated by commas, or all")
	flaggy.String(&o.variant, "", "variant", "Variants, separated by commas, or all")
	flaggy.UInt64(&o.seed, "", "seed", "Seed of the run")
	flaggy.Bool(&o.json, "", "json", "Print one JSON document for each run")
	flaggy.Bool(&o.timeline, "", "timeline", "Include each control interval in the output")
	flaggy.Bool(&o.trees, "", "trees", "Compare policies for placement and admission of call trees, instead of running scenarios")
	flaggy.String(&o.graph, "", "graph", "With --trees: call graphs, separated by commas, or all")
	flaggy.String(&o.pattern, "", "pattern", "With --trees: load patterns, separated by commas, or all")
	flaggy.String(&o.policy, "", "policy", "With --trees: policies, separated by commas, or all")
	flaggy.Int(&o.parallel, "", "parallel", "Maximum number of concurrent runs")
	flaggy.Parse()
	if err := run(o); err != nil {
		fmt.Fprintln(os.Stderr, "sapphiretack-experiment:", err)
		os.Exit(2)
	}
}

func run(o options) error {
	if o.trees {
		return runTrees(o)
	}
	deployments, err := selectByName(experiment.Deployments, o.deployment, func(d *experiment.Deployment) string { return d.Name })
	if err != nil {
		return err
	}
	scenarios, err := selectByName(experiment.Scenarios, o.scenario, func(s experiment.Scenario) string { return s.Name })
	if err != nil {
		return err
	}
	variants, err := selectByName(experiment.Variants, o.variant, func(v experiment.Variant) string { return v.Name })
	if err != nil {
		return err
	}
	reports, err := runAll(o, deployments, scenarios, variants)
	if err != nil || o.json {
		return err
	}
	return printTable(o, reports)
}

// selectByName returns the items that a comma-separated list of names selects, in the order of the list. The list "all" selects
// every item.
func selectByName[T any](items []T, names string, name func(T) string) ([]T, error) {
	if names == "all" {
		return items, nil
	}
	var out []T
	for n := range strings.SplitSeq(names, ",") {
		found := false
		for _, item := range items {
			if name(item) == n {
				out = append(out, item)
				found = true
			}
		}
		if !found {
			return nil, errs.New("%q is unknown; use all, or some of %s", n, joinNames(items, name))
		}
	}
	return out, nil
}

func joinNames[T any](items []T, name func(T) string) string {
	var names []string
	for _, item := range items {
		names = append(names, name(item))
	}
	return strings.Join(names, ", ")
}

// runAll runs each combination of a deployment, a scenario and a variant. JSON documents are printed as soon as a run ends,
// since the runs of all variants take a quarter of an hour.
func runAll(o options, deployments []*experiment.Deployment, scenarios []experiment.Scenario, variants []experiment.Variant) ([]*experiment.Report, error) {
	reports := make([]*experiment.Report, len(deployments)*len(scenarios)*len(variants))
	out := jsonPrinter{encoder: json.NewEncoder(os.Stdout), options: o}
	var group errgroup.Group
	group.SetLimit(max(1, o.parallel))
	i := 0
	for _, d := range deployments {
		for _, s := range scenarios {
			for _, v := range variants {
				index := i
				i++
				group.Go(func() error {
					reports[index] = experiment.Run(d, s, v, o.seed)
					return out.print(reports[index])
				})
			}
		}
	}
	return reports, errs.Wrap(group.Wait())
}

// jsonPrinter writes JSON documents of concurrent runs one at a time.
type jsonPrinter struct {
	mutex   sync.Mutex
	encoder *json.Encoder
	options options
}

func (p *jsonPrinter) print(r *experiment.Report) error {
	if !p.options.json {
		return nil
	}
	if !p.options.timeline {
		r.Timeline = nil
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return errs.Wrap(p.encoder.Encode(r))
}

func printTable(o options, reports []*experiment.Report) error {
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 1, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "deployment\tscenario\tvariant\toffered\ttotal%\tess%\tstd%\tbulk%\tess.ans%\tess.cap%\tafter%\trec.ms\tshare.ms\tp99rec.ms\twaste%\tatt/req\tatt/send\trefused e/s/b\tref.ms\tref99.ms\tess99.ms\tnorm99.ms\tothers%\tdeep%\t")
	for _, r := range reports {
		fmt.Fprintf(w, "%s\t%s\t%s\t%.2f\t%.1f\t%.1f\t%.1f\t%.1f\t%.2f\t%.2f\t%.1f\t%d\t%d\t%d\t%.1f\t%.3f\t%.3f\t%d/%d/%d\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t\n",
			r.Deployment, r.Scenario, r.Variant, r.OfferedPerSecond/r.CapacityPerSecond, 100*r.TotalGoodput,
			100*r.Goodput[0], 100*r.Goodput[1], 100*r.Goodput[2], 100*r.EssentialAnswered, 100*r.EssentialOfCapacity, 100*r.GoodputAfter,
			r.RecoveryMillis, r.ShareRecoveryMillis, r.LatencyRecoveryMillis, 100*r.WastedWork, r.AttemptsPerRequest, r.AttemptsPerSend,
			r.Refusals[0], r.Refusals[1], r.Refusals[2], r.RefusalMillisP50, r.RefusalMillisP99,
			r.EssentialMillisP99, r.NormalMillisP99, 100*r.OtherCustomers, 100*r.DeepChain)
		if o.timeline {
			printTimeline(w, r)
		}
	}
	return w.Flush()
}

func printTimeline(w *tabwriter.Writer, r *experiment.Report) {
	for _, p := range r.Timeline {
		fmt.Fprintf(w, "%d ms\tarrived %v\tanswered %v\tcompleted %v\tlevels %v\tqueued %v\tp99 %.0f ms\t\n",
			p.Millis, p.Arrived, p.Answered, p.Completed, p.Levels, p.Queued, p.MillisP99)
	}
}

// runTrees runs each combination of a call graph, a load pattern and a policy, and prints the reports.
func runTrees(o options) error {
	graphs, err := selectByName(experiment.Graphs, o.graph, func(g *experiment.Graph) string { return g.Name })
	if err != nil {
		return err
	}
	patterns, err := selectByName(experiment.Patterns, o.pattern, func(p experiment.Pattern) string { return p.Name })
	if err != nil {
		return err
	}
	policies, err := selectByName(experiment.TreePolicies, o.policy, func(p experiment.TreePolicy) string { return p.Name })
	if err != nil {
		return err
	}
	reports := make([]experiment.TreeReport, len(graphs)*len(patterns)*len(policies))
	var group errgroup.Group
	group.SetLimit(max(1, o.parallel))
	next := 0
	for _, g := range graphs {
		for _, p := range patterns {
			for _, v := range policies {
				index := next
				next++
				group.Go(func() error { reports[index] = experiment.RunTrees(g, p, v, o.seed); return nil })
			}
		}
	}
	if err := group.Wait(); err != nil {
		return errs.Wrap(err)
	}
	if o.json {
		encoder := json.NewEncoder(os.Stdout)
		for _, r := range reports {
			if err := encoder.Encode(r); err != nil {
				return errs.Wrap(err)
			}
		}
		return nil
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 1, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "graph\tpattern\tpolicy\tworth\tserved\trefused\tfailed\t")
	for _, r := range reports {
		fmt.Fprintf(w, "%s\t%s\t%s\t%.3f\t%.3f\t%.3f\t%.3f\t\n", r.Graph, r.Pattern, r.Policy, r.Worth, r.Served, r.Refused, r.Failed)
	}
	return w.Flush()
}

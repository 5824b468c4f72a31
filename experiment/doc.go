// Package experiment measures the decision code in virtual time against
// overload, and compares it with baselines.
//
// A run simulates callers, nodes and fake backend servers for the services on
// the paths of one deployment. The nodes use the packages admission, budget,
// call and route as they are; network, backend servers and callers are
// simulated. A run with the same seed gives the same report.
//
//	report := experiment.Run(experiment.Golubarnik, experiment.Surge10, experiment.Full, 1)
//	fmt.Println(report.Goodput.Essential, report.Recovery)
//
// The offered load is the real one: a surge of ten times sends ten times the
// normal requests at the full size of the deployment.
//
// RunTrees does the same for call trees on the users' platform, with the packages placement, gate and tree:
//
//	experiment.RunTrees(experiment.Graphs[0], experiment.Patterns[1], experiment.TreePolicies[0], 1)
package experiment

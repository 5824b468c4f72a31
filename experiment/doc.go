// Package experiment measures the overload control in virtual time and compares it with baselines.
//
// A run simulates callers, nodes and fake backend servers for the services on the call paths of one
// deployment. The nodes run the real packages admission, budget, call and route; the network, the
// backend servers and the callers are simulated. Runs with the same seed give the same report.
//
//	report := experiment.Run(experiment.Golubarnik, experiment.Surge10, experiment.Full, 1)
//	fmt.Println(report.Goodput[request.Essential], report.RecoveryMillis)
//
// The load is not scaled down: a surge of ten times sends ten times the normal requests at the full
// size of the deployment.
//
// RunTrees does the same for call trees on the users' platform, with the packages fleet, placement,
// gate and tree:
//
//	experiment.RunTrees(experiment.Graphs[0], experiment.Patterns[1], experiment.TreePolicies[0], 1)
package experiment

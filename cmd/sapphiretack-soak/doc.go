// Sapphiretack-soak runs nodes as separate processes, injects faults and checks
// the guarantees of the nodes.
//
//	sapphiretack-soak --program target/sapphiretack --seed 1 --count 50 --journal soak.jsonl
//
// The exit status is 1 if a guarantee is violated or a run fails. The journal
// has a line of JSON for each seed.
package main

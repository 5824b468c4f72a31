// Package soak runs nodes as separate processes, injects faults, and checks what clients and backend servers observed.
//
// The seed of a run determines its faults: signals to nodes; loopback proxies between nodes and in front of the store that
// delay, reset, block in one direction or block in both; a store that stalls or loses responses; backend servers that stop, drain,
// name a rate limit or send malformed responses; and requests that crash the backend servers that run them, at once or within the
// response. Faults overlap, and clients keep their connections open and send throughout. The stand-ins for the store and the
// backend servers run in the process of the soak test, which records what they receive:
//
//	result, err := soak.Run(ctx, soak.Settings{Program: "target/sapphiretack", Seed: 7, Duration: 10 * time.Second})
//	for _, v := range result.Violations { ... }
//
// Timing differs between runs, so a seed reproduces the faults but not every interleaving. The checks are guarantees that hold
// at any speed, except for the one on recovery, which has a generous time limit.
package soak

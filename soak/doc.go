// Package soak runs nodes as separate processes, breaks things around them, and checks what callers and backend servers saw.
//
// A run has a seed, from which its faults follow: signals to nodes, a loopback proxy between nodes and in front of the store
// that delays, resets, cuts one way or goes silent, a store that stalls or loses answers, and backend servers that end, leave
// or spoil responses. Faults overlap. Clients keep using their connections all the while. The stand-ins for the store and for
// backend servers run in the process of the soak, which sees what they saw:
//
//	result, err := soak.Run(ctx, soak.Settings{Program: "target/sapphiretack", Seed: 7, Length: 10 * time.Second})
//	for _, v := range result.Violations { ... }
//
// Timings differ from run to run, so a seed repeats the faults and not each interleaving. A run judges promises that hold at any
// speed; the one on recovery has a wide bound.
package soak

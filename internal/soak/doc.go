// Package soak runs a small fleet of real node processes, injects faults by a plan
// derived from a seed, and checks what callers, operators and backend servers observe
// against the promises of docs/PROOFS.md.
//
// The other nodes reach each node through relays on the loopback interface, which cut,
// silence, delay and reset its connections. Signals pause, stop and kill its process;
// its data folder is wiped, its log is left with a torn record, or a new node replaces
// it at other addresses. The backend servers are stand-ins in this process, so that
// their executions are known after any fault.
//
// A plan depends only on its seed, so a failed seed can be run again; the timing of two
// runs still differs.
//
//	report, err := soak.Run(soak.Options{Bin: "bin", Seed: 7, Duration: 20 * time.Second})
package soak

// Package soak runs a small fleet of real node processes, disturbs it from
// outside by a plan that follows from a seed, and checks what callers,
// operators and backend servers see against the promises of docs/PROOFS.md.
//
// Nodes are processes of their own. Each is reached by the others through
// relays on the loopback interface, which cut, silence, delay and reset its
// connections; signals pause, stop and kill it; its folder is wiped, its log ends
// in a torn record, or another node takes its place at other addresses. The backend servers are stand-ins in this process, so
// that what they ran is known whatever happens to them.
//
// A plan depends on nothing but its seed, so a seed that failed once can be
// played again, though real time makes two runs of it differ.
//
//	report, err := soak.Run(soak.Options{Bin: "bin", Seed: 7, Span: 20 * time.Second})
package soak

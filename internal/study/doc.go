// Package study plays one failure domain in virtual time, at any size: the real
// gossip cores, over a network that delays and loses datagrams. It tells how long a
// lost process goes unnoticed, how often a running one is suspected, what members
// send, and how long a change of the settings takes to be in force on all.
//
// It is deterministic by its seed, starts no goroutine and does no I/O.
//
//	figures := study.Run(study.Options{Members: 128, Seed: 1, Loss: 0.01})
package study

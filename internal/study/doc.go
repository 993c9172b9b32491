// Package study simulates the gossip of one failure domain of any size in virtual time:
// the daemon's gossip cores over a network that delays and loses datagrams. It measures
// failure detection time, false suspicions, traffic, and the propagation time of
// settings.
//
// A seed determines the result. The package starts no goroutines and does no I/O.
//
//	result := study.Run(study.Options{Members: 128, Seed: 1, Loss: 0.01})
package study

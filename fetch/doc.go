// Package fetch decides from which nodes a node fetches newer settings, when, and for how long
// it waits for each. It is a pure state machine: events and a time go in, fetches to start come
// out. It performs no I/O, reads no clock, starts no goroutines and is not safe for concurrent
// use. Times are on the node's clock.
//
// The load: a version spreads while many of those that announced it are frozen, cut off or gone,
// or while the node's own link is busy. A fetch that is not answered promptly is therefore
// hedged: another node is asked, and the first reply counts.
package fetch

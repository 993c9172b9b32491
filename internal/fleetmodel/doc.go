// Package fleetmodel plays a whole fleet under load in virtual time: callers, nodes
// and backend servers, with the decisions that the daemon takes (admission, budget,
// pathlevel, rank, retry, route) and none of its input and output.
//
// A Fleet says what is played: services with their backend servers, request kinds
// with the calls that they make, the load, and what goes wrong when. Run plays it and
// returns what became of the requests. The same fleet and seed give the same result.
//
// What is left out: processor time, bodies, connections, membership (every node knows
// all servers at once; one that has lost power is found out by its silence), the
// settings, and the time that a node takes for its own work.
package fleetmodel

// Package fleetmodel is a discrete-event simulation of a fleet under load: callers,
// nodes and backend servers. It runs the daemon's decision code (admission, budget,
// pathlevel, rank, retry, route) without its I/O.
//
// A Scenario describes the services with their backend servers, the request kinds with
// their nested calls, the load and the disturbances. Run simulates it and returns the
// outcomes of the requests. A scenario and a seed determine the result.
//
// Not simulated: CPU time, bodies, connections, membership (every node knows all
// servers; one without power is detected by its silence), settings, and the processing
// time of the nodes.
package fleetmodel

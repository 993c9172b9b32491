// Package quarantine decides which requests to refuse because they terminate the backend
// servers that run them ("queries of death"). Such a request, resent by its caller and
// retried by the nodes, would take down a service server by server, together with the
// healthy requests that those servers had in flight.
//
// Each termination of a backend server is recorded with the fingerprints of the requests
// that it had in flight. A fingerprint found at several terminations, and at a large
// enough share of all terminations in the service meanwhile, is quarantined: requests
// with it are refused for some time. Afterwards they run again; if one of them terminates
// another server, a longer quarantine follows.
//
// Healthy requests that happened to be in flight at several terminations are recognised
// by their answers, since a request that terminates every server is never answered. One
// answer clears the fingerprint.
//
// The package does no I/O and reads no clock: terminations, answers and times are passed
// in, and a View of the refused requests is returned. Its memory is bounded.
package quarantine

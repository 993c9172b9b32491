// Package quarantine decides which requests are refused because they end the backend
// servers that run them (a "query of death").
//
// The load that it answers: one request that makes its backend server exit, sent again
// by its caller and by the nodes, takes a service away server by server, and with each
// server the healthy requests that it had in work.
//
// Each end of a backend server brings the marks of the requests that it had in work. A
// mark that is among those of several ends, and of a good share of all that ended in the
// service meanwhile, is refused for a while. Then one request may be run again; each
// further end lengthens the time.
//
// Healthy requests that were in work at several ends are told apart by their answers: a
// request that ends every server never has one. One answer clears what is like it.
//
// The package is pure: ends, answers and times go in, a View of what is refused comes
// out. Its memory is bounded, whatever ends.
package quarantine

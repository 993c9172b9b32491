package settings

import (
	"slices"
	"strings"
	"sync/atomic"
)

// Target is a request kind that a route directs requests to.
type Target struct {
	// Scope is fleet/service/kind.
	Scope string
	// Weight is the target's share of the route's requests, relative to the
	// other targets.
	Weight int
	// Policy holds the effective settings of the request kind.
	Policy *Policy
}

// Route directs the requests for a host and a path prefix to request kinds. A
// route with several targets divides its requests by their weights.
type Route struct {
	// Host is in lower case, without a port.
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	// Targets are sorted by scope; each has a positive weight.
	Targets []Target

	totalWeight int
	// selections counts the calls of SelectTarget on several targets.
	selections atomic.Uint64
}

// goldenRatioFraction is the fractional part of the golden ratio in units of
// 2^-64. Its multiples are evenly distributed, so that even a few requests are
// divided by the weights.
const goldenRatioFraction = 0x9e3779b97f4a7c15

// SelectTarget returns the target of the next request, by weight. It is safe
// for concurrent use.
func (r *Route) SelectTarget() *Target {
	if len(r.Targets) == 1 {
		return &r.Targets[0]
	}
	const scale = 1 << 32
	at := int((r.selections.Add(1) * goldenRatioFraction >> 32) * uint64(r.totalWeight) / scale)
	for i := range r.Targets {
		at -= r.Targets[i].Weight
		if at < 0 {
			return &r.Targets[i]
		}
	}
	return &r.Targets[len(r.Targets)-1]
}

// routeTable holds the routes by host and path prefix.
type routeTable map[string]map[string]*Route

// MatchRoute returns the route of the host with the longest prefix of the path,
// or nil. Case and a port in host are ignored.
func (t *Tree) MatchRoute(host, path string) *Route {
	prefixes := t.routes[strings.ToLower(withoutPort(host))]
	if prefixes == nil {
		return nil
	}
	for end := len(path); end > 0; {
		slash := strings.LastIndexByte(path[:end], '/')
		if slash < 0 {
			return nil
		}
		if r := prefixes[path[:slash+1]]; r != nil {
			return r
		}
		end = slash
	}
	return nil
}

// HasRoutes reports whether the document has any route.
func (t *Tree) HasRoutes() bool { return len(t.routes) > 0 }

// withoutPort removes the port from the Host field of a request.
func withoutPort(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		return host[:i]
	}
	return host
}

// buildRoutes groups the request kinds by host and path prefix: kinds with the
// same pair are targets of one route. Kinds of weight 0 are left out.
func (t *Tree) buildRoutes() routeTable {
	table := routeTable{}
	for _, scope := range t.order {
		p := t.policies[scope]
		if levelOf(scope) != LevelKind || p.Host == "" || p.PathPrefix == "" || p.Weight == 0 {
			continue
		}
		table.add(scope, p)
	}
	return table
}

// add adds a request kind to the route of its host and prefix.
func (rt routeTable) add(scope string, p *Policy) {
	host := strings.ToLower(p.Host)
	prefixes := rt[host]
	if prefixes == nil {
		prefixes = map[string]*Route{}
		rt[host] = prefixes
	}
	r := prefixes[p.PathPrefix]
	if r == nil {
		r = &Route{Host: host, Prefix: p.PathPrefix}
		prefixes[p.PathPrefix] = r
	}
	r.Targets = append(r.Targets, Target{scope, p.Weight, p})
	r.totalWeight += p.Weight
	slices.SortFunc(r.Targets, func(a, b Target) int { return strings.Compare(a.Scope, b.Scope) })
}

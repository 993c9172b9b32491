package settings

import (
	"slices"
	"strings"
	"sync/atomic"
)

// Target is a request kind that a route leads to.
type Target struct {
	// Scope is fleet/service/kind.
	Scope string
	// Weight is its part of the route's requests.
	Weight int
	// Policy is its effective settings.
	Policy *Policy
}

// Route leads the requests for a host and a path prefix to request kinds. A
// route with several targets divides its requests by their weights.
type Route struct {
	// Host is in lower case, without a port.
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	// Targets are sorted by scope; at least one has a weight.
	Targets []Target

	total int
	// drawn counts the requests that were divided.
	drawn atomic.Uint64
}

// golden is the fraction of the golden ratio in units of 2^-64. Its multiples
// are spread evenly, so that even a few requests are divided by the weights.
const golden = 0x9e3779b97f4a7c15

// Draw returns the target of the next request. It is safe for concurrent use.
func (r *Route) SelectTarget() *Target {
	if len(r.Targets) == 1 {
		return &r.Targets[0]
	}
	const scale = 1 << 32
	at := int((r.drawn.Add(1) * golden >> 32) * uint64(r.total) / scale)
	for i := range r.Targets {
		at -= r.Targets[i].Weight
		if at < 0 {
			return &r.Targets[i]
		}
	}
	return &r.Targets[len(r.Targets)-1]
}

// routeTable finds the route of a request by host and prefix.
type routeTable map[string]map[string]*Route

// Route returns the route whose host is the given one and whose prefix is the
// longest that begins the path, or nil.
func (t *Tree) MatchRoute(host, path string) *Route {
	prefixes := t.routes[strings.ToLower(hostOnly(host))]
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

// HasRoutes tells whether any route is described.
func (t *Tree) HasRoutes() bool { return len(t.routes) > 0 }

func hostOnly(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		return host[:i]
	}
	return host
}

// buildRoutes gathers the request kinds that name a host and a prefix. Kinds
// that name the same ones are the targets of one route.
func (t *Tree) buildRoutes() routeTable {
	table := routeTable{}
	for _, scope := range t.order {
		p := t.policies[scope]
		if depthOf(scope) != LevelKind || p.Host == "" || p.PathPrefix == "" || p.Weight == 0 {
			continue
		}
		table.add(scope, p)
	}
	return table
}

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
	r.total += p.Weight
	slices.SortFunc(r.Targets, func(a, b Target) int { return strings.Compare(a.Scope, b.Scope) })
}

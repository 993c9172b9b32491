// Package route chooses the backend server that a request goes to.
//
// A Snapshot is immutable and swapped whole when the membership changes, so
// that a request takes no lock. Within it, a request goes to its own failure
// domain first and spills over to the others with a probability that grows
// with the own domain's utilisation; within a domain the less loaded of two
// random instances is taken ("power of two choices", Mitzenmacher, 2001).
// Failing instances are ejected, at most a share of a service at once, and
// probed back with single requests; new ones ramp up; leaving ones get nothing.
package route

import (
	"time"

	"github.com/umberthread/umberthread/fault"
	"github.com/umberthread/umberthread/rank"
)

// Options are the routing settings of one service.
type Options struct {
	// SpillAt is the utilisation from which requests spill over.
	SpillAt float64
	// EjectMax is the largest share of a domain's instances ejected at once.
	EjectMax float64
	// Ramp is the time over which a new instance's share grows.
	Ramp time.Duration
}

// Service is the set of instances of one service.
type Service struct {
	// Own are the instances in the node's own failure domain.
	LocalInstances []*Instance
	// Others are those of the other domains, each domain with one that can
	// be reached.
	RemoteDomains [][]*Instance
}

// Snapshot is an immutable routing table. Services are keyed fleet/service.
type Snapshot struct {
	Services map[string]*Service
	// Gone tells since when services that had instances have none, on the
	// picker's clock.
	Gone map[string]time.Duration
}

// Follow takes over from the snapshot before which services have lost all their
// instances. It is called once, before the snapshot is swapped in.
func (s *Snapshot) InheritUnavailable(before *Snapshot, now time.Duration) {
	s.Gone = map[string]time.Duration{}
	for name, since := range before.Gone {
		s.Gone[name] = since
	}
	for name := range before.Services {
		s.Gone[name] = now
	}
	for name := range s.Services {
		delete(s.Gone, name)
	}
}

// MayReturn tells whether an instance of a service is likely to be back soon:
// some are known that take nothing now, or the last was lost within the time.
func (s *Snapshot) MayReturn(service string, now, within time.Duration) bool {
	if s.Services[service] != nil {
		return true
	}
	since, ok := s.Gone[service]
	return ok && now-since < within
}

// Has tells whether a service has an instance, other than the one with the id,
// that takes requests.
func (s *Snapshot) HasUsableInstance(service, except string, now time.Duration) bool {
	svc := s.Services[service]
	if svc == nil {
		return false
	}
	for _, ins := range append([][]*Instance{svc.LocalInstances}, svc.RemoteDomains...) {
		for _, in := range ins {
			if in.ID != except && in.Observed.usable(now) {
				return true
			}
		}
	}
	return false
}

// Rand is the source of choices, uniform in [0, 1) and [0, n).
type Rand interface {
	Float64() float64
	IntN(n int) int
}

// Query is what a pick depends on beside the table.
type Query struct {
	Service string
	Rank    rank.Rank
	Depth   uint8
	Now     time.Duration
	Options Options
	// Avoid is an instance that has just failed this request, or nil.
	Avoid *Instance
	// AvoidIfOthers is set if Avoid is chosen where no other instance takes the
	// request.
	AvoidIfOthers bool
	// Among are the only instances that may be chosen, nil for any.
	Allowed []*Instance
}

// Pick returns the instance to send a request to, or the reason why none
// takes it: NoBackend, or Overload if the levels of all that could be tried
// shed its rank.
func (s *Snapshot) Pick(q *Query, r Rand) (*Instance, fault.Code) {
	in, code := s.pick(q, r)
	if in != nil || q.Avoid == nil || !q.AvoidIfOthers {
		return in, code
	}
	all := *q
	all.Avoid = nil
	return s.pick(&all, r)
}

func (s *Snapshot) pick(q *Query, r Rand) (*Instance, fault.Code) {
	svc := s.Services[q.Service]
	if svc == nil {
		return nil, fault.NoBackend
	}
	if len(q.Allowed) > 0 {
		return svc.among(q)
	}
	first, second := svc.LocalInstances, svc.other(q, r)
	if len(first) == 0 || len(second) > 0 && q.spills(first, second, r) {
		first, second = second, first
	}
	in, code := q.choose(first, r)
	if in != nil || len(svc.RemoteDomains) == 0 {
		return in, code
	}
	if spare, c := q.choose(second, r); spare != nil {
		return spare, c
	}
	return svc.any(q, r, code)
}

// among returns the best of the instances that the query allows and that still
// serve.
func (s *Service) among(q *Query) (*Instance, fault.Code) {
	best, code := q.bestOf(s.LocalInstances, nil, fault.NoBackend)
	for _, ins := range s.RemoteDomains {
		best, code = q.bestOf(ins, best, code)
	}
	if best != nil {
		return best, fault.None
	}
	return nil, code
}

// bestOf returns the best of best and the allowed ones of ins.
func (q *Query) bestOf(ins []*Instance, best *Instance, code fault.Code) (*Instance, fault.Code) {
	for _, in := range ins {
		if !in.IsAnyOf(q.Allowed) {
			continue
		}
		if c := q.admits(in, ins); c != fault.None {
			code = worse(code, c)
			continue
		}
		if best == nil || q.better(in, best) {
			best = in
		}
	}
	return best, code
}

// any looks at every other domain, from a random start, for an instance that
// takes the request. code is the reason so far.
func (s *Service) any(q *Query, r Rand, code fault.Code) (*Instance, fault.Code) {
	from := r.IntN(len(s.RemoteDomains))
	for i := range s.RemoteDomains {
		in, c := q.choose(s.RemoteDomains[(from+i)%len(s.RemoteDomains)], r)
		if in != nil {
			return in, c
		}
		code = worse(code, c)
	}
	return nil, code
}

// other returns the less loaded of two random other domains.
func (s *Service) other(q *Query, r Rand) []*Instance {
	n := len(s.RemoteDomains)
	if n == 0 {
		return nil
	}
	a := s.RemoteDomains[r.IntN(n)]
	b := s.RemoteDomains[r.IntN(n)]
	if q.utilisation(b) < q.utilisation(a) {
		return b
	}
	return a
}

// utilisation is the mean load of up to sampleMax of the instances.
func (q *Query) utilisation(ins []*Instance) float64 {
	n := min(len(ins), sampleMax)
	if n == 0 {
		return 1
	}
	sum := 0.0
	for _, in := range ins[:n] {
		if in.Observed.draining.Load() || in.Observed.cutOff.Load() || in.Observed.Ejected() {
			sum++
			continue
		}
		sum += min(1, in.load(q.Now, q.Options.Ramp))
	}
	return sum / float64(n)
}

// sampleMax bounds the instances looked at for a domain's utilisation.
const sampleMax = 8

// spills draws whether a request leaves the own domain: never below SpillAt,
// then with a probability that rises linearly to one at full utilisation.
func (q *Query) spills(own, others []*Instance, r Rand) bool {
	u := q.utilisation(own)
	if slow := slowdown(own, others); slow > slowFrom && r.Float64() < 1-1/slow {
		return true
	}
	at := q.Options.SpillAt
	if u <= at || at >= 1 {
		return false
	}
	return r.Float64() < (u-at)/(1-at)
}

// slowFrom is how many times slower than another domain the own one must be
// for requests to leave it. Workers of one service differ in speed up to three
// times while all is well.
const slowFrom = 3

// slowdown is how many times slower the answers of some instances are than
// those of others; 0 while either is unknown.
func slowdown(ins, others []*Instance) float64 {
	a, b := meanLatency(ins), meanLatency(others)
	if a == 0 || b == 0 {
		return 0
	}
	return a / b
}

func meanLatency(ins []*Instance) float64 {
	sum, n := 0.0, 0.0
	for _, in := range ins[:min(len(ins), sampleMax)] {
		if l := in.latency(); l > 0 {
			sum += l
			n++
		}
	}
	if n == 0 {
		return 0
	}
	return sum / n
}

// better tells whether a is the better choice of two: the one with less load,
// unless it is so much slower that its load is the longer wait.
func (q *Query) better(a, b *Instance) bool {
	la, lb := a.load(q.Now, q.Options.Ramp), b.load(q.Now, q.Options.Ramp)
	ta, tb := a.latency(), b.latency()
	if ta > slowFrom*tb && tb > 0 || tb > slowFrom*ta && ta > 0 {
		return (la+leastLoad)*ta < (lb+leastLoad)*tb
	}
	return la < lb
}

// leastLoad stands for the load of the request itself where instances of very
// different speed are compared.
const leastLoad = 0.1

// choose takes the less loaded of two random instances that may be used. If
// the draws find none it looks at all, from a random start.
func (q *Query) choose(ins []*Instance, r Rand) (*Instance, fault.Code) {
	n := len(ins)
	if n == 0 {
		return nil, fault.NoBackend
	}
	code := fault.NoBackend
	var best *Instance
	first := r.IntN(n)
	for draw := range min(2, n) {
		in := ins[first]
		if draw == 1 {
			in = ins[(first+1+r.IntN(n-1))%n]
		}
		if c := q.admits(in, ins); c != fault.None {
			code = worse(code, c)
			continue
		}
		if best == nil || q.better(in, best) {
			best = in
		}
	}
	if best != nil {
		return q.notFailing(best, ins, r), fault.None
	}
	from := r.IntN(n)
	for i := range n {
		in := ins[(from+i)%n]
		c := q.admits(in, ins)
		if c == fault.None {
			return in, fault.None
		}
		code = worse(code, c)
	}
	return nil, code
}

// notFailing returns the best of some more instances if the one that was drawn fails a
// share of its requests. Where two fifths of a service do, both draws are such in one of
// six, and a chain of four calls meets one every second time.
func (q *Query) notFailing(drawn *Instance, ins []*Instance, r Rand) *Instance {
	if drawn.Observed.penalty(q.Now) == 0 || len(ins) <= 2 {
		return drawn
	}
	best := drawn
	from := r.IntN(len(ins))
	for i := range min(len(ins), sampleMax) {
		in := ins[(from+i)%len(ins)]
		if q.admits(in, ins) == fault.None && q.better(in, best) {
			best = in
		}
	}
	return best
}

// worse prefers Overload, the more telling of the two reasons.
func worse(a, b fault.Code) fault.Code {
	if a == fault.Overload {
		return a
	}
	return b
}

func (q *Query) admits(in *Instance, all []*Instance) fault.Code {
	if q.Avoid != nil && in.Observed == q.Avoid.Observed {
		return fault.NoBackend
	}
	if !in.Observed.usable(q.Now) && !q.tooManyEjected(in, all) {
		return fault.NoBackend
	}
	if !in.Observed.Level(q.Now).Admits(q.Rank, q.Depth) {
		return fault.Overload
	}
	return fault.None
}

// tooManyEjected tells whether an ejected instance is used all the same,
// because more than EjectMax of the instances are ejected. If nearly all
// fail, the fault is rarely theirs, and shutting them out loses what is left.
func (q *Query) tooManyEjected(in *Instance, all []*Instance) bool {
	if in.Observed.draining.Load() || in.Observed.cutOff.Load() {
		return false
	}
	ejected := 0
	for _, o := range all {
		if o.Observed.Ejected() {
			ejected++
		}
	}
	return float64(ejected) > q.Options.EjectMax*float64(len(all))
}

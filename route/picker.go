// Package route chooses the backend server for each request.
//
// A Snapshot is an immutable routing table, swapped as a whole when the membership
// changes, so that requests take no lock. A request prefers its own failure domain and
// spills over to others with a probability that grows with the own domain's utilisation.
// Within a domain the less loaded of two random instances is chosen ("power of two
// choices", Mitzenmacher, 2001). Failing instances are ejected, up to a maximum share of
// their domain, and readmitted after a single successful probe; new instances ramp up,
// and draining ones get no requests.
package route

import (
	"time"

	"github.com/umberthread/umberthread/fault"
	"github.com/umberthread/umberthread/rank"
)

// Options holds the routing settings of one service.
type Options struct {
	// SpillAt is the utilisation of the own failure domain above which requests spill
	// over to others.
	SpillAt float64
	// EjectMax is the largest share of a domain's instances that may be ejected at once.
	EjectMax float64
	// Ramp is the time over which a new instance's share of the load grows.
	Ramp time.Duration
}

// Service holds the instances of one service.
type Service struct {
	// LocalInstances are the instances in the node's own failure domain.
	LocalInstances []*Instance
	// RemoteDomains are the instances of the other failure domains, grouped by domain;
	// only reachable domains with instances are included.
	RemoteDomains [][]*Instance
}

// Snapshot is an immutable routing table. Services is keyed by fleet/service.
type Snapshot struct {
	Services map[string]*Service
	// UnavailableSince maps the services that lost all their instances to the time of the
	// loss, on the clock of Query.Now.
	UnavailableSince map[string]time.Duration
}

// InheritUnavailable derives from the previous snapshot which services have lost all
// their instances. It must be called once, before the snapshot is published.
func (s *Snapshot) InheritUnavailable(before *Snapshot, now time.Duration) {
	s.UnavailableSince = map[string]time.Duration{}
	for name, since := range before.UnavailableSince {
		s.UnavailableSince[name] = since
	}
	for name := range before.Services {
		s.UnavailableSince[name] = now
	}
	for name := range s.Services {
		delete(s.UnavailableSince, name)
	}
}

// MayReturn reports whether a service is likely to accept requests again soon: it has
// instances, usable or not, or lost the last one less than within ago.
func (s *Snapshot) MayReturn(service string, now, within time.Duration) bool {
	if s.Services[service] != nil {
		return true
	}
	since, ok := s.UnavailableSince[service]
	return ok && now-since < within
}

// Knows reports whether a service has instances or is known to have lost them.
func (s *Snapshot) Knows(service string) bool {
	_, lost := s.UnavailableSince[service]
	return lost || s.Services[service] != nil
}

// HasUsableInstance reports whether a service has a usable instance other than the one
// with the ID except.
func (s *Snapshot) HasUsableInstance(service, except string, now time.Duration) bool {
	svc := s.Services[service]
	if svc == nil {
		return false
	}
	for _, ins := range append([][]*Instance{svc.LocalInstances}, svc.RemoteDomains...) {
		for _, in := range ins {
			if in.ID != except && in.Observed.isUsable(now) {
				return true
			}
		}
	}
	return false
}

// LowestLevel returns the lowest admission level that a usable instance of a service reported,
// 0 if there is none.
func (s *Snapshot) LowestLevel(service string, now time.Duration) rank.Level {
	svc := s.Services[service]
	if svc == nil {
		return 0
	}
	lowest, known := lowestLevel(svc.LocalInstances, now)
	for _, ins := range svc.RemoteDomains {
		l, ok := lowestLevel(ins, now)
		if ok && (!known || l < lowest) {
			lowest, known = l, true
		}
	}
	return lowest
}

// PathLevel returns the level that an answer of an instance of a service stands for on the path of
// a request: path, the level that the answer reports for the path, and the instance's own level
// as far as no other instance admits more. The rate limit of one backend server must not shed
// requests that the others have room for.
func (s *Snapshot) PathLevel(service string, path, instance rank.Level, now time.Duration) rank.Level {
	if instance <= path {
		return path
	}
	return max(path, min(instance, s.LowestLevel(service, now)))
}

// lowestLevel returns the lowest level of the usable instances in ins, false if none is usable.
func lowestLevel(ins []*Instance, now time.Duration) (lowest rank.Level, known bool) {
	for _, in := range ins {
		if !in.Observed.isUsable(now) {
			continue
		}
		if l := in.Observed.Level(now); !known || l < lowest {
			lowest, known = l, true
		}
		if lowest == 0 {
			return 0, true
		}
	}
	return lowest, known
}

// Rand is a source of uniform random numbers in [0, 1) and [0, n).
type Rand interface {
	Float64() float64
	IntN(n int) int
}

// Query holds the inputs of a pick besides the routing table.
type Query struct {
	Service string
	Rank    rank.Rank
	Depth   uint8
	Now     time.Duration
	Options Options
	// Avoid is an instance that has just failed this request, or nil.
	Avoid *Instance
	// AvoidIfPossible allows Avoid to be chosen if no other instance admits the request.
	AvoidIfPossible bool
	// Allowed restricts the choice to these instances; all are allowed if it is empty.
	Allowed []*Instance
}

// Pick returns the instance to send a request to. If there is none, the code is
// NoBackend, or Overload if admission levels shed the rank of the request.
func (s *Snapshot) Pick(q *Query, r Rand) (*Instance, fault.Code) {
	in, code := s.pick(q, r)
	if in != nil || q.Avoid == nil || !q.AvoidIfPossible {
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
		return svc.pickAllowed(q)
	}
	first, second := svc.LocalInstances, svc.chooseRemoteDomain(q, r)
	if len(first) == 0 || len(second) > 0 && q.shouldSpillOver(first, second, r) {
		first, second = second, first
	}
	in, code := q.chooseInstance(first, r)
	if in != nil || len(svc.RemoteDomains) == 0 {
		return in, code
	}
	if spare, c := q.chooseInstance(second, r); spare != nil {
		return spare, c
	}
	return svc.pickFromAnyRemoteDomain(q, r, code)
}

// pickAllowed returns the best instance that the query allows and that admits the
// request.
func (s *Service) pickAllowed(q *Query) (*Instance, fault.Code) {
	best, code := q.bestAllowed(s.LocalInstances, nil, fault.NoBackend)
	for _, ins := range s.RemoteDomains {
		best, code = q.bestAllowed(ins, best, code)
	}
	if best != nil {
		return best, fault.None
	}
	return nil, code
}

// bestAllowed returns the best of best and the allowed instances of ins, and the reason
// so far if there is none.
func (q *Query) bestAllowed(ins []*Instance, best *Instance, code fault.Code) (*Instance, fault.Code) {
	for _, in := range ins {
		if !in.IsAnyOf(q.Allowed) {
			continue
		}
		if c := q.admissionCode(in, ins); c != fault.None {
			code = preferOverload(code, c)
			continue
		}
		if best == nil || q.isBetter(in, best) {
			best = in
		}
	}
	return best, code
}

// pickFromAnyRemoteDomain tries all remote domains from a random start for an instance
// that admits the request. code is the reason so far.
func (s *Service) pickFromAnyRemoteDomain(q *Query, r Rand, code fault.Code) (*Instance, fault.Code) {
	from := r.IntN(len(s.RemoteDomains))
	for i := range s.RemoteDomains {
		in, c := q.chooseInstance(s.RemoteDomains[(from+i)%len(s.RemoteDomains)], r)
		if in != nil {
			return in, c
		}
		code = preferOverload(code, c)
	}
	return nil, code
}

// chooseRemoteDomain returns the less utilised of two random remote domains.
func (s *Service) chooseRemoteDomain(q *Query, r Rand) []*Instance {
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

// utilisation returns the mean load of up to maxSampledInstances instances, in [0, 1].
func (q *Query) utilisation(ins []*Instance) float64 {
	n := min(len(ins), maxSampledInstances)
	if n == 0 {
		return 1
	}
	sum := 0.0
	for _, in := range ins[:n] {
		if in.Observed.isDraining(q.Now) || in.Observed.unreachable.Load() || in.Observed.Ejected() {
			sum++
			continue
		}
		sum += min(1, in.load(q.Now, q.Options.Ramp))
	}
	return sum / float64(n)
}

// maxSampledInstances bounds how many instances of a domain are inspected.
const maxSampledInstances = 8

// shouldSpillOver decides at random whether a request leaves its own domain. The
// probability grows linearly from 0 at SpillAt to 1 at full utilisation; a domain much
// slower than the other one loses more requests.
func (q *Query) shouldSpillOver(own, others []*Instance, r Rand) bool {
	u := q.utilisation(own)
	if slow := slowdown(own, others); slow > slowdownThreshold && r.Float64() < 1-1/slow {
		return true
	}
	at := q.Options.SpillAt
	if u <= at || at >= 1 {
		return false
	}
	return r.Float64() < (u-at)/(1-at)
}

// slowdownThreshold is the ratio of mean latencies above which a difference in speed
// counts. The workers of one service differ in speed up to three times while all is well.
const slowdownThreshold = 3

// slowdown returns the ratio of the mean latencies of two sets of instances, 0 if either
// is unknown.
func slowdown(ins, others []*Instance) float64 {
	a, b := meanLatency(ins), meanLatency(others)
	if a == 0 || b == 0 {
		return 0
	}
	return a / b
}

// meanLatency returns the mean latency in seconds of up to maxSampledInstances instances,
// 0 if unknown.
func meanLatency(ins []*Instance) float64 {
	sum, n := 0.0, 0.0
	for _, in := range ins[:min(len(ins), maxSampledInstances)] {
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

// isBetter reports whether a is the better choice of two: the less loaded one, or, if
// their latencies differ by more than slowdownThreshold, the one with the lower product
// of load and latency.
func (q *Query) isBetter(a, b *Instance) bool {
	la, lb := a.load(q.Now, q.Options.Ramp), b.load(q.Now, q.Options.Ramp)
	ta, tb := a.latency(), b.latency()
	if ta > slowdownThreshold*tb && tb > 0 || tb > slowdownThreshold*ta && ta > 0 {
		return (la+ownRequestLoad)*ta < (lb+ownRequestLoad)*tb
	}
	return la < lb
}

// ownRequestLoad stands for the load of the request itself when instances of very
// different latency are compared.
const ownRequestLoad = 0.1

// chooseInstance returns the better of two random instances that admit the request. If
// neither does, it tries all from a random start.
func (q *Query) chooseInstance(ins []*Instance, r Rand) (*Instance, fault.Code) {
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
		if c := q.admissionCode(in, ins); c != fault.None {
			code = preferOverload(code, c)
			continue
		}
		if best == nil || q.isBetter(in, best) {
			best = in
		}
	}
	if best != nil {
		return q.replaceFailing(best, ins, r), fault.None
	}
	from := r.IntN(n)
	for i := range n {
		in := ins[(from+i)%n]
		c := q.admissionCode(in, ins)
		if c == fault.None {
			return in, fault.None
		}
		code = preferOverload(code, c)
	}
	return nil, code
}

// replaceFailing returns the best of several more instances if the drawn one has a
// failure penalty, since both random draws may hit failing instances. If two fifths of a
// service fail, they do so one time in six, and in every second chain of four calls.
func (q *Query) replaceFailing(drawn *Instance, ins []*Instance, r Rand) *Instance {
	if drawn.Observed.failurePenalty(q.Now) == 0 || len(ins) <= 2 {
		return drawn
	}
	best := drawn
	from := r.IntN(len(ins))
	for i := range min(len(ins), maxSampledInstances) {
		in := ins[(from+i)%len(ins)]
		if q.admissionCode(in, ins) == fault.None && q.isBetter(in, best) {
			best = in
		}
	}
	return best
}

// preferOverload returns Overload if a is Overload, else b.
func preferOverload(a, b fault.Code) fault.Code {
	if a == fault.Overload {
		return a
	}
	return b
}

// admissionCode returns None if the instance may take the request, else the reason why
// not.
func (q *Query) admissionCode(in *Instance, all []*Instance) fault.Code {
	if q.Avoid != nil && in.Observed == q.Avoid.Observed {
		return fault.NoBackend
	}
	if !in.Observed.isUsable(q.Now) && !q.tooManyEjected(in, all) {
		return fault.NoBackend
	}
	if !in.Observed.Level(q.Now).Admits(q.Rank, q.Depth) {
		return fault.Overload
	}
	return fault.None
}

// tooManyEjected reports whether an ejected instance is used nevertheless, because more
// than EjectMax of the instances are ejected: if nearly all fail, the cause is rarely
// theirs.
func (q *Query) tooManyEjected(in *Instance, all []*Instance) bool {
	if in.Observed.isDraining(q.Now) || in.Observed.unreachable.Load() {
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

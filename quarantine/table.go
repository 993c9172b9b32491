package quarantine

import (
	"maps"
	"math/rand/v2"
	"time"
)

const (
	// Ends is how many ends of backend servers put a mark in quarantine.
	TerminationThreshold = 3
	// causeShare is the least share of the ends in a service, from the mark's first on,
	// at which the mark may be their cause: one in so many. Where servers are killed all
	// the time, a healthy request can be in work at three of many ends. A smaller share
	// does, one in oneOfSeveral, after manyEnds: several requests may end servers in turn.
	causeShare   = 2
	oneOfSeveral = 4
	manyEnds     = 2 * TerminationThreshold
	// firstHold is the length of a first quarantine, holdFactor by how much each
	// further one is longer, and holdMax its most.
	firstHold  = 20 * time.Second
	holdFactor = 4
	holdMax    = 15 * time.Minute
	// holdSpread is the share by which nodes differ in the length. The first of them
	// that tries again tells the others of another end before most have begun.
	holdSpread = 0.5
	// stragglers is for how long ends may come in of requests that were sent before
	// all nodes knew of the quarantine.
	stragglers = 5 * time.Second
	// keepFor is how long a mark is remembered after the last end.
	keepFor = 30 * time.Minute
	// generation is how many marks are remembered before the older ones are forgotten:
	// two generations are.
	generation = 1024
	// viewMax bounds the marks of a View.
	viewMax = 256
	// startsMax bounds the starts of backend servers whose end is known, and startsFor
	// is for how long they are: ends are told again for a while. What ends beyond that
	// is not counted.
	startsMax = 4096
	startsFor = time.Minute
	// servicesMax bounds the services whose ends are counted, and serviceEnds the ends
	// of each.
	servicesMax = 256
	serviceEnds = 64
)

// End is the end of a backend server.
type Termination struct {
	// Start names the start that ended.
	Start string
	// Service is the service of the backend server.
	Service string
	// Marks are of what it had in work.
	Marks []Fingerprint
}

// Held is a mark in quarantine, as one node tells it to another.
type QuarantinedRequest struct {
	Mark Fingerprint
	// Ends is how many backend servers ended, and Round counts the quarantines.
	Ends, Round int
	// Left is the time until the quarantine is over.
	Left time.Duration
}

// suspect is what is known of a mark.
type suspect struct {
	ends, round int
	// first and last are the first and the last end, and held is when the present
	// quarantine began.
	first, last, held, until time.Duration
}

// Table counts ends by mark. It is not safe for concurrent use.
type Table struct {
	rand *rand.Rand
	// young and old are the generations of suspects, and hot those that more than one
	// server has ended under.
	young, old, hot map[Fingerprint]*suspect
	starts          map[string]time.Duration
	// services holds when the last servers of each service ended.
	services map[string][]time.Duration
}

// New returns an empty table. The source of choices spreads the quarantines' ends.
func New(r *rand.Rand) *Table {
	return &Table{rand: r, young: map[Fingerprint]*suspect{}, old: map[Fingerprint]*suspect{}, hot: map[Fingerprint]*suspect{}, starts: map[string]time.Duration{}, services: map[string][]time.Duration{}}
}

// Ended counts the end of a backend server. It returns the marks that are in quarantine
// from now on, and false if the end was counted before.
func (t *Table) RecordTermination(now time.Duration, e Termination) (held []QuarantinedRequest, news bool) {
	if _, known := t.starts[e.Start]; known || !t.noteStart(now, e) {
		return nil, false
	}
	for _, m := range e.Marks {
		if m != 0 && t.count(now, m, e.Service) {
			held = append(held, t.tell(now, m, t.hot[m]))
		}
	}
	return held, true
}

// noteStart remembers an end; false if there is no room for it.
func (t *Table) noteStart(now time.Duration, e Termination) bool {
	if len(t.starts) >= startsMax {
		maps.DeleteFunc(t.starts, func(_ string, at time.Duration) bool { return now-at > startsFor })
	}
	if len(t.starts) >= startsMax {
		return false
	}
	t.starts[e.Start] = now
	if _, known := t.services[e.Service]; !known && len(t.services) >= servicesMax {
		clear(t.services)
	}
	ends := append(t.services[e.Service], now)
	t.services[e.Service] = ends[max(0, len(ends)-serviceEnds):]
	return true
}

// mayCause tells whether a mark was in work at a good share of the ends in a service.
func (t *Table) mayCause(s *suspect, service string) bool {
	all := 0
	for _, at := range t.services[service] {
		if at >= s.first {
			all++
		}
	}
	if s.ends >= manyEnds {
		return s.ends*oneOfSeveral >= all
	}
	return s.ends*causeShare >= all
}

// count adds an end to a mark; true if a quarantine begins with it.
func (t *Table) count(now time.Duration, m Fingerprint, service string) bool {
	s := t.suspect(m)
	if s.ends > 0 && now-s.last > keepFor {
		*s = suspect{}
	}
	if s.ends == 0 {
		s.first = now
	}
	s.ends++
	s.last = now
	if s.ends > 1 {
		t.heat(m, s)
	}
	if t.hot[m] != s || s.ends < TerminationThreshold || !t.mayCause(s, service) {
		return false
	}
	if s.round > 0 && now-s.held < stragglers {
		return false
	}
	s.round++
	s.held = now
	s.until = now + t.spread(holdOf(s.round))
	return true
}

// suspect returns what is known of a mark, in the young generation.
func (t *Table) suspect(m Fingerprint) *suspect {
	if s := t.young[m]; s != nil {
		return s
	}
	s := t.old[m]
	if s == nil {
		s = t.hot[m]
	}
	if s == nil {
		s = &suspect{}
	}
	if len(t.young) >= generation {
		t.old, t.young = t.young, map[Fingerprint]*suspect{}
	}
	t.young[m] = s
	return s
}

// heat puts a mark among the hot ones. Where these are too many the one whose last end
// is longest ago makes room, unless it is in quarantine.
func (t *Table) heat(m Fingerprint, s *suspect) {
	if t.hot[m] == nil && len(t.hot) >= viewMax && !t.cool(s.last) {
		return
	}
	t.hot[m] = s
}

func (t *Table) cool(now time.Duration) bool {
	var oldest Fingerprint
	for m, s := range t.hot {
		if now < s.until {
			continue
		}
		if oldest == 0 || s.last < t.hot[oldest].last {
			oldest = m
		}
	}
	if oldest == 0 {
		return false
	}
	delete(t.hot, oldest)
	return true
}

func holdOf(round int) time.Duration {
	d := firstHold
	for range round - 1 {
		d = min(d*holdFactor, holdMax)
	}
	return d
}

func (t *Table) spread(d time.Duration) time.Duration {
	return d + time.Duration(t.rand.Float64()*holdSpread*float64(d))
}

// Answered takes in that a backend server answered a request with the mark: nothing is
// held against it any more. It tells whether something was.
func (t *Table) RecordAnswer(m Fingerprint) bool {
	s, hot := t.hot[m]
	delete(t.hot, m)
	delete(t.young, m)
	delete(t.old, m)
	return hot && s.round > 0
}

// Ends returns how many backend servers ended under a mark, 0 for fewer than two.
func (t *Table) Terminations(m Fingerprint) int {
	if s := t.hot[m]; s != nil {
		return s.ends
	}
	return 0
}

// Held returns the marks in quarantine.
func (t *Table) Held(now time.Duration) []QuarantinedRequest {
	var out []QuarantinedRequest
	for m, s := range t.hot {
		if now < s.until {
			out = append(out, t.tell(now, m, s))
		}
	}
	return out
}

func (t *Table) tell(now time.Duration, m Fingerprint, s *suspect) QuarantinedRequest {
	return QuarantinedRequest{Mark: m, Ends: s.ends, Round: s.round, Left: s.until - now}
}

// Adopt takes over what another node holds in quarantine, for a node that has just
// started.
func (t *Table) Adopt(now time.Duration, held []QuarantinedRequest) {
	for _, h := range held {
		if h.Mark == 0 || h.Left <= 0 {
			continue
		}
		s := t.suspect(h.Mark)
		if h.Round <= s.round {
			continue
		}
		*s = suspect{ends: max(h.Ends, TerminationThreshold), round: h.Round, first: now, last: now, held: now, until: now + min(h.Left, holdMax)}
		t.heat(h.Mark, s)
	}
}

// View returns what requests are looked up in.
func (t *Table) View(now time.Duration) *View {
	v := &View{marks: make(map[Fingerprint]hold, len(t.hot))}
	for m, s := range t.hot {
		if now-s.last > keepFor && now >= s.until {
			delete(t.hot, m)
			continue
		}
		v.marks[m] = hold{s.ends, s.until}
	}
	return v
}

type hold struct {
	ends  int
	until time.Duration
}

// View is the marks under which several backend servers ended. It is immutable.
type View struct {
	marks map[Fingerprint]hold
}

// Empty tells whether nothing is known of any mark.
func (v *View) Empty() bool { return len(v.marks) == 0 }

// Knows tells whether several backend servers ended under one of the marks.
func (v *View) IsSuspect(m Fingerprints) bool { return v.Terminations(m) > 0 }

// Ends returns how many backend servers ended under the marks, 0 for fewer than two.
func (v *View) Terminations(m Fingerprints) int {
	return max(v.marks[m.Content].ends, v.marks[m.Caller].ends)
}

// Left returns for how long requests with the marks are refused; 0 if they are not.
func (v *View) Left(now time.Duration, m Fingerprints) time.Duration {
	return max(0, v.marks[m.Content].until-now, v.marks[m.Caller].until-now)
}

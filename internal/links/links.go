// Package links keeps what a node knows of its exchanges with other failure
// domains: which summaries another process has confirmed, which of its own are known
// here, and where each domain was met. It does no I/O; what changes here is sent by
// the node.
package links

import (
	"bytes"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/umberthread/umberthread/gossip"
	"github.com/umberthread/umberthread/internal/control"
	"github.com/umberthread/umberthread/member"
)

// Domain is another failure domain as its linking members see it.
type RemoteDomain struct {
	// Reachable is false while none of the members that link to it reaches it.
	Reachable bool
	// Control are the control addresses of its linking members.
	ControlAddrs []string
}

// State is the state of the exchanges with other failure domains. It is safe for
// concurrent use.
type State struct {
	mu sync.Mutex
	// own are the summaries of this domain as this node sees them.
	own map[string]gossip.Record
	// acked is, per process, the newest stamp of own that it confirmed, and
	// have the newest stamp of its summaries that this node has.
	acked, have map[string]uint64
	// process is the process last met at an address.
	process map[string]string
	// learned are addresses in other domains, by domain.
	learned map[string]string
	failed  map[string]int
	// known is how many failure domains the node at an address knows.
	known map[string]int
	// busy are the domains with an exchange under way; true if there is news since
	// it began.
	busy  map[string]bool
	stamp uint64
}

// New returns the state of a node that has met nobody.
func New() *State {
	return &State{
		own: map[string]gossip.Record{}, acked: map[string]uint64{}, have: map[string]uint64{},
		process: map[string]string{}, learned: map[string]string{}, failed: map[string]int{}, known: map[string]int{},
		busy: map[string]bool{},
	}
}

// Targets returns an address in each other domain that is known: of one of its
// linking members, or, where it is cut off, now and then the last at which it was
// met otherwise, as all its linking members may have been replaced meanwhile.
func (l *State) PickTargets(domains map[string]RemoteDomain) map[string]string {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := maps.Clone(l.learned)
	for domain, d := range domains {
		addrs := slices.Clone(d.ControlAddrs)
		if met, ok := l.learned[domain]; ok && !d.Reachable {
			addrs = append(addrs, met)
		}
		if len(addrs) > 0 {
			out[domain] = addrs[rand.IntN(len(addrs))]
		}
	}
	return out
}

// Learn remembers an address in another failure domain that somebody told of, if
// none is known.
func (l *State) LearnAddr(domain, addr string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.learned[domain] == "" {
		l.learned[domain] = addr
	}
}

// Meet remembers the address at which another failure domain was met last.
func (l *State) RecordContact(domain, addr string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.learned[domain] = addr
}

// Unsent takes over the summaries and returns those that a process has not
// confirmed, with the stamp up to which it then has them. A service that
// is gone is told once, as a summary without instances.
func (l *State) UnackedSummaries(id string, now []member.Summary) ([]gossip.Record, uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	present := map[string]bool{}
	for _, s := range now {
		key := member.SummaryKey(s.Domain, s.Service)
		present[key] = true
		l.update(key, s.Encode())
	}
	for key, r := range l.own {
		if present[key] {
			continue
		}
		if s, err := member.DecodeSummary(r.Payload); err == nil && !s.Blank() {
			s.Instances, s.End, s.Answered = nil, nil, nil
			l.update(key, s.Encode())
		}
	}
	var out []gossip.Record
	for _, r := range l.own {
		if r.Stamp > l.acked[id] {
			out = append(out, r)
		}
	}
	return out, l.stamp
}

func (l *State) update(key string, payload []byte) {
	if old, ok := l.own[key]; ok && bytes.Equal(old.Payload, payload) {
		return
	}
	l.stamp = max(l.stamp+1, stampNow())
	l.own[key] = gossip.Record{Key: key, Stamp: l.stamp, Payload: payload}
}

// maxProcesses bounds the processes that are remembered.
const maxProcesses = 1024

// Met takes in what a reply says of the process at an address.
func (l *State) RecordReply(domain, addr string, reply *control.ExchangeReply) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.process) > maxProcesses {
		// Processes that are gone are forgotten; the others are told all again.
		clear(l.process)
		clear(l.acked)
		clear(l.have)
		clear(l.known)
	}
	l.process[addr] = reply.ID
	l.acked[reply.ID] = reply.Have
	l.have[reply.ID] = reply.UpTo
	l.known[reply.ID] = reply.Known
	l.failed[domain] = 0
}

// Confirmed takes in what the process that asks has of own, and has given.
func (l *State) RecordRequest(req *control.ExchangeRequest, self string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.acked[req.ID] = 0
	if req.HaveOf == self {
		l.acked[req.ID] = req.Have
	}
	l.have[req.ID] = req.UpTo
	l.known[req.ID] = req.Known
	l.failed[req.Domain] = 0
}

// At returns the process last met at an address, "" if none was.
func (l *State) ProcessAt(addr string) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.process[addr]
}

// HaveOf returns the newest stamp of the summaries of a process that this node has.
func (l *State) ReceivedStamp(id string) uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.have[id]
}

// KnownBy returns how many failure domains a process knows.
func (l *State) DomainsKnownBy(id string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.known[id]
}

// Begin tells whether an exchange with a domain may begin: one at a time. While one
// is under way another follows it, as there is news for it.
func (l *State) BeginExchange(domain string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, busy := l.busy[domain]; busy {
		l.busy[domain] = true
		return false
	}
	l.busy[domain] = false
	return true
}

// End notes that an exchange has ended. It tells whether another is to follow, which
// has then begun.
func (l *State) EndExchange(domain string) (again bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.busy[domain] {
		l.busy[domain] = false
		return true
	}
	delete(l.busy, domain)
	return false
}

// Failed notes that an exchange with a domain failed, and returns how often in a row.
func (l *State) RecordFailure(domain string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.failed[domain]++
	return l.failed[domain]
}

// stampNow begins the stamps of a process after those of the one before it.
func stampNow() uint64 { return uint64(time.Now().UnixMilli()) }

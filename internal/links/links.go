// Package links tracks a node's exchanges of service summaries with other failure
// domains: the summaries that each remote process has acknowledged, those received from
// it, and the addresses at which each domain was contacted. It performs no I/O.
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

// State is a node's state of the exchanges with other failure domains. It is safe for
// concurrent use.
type State struct {
	mu sync.Mutex
	// own are the summaries of this domain as this node last reported them, by key.
	own map[string]gossip.Record
	// acked is, by process ID, the newest stamp of own that the process acknowledged,
	// and received the newest stamp of its summaries that this node received.
	acked, received map[string]uint64
	// processAt is the ID of the process that last replied at an address.
	processAt map[string]string
	// lastAddr is an address in each other domain, the last contacted if any was.
	lastAddr map[string]string
	// failures counts consecutive failed exchanges, by domain.
	failures map[string]int
	// domainsKnown is the number of failure domains that a process knows, by its ID.
	domainsKnown map[string]int
	// inProgress holds the domains with an exchange in progress. The value is true if
	// another exchange was requested meanwhile.
	inProgress map[string]bool
	// stamp is the newest stamp of own.
	stamp uint64
}

// New returns the state of a node that has contacted no other domain.
func New() *State {
	return &State{
		own: map[string]gossip.Record{}, acked: map[string]uint64{}, received: map[string]uint64{},
		processAt: map[string]string{}, lastAddr: map[string]string{}, failures: map[string]int{}, domainsKnown: map[string]int{},
		inProgress: map[string]bool{},
	}
}

// PickTargets returns an address in each known other domain: that of a random link
// member or, if none is known, the last address. For an unreachable domain, whose link
// members may all have been replaced, the choice includes the last address.
func (l *State) PickTargets(domains map[string]RemoteDomain) map[string]string {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := maps.Clone(l.lastAddr)
	for domain, d := range domains {
		addrs := slices.Clone(d.ControlAddrs)
		if met, ok := l.lastAddr[domain]; ok && !d.Reachable {
			addrs = append(addrs, met)
		}
		if len(addrs) > 0 {
			out[domain] = addrs[rand.IntN(len(addrs))]
		}
	}
	return out
}

// LearnAddr records an address in another failure domain reported by a third node,
// unless one is known.
func (l *State) LearnAddr(domain, addr string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.lastAddr[domain] == "" {
		l.lastAddr[domain] = addr
	}
}

// RecordContact records the address at which another failure domain was last contacted.
func (l *State) RecordContact(domain, addr string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastAddr[domain] = addr
}

// UnackedSummaries replaces this domain's summaries with the given ones. It returns the
// records that the process with the given ID has not acknowledged, and the stamp up to
// which it is current once it has them. A service that is gone is reported by a summary
// without instances.
func (l *State) UnackedSummaries(id string, now []member.Summary) ([]gossip.Record, uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	present := map[string]bool{}
	for _, s := range now {
		key := member.SummaryKey(s.Domain, s.Service)
		present[key] = true
		l.updateOwn(key, s.Encode())
	}
	for key, r := range l.own {
		if present[key] {
			continue
		}
		if s, err := member.DecodeSummary(r.Payload); err == nil && !s.IsEmpty() {
			s.Instances, s.End, s.Answered = nil, nil, nil
			l.updateOwn(key, s.Encode())
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

// updateOwn stores a summary of this domain under a new stamp if it changed.
func (l *State) updateOwn(key string, payload []byte) {
	if old, ok := l.own[key]; ok && bytes.Equal(old.Payload, payload) {
		return
	}
	l.stamp = max(l.stamp+1, wallClockStamp())
	l.own[key] = gossip.Record{Key: key, Stamp: l.stamp, Payload: payload}
}

// maxKnownProcesses is the number of addresses in processAt above which the state of all
// processes is discarded.
const maxKnownProcesses = 1024

// RecordReply records the reply to an exchange with a domain from the process at an
// address.
func (l *State) RecordReply(domain, addr string, reply *control.ExchangeReply) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.processAt) > maxKnownProcesses {
		// This drops terminated processes; the others are sent all summaries again.
		clear(l.processAt)
		clear(l.acked)
		clear(l.received)
		clear(l.domainsKnown)
	}
	l.processAt[addr] = reply.ID
	l.acked[reply.ID] = reply.Have
	l.received[reply.ID] = reply.UpTo
	l.domainsKnown[reply.ID] = reply.Known
	l.failures[domain] = 0
}

// RecordRequest records the stamps in another process's exchange request. An
// acknowledgement counts only if it refers to the process with the ID self.
func (l *State) RecordRequest(req *control.ExchangeRequest, self string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.acked[req.ID] = 0
	if req.HaveOf == self {
		l.acked[req.ID] = req.Have
	}
	l.received[req.ID] = req.UpTo
	l.domainsKnown[req.ID] = req.Known
	l.failures[req.Domain] = 0
}

// ProcessAt returns the ID of the process that last replied at an address, or "".
func (l *State) ProcessAt(addr string) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.processAt[addr]
}

// ReceivedStamp returns the newest stamp of the summaries received from a process.
func (l *State) ReceivedStamp(id string) uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.received[id]
}

// DomainsKnownBy returns the number of failure domains that a process knows.
func (l *State) DomainsKnownBy(id string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.domainsKnown[id]
}

// BeginExchange reports whether an exchange with a domain may begin. If one is in
// progress, it returns false and requests another exchange after it.
func (l *State) BeginExchange(domain string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, busy := l.inProgress[domain]; busy {
		l.inProgress[domain] = true
		return false
	}
	l.inProgress[domain] = false
	return true
}

// EndExchange marks an exchange with a domain as ended. If another was requested
// meanwhile, it marks that as begun and returns true.
func (l *State) EndExchange(domain string) (again bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.inProgress[domain] {
		l.inProgress[domain] = false
		return true
	}
	delete(l.inProgress, domain)
	return false
}

// RecordFailure records a failed exchange with a domain and returns the number of
// consecutive failures.
func (l *State) RecordFailure(domain string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.failures[domain]++
	return l.failures[domain]
}

// wallClockStamp returns the time in Unix milliseconds, so that the stamps of a process
// exceed those of its predecessor.
func wallClockStamp() uint64 { return uint64(time.Now().UnixMilli()) }

package node

import (
	"fmt"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/umberthread/umberthread/internal/wire"
	"github.com/umberthread/umberthread/route"
)

// serverReportField carries a serverReport from node to node: with a reply from the node beside
// the backend server, and back to it with later requests. No HTTP/1.1 header field begins with
// a colon, so it cannot collide.
const serverReportField = ":server"

// serverReport tells that a backend server limits its rate or is leaving. The node beside the
// server knows it from responses. Other nodes keep it, since that node may restart and would
// forget it while the server goes on.
type serverReport struct {
	// instance and startedAtMs identify the incarnation, as announced. A server without an
	// identity is reported for explanations only.
	instance    string
	startedAtMs int64
	// rate is the limit in requests per second, negative for none.
	rate    float64
	leaving bool
}

// noRateLimit is the rate of a report without a limit.
const noRateLimit = -1

// encode returns the value of serverReportField. The instance comes last, as it may contain
// spaces.
func (r serverReport) encode() string {
	return fmt.Sprintf("%d %s %t %s", r.startedAtMs, strconv.FormatFloat(r.rate, 'g', -1, 64), r.leaving, r.instance)
}

// parseServerReport parses the value of serverReportField; false if it is malformed.
func parseServerReport(v string) (serverReport, bool) {
	const parts = 4
	f := strings.SplitN(v, " ", parts)
	if len(f) != parts {
		return serverReport{}, false
	}
	startedAtMs, err1 := strconv.ParseInt(f[0], 10, 64)
	rate, err2 := strconv.ParseFloat(f[1], 64)
	leaving, err3 := strconv.ParseBool(f[2])
	if err1 != nil || err2 != nil || err3 != nil || !(rate <= maxRateLimit) {
		return serverReport{}, false
	}
	return serverReport{instance: f[3], startedAtMs: startedAtMs, rate: rate, leaving: leaving}, true
}

// ownServerReport returns the report on the local backend server, if there is something to
// report.
func (n *Node) ownServerReport() (serverReport, bool) {
	be := n.local.Load()
	if be == nil || !be.leaving && !n.gate.rateLimited.Load() {
		return serverReport{}, false
	}
	r := serverReport{instance: be.instance, startedAtMs: be.startedAtMs, rate: noRateLimit, leaving: be.leaving}
	if limit := n.gate.rateLimitStatus(); limit.rate > 0 {
		r.rate = limit.rate
	}
	return r, r.leaving || r.rate >= 0
}

// describeRateLimit returns, for the error of a request that no instance of a service accepts, one
// of the limits that bind its backend servers and its age, "" if none is known.
func (n *Node) describeRateLimit(service string) string {
	svc := n.routes.Load().Services[service]
	if svc == nil || n.serverReports.count.Load() == 0 && !n.gate.rateLimited.Load() {
		return ""
	}
	now := n.clock()
	for _, ins := range append([][]*route.Instance{svc.LocalInstances}, svc.RemoteDomains...) {
		for _, in := range ins {
			if rate, age, ok := n.rateLimitOf(in, now); ok {
				return fmt.Sprintf("; the backend server at %s accepts %.1f requests per second, as of %d ms ago", in.Addr, rate, age.Milliseconds())
			}
		}
	}
	return ""
}

// rateLimitOf returns the limit of an instance's backend server that this node knows, and its
// age; false if it knows none.
func (n *Node) rateLimitOf(in *route.Instance, now time.Duration) (rate float64, age time.Duration, ok bool) {
	if in.ID == n.id {
		limit := n.gate.rateLimitStatus()
		return limit.rate, limit.age, limit.rate > 0
	}
	kept, known := n.serverReports.byAddr.Load(in.Addr)
	if !known {
		return 0, 0, false
	}
	k := kept.(*keptReport)
	r, ok := parseServerReport(k.value)
	return r.rate, now - k.at, ok && r.rate >= 0
}

// appendServerReport appends the report on the local backend server to the header of a reply.
func (n *Node) appendServerReport(fields []wire.Field) []wire.Field {
	r, ok := n.ownServerReport()
	if !ok {
		return fields
	}
	return append(fields, wire.Field{Name: serverReportField, Value: r.encode()})
}

// adoptServerReport applies what another node has heard of the local backend server. What this
// node has read in a response itself goes before a limit that others know.
func (n *Node) adoptServerReport(v string) {
	r, ok := parseServerReport(v)
	be := n.local.Load()
	if ok && be == nil && r.leaving {
		n.expectLeaving(r.instance, r.startedAtMs)
	}
	if !ok || be == nil || be.instance == "" || be.instance != r.instance || be.startedAtMs != 0 && r.startedAtMs != 0 && be.startedAtMs != r.startedAtMs {
		return
	}
	if r.leaving && !be.leaving {
		n.markLeaving(be)
	}
	if r.rate >= 0 && !be.heard.Load() {
		n.logRateLimit(be, n.gate.adoptRateLimit(r.rate))
	}
}

// serverReportLifetime is how long a report is kept, which is far longer than the restart of a
// node takes.
const serverReportLifetime = time.Minute

// serverReports keeps the latest report on the backend server beside each other node. It is safe
// for concurrent use; requests take no lock.
type serverReports struct {
	count  atomic.Int64
	byAddr sync.Map // address of the node -> *keptReport
}

// keptReport is the encoded report and when it was received, on the node's clock.
type keptReport struct {
	value string
	at    time.Duration
}

// observe records the report of the reply of the node at an address, "" for none. A reply
// without one says nothing of a server that was leaving: it may be of an earlier request.
func (s *serverReports) observe(now time.Duration, addr, value string) {
	if value == "" && s.count.Load() == 0 {
		return
	}
	if value != "" {
		if _, known := s.byAddr.Swap(addr, &keptReport{value, now}); !known {
			s.count.Add(1)
		}
		return
	}
	v, known := s.byAddr.Load(addr)
	if !known {
		return
	}
	if r, ok := parseServerReport(v.(*keptReport).value); ok && r.leaving {
		return
	}
	s.remove(addr, v)
}

// latest returns the report to send to the node at an address, "" for none.
func (s *serverReports) latest(now time.Duration, addr string) string {
	if s.count.Load() == 0 {
		return ""
	}
	v, known := s.byAddr.Load(addr)
	if !known || now-v.(*keptReport).at >= serverReportLifetime {
		return ""
	}
	return v.(*keptReport).value
}

// expire removes the reports that are too old.
func (s *serverReports) expire(now time.Duration) {
	s.byAddr.Range(func(addr, v any) bool {
		if now-v.(*keptReport).at >= serverReportLifetime {
			s.remove(addr.(string), v)
		}
		return true
	})
}

// remove removes a report unless another one has replaced it.
func (s *serverReports) remove(addr string, v any) {
	if s.byAddr.CompareAndDelete(addr, v) {
		s.count.Add(-1)
	}
}

// takeServerReport removes the report from the header of a reply and returns it, "" if there is
// none.
func takeServerReport(fields []wire.Field) (rest []wire.Field, value string) {
	for i, f := range fields {
		if f.Name == serverReportField {
			return append(fields[:i], fields[i+1:]...), f.Value
		}
	}
	return fields, ""
}

// withServerReport returns the header fields with a report; "" adds none. It does not change
// fields, which other attempts use.
func withServerReport(fields []wire.Field, value string) []wire.Field {
	if value == "" {
		return fields
	}
	return append(fields[:len(fields):len(fields)], wire.Field{Name: serverReportField, Value: value})
}

package node

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/umberthread/umberthread/admission"
	"github.com/umberthread/umberthread/budget"
	"github.com/umberthread/umberthread/fault"
	"github.com/umberthread/umberthread/internal/backend"
	"github.com/umberthread/umberthread/internal/chart"
	"github.com/umberthread/umberthread/member"
)

// localBackend is the backend server beside the node, as it last announced itself. It is
// immutable and replaced as a whole.
type localBackend struct {
	service string
	// instance is the announced identity, "" for none. startedAtMs is the announced start time
	// in Unix milliseconds, 0 if unknown, and announcementSeq the sequence number of its last
	// announcement.
	instance        string
	startedAtMs     int64
	announcementSeq uint64
	// incarnation numbers the process lifetimes of backend servers beside this node.
	incarnation uint32
	slots       int
	weight      float64
	// chartState is the state in the backend chart, and memberState the corresponding state
	// that is told to other nodes.
	chartState   chart.State
	memberState  member.State
	leaseExpires time.Time
	client       *backend.Client
	// leaving is set once a response of this incarnation said that it is about to shut down.
	leaving bool
	// heard is set once a response of this incarnation was received, and marks once one bore the
	// call token of its request. Copies share them.
	heard, marks *atomic.Bool
}

// runOnLocalBackend executes a call on the local backend server. It takes an admission slot,
// which is freed when the response is closed.
func (n *Node) runOnLocalBackend(c *call, retryBudget *budget.Pool) (*response, *fault.Error) {
	be, ferr := n.availableBackend(c)
	if ferr != nil {
		return nil, ferr
	}
	var p requestProgress
	kind := n.kinds.index(c.target)
	code := n.gate.acquire(c.scope, admission.Request{
		Rank: c.rank, Depth: c.depth, Kind: kind, Deadline: n.clock() + c.scope.Remaining(),
		DownstreamOverloaded: n.nestedLevels.Level(c.rootTarget, n.clock()) > 0,
	})
	if code != fault.None {
		p.applyEvent(requestEventRefuse)
		e := n.gateRefusal(c, code)
		e.Execution = p.execution()
		return nil, e
	}
	p.applyEvent(requestEventAdmit)
	if ferr := n.quarantine.refusal(c); ferr != nil {
		n.gate.release(admission.Outcome{})
		p.applyEvent(requestEventExpire)
		ferr.Execution = p.execution()
		return nil, ferr
	}
	// The process may have been suspended since the request was admitted.
	if code := c.scope.Err(); code != fault.None {
		n.gate.release(admission.Outcome{})
		p.applyEvent(requestEventExpire)
		return nil, &fault.Error{Code: code, Execution: p.execution(), Detail: "canceled or expired before it was executed"}
	}
	arrival, ferr := n.recordArrival(c)
	if ferr != nil {
		n.gate.release(admission.Outcome{})
		p.applyEvent(requestEventExpire)
		ferr.Execution = p.execution()
		return nil, ferr
	}
	w := &execution{token: n.executionToken(c), call: c, incarnation: be.incarnation, repeat: c.isRepeat(), scope: c.scope.Child(c.scope.Deadline())}
	n.executionsByToken.Store(w.token, w)
	started := time.Now()
	p.applyEvent(requestEventSend)
	req, exchange := n.newBackendExchange(be, c, w, retryBudget)
	httpResp, err := be.client.Do(w.scope, backend.RequestTraits{ID: exchange.sent.ID, Kind: kind, Idempotent: c.policy.Idempotent}, req, exchange.accepts)
	if err == nil {
		n.observeServerState(be, exchange.class.Server)
	}
	if err == nil && exchange.class.NotExecuted != fault.None {
		return nil, n.handleRejection(be, c, w, &p, httpResp, exchange.class.NotExecuted)
	}
	if err != nil {
		n.endExecution(w)
		ferr := fault.From(err)
		out := admission.Outcome{Kind: kind}
		if ferr.Code == fault.Deadline {
			out.ServiceTime, out.Expired = time.Since(started), true
		}
		n.gate.release(out)
		if ferr.Execution == fault.NotExecuted {
			p.applyEvent(requestEventNotSent)
			arrival.withdraw()
		} else {
			p.applyEvent(requestEventLose)
		}
		ferr.Execution = p.execution()
		n.recordUnanswered(c, hopServer, be.client.Addr(), started, ferr)
		n.recordIfBroken(be, c, ferr)
		n.handleBackendFailure(be, ferr)
		return nil, ferr
	}
	p.applyEvent(requestEventAnswer)
	pushback := httpResp.StatusCode == http.StatusServiceUnavailable || httpResp.StatusCode == http.StatusTooManyRequests
	pushback = pushback && httpResp.Header.Get(HeaderExecution) == ""
	took := time.Since(started)
	expired := httpResp.StatusCode == http.StatusGatewayTimeout
	if httpResp.StatusCode >= http.StatusInternalServerError && !expired {
		took = 0
	}
	resp := &response{status: httpResp.StatusCode, header: endToEndFields(httpResp.Header), length: httpResp.ContentLength, body: httpResp}
	if c.method == http.MethodHead {
		// Content-Length is that of the body a GET would return.
		resp.length = 0
	}
	resp.header = appendExecutionHeader(resp.header, httpResp.Header)
	if n.opt.HTTPAdapter != nil && httpResp.StatusCode >= http.StatusInternalServerError && w.nestedCallFailed.Load() {
		resp.header = append(resp.header, wireField{Name: HeaderExecution, Value: fault.ExecutionUnknown.String()})
	}
	resp.close = func() {
		if httpResp.IsComplete() {
			n.quarantine.recordResponse(c)
		} else if c.scope.Err() == fault.None {
			n.quarantine.recordBroken(be.incarnation, c)
		}
		httpResp.Close()
		n.endExecution(w)
		n.gate.release(admission.Outcome{Kind: kind, ServiceTime: took, Expired: expired, Pushback: pushback})
	}
	if n.opt.HTTPAdapter != nil && c.method != http.MethodHead {
		if err := resp.bufferSmallBody(); err != nil {
			resp.close()
			return nil, fault.Wrap(fault.BackendLost, err, "the response ended early").WithUnknownExecution()
		}
	}
	return resp, nil
}

// gateRefusal returns the error for a call that the gate refused.
func (n *Node) gateRefusal(c *call, code fault.Code) *fault.Error {
	detail := "refused by admission control of the backend server"
	if limit := n.gate.rateLimitStatus(); code == fault.RateLimited {
		detail = fmt.Sprintf("the backend server accepts %.1f requests per second from all nodes, as of %d ms ago", limit.rate, limit.age.Milliseconds())
	}
	return c.refusal(code, detail, n.gate.load().instanceLevel())
}

// executionToken returns the token by which nested calls find the execution: the request id
// where the platform's adapter identifies parents by it, else a new token.
func (n *Node) executionToken(c *call) string {
	if n.opt.HTTPAdapter != nil {
		return c.id
	}
	return n.newToken()
}

// backendExchange is one request to the backend server and the classification of its response. sent
// is what an adapter made of it, and token the call token in the project's own interface.
type backendExchange struct {
	node    *Node
	backend *localBackend
	token   string
	sent    BackendRequest
	class   ResponseClass
}

// accepts classifies a response and reports whether it belongs to the request.
func (x *backendExchange) accepts(r *http.Response) bool {
	if x.node.opt.HTTPAdapter == nil {
		x.class.Server = ReadServerState(r.Header, HeaderRateLimit, HeaderLeaving)
		return x.bearsToken(r.Header)
	}
	x.class = x.node.opt.HTTPAdapter.ClassifyResponse(r, x.sent)
	return !x.class.OtherRequest
}

// bearsToken reports whether a response in the project's own interface belongs to the request. A
// backend server need not send the call token back; one that has done so does it in each response.
func (x *backendExchange) bearsToken(h http.Header) bool {
	switch tokens := h[HeaderCallToken]; {
	case len(tokens) == 0:
		return !x.backend.marks.Load()
	case len(tokens) > 1 || tokens[0] != x.token:
		return false
	}
	if !x.backend.marks.Load() {
		x.backend.marks.Store(true)
	}
	return true
}

// newBackendExchange builds the HTTP request for the backend server, and the exchange that
// checks its response.
func (n *Node) newBackendExchange(be *localBackend, c *call, w *execution, retryBudget *budget.Pool) (*http.Request, *backendExchange) {
	x := &backendExchange{node: n, backend: be, token: w.token}
	var req *http.Request
	if n.opt.HTTPAdapter != nil {
		req, x.sent = n.newPlatformRequest(be, c)
	} else {
		req = n.newBackendRequest(be, c, w, retryBudget)
	}
	switch {
	case c.body != nil:
		req.Body = io.NopCloser(bytes.NewReader(c.body))
	case c.stream != nil:
		req.Body = io.NopCloser(c.stream)
	}
	return req, x
}

// maxRejectionBytes bounds how much of a rejection's body is read to free its connection.
const maxRejectionBytes = 4 << 10

// handleRejection ends a request that the backend server certainly did not execute. If another
// server responded at its address, it also removes the local backend server.
func (n *Node) handleRejection(be *localBackend, c *call, w *execution, p *requestProgress, resp *backend.Response, code fault.Code) *fault.Error {
	_, _ = io.CopyN(io.Discard, resp, maxRejectionBytes)
	resp.Close()
	n.endExecution(w)
	n.gate.release(admission.Outcome{Pushback: code == fault.Rejected})
	p.applyEvent(requestEventNotSent)
	if code == fault.NoBackend {
		// The other server got the request: unlike without any server, a retry is a repeat.
		code = fault.Misdirected
		if n.local.Load() == be {
			n.replaceLocal(nil, "another server answers at its address")
		}
	}
	e := c.refusal(code, "rejected by the backend server", 0)
	e.Execution = p.execution()
	return e
}

// appendExecutionHeader passes on HeaderExecution, so that other nodes don't attribute the
// failure of a nested call to this instance.
func appendExecutionHeader(fs []wireField, h http.Header) []wireField {
	if v := h.Get(HeaderExecution); v != "" {
		fs = append(fs, wireField{Name: HeaderExecution, Value: v})
	}
	return fs
}

// endExecution removes an execution and cancels its nested calls.
func (n *Node) endExecution(w *execution) {
	n.executionsByToken.Delete(w.token)
	w.scope.Cancel(fault.Canceled)
	w.scope.Close()
}

// availableBackend returns the local backend server if it accepts the call now, else the
// reason.
func (n *Node) availableBackend(c *call) (*localBackend, *fault.Error) {
	be := n.local.Load()
	if be == nil || be.service != c.service {
		return nil, c.refusal(fault.NoBackend, "this node has no backend server of "+c.service, 0)
	}
	switch {
	case n.rejectsNewWork() || be.memberState == member.Draining:
		return nil, c.refusal(fault.Draining, "the backend server is draining", 0)
	case be.memberState == member.Starting:
		return nil, c.refusal(fault.Starting, "the backend server is starting", 0)
	case time.Now().After(be.leaseExpires):
		return nil, c.refusal(fault.NoBackend, "the lease of the backend server has expired", 0)
	}
	return be, nil
}

// newBackendRequest builds the request in the project's own HTTP interface.
func (n *Node) newBackendRequest(be *localBackend, c *call, w *execution, retryBudget *budget.Pool) *http.Request {
	u, _ := exactURL(n.backendTarget(c))
	h := make(http.Header, len(c.header)+5)
	for _, f := range c.header {
		if f.Name != workspaceField {
			h[f.Name] = append(h[f.Name], f.Value)
		}
	}
	if c.workspace != "" {
		h[HeaderWorkspace] = []string{c.workspace}
	}
	h[HeaderRequestID] = []string{c.id}
	h[HeaderCallToken] = []string{w.token}
	h[HeaderRemaining] = []string{formatMilliseconds(c.scope.Remaining())}
	h[HeaderClass] = []string{c.rank.Class().String()}
	h[HeaderRetryBudget] = []string{strconv.Itoa(retryBudget.Remaining())}
	return &http.Request{Method: c.method, URL: u, Host: be.client.Addr(), Header: h, ContentLength: c.bodyLen}
}

// handleBackendFailure removes a backend server that no longer accepts connections, until it
// announces itself again, and schedules the report of its termination.
func (n *Node) handleBackendFailure(be *localBackend, e *fault.Error) {
	if e.Code != fault.BackendLost {
		return
	}
	if !be.client.Reachable() && n.local.Load() == be {
		n.replaceLocal(nil, "it no longer accepts connections")
		n.quarantine.scheduleTerminationReport(be)
	}
}

// recordIfBroken records a request that may have been executing when its connection broke.
func (n *Node) recordIfBroken(be *localBackend, c *call, e *fault.Error) {
	if mayHaveTerminatedBackend(e) {
		n.quarantine.recordBroken(be.incarnation, c)
	}
}

// mayHaveTerminatedBackend reports whether the backend server was lost while it may have been
// executing the request. e may be nil.
func mayHaveTerminatedBackend(e *fault.Error) bool {
	return e != nil && e.Code == fault.BackendLost && e.Execution != fault.NotExecuted
}

// kindIndexes assigns a small number to each request kind. Kinds beyond admission.MaxKinds
// share the last number.
type kindIndexes struct {
	m    sync.Map
	next atomic.Uint32
}

// index returns the number of a request kind, and assigns the next one to a new kind.
func (t *kindIndexes) index(target string) uint8 {
	if v, ok := t.m.Load(target); ok {
		return v.(uint8)
	}
	i := uint8(min(t.next.Add(1)-1, admission.MaxKinds-1))
	v, _ := t.m.LoadOrStore(target, i)
	return v.(uint8)
}

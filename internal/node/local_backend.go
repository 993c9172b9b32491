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
	"github.com/umberthread/umberthread/internal/progress"
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

// localExecution is a call that was sent to the local backend server. It holds an admission slot.
type localExecution struct {
	node      *Node
	backend   *localBackend
	call      *call
	execution *execution
	kind      uint8
	arrival   arrival
	progress  requestProgress
	started   time.Time
	exchange  *backendExchange
	pending   *backend.Pending
}

// startLocalExecution sends a call to the local backend server once it has an admission slot, which
// is freed when the response is closed.
func (n *Node) startLocalExecution(c *call, retryBudget *budget.Pool) (*localExecution, *fault.Error) {
	be, ferr := n.availableBackend(c)
	if ferr != nil {
		return nil, ferr
	}
	x := &localExecution{node: n, backend: be, call: c, kind: n.kinds.index(c.target)}
	if ferr := x.admit(); ferr != nil {
		return nil, ferr
	}
	x.execution = &execution{token: n.executionToken(c), call: c, incarnation: be.incarnation, repeat: c.isRepeat(), scope: c.scope.Child(c.scope.Deadline())}
	n.executionsByToken.Store(x.execution.token, x.execution)
	x.started = time.Now()
	x.progress.applyEvent(requestEventSend)
	var req *http.Request
	req, x.exchange = n.newBackendExchange(be, c, x.execution, retryBudget)
	traits := backend.RequestTraits{ID: x.exchange.sent.ID, Kind: x.kind, Idempotent: c.policy.Idempotent}
	var err error
	if x.pending, err = be.client.Send(x.execution.scope, traits, req, x.exchange.accepts); err != nil {
		return nil, x.fail(fault.From(err))
	}
	return x, nil
}

// admit takes an admission slot for the call, or returns why it is refused.
func (x *localExecution) admit() *fault.Error {
	n, c := x.node, x.call
	code := n.gate.acquire(c.scope, admission.Request{
		Rank: c.rank, Depth: c.depth, Kind: x.kind, Deadline: n.clock() + c.scope.Remaining(),
		DownstreamOverloaded: n.nestedLevels.Level(c.rootTarget, n.clock()) > 0,
	})
	if code != fault.None {
		x.progress.applyEvent(requestEventRefuse)
		e := n.gateRefusal(c, code)
		e.Execution = x.progress.execution()
		return e
	}
	x.progress.applyEvent(requestEventAdmit)
	ferr := n.quarantine.refusal(c)
	if code := c.scope.Err(); ferr == nil && code != fault.None {
		// The process may have been suspended since the request was admitted.
		ferr = &fault.Error{Code: code, Detail: "canceled or expired before it was executed"}
	}
	if ferr == nil {
		x.arrival, ferr = n.recordArrival(c)
	}
	if ferr == nil {
		return nil
	}
	n.gate.release(admission.Outcome{})
	x.progress.applyEvent(requestEventExpire)
	ferr.Execution = x.progress.execution()
	return ferr
}

// await waits for the response until the given time, or without a bound if that is zero.
func (x *localExecution) await(until time.Time) (*response, progress.State, *fault.Error) {
	httpResp, state, err := x.pending.Await(until)
	switch {
	case state == progress.Doubted && x.pending.IsUnreachable():
		x.node.removeUnreachable(x.backend)
		return nil, state, nil
	case state != progress.Ended:
		return nil, state, nil
	case err != nil:
		return nil, state, x.fail(fault.From(err))
	}
	n, class := x.node, &x.exchange.class
	n.observeServerState(x.backend, class.Server)
	if class.NotExecuted != fault.None {
		return nil, state, n.handleRejection(x.backend, x.call, x.execution, &x.progress, httpResp, class.NotExecuted)
	}
	resp, ferr := x.receive(httpResp)
	return resp, state, ferr
}

// abandon ends an execution to which another one has answered.
func (x *localExecution) abandon() {
	x.pending.Abandon()
	x.node.endExecution(x.execution)
	x.node.gate.release(admission.Outcome{Kind: x.kind})
	x.progress.applyEvent(requestEventLose)
}

// fail ends an execution without a response.
func (x *localExecution) fail(ferr *fault.Error) *fault.Error {
	n := x.node
	n.endExecution(x.execution)
	out := admission.Outcome{Kind: x.kind}
	if ferr.Code == fault.Deadline {
		out.ServiceTime, out.Expired = time.Since(x.started), true
	}
	n.gate.release(out)
	if ferr.Execution == fault.NotExecuted {
		x.progress.applyEvent(requestEventNotSent)
		x.arrival.withdraw()
	} else {
		x.progress.applyEvent(requestEventLose)
	}
	ferr.Execution = x.progress.execution()
	n.recordUnanswered(x.call, hopServer, x.backend.client.Addr(), x.started, ferr)
	n.recordIfBroken(x.backend, x.call, ferr)
	n.handleBackendFailure(x.backend, ferr)
	return ferr
}

// receive returns the response to the call. It keeps the admission slot until that is closed.
func (x *localExecution) receive(httpResp *backend.Response) (*response, *fault.Error) {
	n, c := x.node, x.call
	x.progress.applyEvent(requestEventAnswer)
	pushback := httpResp.StatusCode == http.StatusServiceUnavailable || httpResp.StatusCode == http.StatusTooManyRequests
	pushback = pushback && httpResp.Header.Get(HeaderExecution) == ""
	took := time.Since(x.started)
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
	if n.opt.HTTPAdapter != nil && httpResp.StatusCode >= http.StatusInternalServerError && x.execution.nestedCallFailed.Load() {
		resp.header = append(resp.header, wireField{Name: HeaderExecution, Value: fault.ExecutionUnknown.String()})
	}
	resp.close = func() {
		if httpResp.IsComplete() {
			n.quarantine.recordResponse(c)
		} else if c.scope.Err() == fault.None {
			n.quarantine.recordBroken(x.backend.incarnation, c)
		}
		httpResp.Close()
		n.endExecution(x.execution)
		n.gate.release(admission.Outcome{Kind: x.kind, ServiceTime: took, Expired: expired, Pushback: pushback})
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
	if !be.client.Reachable() && n.removeUnreachable(be) {
		n.quarantine.scheduleTerminationReport(be)
	}
}

// removeUnreachable removes a backend server that accepts no new connections, and reports whether
// it was the current one. Its requests in flight go on.
func (n *Node) removeUnreachable(be *localBackend) bool {
	if n.local.Load() != be {
		return false
	}
	n.replaceLocal(nil, "it no longer accepts connections")
	return true
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

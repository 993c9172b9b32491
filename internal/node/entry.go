package node

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/umberthread/umberthread/budget"
	"github.com/umberthread/umberthread/fault"
	"github.com/umberthread/umberthread/internal/callers"
	"github.com/umberthread/umberthread/internal/inbound"
	"github.com/umberthread/umberthread/internal/scope"
	"github.com/umberthread/umberthread/internal/wire"
)

// callPrefix begins the path of every request: /call/fleet/service/kind/rest.
const callPrefix = "/call/"

// serveCallerRequest handles an HTTP request of a caller, or a nested call of the local
// backend server. It runs on the goroutine that net/http started for the connection.
func (n *Node) serveCallerRequest(w http.ResponseWriter, r *http.Request) {
	limitUnreadBody(w, r)
	c, ferr := n.parseRequest(r)
	if ferr != nil {
		n.stats.countRefusal(ferr.Code)
		n.refuseUnparsed(w, r, c, ferr)
		return
	}
	stop := context.AfterFunc(r.Context(), c.cancelForDisconnect)
	defer stop()
	conn := callers.FromContext(r.Context())
	conn.Watch(c.cancelForDisconnect)
	defer conn.Unwatch()
	defer c.scope.Close()
	n.stats.inflight.Add(1)
	defer n.stats.inflight.Add(-1)
	c.conn, c.closeEndsBody = inbound.FromContext(r.Context()), !r.ProtoAtLeast(1, 1)
	if !c.conn.ReserveForRequest(int64(len(r.Header)) * fieldBytes) {
		n.refuse(w, c, c.outOfMemory())
		return
	}
	if ferr := n.readBody(c, w, r); ferr != nil {
		n.refuse(w, c, ferr)
		return
	}
	if c.replayable() {
		c.conn.Protect()
	}
	c.computeFingerprints()
	if c.policy.KeyRequired {
		n.serveKeyed(w, r, c)
		return
	}
	resp, ferr := n.dispatch(c)
	if ferr != nil {
		n.refuse(w, c, ferr)
		return
	}
	n.writeResponse(w, c, resp)
}

// cancelForDisconnect cancels a call whose caller closed its connection.
func (c *call) cancelForDisconnect() {
	c.callerLeft.Store(true)
	c.scope.Cancel(fault.Canceled)
}

// parseRequest creates the call for an HTTP request, by the platform's adapter if there is
// one.
func (n *Node) parseRequest(r *http.Request) (*call, *fault.Error) {
	if n.opt.HTTPAdapter != nil {
		return n.parseRoutedRequest(r)
	}
	return n.parseDirectRequest(r)
}

// refuseUnparsed refuses a request for which parseRequest returned an error.
func (n *Node) refuseUnparsed(w http.ResponseWriter, r *http.Request, c *call, e *fault.Error) {
	if n.opt.HTTPAdapter != nil {
		n.opt.HTTPAdapter.WriteRefusal(w, c.id, e)
		return
	}
	writeProblem(w, r.Header.Get(HeaderRequestID), e)
}

// parseDirectRequest creates the call for a request to the project's own HTTP interface and
// looks up its policy. A request with a call token becomes a nested call of the execution that
// the token names.
func (n *Node) parseDirectRequest(r *http.Request) (*call, *fault.Error) {
	path, query, hasQuery := strings.Cut(originTarget(r), "?")
	target, rest, ok := splitTarget(strings.TrimPrefix(path, callPrefix))
	if !ok {
		return nil, fault.New(fault.BadRequest, "the path must be /call/fleet/service/kind")
	}
	if hasQuery {
		rest += "?" + query
	}
	c := &call{target: target, service: serviceOfTarget(target), method: r.Method, path: rest, started: time.Now()}
	if ferr := n.checkTarget(c); ferr != nil {
		return nil, ferr
	}
	c.policy, ok = n.bindConfig(c).tree.KindPolicy(target)
	if !ok {
		return nil, n.unlessOutdated(c.conf, unknownTarget(c.conf, c))
	}
	c.header = endToEndFields(r.Header)
	if token := r.Header.Get(HeaderCallToken); token != "" {
		return c, n.attachToParent(c, token)
	}
	if n.stopping() {
		return nil, c.refusal(fault.Draining, "this node is stopping", 0)
	}
	return c, n.initRootCall(c, r)
}

// unknownTarget returns the error for a target without settings: an unknown service or an
// unknown request kind.
func unknownTarget(conf *config, c *call) *fault.Error {
	if !conf.tree.HasService(c.service) {
		return fault.Newf(fault.UnknownService, "the settings describe no service %q", c.service)
	}
	return fault.Newf(fault.UnknownKind, "the settings describe no request kind %q", c.target)
}

// initRootCall sets the request id, deadline, rank and retry budget of a request that enters
// at this node.
func (n *Node) initRootCall(c *call, r *http.Request) *fault.Error {
	c.id = r.Header.Get(HeaderRequestID)
	if c.id == "" {
		c.id = uuid.NewString()
	}
	if len(c.id) > maxIDLen {
		return fault.Newf(fault.BadRequest, "%s is longer than %d bytes", HeaderRequestID, maxIDLen)
	}
	allowed := c.policy.Deadline
	if v := r.Header.Get(HeaderRemaining); v != "" {
		d, ok := parseRemaining(v)
		if !ok {
			return fault.Newf(fault.BadRequest, "%s must be a positive number of milliseconds", HeaderRemaining)
		}
		allowed = min(allowed, d)
	}
	w, ferr := n.identifyWorkspace(c.conf, c, &CallerRequest{Key: directKey(r.Header)})
	if ferr != nil {
		return ferr
	}
	c.rootTarget = c.target
	c.rank = w.Rank(c.policy.Class, c.id)
	c.scope = scope.New(c.started.Add(allowed))
	c.retryBudget = &budget.Pool{}
	c.retryBudget.Reset(c.policy.RetryBudget)
	return nil
}

// maxIDLen bounds a request id, in bytes.
const maxIDLen = 128

// attachToParent makes the call a nested call of the execution with the given token. It
// returns a Canceled error if there is no such execution, or none any more.
func (n *Node) attachToParent(c *call, token string) *fault.Error {
	parent := n.executionOf(token)
	if parent == nil {
		return fault.New(fault.Canceled, "the request that this call belongs to has ended")
	}
	c.id = parent.call.id
	c.attachTo(parent, c.policy.Deadline)
	return nil
}

// attachTo makes the call a nested call of parent. The call inherits its rank and retry budget,
// and its deadline as an upper bound of its own.
func (c *call) attachTo(parent *execution, allowed time.Duration) {
	parentCall := parent.call
	c.parent = parent
	c.workspace = parentCall.workspace
	c.header = appendWorkspace(c.header, c.workspace)
	c.rootTarget = parentCall.rootTarget
	c.rank = parentCall.rank
	c.depth = parent.nestedCallDepth()
	c.fromRepeat = parent.repeat
	c.scope = parent.scope.Child(c.started.Add(allowed))
	c.retryBudget = parentCall.retryBudget
}

// refuse records a failed call and sends the caller a refusal. If the caller has disconnected,
// it aborts the handler instead.
func (n *Node) refuse(w http.ResponseWriter, c *call, e *fault.Error) {
	if c.parent != nil {
		c.parent.nestedCallFailed.Store(true)
	}
	n.stats.countRefusal(e.Code)
	if c.account != nil && e.Execution == fault.NotExecuted {
		// What did not run does not count towards the limit.
		c.account.Return(n.clock())
	}
	c.failureDetail = e.Detail
	n.recordOutcome(c, e.Code, e.Execution)
	if e.Code == fault.Canceled && c.callerLeft.Load() {
		// No caller is left to read a response.
		panic(http.ErrAbortHandler)
	}
	if n.opt.HTTPAdapter != nil {
		n.opt.HTTPAdapter.WriteRefusal(w, c.id, e)
		return
	}
	writeProblem(w, c.id, e)
}

// responseWriteGrace is the time after a request's deadline for writing its response: a
// response that is ready is still delivered, but a caller that does not read it is cut off.
const responseWriteGrace = time.Second

// laterOf returns the later of two times.
func laterOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// writeResponse sends a response to the caller. If the response body ends early, it aborts the
// caller's connection, so that a truncated response never looks complete.
func (n *Node) writeResponse(w http.ResponseWriter, c *call, resp *response) {
	if ferr := n.unfoundedRefusal(resp); ferr != nil {
		resp.close()
		n.refuse(w, c, ferr)
		return
	}
	defer resp.close()
	h := w.Header()
	for _, f := range resp.header {
		h[f.Name] = append(h[f.Name], f.Value)
	}
	if n.opt.HTTPAdapter == nil {
		h.Set(HeaderRequestID, c.id)
	} else if _, ok := h["Content-Type"]; !ok {
		// An empty field prevents content sniffing by net/http.
		h["Content-Type"] = nil
	}
	if resp.length >= 0 {
		h.Set("Content-Length", strconv.FormatInt(resp.length, 10))
	}
	c.conn.BeginResponse()
	_ = http.NewResponseController(w).SetWriteDeadline(laterOf(c.scope.Deadline(), time.Now()).Add(responseWriteGrace))
	w.WriteHeader(resp.status)
	if err := copyBody(w, resp.body); err != nil {
		n.stats.brokenResponses.Add(1)
		n.recordOutcome(c, fault.PeerLost, fault.ExecutionUnknown)
		if c.closeEndsBody {
			c.conn.ResetOnClose()
		}
		panic(http.ErrAbortHandler)
	}
	n.quarantine.recordResponse(c)
	n.recordOutcome(c, fault.None, fault.Executed)
}

// unfoundedRefusal returns an error in place of a backend server's response whose status tells the
// caller that the request was not executed. The server did not mark it as a rejection, so the request
// may have been executed.
func (n *Node) unfoundedRefusal(resp *response) *fault.Error {
	if n.opt.HTTPAdapter == nil || !n.opt.HTTPAdapter.ImpliesNotExecuted(resp.status) {
		return nil
	}
	return fault.Newf(fault.Protocol, "the backend server responded with status %d without rejecting the request", resp.status).WithUnknownExecution()
}

// copyBuffers pools the buffers for copying responses to callers.
var copyBuffers = sync.Pool{New: func() any {
	b := make([]byte, copyBufferSize)
	return &b
}}

// copyBufferSize holds most responses in one piece.
const copyBufferSize = 16 << 10

// copyBody copies a response body to its caller through a pooled buffer; io.Copy would
// allocate one for each response.
func copyBody(w io.Writer, body io.Reader) error {
	buf := copyBuffers.Get().(*[]byte)
	defer copyBuffers.Put(buf)
	// The plain interfaces hide ReadFrom and WriteTo, which would bypass the buffer.
	_, err := io.CopyBuffer(struct{ io.Writer }{w}, struct{ io.Reader }{body}, *buf)
	return err
}

// headerValue returns the first value of a header field, or "".
func headerValue(fs []wire.Field, name string) string {
	for _, f := range fs {
		if f.Name == name {
			return f.Value
		}
	}
	return ""
}

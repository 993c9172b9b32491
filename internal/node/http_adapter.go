package node

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/umberthread/umberthread/budget"
	"github.com/umberthread/umberthread/fault"
	"github.com/umberthread/umberthread/internal/scope"
)

// HTTPAdapter translates between the node and a platform with its own HTTP header fields and
// routes. Without one, a node uses the project's own HTTP interface. Its methods are called
// concurrently for each request.
type HTTPAdapter interface {
	// ParseRequest reads the properties of a caller's request. It may change the request's
	// header, which is then forwarded.
	ParseRequest(r *http.Request) (CallerRequest, *fault.Error)
	// WriteRefusal writes the response for a refused request.
	WriteRefusal(w http.ResponseWriter, id string, e *fault.Error)
	// SetRequestHeaders sets the header fields that the backend server expects.
	SetRequestHeaders(h http.Header, f BackendRequest)
	// ClassifyResponse reads from a backend server's response whether it belongs to the
	// request, whether the request was executed, and what it says about the server.
	ClassifyResponse(r *http.Response, f BackendRequest) ResponseClass
	// ImpliesNotExecuted reports whether callers take a status for a promise that the request was
	// not executed, whoever sent it.
	ImpliesNotExecuted(status int) bool
}

// CallerRequest holds the properties of a caller's request.
type CallerRequest struct {
	// ID is the request id.
	ID string
	// Parent is the id of the request of which this one may be a nested call, "" for none. It
	// is ignored unless the local backend server is executing that request.
	Parent string
	// Remaining is the time until the caller gives up, 0 if unknown.
	Remaining time.Duration
	// Caller is the identity of the caller, "" if unknown.
	Caller string
	// Key is the key of a workspace that the caller sent, "" for none, or for none that
	// can be read.
	Key string
	// KeyField is the name of the header field of the key, "" for none. It is not passed on
	// where there are workspaces; elsewhere it is the application's.
	KeyField string
}

// BackendRequest holds the properties of a request to a backend server.
type BackendRequest struct {
	// ID is the request id.
	ID string
	// Remaining is the time left until the deadline.
	Remaining time.Duration
	// Instance is the identity of the intended backend server, "" if it did not announce one.
	Instance string
	// Workspace is the workspace that the request belongs to, "" for none.
	Workspace string
}

// ResponseClass classifies a backend server's response.
type ResponseClass struct {
	// OtherRequest is set if the response belongs to another request, or to none.
	OtherRequest bool
	// NotExecuted is None, or the reason if the backend server certainly did not execute the
	// request.
	NotExecuted fault.Code
	// Server is what the response says about the backend server.
	Server ServerState
}

// originalHostField carries the host to which the caller addressed a request from node to
// node. No HTTP/1.1 header field begins with a colon, so it cannot collide.
const originalHostField = ":host"

// parseRoutedRequest creates the call for a request of a platform's caller: its host and path
// select the request kind.
func (n *Node) parseRoutedRequest(r *http.Request) (*call, *fault.Error) {
	c := &call{method: r.Method, path: originTarget(r), started: time.Now()}
	callerReq, ferr := n.opt.HTTPAdapter.ParseRequest(r)
	c.id, c.caller = callerReq.ID, callerReq.Caller
	if ferr == nil {
		ferr = n.checkTarget(c)
	}
	if ferr != nil {
		return c, ferr
	}
	conf := n.bindConfig(c)
	if !conf.tree.HasRoutes() {
		return c, c.refusal(fault.Starting, "this node has no settings yet", 0)
	}
	route := conf.tree.MatchRoute(r.Host, r.URL.EscapedPath())
	if route == nil {
		return c, n.unlessOutdated(conf, fault.New(fault.UnknownKind, "no route matches this host and path"))
	}
	target := route.SelectTarget()
	c.target, c.rootTarget, c.policy = target.Scope, target.Scope, target.Policy
	c.service = serviceOfTarget(c.target)
	allowed := c.policy.Deadline
	if callerReq.Remaining > 0 {
		allowed = min(allowed, callerReq.Remaining)
	}
	if len(conf.tree.Workspaces().All()) > 0 || c.policy.WorkspaceRequired {
		delete(r.Header, callerReq.KeyField)
	}
	c.header = append(endToEndFields(r.Header), wireField{Name: originalHostField, Value: r.Host})
	if parent := n.executionOf(callerReq.Parent); parent != nil {
		c.attachTo(parent, allowed)
		return c, nil
	}
	if n.stopping() && n.clock() > n.entryDeadline() {
		return c, c.refusal(fault.Draining, "this node is stopping", 0)
	}
	w, ferr := n.identifyWorkspace(conf, c, &callerReq)
	if ferr != nil {
		return c, ferr
	}
	c.rank = w.Rank(c.policy.Class, c.id)
	c.scope = scope.New(c.started.Add(allowed))
	c.retryBudget = &budget.Pool{}
	c.retryBudget.Reset(c.policy.RetryBudget)
	return c, nil
}

// executionOf returns the execution with the given token on the local backend server, or nil.
func (n *Node) executionOf(token string) *execution {
	if token == "" {
		return nil
	}
	v, ok := n.executionsByToken.Load(token)
	if !ok {
		return nil
	}
	return v.(*execution)
}

// entryDeadline returns the time on the node's clock until which a stopping node accepts
// requests of callers that have not yet noticed the stop.
func (n *Node) entryDeadline() time.Duration {
	return time.Duration(n.stopStarted.Load()) + n.opt.StopNotice.Duration
}

// Ready reports whether the node serves callers: it runs, is not stopping, and has settings.
func (n *Node) Ready() bool {
	return n.state.load() == nodeStateServing && n.conf.Load().version > 0
}

// newPlatformRequest builds the request for the backend server of a platform: method, path,
// host and body are the caller's.
func (n *Node) newPlatformRequest(be *localBackend, c *call) (*http.Request, BackendRequest) {
	h := make(http.Header, len(c.header)+4)
	host := be.client.Addr()
	for _, f := range c.header {
		switch f.Name {
		case originalHostField:
			host = f.Value
			continue
		case workspaceField:
			continue
		}
		h[f.Name] = append(h[f.Name], f.Value)
	}
	if _, ok := h["User-Agent"]; !ok {
		// An empty field prevents net/http from adding its own.
		h["User-Agent"] = []string{""}
	}
	f := BackendRequest{ID: c.id, Remaining: c.scope.Remaining(), Instance: be.instance, Workspace: c.workspace}
	n.opt.HTTPAdapter.SetRequestHeaders(h, f)
	u, _ := exactURL(n.backendTarget(c))
	return &http.Request{Method: c.method, URL: u, Host: host, Header: h, ContentLength: c.bodyLen}, f
}

// maxBufferedResponse is the size in bytes up to which a response is read before its head is
// sent: if it ends early, the request can be retried, and the backend server's connection is
// freed at once.
const maxBufferedResponse = 64 << 10

// bufferSmallBody reads a body of up to maxBufferedResponse bytes into memory. A longer one
// stays a stream.
func (r *response) bufferSmallBody() error {
	if r.length > maxBufferedResponse || r.length == 0 {
		return nil
	}
	var buf bytes.Buffer
	if r.length > 0 {
		buf.Grow(int(r.length) + bytes.MinRead)
	}
	_, err := io.CopyN(&buf, r.body, maxBufferedResponse+1)
	if err == nil {
		r.body = io.MultiReader(&buf, r.body)
		return nil
	}
	if !errors.Is(err, io.EOF) {
		return err
	}
	r.length = int64(buf.Len())
	r.buffered = buf.Bytes()
	r.body = &buf
	return nil
}

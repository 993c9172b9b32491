package node

import (
	"bufio"
	"bytes"
	"context"
	"errors"
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
	"github.com/umberthread/umberthread/internal/scope"
	"github.com/umberthread/umberthread/internal/wire"
	"github.com/umberthread/umberthread/rank"
)

// callPrefix begins the path of every request: /call/fleet/service/kind/rest.
const callPrefix = "/call/"

// serveCall answers a request of a caller, or of the backend server beside
// this node, on the goroutine that read it.
func (n *Node) serveCall(w http.ResponseWriter, r *http.Request) {
	c, ferr := n.openAny(r)
	if ferr != nil {
		n.stats.refused(ferr.Code)
		n.writeRefusal(w, r, c, ferr)
		return
	}
	stop := context.AfterFunc(r.Context(), c.leave)
	defer stop()
	conn := callers.Of(r.Context())
	conn.Watch(c.leave)
	defer conn.Unwatch()
	defer c.scope.Close()
	n.stats.inflight.Add(1)
	defer n.stats.inflight.Add(-1)
	if ferr := n.readBody(c, w, r); ferr != nil {
		n.refuse(w, c, ferr)
		return
	}
	c.mark()
	if c.policy.KeyRequired {
		n.serveOnce(w, r, c)
		return
	}
	a, ferr := n.dispatch(c)
	if ferr != nil {
		n.refuse(w, c, ferr)
		return
	}
	n.deliver(w, c, a)
}

// leave ends a call whose caller has left.
func (c *call) leave() {
	c.callerLeft.Store(true)
	c.scope.Cancel(fault.Canceled)
}

// openAny reads what the request says of itself in the words of the edge.
func (n *Node) openAny(r *http.Request) (*call, *fault.Error) {
	if n.opt.Edge != nil {
		return n.openRouted(r)
	}
	return n.open(r)
}

// writeRefusal refuses a request that was not taken in.
func (n *Node) writeRefusal(w http.ResponseWriter, r *http.Request, c *call, e *fault.Error) {
	if n.opt.Edge != nil {
		n.opt.Edge.Refuse(w, c.id, e)
		return
	}
	writeRefusal(w, r.Header.Get(HeaderRequestID), e)
}

// open reads what the request says of itself and finds its policy. A request
// with a call token is part of the one that the token names.
func (n *Node) open(r *http.Request) (*call, *fault.Error) {
	target, rest, ok := splitTarget(strings.TrimPrefix(r.URL.Path, callPrefix))
	if !ok {
		return nil, fault.New(fault.BadRequest, "the path must be /call/fleet/service/kind")
	}
	if r.URL.RawQuery != "" {
		rest += "?" + r.URL.RawQuery
	}
	c := &call{target: target, service: serviceOf(target), method: r.Method, path: rest, started: time.Now()}
	conf := n.conf.Load()
	c.policy, ok = conf.tree.KindPolicy(target)
	if !ok {
		return nil, unknownTarget(conf, c)
	}
	c.header = endToEnd(r.Header)
	if token := r.Header.Get(HeaderCall); token != "" {
		return c, n.joinParent(c, token)
	}
	if n.stopping() {
		return nil, c.refusal(fault.Draining, "this node is stopping", 0)
	}
	return c, n.openRoot(c, r)
}

func unknownTarget(conf *config, c *call) *fault.Error {
	if !conf.tree.HasService(c.service) {
		return fault.Newf(fault.UnknownService, "the settings describe no service %q", c.service)
	}
	return fault.Newf(fault.UnknownKind, "the settings describe no request kind %q", c.target)
}

func (n *Node) openRoot(c *call, r *http.Request) *fault.Error {
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
	c.root = c.target
	c.rank = rank.Of(c.policy.Class, c.id)
	c.scope = scope.New(c.started.Add(allowed))
	c.pool = &budget.Pool{}
	c.pool.Reset(c.policy.RetryBudget)
	return nil
}

// maxIDLen bounds a request id, in bytes.
const maxIDLen = 128

// joinParent makes the call part of the request that the backend server
// beside this node has in hand: its deadline, rank and retry budget hold.
func (n *Node) joinParent(c *call, token string) *fault.Error {
	w := n.workOf(token)
	if w == nil {
		return fault.New(fault.Canceled, "the request that this call belongs to has ended")
	}
	c.id = w.call.id
	c.join(w, c.policy.Deadline)
	return nil
}

// join makes the call part of a request in hand.
func (c *call) join(w *work, allowed time.Duration) {
	parent := w.call
	c.parent = w
	c.root = parent.root
	c.rank = parent.rank
	c.depth = w.depth()
	c.repeat = parent.repeat
	c.scope = w.scope.Child(c.started.Add(allowed))
	c.pool = parent.pool
}

// readBody keeps a small body in memory so that it can be sent again; a large
// one is streamed, within the bound of the request kind.
func (n *Node) readBody(c *call, w http.ResponseWriter, r *http.Request) *fault.Error {
	c.bodyLen = r.ContentLength
	if c.bodyLen > int64(c.policy.BodyMax) {
		return fault.Newf(fault.TooLarge, "the body has %d bytes; allowed are %d", c.bodyLen, c.policy.BodyMax)
	}
	if c.bodyLen == 0 {
		return nil
	}
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(c.scope.Deadline())
	// net/http goes on reading to see the caller leave, and takes a deadline
	// that passes for that: it must not pass together with the request's own.
	defer func() { _ = control.SetReadDeadline(c.scope.Deadline().Add(answerGrace)) }()
	body := http.MaxBytesReader(w, r.Body, int64(c.policy.BodyMax))
	if c.bodyLen < 0 {
		return c.readUnmeasured(body)
	}
	if c.bodyLen > int64(c.policy.ReplayMax) {
		return c.streamBody(body)
	}
	c.body = make([]byte, c.bodyLen)
	if _, err := io.ReadFull(body, c.body); err != nil {
		return bodyFault(err)
	}
	return nil
}

// markedBytes is how much of the beginning of a streamed body tells requests apart.
const markedBytes = 1 << 10

// streamBody passes a long body on as it is read.
func (c *call) streamBody(body io.Reader) *fault.Error {
	// Longer reads than its buffer pass a bufio.Reader by.
	r := bufio.NewReaderSize(body, markedBytes)
	start, err := r.Peek(markedBytes)
	if err != nil && !errors.Is(err, io.EOF) {
		return bodyFault(err)
	}
	c.bodyStart, c.stream = bytes.Clone(start), r
	return nil
}

// readUnmeasured keeps a body without a length if it turns out to be small.
func (c *call) readUnmeasured(body io.Reader) *fault.Error {
	var buf bytes.Buffer
	_, err := io.CopyN(&buf, body, int64(c.policy.ReplayMax)+1)
	switch {
	case err == nil:
		c.bodyStart = bytes.Clone(buf.Bytes()[:min(buf.Len(), markedBytes)])
		c.stream = io.MultiReader(&buf, body)
	case errors.Is(err, io.EOF):
		c.body, c.bodyLen = buf.Bytes(), int64(buf.Len())
	default:
		return bodyFault(err)
	}
	return nil
}

func bodyFault(err error) *fault.Error {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return fault.Wrap(fault.TooLarge, err, "the body is too large")
	}
	return fault.Wrap(fault.BadRequest, err, "the body broke off")
}

func (n *Node) refuse(w http.ResponseWriter, c *call, e *fault.Error) {
	if c.parent != nil {
		c.parent.failedBelow.Store(true)
	}
	n.stats.refused(e.Code)
	c.detail = e.Detail
	n.record(c, e.Code, e.Run)
	if e.Code == fault.Canceled && c.callerLeft.Load() {
		// Nobody is there to read an answer.
		panic(http.ErrAbortHandler)
	}
	if n.opt.Edge != nil {
		n.opt.Edge.Refuse(w, c.id, e)
		return
	}
	writeRefusal(w, c.id, e)
}

// answerGrace is how long beyond a request's deadline its caller may take to
// read an answer: one that is ready is delivered, late too, but not to a caller
// that does not read.
const answerGrace = time.Second

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// deliver sends the whole answer on. If it breaks off, the caller's
// connection is broken too: a part is never delivered as the whole.
func (n *Node) deliver(w http.ResponseWriter, c *call, a *answer) {
	defer a.close()
	h := w.Header()
	for _, f := range a.header {
		h[f.Name] = append(h[f.Name], f.Value)
	}
	if n.opt.Edge == nil {
		h.Set(HeaderRequestID, c.id)
	} else if _, ok := h["Content-Type"]; !ok {
		// An empty field keeps net/http from guessing one.
		h["Content-Type"] = nil
	}
	if a.length >= 0 {
		h.Set("Content-Length", strconv.FormatInt(a.length, 10))
	}
	_ = http.NewResponseController(w).SetWriteDeadline(later(c.scope.Deadline(), time.Now()).Add(answerGrace))
	w.WriteHeader(a.status)
	if err := copyBody(w, a.body); err != nil {
		n.stats.cut.Add(1)
		n.record(c, fault.PeerLost, fault.RunUnknown)
		panic(http.ErrAbortHandler)
	}
	n.quarantine.answered(c)
	n.record(c, fault.None, fault.RunYes)
}

// copyBuffers are the buffers of answers on their way to callers.
var copyBuffers = sync.Pool{New: func() any {
	b := make([]byte, copyBufferBytes)
	return &b
}}

// copyBufferBytes takes the usual answers in one piece.
const copyBufferBytes = 16 << 10

// copyBody copies an answer to its caller. io.Copy would take a new buffer for each.
func copyBody(w io.Writer, body io.Reader) error {
	buf := copyBuffers.Get().(*[]byte)
	defer copyBuffers.Put(buf)
	// The plain interfaces keep CopyBuffer from choosing a buffer of its own.
	_, err := io.CopyBuffer(struct{ io.Writer }{w}, struct{ io.Reader }{body}, *buf)
	return err
}

// fieldValue returns the first value of a field.
func fieldValue(fs []wire.Field, name string) string {
	for _, f := range fs {
		if f.Name == name {
			return f.Value
		}
	}
	return ""
}

package node

import (
	"bytes"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
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

// local is the backend server beside the node, as it last announced itself.
// It is immutable and swapped whole.
type local struct {
	service string
	// instance is the identity that it announced, "" for none, born when this
	// start of it began, in milliseconds of the Unix time, 0 if unknown, and
	// sequence the number of its last announcement.
	instance string
	born     int64
	sequence uint64
	// start counts the starts that stood beside this node.
	start  uint32
	slots  int
	weight float64
	// life is the state of the backend chart, and state the same as others
	// are told it.
	life    chart.State
	state   member.State
	expires time.Time
	client  *backend.Client
}

// runLocal runs a call on the backend server beside the node: it takes a slot
// and gives it back when the answer is closed.
func (n *Node) runLocal(c *call, pool *budget.Pool) (*answer, *fault.Error) {
	be, ferr := n.localFor(c)
	if ferr != nil {
		return nil, ferr
	}
	var p progress
	kind := n.kinds.index(c.target)
	code := n.gate.enter(c.scope, admission.Request{
		Rank: c.rank, Depth: c.depth, Kind: kind, Deadline: n.clock() + c.scope.Remaining(),
		Busy: n.nested.Level(c.root, n.clock()) > 0,
	})
	if code != fault.None {
		p.happen(requestRefuse)
		l := n.gate.load()
		e := c.refusal(code, "refused beside the backend server", l.level)
		e.Run = p.run()
		return nil, e
	}
	p.happen(requestAdmit)
	if ferr := n.quarantine.refusal(c); ferr != nil {
		n.gate.leave(admission.Outcome{})
		p.happen(requestExpire)
		ferr.Run = p.run()
		return nil, ferr
	}
	// The process may have been frozen since the request was admitted.
	if code := c.scope.Err(); code != fault.None {
		n.gate.leave(admission.Outcome{})
		p.happen(requestExpire)
		return nil, &fault.Error{Code: code, Run: p.run(), Detail: "given up before it was run"}
	}
	w := &work{token: n.tokenFor(c), call: c, start: be.start, scope: c.scope.Child(c.scope.Deadline())}
	n.works.Store(w.token, w)
	started := time.Now()
	p.happen(requestSend)
	req, mine := n.requestFor(be, c, w, pool)
	resp, err := be.client.Do(w.scope, backend.RequestTraits{Kind: kind, Idempotent: c.policy.Idempotent}, req, mine.check)
	if err == nil && mine.judged.NotRun != fault.None {
		return nil, n.rejected(be, c, w, &p, resp, mine.judged.NotRun)
	}
	if err != nil {
		n.endWork(w)
		ferr := fault.From(err)
		out := admission.Outcome{Kind: kind}
		if ferr.Code == fault.Deadline {
			out.Took, out.Expired = time.Since(started), true
		}
		n.gate.leave(out)
		if ferr.Run == fault.RunNo {
			p.happen(requestNotSent)
		} else {
			p.happen(requestLose)
		}
		ferr.Run = p.run()
		n.noteBroken(be, c, ferr)
		n.backendFailed(be, ferr)
		return nil, ferr
	}
	p.happen(requestAnswer)
	pushback := resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusTooManyRequests
	pushback = pushback && resp.Header.Get(HeaderRun) == ""
	took := time.Since(started)
	expired := resp.StatusCode == http.StatusGatewayTimeout
	if resp.StatusCode >= http.StatusInternalServerError && !expired {
		took = 0
	}
	a := &answer{status: resp.StatusCode, header: endToEnd(resp.Header), length: resp.ContentLength, body: resp}
	if c.method == http.MethodHead {
		// The length is that of the body which a GET would have.
		a.length = 0
	}
	a.header = keepRun(a.header, resp.Header)
	if n.opt.Edge != nil && resp.StatusCode >= http.StatusInternalServerError && w.failedBelow.Load() {
		a.header = append(a.header, wireField{Name: HeaderRun, Value: fault.RunUnknown.String()})
	}
	a.close = func() {
		if resp.IsComplete() {
			n.quarantine.answered(c)
		} else if c.scope.Err() == fault.None {
			n.quarantine.broke(be.start, c)
		}
		resp.Close()
		n.endWork(w)
		n.gate.leave(admission.Outcome{Kind: kind, Took: took, Expired: expired, Pushback: pushback})
	}
	if n.opt.Edge != nil && c.method != http.MethodHead {
		if err := a.readWhole(); err != nil {
			a.close()
			return nil, fault.Wrap(fault.BackendLost, err, "the answer broke off").Unknown()
		}
	}
	return a, nil
}

// tokenFor returns what the calls made for a request are recognised by: its id
// where the edge tells parents by their ids, else a token of its own.
func (n *Node) tokenFor(c *call) string {
	if n.opt.Edge != nil {
		return c.id
	}
	return n.newToken()
}

// exchange is one request to the backend server and what its answer says.
type exchange struct {
	n      *Node
	to     Forwarding
	judged Judgement
}

// check tells whether an answer belongs to the request.
func (x *exchange) check(r *http.Response) bool {
	if x.n.opt.Edge == nil {
		return true
	}
	x.judged = x.n.opt.Edge.Judge(r, x.to)
	return !x.judged.Foreign
}

func (n *Node) requestFor(be *local, c *call, w *work, pool *budget.Pool) (*http.Request, *exchange) {
	x := &exchange{n: n}
	var req *http.Request
	if n.opt.Edge != nil {
		req, x.to = n.edgeRequest(be, c)
	} else {
		req = n.backendRequest(be, c, w, pool)
	}
	switch {
	case c.body != nil:
		req.Body = io.NopCloser(bytes.NewReader(c.body))
	case c.stream != nil:
		req.Body = io.NopCloser(c.stream)
	}
	return req, x
}

// rejectionMax is how much of a rejection's body is read to free its
// connection, in bytes.
const rejectionMax = 4 << 10

// rejected ends a request that the backend server certainly did not run.
func (n *Node) rejected(be *local, c *call, w *work, p *progress, resp *backend.Response, code fault.Code) *fault.Error {
	_, _ = io.CopyN(io.Discard, resp, rejectionMax)
	resp.Close()
	n.endWork(w)
	n.gate.leave(admission.Outcome{Pushback: code == fault.Rejected})
	p.happen(requestNotSent)
	if code == fault.NoBackend && n.local.Load() == be {
		n.setLocal(nil, "another stands at its address")
	}
	e := c.refusal(code, "rejected by the backend server", 0)
	e.Run = p.run()
	return e
}

// opaqueURL is a URL that is written as the caller wrote it.
func opaqueURL(target string) *url.URL { return &url.URL{Opaque: target} }

// keepRun passes on whether a refused call below the backend server was run:
// it tells the nodes above that the failure is not this instance's.
func keepRun(fs []wireField, h http.Header) []wireField {
	if v := h.Get(HeaderRun); v != "" {
		fs = append(fs, wireField{Name: HeaderRun, Value: v})
	}
	return fs
}

func (n *Node) endWork(w *work) {
	n.works.Delete(w.token)
	w.scope.Cancel(fault.Canceled)
	w.scope.Close()
}

// localFor returns the backend server if it takes the call now.
func (n *Node) localFor(c *call) (*local, *fault.Error) {
	be := n.local.Load()
	if be == nil || be.service != c.service {
		return nil, c.refusal(fault.NoBackend, "no backend server of "+c.service+" stands beside this node", 0)
	}
	switch {
	case n.leaving() || be.state == member.Draining:
		return nil, c.refusal(fault.Draining, "the backend server is leaving", 0)
	case be.state == member.Starting:
		return nil, c.refusal(fault.Starting, "the backend server is starting", 0)
	case time.Now().After(be.expires):
		return nil, c.refusal(fault.NoBackend, "the backend server's lease ran out", 0)
	}
	return be, nil
}

func (n *Node) backendRequest(be *local, c *call, w *work, pool *budget.Pool) *http.Request {
	kind := c.target[strings.LastIndexByte(c.target, '/'):]
	u, err := url.ParseRequestURI(kind + c.path)
	if err != nil {
		u = &url.URL{Path: kind}
	}
	h := make(http.Header, len(c.header)+5)
	for _, f := range c.header {
		h[f.Name] = append(h[f.Name], f.Value)
	}
	h[HeaderRequestID] = []string{c.id}
	h[HeaderCall] = []string{w.token}
	h[HeaderRemaining] = []string{milliseconds(c.scope.Remaining())}
	h[HeaderClass] = []string{c.rank.Class().String()}
	h[HeaderBudget] = []string{strconv.Itoa(pool.Left())}
	return &http.Request{Method: c.method, URL: u, Host: be.client.Addr(), Header: h, ContentLength: c.bodyLen}
}

// backendFailed reacts to a backend server that no longer takes connections:
// it is gone until it announces itself again.
func (n *Node) backendFailed(be *local, e *fault.Error) {
	if e.Code != fault.BackendLost {
		return
	}
	if !be.client.Reachable() && n.local.Load() == be {
		n.setLocal(nil, "it no longer takes connections")
		n.quarantine.ended(be)
	}
}

// noteBroken remembers a request that may have been in work when its connection broke.
func (n *Node) noteBroken(be *local, c *call, e *fault.Error) {
	if brokeInWork(e) {
		n.quarantine.broke(be.start, c)
	}
}

// brokeInWork tells whether a backend server was lost that may have been running the
// request. e may be nil.
func brokeInWork(e *fault.Error) bool {
	return e != nil && e.Code == fault.BackendLost && e.Run != fault.RunNo
}

// kindTable gives each request kind a small number.
type kindTable struct {
	m    sync.Map
	next atomic.Uint32
}

func (t *kindTable) index(target string) uint8 {
	if v, ok := t.m.Load(target); ok {
		return v.(uint8)
	}
	i := uint8(min(t.next.Add(1)-1, admission.MaxKinds-1))
	v, _ := t.m.LoadOrStore(target, i)
	return v.(uint8)
}

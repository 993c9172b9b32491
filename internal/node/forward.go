package node

import (
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"github.com/umberthread/umberthread/admission"
	"github.com/umberthread/umberthread/budget"
	"github.com/umberthread/umberthread/fault"
	"github.com/umberthread/umberthread/internal/pathlevel"
	"github.com/umberthread/umberthread/internal/wire"
	"github.com/umberthread/umberthread/quarantine"
	"github.com/umberthread/umberthread/rank"
	"github.com/umberthread/umberthread/retry"
	"github.com/umberthread/umberthread/route"
	"github.com/umberthread/umberthread/settings"
)

// localRand draws from the runtime's per-thread generator, without a lock.
type localRand struct{}

// Float64 implements route.Rand.
func (localRand) Float64() float64 { return rand.Float64() }

// IntN implements route.Rand.
func (localRand) IntN(n int) int { return rand.IntN(n) }

// dispatch runs a call: it refuses it if the path is overloaded, and else
// sends it to instances of its service until one answers or the retries are
// spent.
func (n *Node) dispatch(c *call) (*answer, *fault.Error) {
	if c.policy.Mode == admission.ModeFull {
		if l := n.pathLevel(c); !l.Admits(c.rank, c.depth) {
			return nil, c.refusal(fault.Overload, "a service on the path of this request is overloaded", l)
		}
	}
	if ferr := n.quarantine.refusal(c); ferr != nil {
		return nil, ferr
	}
	if c.depth > 0 {
		waits, ok := n.acquireBulkhead(c)
		if !ok {
			return nil, c.refusal(fault.ShareSpent, "too many requests here wait on this service", rank.Count/4)
		}
		defer waits.Release()
		defer c.parent.finished.Add(1)
	}
	n.stats.calls.Add(1)
	retries, limits := n.retryThrottle(c.service), retryLimits(c.policy)
	if c.repeat {
		retries.Repeat(n.clock(), limits)
	} else {
		retries.First(n.clock(), limits)
	}
	for {
		a, in, ferr := n.attempt(c)
		if in != nil && (ferr != nil || a.status >= http.StatusInternalServerError) {
			c.tried(in.Addr, ferr, statusOf(a))
		}
		if brokeInWork(ferr) {
			c.broken++
		}
		c.mayHaveRun = c.mayHaveRun || ferr == nil || ferr.Run != fault.RunNo
		c.noteOffer(in, ferr)
		if ferr == nil && !n.badAnswer(c, a) {
			return n.answered(c, a)
		}
		if !n.mayRetry(c, in, ferr, retries) {
			if ferr == nil {
				return n.answered(c, a)
			}
			if c.mayHaveRun {
				// An earlier attempt may have run, whatever the last one says.
				ferr.Run = fault.RunUnknown
			}
			return nil, ferr
		}
		if a != nil {
			a.close()
		}
		n.stats.retries.Add(1)
		c.avoid = in
		c.lastFailure = fault.None
		if ferr != nil {
			c.lastFailure = ferr.Code
		}
	}
}

// turnsAway tells whether a refusal speaks of load, not of an instance that is
// away.
func turnsAway(code fault.Code) bool {
	return code == fault.Rejected || code == fault.Overload || code == fault.QueueTimeout
}

func retryLimits(p *settings.Policy) budget.Limits {
	return budget.Limits{Ratio: p.RetryRatio, Window: p.RetryWindow, Burst: p.RetryBurst}
}

func statusOf(a *answer) int {
	if a == nil {
		return 0
	}
	return a.status
}

// maxProblem bounds the body of a refusal that a backend server passes on.
const maxProblem = 64 << 10

// answered passes a backend server's answer on. If the answer is the refusal of
// a call below, it becomes this call's own: the refusal is true of the call
// below only, for this backend server did run.
func (n *Node) answered(c *call, a *answer) (*answer, *fault.Error) {
	if fieldValue(a.header, HeaderRun) == "" {
		return a, nil
	}
	if n.opt.HTTPAdapter != nil {
		// The platform's callers get the backend server's own answer.
		if c.parent != nil {
			c.parent.failedBelow.Store(true)
		}
		a.header = slices.DeleteFunc(a.header, func(f wireField) bool { return f.Name == HeaderRun })
		return a, nil
	}
	defer a.close()
	var p Problem
	code := fault.Overload
	if json.NewDecoder(io.LimitReader(a.body, maxProblem)).Decode(&p) == nil {
		if known, ok := fault.ParseCode(p.Reason); ok {
			code = known
		}
	}
	e := fault.New(code, "refused further down: "+p.Detail).Unknown()
	return nil, e.After(time.Duration(p.RetryAfterMs) * time.Millisecond)
}

// pathLevel is the level that a new request of this kind must pass at the
// entry; further down only the levels of the services below count.
func (n *Node) pathLevel(c *call) rank.Level {
	if c.depth > 0 {
		return 0
	}
	return n.entryLevels.Level(c.root, n.clock())
}

// badAnswer tells whether a backend server's answer is a failure that another
// instance might not have.
func (n *Node) badAnswer(c *call, a *answer) bool {
	if c.policy.Mode != admission.ModeFull {
		return a.status >= http.StatusInternalServerError
	}
	return a.status >= http.StatusInternalServerError && c.policy.Idempotent && fieldValue(a.header, HeaderRun) == ""
}

// pathsOf returns where the levels that the call's answers report belong.
func (n *Node) pathsOf(c *call) *pathlevel.Table {
	if c.depth > 0 {
		return &n.nestedLevels
	}
	return &n.entryLevels
}

// levelBelow is the highest of own, the level of the backend server beside this
// node, and those that requests of the call's root kind reach through it.
func (n *Node) levelBelow(c *call, own rank.Level) rank.Level {
	return max(own, n.nestedLevels.Level(c.root, n.clock()))
}

// baselineRetries is how often each hop retries under the baseline policies.
const baselineRetries = 3

// mayRetry decides whether a failed call is sent once more, and pays for it.
func (n *Node) mayRetry(c *call, in *route.Instance, e *fault.Error, retries *budget.Share) bool {
	if c.scope.Err() != fault.None {
		return false
	}
	if c.policy.Mode != admission.ModeFull {
		return c.replayable() && c.attempts <= baselineRetries
	}
	f := retry.Failure{Chosen: in != nil}
	if e != nil {
		f.Code, f.Run = e.Code, e.Run
	}
	switch retry.Decide(n.retryState(c), f) {
	case retry.Free:
		c.free++
		return true
	case retry.Paid:
		return n.payRetry(c, retries)
	default:
		return false
	}
}

// payRetry takes a retry from the call's pool and from the share of its service.
func (n *Node) payRetry(c *call, retries *budget.Share) bool {
	if !c.pool.Spend() {
		return false
	}
	if !retries.Spend(n.clock(), c.rank, retryLimits(c.policy)) {
		c.pool.Settle(1, 0)
		return false
	}
	return true
}

// retryState is what the decision about a retry looks at.
func (n *Node) retryState(c *call) retry.Call {
	return retry.Call{
		Replayable: c.replayable(), Idempotent: c.policy.Idempotent,
		Attempts: c.attempts, Free: c.free, Offered: len(c.sentTo), OfferMax: c.policy.AttemptsMax,
		Ends: max(c.broken, n.quarantine.ends(c)),
	}
}

// noteOffer remembers the instances whose backend servers were offered the call.
func (c *call) noteOffer(in *route.Instance, e *fault.Error) {
	offered := e == nil || e.Run != fault.RunNo || e.Code == fault.Rejected
	if in != nil && offered && !in.In(c.sentTo) {
		c.sentTo = append(c.sentTo, in)
	}
}

// allowed returns the instances that the next attempt may go to, nil for all.
func (c *call) allowed() []*route.Instance {
	if c.policy.AttemptsMax == 0 || len(c.sentTo) < c.policy.AttemptsMax {
		return nil
	}
	return c.sentTo
}

// attempt sends the call to one instance.
func (n *Node) attempt(c *call) (*answer, *route.Instance, *fault.Error) {
	c.attempts++
	now := n.clock()
	q := route.Query{
		Service: c.service, Rank: c.rank, Depth: c.depth, Now: now, Avoid: c.avoid, AvoidIfOthers: c.lastFailure == fault.Rejected, Among: c.allowed(),
		Options: route.Options{SpillAt: c.policy.SpillAt, EjectMax: c.policy.EjectMax, Ramp: c.policy.Ramp},
	}
	if c.policy.Mode != admission.ModeFull {
		q.Rank = rank.Count - 1
	}
	in, code := n.pick(c, &q)
	if code != fault.None {
		return nil, nil, c.refusal(code, "no instance of "+c.service+" takes this request", rank.Count/2)
	}
	in.Seen.Begin()
	if in.ID == n.id {
		a, ferr := n.runLocal(c, c.pool)
		report := n.localReport(a, ferr)
		n.pathsOf(c).Observe(c.root, c.service, n.levelBelow(c, report.Level), n.clock())
		in.Seen.End(n.clock(), report, n.eject(c))
		return a, in, ferr
	}
	a, ferr := n.sendTo(c, in, now)
	return a, in, ferr
}

const (
	// returnWait is how long a call waits for an instance to come back: a node
	// that is restarted is away for one or two seconds, half of the callers meet
	// its last second. It is also how long ago the last one may have been lost.
	returnWait = time.Second
	returnLook = 10 * time.Millisecond
	// returnShare is the most of its time that a call waits: one in so many.
	returnShare = 2
)

// pick chooses the instance for a call. A call that a backend server makes waits
// a while if its service has no instance just now: the work behind it would be
// lost, and a backend server cannot be told when to come back. A request that
// enters is refused at once, with that time.
func (n *Node) pick(c *call, q *route.Query) (*route.Instance, fault.Code) {
	in, code := n.routes.Load().Pick(q, localRand{})
	if code != fault.NoBackend || c.depth == 0 || turnsAway(c.lastFailure) {
		return in, code
	}
	until := q.Now + min(returnWait, c.scope.Remaining()/returnShare)
	for code == fault.NoBackend && n.clock() < until && c.scope.Err() == fault.None {
		routes := n.routes.Load()
		if !routes.MayReturn(c.service, n.clock(), returnWait) {
			break
		}
		time.Sleep(returnLook)
		// One that failed may have been started anew meanwhile.
		q.Now, q.Avoid = n.clock(), nil
		in, code = routes.Pick(q, localRand{})
	}
	return in, code
}

func (n *Node) eject(c *call) route.EjectOptions {
	return route.EjectOptions{Failures: c.policy.EjectFailures, Time: c.policy.EjectTime}
}

// localReport is what an attempt at the backend server beside this node says
// of it.
func (n *Node) localReport(a *answer, e *fault.Error) route.Report {
	load := n.gate.load()
	r := route.Report{HasLoad: true, Level: load.level, InFlight: uint16(load.inflight), Limit: uint16(load.limit)}
	r.Failed = instanceFailed(a, e)
	r.Rejected = e != nil && e.Code == fault.Rejected
	return r
}

// instanceFailed tells whether the instance, not the request, was at fault.
// Overload is no fault, and neither is an error that a service below caused.
func instanceFailed(a *answer, e *fault.Error) bool {
	if e == nil {
		failed := a.status == http.StatusInternalServerError || a.status == http.StatusBadGateway
		return failed && fieldValue(a.header, HeaderRun) == ""
	}
	switch e.Code {
	case fault.PeerLost, fault.PeerSilent, fault.BackendLost, fault.Protocol, fault.Internal:
		return true
	default:
		return false
	}
}

// sendTo sends the call to the node beside another backend server.
func (n *Node) sendTo(c *call, in *route.Instance, now time.Duration) (*answer, *fault.Error) {
	lease := c.pool.Lease()
	req := &wire.Request{
		Attempt: n.lastAttemptID.Add(1), ID: c.id, Root: c.root, Target: c.target,
		Remaining: c.scope.Remaining(), Rank: c.rank, Depth: c.depth, Lease: uint8(lease),
		MayHaveExecuted: c.repeat || c.attempts-c.free > 1, ContentFingerprint: uint64(c.marks.Content), CallerFingerprint: uint64(c.marks.Caller),
		Method: c.method, Path: c.path, BodyLen: c.bodyLen, Header: c.header,
	}
	wa, err := n.peers.client(in.Addr, c.policy.Silence).Do(c.scope, req, c.body, c.stream)
	if err != nil {
		c.pool.Lose(lease)
		ferr := fault.From(err)
		report := route.Report{Failed: instanceFailed(nil, ferr)}
		if ferr.Code == fault.Deadline {
			report.Waited = n.clock() - now
		}
		in.Seen.End(n.clock(), report, n.eject(c))
		if instanceFailed(nil, ferr) {
			n.reportEjection(in, ferr)
		}
		if ferr.Code == fault.PeerSilent || ferr.Code == fault.PeerLost && ferr.Run == fault.RunNo {
			n.peers.lose(in.Addr, in.Seen)
		}
		return nil, ferr
	}
	r := &wa.Reply
	c.pool.Settle(lease, int(r.LeaseSpent))
	n.pathsOf(c).Observe(c.root, c.service, r.PathLevel, n.clock())
	a := &answer{status: int(r.Status), header: r.Header, length: r.BodyLen, body: wa.Body, close: wa.Close}
	var ferr *fault.Error
	if r.Code != fault.None {
		wa.Close()
		ferr = &fault.Error{Code: r.Code, Run: r.Execution, RetryAfter: r.RetryAfter, Detail: r.Detail}
		a = nil
	}
	in.Seen.End(n.clock(), route.Report{
		Failed: instanceFailed(a, ferr), Rejected: r.Code == fault.Rejected, Draining: r.Code == fault.Draining,
		HasLoad: true, Level: r.Level, InFlight: r.InFlight, Limit: r.Limit, Took: n.clock() - now,
	}, n.eject(c))
	return a, ferr
}

// serveExchange answers a request of another node, for the backend server
// beside this one.
func (n *Node) serveExchange(x *wire.Exchange) {
	r := &x.Request
	c := &call{
		id: r.ID, root: r.Root, target: r.Target, rank: r.Rank, depth: r.Depth, repeat: r.MayHaveExecuted, scope: x.Scope,
		method: r.Method, path: r.Path, header: r.Header, bodyLen: r.BodyLen, started: time.Now(),
		marks: quarantine.Marks{Content: quarantine.Mark(r.ContentFingerprint), Caller: quarantine.Mark(r.CallerFingerprint)},
	}
	c.pool = &budget.Pool{}
	c.pool.Reset(int(r.Lease))
	a, ferr := n.acceptExchange(x, c)
	reply := &wire.Reply{LeaseSpent: uint8(min(c.pool.Spent(), int(r.Lease)))}
	load := n.gate.load()
	reply.Level = load.level
	reply.PathLevel = n.levelBelow(c, load.level)
	reply.InFlight = uint16(min(load.inflight+load.queued, 1<<16-1))
	reply.Limit = uint16(min(load.limit, 1<<16-1))
	if ferr != nil {
		n.logServed(c, ferr)
		reply.Code, reply.Execution, reply.RetryAfter, reply.Detail = ferr.Code, ferr.Run, ferr.RetryAfter, ferr.Error()
		_ = x.Reply(reply, nil, nil)
		return
	}
	defer a.close()
	reply.Execution = fault.RunYes
	reply.Status = uint16(a.status)
	reply.Header = a.header
	reply.BodyLen = a.length
	if err := x.Reply(reply, a.whole, a.body); err != nil {
		n.stats.cut.Add(1)
	}
}

func (n *Node) acceptExchange(x *wire.Exchange, c *call) (*answer, *fault.Error) {
	target, _, ok := splitTarget(c.target)
	if !ok || target != c.target {
		return nil, fault.New(fault.BadRequest, "malformed target")
	}
	c.service = serviceOf(c.target)
	c.policy = n.conf.Load().tree.Policy(c.target)
	if c.bodyLen > int64(c.policy.BodyMax) {
		return nil, fault.New(fault.TooLarge, "the body is larger than this request kind allows")
	}
	if c.bodyLen >= 0 && c.bodyLen <= int64(c.policy.ReplayMax) {
		c.body = make([]byte, c.bodyLen)
		if _, err := io.ReadFull(x.Body, c.body); err != nil {
			return nil, bodyFault(err)
		}
		x.MarkBodyRead()
	} else {
		c.stream = io.LimitReader(x.Body, int64(c.policy.BodyMax)+1)
	}
	return n.runLocal(c, c.pool)
}

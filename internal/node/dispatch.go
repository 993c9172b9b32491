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
	"github.com/umberthread/umberthread/internal/progress"
	"github.com/umberthread/umberthread/internal/wire"
	"github.com/umberthread/umberthread/quarantine"
	"github.com/umberthread/umberthread/rank"
	"github.com/umberthread/umberthread/retry"
	"github.com/umberthread/umberthread/route"
	"github.com/umberthread/umberthread/settings"
)

// runtimeRand implements route.Rand with the runtime's per-thread generator, which takes no
// lock.
type runtimeRand struct{}

// Float64 implements route.Rand.
func (runtimeRand) Float64() float64 { return rand.Float64() }

// IntN implements route.Rand.
func (runtimeRand) IntN(n int) int { return rand.IntN(n) }

// dispatch executes a call: it refuses the call if a service on its path is overloaded or its
// fingerprints are quarantined, and else makes attempts until one succeeds or no retry is
// allowed.
func (n *Node) dispatch(c *call) (*response, *fault.Error) {
	if c.policy.Mode == admission.ModeFull {
		if l := n.pathLevel(c); !l.Admits(c.rank, c.depth) {
			return nil, c.refusal(fault.Overload, "a service on the path of this request is overloaded"+n.describeRateLimit(c.service), l)
		}
	}
	if ferr := n.quarantine.refusal(c); ferr != nil {
		return nil, ferr
	}
	if c.depth > 0 {
		bulkhead, ok := n.acquireBulkhead(c)
		if !ok {
			return nil, c.refusal(fault.ShareSpent, "too many requests on this node are waiting for this service", rank.Count/4)
		}
		defer bulkhead.Release()
		defer c.parent.finishedCalls.Add(1)
	}
	n.stats.firstAttempts.Add(1)
	throttle, limits := n.retryThrottle(c.service), retryLimits(c.policy)
	if c.fromRepeat {
		throttle.RecordRetry(n.clock(), limits)
	} else {
		throttle.RecordFirstAttempt(n.clock(), limits)
	}
	defer n.abandonAttempts(c)
	resp, in, ferr := n.attempt(c)
	for {
		ferr = n.nameBodyLimit(c, ferr)
		if in != nil && (ferr != nil || resp.status >= http.StatusInternalServerError) {
			c.recordFailedAttempt(in.Addr, ferr, statusOf(resp))
		}
		if mayHaveTerminatedBackend(ferr) {
			c.brokenAttempts++
		}
		c.mayHaveExecuted = c.mayHaveExecuted || ferr == nil || ferr.Execution != fault.NotExecuted
		c.recordOffer(in, ferr)
		if ferr != nil && in != nil && ferr.Code == fault.RateLimited {
			c.rateLimitedBy = append(c.rateLimitedBy, in)
		}
		if ferr == nil && !n.isRetryableResponse(c, resp) {
			return n.unwrapRefusal(c, resp)
		}
		switch {
		case len(c.underWay) < underWayMax && n.reserveRetry(c, in, ferr, throttle):
			resp, in, ferr = n.retryAttempt(c, resp, in, ferr)
		case ferr != nil && len(c.underWay) > 0:
			// No better attempt can be made than the one that may still be answered.
			resp, in, ferr = n.awaitAttempts(c)
		case ferr == nil:
			return n.unwrapRefusal(c, resp)
		default:
			if c.mayHaveExecuted {
				// An earlier attempt may have been executed, even if the last one was not.
				ferr.Execution = fault.ExecutionUnknown
			}
			return nil, ferr
		}
	}
}

// retryAttempt makes another attempt after one that failed or is in doubt.
func (n *Node) retryAttempt(c *call, resp *response, in *route.Instance, ferr *fault.Error) (*response, *route.Instance, *fault.Error) {
	if resp != nil {
		resp.close()
	}
	n.stats.retries.Add(1)
	c.avoidInstance = in
	if len(c.underWay) > 0 {
		c.avoidInstance = c.underWay[0].instance
	}
	c.lastFailure = fault.None
	if ferr != nil {
		c.lastFailure = ferr.Code
	}
	return n.attempt(c)
}

// isLoadRefusal reports whether a code means an overloaded instance rather than an unavailable
// one.
func isLoadRefusal(code fault.Code) bool {
	return code == fault.Rejected || code == fault.Overload || code == fault.QueueTimeout || code == fault.RateLimited
}

// retryLimits returns the limits on retries of calls to a service, as a share of the first
// attempts: of those decided at an entry node, and of those sent to a backend server.
func retryLimits(p *settings.Policy) budget.Limits {
	return budget.Limits{Ratio: p.RetryRatio, Window: p.RetryWindow, Burst: p.RetryBurst}
}

// statusOf returns the HTTP status of a response, 0 for nil.
func statusOf(resp *response) int {
	if resp == nil {
		return 0
	}
	return resp.status
}

// maxProblemBytes bounds the body of a refusal that a backend server passes on.
const maxProblemBytes = 64 << 10

// unwrapRefusal turns a response that passes on the refusal of a nested call into an error of
// this call with unknown execution, since this backend server did run. It returns other
// responses unchanged. With a platform adapter it only removes the internal header field.
func (n *Node) unwrapRefusal(c *call, resp *response) (*response, *fault.Error) {
	if headerValue(resp.header, HeaderExecution) == "" {
		return resp, nil
	}
	if n.opt.HTTPAdapter != nil {
		// The platform's callers get the backend server's own response.
		if c.parent != nil {
			c.parent.nestedCallFailed.Store(true)
		}
		resp.header = slices.DeleteFunc(resp.header, func(f wireField) bool { return f.Name == HeaderExecution })
		return resp, nil
	}
	defer resp.close()
	var p Problem
	code := fault.Overload
	if json.NewDecoder(io.LimitReader(resp.body, maxProblemBytes)).Decode(&p) == nil {
		if known, ok := fault.ParseCode(p.Reason); ok {
			code = known
		}
	}
	e := fault.New(code, "nested call refused: "+p.Detail).WithUnknownExecution()
	return nil, e.WithRetryAfter(time.Duration(p.RetryAfterMs) * time.Millisecond)
}

// pathLevel returns the admission level that a request must pass at its entry. It is 0 for
// nested calls, which are checked at the called services only.
func (n *Node) pathLevel(c *call) rank.Level {
	if c.depth > 0 {
		return 0
	}
	return n.entryLevels.Level(c.rootTarget, n.clock())
}

// isRetryableResponse reports whether a response is a failure that another instance might not
// have.
func (n *Node) isRetryableResponse(c *call, resp *response) bool {
	if c.policy.Mode != admission.ModeFull {
		return resp.status >= http.StatusInternalServerError
	}
	return resp.status >= http.StatusInternalServerError && c.policy.Idempotent && headerValue(resp.header, HeaderExecution) == ""
}

// pathLevelsFor returns the table for the path levels that this call's responses report.
func (n *Node) pathLevelsFor(c *call) *pathlevel.Table {
	if c.depth > 0 {
		return &n.nestedLevels
	}
	return &n.entryLevels
}

// observePathLevel records the path level that a call's response reports, and the level of the
// instance itself.
func (n *Node) observePathLevel(c *call, path, instance rank.Level) {
	now := n.clock()
	path = n.routes.Load().PathLevel(c.service, path, instance, now)
	n.pathLevelsFor(c).Observe(c.rootTarget, c.service, path, now)
}

// maxLevelBelow returns the highest of own, the level of the local backend server, and the
// levels on the paths of its nested calls for the same root target.
func (n *Node) maxLevelBelow(c *call, own rank.Level) rank.Level {
	return max(own, n.nestedLevels.Level(c.rootTarget, n.clock()))
}

// baselineRetries is the number of retries per hop in the baseline modes, which have no retry
// budget.
const baselineRetries = 3

// reserveRetry decides whether a failed call is retried, and takes the retry from the
// budgets if it is to be charged.
func (n *Node) reserveRetry(c *call, in *route.Instance, e *fault.Error, throttle *budget.Throttle) bool {
	if c.scope.Err() != fault.None {
		return false
	}
	if c.policy.Mode != admission.ModeFull {
		return c.replayable() && c.attempts <= baselineRetries
	}
	f := retry.Failure{InstanceChosen: in != nil}
	if e != nil {
		f.Code, f.Execution = e.Code, e.Execution
	}
	c.retryDenied = c.retryDenied || f.Code == fault.RetryBudgetSpent
	switch retry.Decide(n.retryState(c), f) {
	case retry.RetryUncharged:
		c.unchargedRetries++
		n.stats.unchargedRetries.Add(1)
		return true
	case retry.RetryCharged:
		return n.spendRetry(c, throttle)
	default:
		return false
	}
}

// spendRetry takes a retry from the call's retry budget and from the service's throttle; false
// if either is exhausted.
func (n *Node) spendRetry(c *call, throttle *budget.Throttle) bool {
	if !c.retryBudget.TrySpend() {
		return false
	}
	if !throttle.AllowRetry(n.clock(), c.rank, retryLimits(c.policy)) {
		c.retryBudget.SettleLease(1, 0)
		n.stats.deniedRetries.Add(1)
		c.retryDenied = true
		return false
	}
	return true
}

// retryState returns the input of the retry decision.
func (n *Node) retryState(c *call) retry.Call {
	return retry.Call{
		Replayable: c.replayable(), Idempotent: c.policy.Idempotent,
		Attempts: c.attempts, Uncharged: c.unchargedRetries, Offered: len(c.offers()), MaxOffered: c.policy.AttemptsMax,
		Terminations: max(c.brokenAttempts, n.quarantine.terminationCount(c)),
	}
}

// recordOffer records whether the call may have reached a backend server, and the instance if
// its own one was offered the call.
func (c *call) recordOffer(in *route.Instance, e *fault.Error) {
	if in == nil {
		return
	}
	offered := e == nil || e.Execution != fault.NotExecuted || e.Code == fault.Rejected
	c.reachedBackend = c.reachedBackend || offered || e.Code == fault.Misdirected
	if offered && !in.IsAnyOf(c.offeredTo) {
		c.offeredTo = append(c.offeredTo, in)
	}
}

// allowedInstances returns the instances that the next attempt may use, nil for all.
func (c *call) allowedInstances() []*route.Instance {
	if c.policy.AttemptsMax == 0 {
		return nil
	}
	offers := c.offers()
	if len(offers) < c.policy.AttemptsMax {
		return nil
	}
	return offers
}

// offers returns the instances whose backend servers were offered the call, or may be by an attempt
// under way. The result must not be modified.
func (c *call) offers() []*route.Instance {
	offers := slices.Clip(c.offeredTo)
	for _, a := range c.underWay {
		if !a.instance.IsAnyOf(offers) {
			offers = append(offers, a.instance)
		}
	}
	return offers
}

// attempt sends the call to one instance and records the outcome for routing. The instance is
// nil if none accepts the call.
func (n *Node) attempt(c *call) (*response, *route.Instance, *fault.Error) {
	c.attempts++
	now := n.clock()
	q := route.Query{
		Service: c.service, Rank: c.rank, Depth: c.depth, Now: now, Avoid: c.avoidInstance, AvoidIfPossible: c.lastFailure == fault.Rejected && len(c.underWay) == 0, Allowed: c.allowedInstances(),
		Options: route.Options{SpillAt: c.policy.SpillAt, EjectMax: c.policy.EjectMax, Ramp: c.policy.Ramp},
	}
	if c.policy.Mode != admission.ModeFull {
		q.Rank = rank.Total - 1
	}
	in, code := n.pickInstance(c, &q)
	if c.lastFailure == fault.RateLimited && (code == fault.NoBackend || in != nil && in.IsAnyOf(c.rateLimitedBy)) {
		// Only instances that have refused the call are left.
		in, code = nil, fault.RateLimited
	}
	if code != fault.None {
		return nil, nil, c.refusal(code, "no instance of "+c.service+" accepts this request"+n.describeRateLimit(c.service), rank.Count/2)
	}
	in.Observed.RecordSend()
	var x exchange
	var ferr *fault.Error
	if in.ID == n.id {
		x, ferr = n.sendToLocal(c, in)
	} else {
		x, ferr = n.sendToPeer(c, in, now)
	}
	if ferr != nil {
		return nil, in, ferr
	}
	c.underWay = append(c.underWay, attempt{in, x})
	return n.awaitAttempts(c)
}

// sendToLocal sends the call to the local backend server.
func (n *Node) sendToLocal(c *call, in *route.Instance) (exchange, *fault.Error) {
	e, ferr := n.startLocalExecution(c, c.retryBudget)
	if ferr != nil {
		n.recordLocalOutcome(c, in, nil, ferr)
		return nil, ferr
	}
	return &localExchange{localExecution: e, node: n, call: c, instance: in}, nil
}

// recordLocalOutcome records the end of an attempt at the local backend server for routing.
func (n *Node) recordLocalOutcome(c *call, in *route.Instance, resp *response, ferr *fault.Error) {
	load := n.gate.load()
	outcome := localAttemptOutcome(load, resp, ferr)
	in.Observed.RecordOutcome(n.clock(), outcome, n.ejectOptions(c))
	n.observePathLevel(c, n.maxLevelBelow(c, load.level), outcome.Level)
}

const (
	// maxReturnWait bounds the wait of a nested call for an instance to come back, and how
	// long ago the last instance may have been lost. It covers part of a node restart.
	maxReturnWait      = time.Second
	returnPollInterval = 10 * time.Millisecond
	// returnWaitDivisor limits the wait to this fraction of the time left.
	returnWaitDivisor = 2
)

// pickInstance chooses the instance for an attempt. A nested call waits briefly if its service
// has no instance, because failing it would waste the work of its parent. A request at the
// entry waits only while this node has just started and does not know the instances yet; else
// it is refused at once with a retry-after time.
func (n *Node) pickInstance(c *call, q *route.Query) (*route.Instance, fault.Code) {
	in, code := n.routes.Load().Pick(q, runtimeRand{})
	if code != fault.NoBackend || isLoadRefusal(c.lastFailure) || len(c.underWay) > 0 {
		return in, code
	}
	if c.depth == 0 {
		return n.awaitFirstInstance(c, q)
	}
	until := q.Now + min(maxReturnWait, c.scope.Remaining()/returnWaitDivisor)
	return n.awaitInstance(c, q, until, func(routes *route.Snapshot) bool {
		return routes.MayReturn(c.service, n.clock(), maxReturnWait)
	})
}

const (
	// maxStartupWaiters bounds the requests that wait while this node finds the instances.
	maxStartupWaiters = 256
	// startupWaitDivisor limits their wait to this fraction of the latency objective, so that
	// one that is refused in the end can still be served in time elsewhere.
	startupWaitDivisor = 6
)

// awaitFirstInstance waits for an instance of the call's service while this node has just
// started, for a bounded number of calls.
func (n *Node) awaitFirstInstance(c *call, q *route.Query) (*route.Instance, fault.Code) {
	unknown := func(routes *route.Snapshot) bool { return n.gossip.recentlyStarted() && !routes.Knows(c.service) }
	if !unknown(n.routes.Load()) {
		return nil, fault.NoBackend
	}
	defer n.startupWaiters.Add(-1)
	if n.startupWaiters.Add(1) > maxStartupWaiters {
		return nil, fault.NoBackend
	}
	until := q.Now + min(c.policy.ObjectiveWithin/startupWaitDivisor, c.scope.Remaining()/startupWaitDivisor)
	return n.awaitInstance(c, q, until, unknown)
}

// awaitInstance picks again and again until there is an instance, the time on the node's clock
// is over, or one can no longer be expected.
func (n *Node) awaitInstance(c *call, q *route.Query, until time.Duration, expected func(*route.Snapshot) bool) (in *route.Instance, code fault.Code) {
	code = fault.NoBackend
	for code == fault.NoBackend && n.clock() < until && c.scope.Err() == fault.None && expected(n.routes.Load()) {
		time.Sleep(returnPollInterval)
		// The avoided instance may have restarted meanwhile.
		q.Now, q.Avoid = n.clock(), nil
		in, code = n.routes.Load().Pick(q, runtimeRand{})
	}
	return in, code
}

// ejectOptions returns the settings for ejecting failing instances.
func (n *Node) ejectOptions(c *call) route.EjectOptions {
	return route.EjectOptions{ConsecutiveFailures: c.policy.EjectFailures, Duration: c.policy.EjectTime}
}

// localAttemptOutcome returns the outcome of an attempt at the local backend server for
// routing.
func localAttemptOutcome(load gateLoad, resp *response, e *fault.Error) route.Outcome {
	r := route.Outcome{HasLoad: true, Level: load.instanceLevel(), InFlight: uint16(load.inflight), Limit: uint16(load.limit)}
	r.Failed = isInstanceFailure(resp, e)
	r.Rejected = e != nil && e.Code == fault.Rejected
	return r
}

// isInstanceFailure reports whether the instance caused the failure, not the request. Overload
// does not count, and neither does an error passed on from a nested call.
func isInstanceFailure(resp *response, e *fault.Error) bool {
	if e == nil {
		failed := resp.status == http.StatusInternalServerError || resp.status == http.StatusBadGateway
		return failed && headerValue(resp.header, HeaderExecution) == ""
	}
	switch e.Code {
	case fault.PeerLost, fault.PeerSilent, fault.BackendLost, fault.Protocol, fault.Internal:
		return true
	default:
		return false
	}
}

// sendToPeer sends the call to another node for its backend server. It lends that node a part
// of the retry budget.
func (n *Node) sendToPeer(c *call, in *route.Instance, now time.Duration) (exchange, *fault.Error) {
	x := &peerExchange{node: n, call: c, instance: in, lease: c.retryBudget.Lease(), sentAt: now}
	req := &wire.Request{
		Attempt: n.lastAttemptID.Add(1) | wire.AcceptsDoubt, ID: c.id, Root: c.rootTarget, Target: c.target,
		Remaining: c.scope.Remaining(), Rank: c.rank, Depth: c.depth, Lease: uint8(x.lease),
		Repeat: c.isRepeat(), ContentFingerprint: uint64(c.fingerprints.Content), CallerFingerprint: uint64(c.fingerprints.Caller),
		Method: c.method, Path: c.path, BodyLen: c.bodyLen, Header: withServerReport(c.header, n.serverReports.latest(now, in.Addr)),
	}
	var err error
	if x.pending, err = n.peers.client(in.Addr, c.policy.Silence).Send(c.scope, req, c.body, c.stream); err != nil {
		return nil, n.recordPeerFailure(x, fault.From(err))
	}
	return x, nil
}

// recordPeerFailure records an exchange with another node that failed, and returns the failure.
func (n *Node) recordPeerFailure(x *peerExchange, ferr *fault.Error) *fault.Error {
	c, in := x.call, x.instance
	n.recordUnanswered(c, hopPeer, in.Addr, n.start.Add(x.sentAt), ferr)
	c.retryBudget.ForfeitLease(x.lease)
	outcome := route.Outcome{Failed: isInstanceFailure(nil, ferr)}
	if ferr.Code == fault.Deadline {
		outcome.TimedOutAfter = n.clock() - x.sentAt
	}
	in.Observed.RecordOutcome(n.clock(), outcome, n.ejectOptions(c))
	if isInstanceFailure(nil, ferr) {
		n.reportEjection(in, ferr)
	}
	if ferr.Code == fault.PeerSilent || ferr.Code == fault.PeerLost && ferr.Execution == fault.NotExecuted {
		n.peers.markUnreachable(in.Addr, in.Observed)
	}
	return ferr
}

// receiveFromPeer returns the response, or the failure that another node reports.
func (n *Node) receiveFromPeer(x *peerExchange, wireResp *wire.Response) (*response, *fault.Error) {
	c, in, r := x.call, x.instance, &wireResp.Reply
	var report string
	r.Header, report = takeServerReport(r.Header)
	n.serverReports.observe(n.clock(), in.Addr, report)
	c.retryBudget.SettleLease(x.lease, int(r.LeaseSpent))
	resp := &response{status: int(r.Status), header: r.Header, length: r.BodyLen, body: wireResp.Body, close: wireResp.Close}
	var ferr *fault.Error
	if r.Code != fault.None {
		wireResp.Close()
		ferr = &fault.Error{Code: r.Code, Execution: r.Execution, RetryAfter: r.RetryAfter, Detail: r.Detail}
		resp = nil
	}
	in.Observed.RecordOutcome(n.clock(), route.Outcome{
		Failed: isInstanceFailure(resp, ferr), Rejected: r.Code == fault.Rejected, Draining: r.Code == fault.Draining,
		HasLoad: true, Level: r.Level, InFlight: r.InFlight, Limit: r.Limit, Latency: n.clock() - x.sentAt,
	}, n.ejectOptions(c))
	n.observePathLevel(c, r.PathLevel, r.Level)
	return resp, ferr
}

// servePeerRequest handles a request of another node for the local backend server.
func (n *Node) servePeerRequest(x *wire.Exchange) {
	r := &x.Request
	var report string
	if r.Header, report = takeServerReport(r.Header); report != "" {
		n.adoptServerReport(report)
	}
	c := &call{
		id: r.ID, rootTarget: r.Root, target: r.Target, rank: r.Rank, depth: r.Depth, fromRepeat: r.Repeat, scope: x.Scope,
		method: r.Method, path: r.Path, header: r.Header, bodyLen: r.BodyLen, started: time.Now(),
		workspace:    headerValue(r.Header, workspaceField),
		fingerprints: quarantine.Fingerprints{Content: quarantine.Fingerprint(r.ContentFingerprint), Caller: quarantine.Fingerprint(r.CallerFingerprint)},
	}
	c.retryBudget = &budget.Pool{}
	c.retryBudget.Reset(int(r.Lease))
	resp, ferr := n.runPeerRequest(x, c)
	reply := &wire.Reply{LeaseSpent: uint8(min(c.retryBudget.Spent(), int(r.Lease)))}
	load := n.gate.load()
	reply.Level = load.instanceLevel()
	reply.PathLevel = n.maxLevelBelow(c, load.level)
	reply.InFlight = uint16(min(load.inflight+load.queued, 1<<16-1))
	reply.Limit = uint16(min(load.limit, 1<<16-1))
	if ferr != nil {
		n.logFailedPeerRequest(c, ferr)
		reply.Code, reply.Execution, reply.RetryAfter, reply.Detail = ferr.Code, ferr.Execution, ferr.RetryAfter, ferr.Error()
		reply.Header = n.appendServerReport(nil)
		_ = x.Reply(reply, nil, nil)
		return
	}
	defer resp.close()
	n.logOutdatedPeerRequest(c)
	reply.Execution = fault.Executed
	reply.Status = uint16(resp.status)
	reply.Header = n.appendServerReport(resp.header)
	reply.BodyLen = resp.length
	if err := x.Reply(reply, resp.buffered, resp.body); err != nil {
		n.stats.brokenResponses.Add(1)
	}
}

// runPeerRequest validates a request of another node, reads or streams its body, and executes
// it.
func (n *Node) runPeerRequest(x *wire.Exchange, c *call) (*response, *fault.Error) {
	target, _, ok := splitTarget(c.target)
	if !ok || target != c.target {
		return nil, fault.New(fault.BadRequest, "malformed target")
	}
	if ferr := n.checkTarget(c); ferr != nil {
		return nil, ferr
	}
	c.service = serviceOfTarget(c.target)
	n.bindConfig(c)
	c.policy = c.conf.tree.Policy(c.target)
	if c.bodyLen >= 0 && c.bodyLen <= int64(c.policy.ReplayMax) {
		var err error
		if c.body, err = x.ReadBody(); err != nil {
			return nil, n.bodyReadError(c, err)
		}
	} else {
		// The entry bounds the body by the limit by which it let the request in. A bound of this
		// node, whose settings may differ, would look to the backend server like the body's end.
		c.stream = x.Body
	}
	e, ferr := n.startLocalExecution(c, c.retryBudget)
	if ferr != nil {
		return nil, ferr
	}
	for {
		resp, state, ferr := e.await(time.Time{})
		if state == progress.Ended {
			return resp, ferr
		}
		x.ReportDoubt()
	}
}

package node

import (
	"io"
	"math/rand/v2"
	"strings"
	"sync/atomic"
	"time"

	"github.com/umberthread/umberthread/budget"
	"github.com/umberthread/umberthread/fault"
	"github.com/umberthread/umberthread/internal/inbound"
	"github.com/umberthread/umberthread/internal/scope"
	"github.com/umberthread/umberthread/internal/wire"
	"github.com/umberthread/umberthread/quarantine"
	"github.com/umberthread/umberthread/quota"
	"github.com/umberthread/umberthread/rank"
	"github.com/umberthread/umberthread/retry"
	"github.com/umberthread/umberthread/route"
	"github.com/umberthread/umberthread/settings"
)

// call is one request to one service, from its arrival at this node to its response.
type call struct {
	// id is the request id, shared by all nested calls and resends.
	id string
	// rootTarget is the target of the request that entered, and target that of this call, both
	// fleet/service/kind; service is fleet/service.
	rootTarget string
	target     string
	service    string
	// rank is the request's position in the shedding order.
	rank rank.Rank
	// workspace is the name of the workspace that the request belongs to, "" for none, and
	// account the one that admitted it, nil for a nested call or a request of no workspace.
	workspace string
	account   *quota.Account
	// depth is 0 for a request that a caller sent, and grows with each nested call.
	depth uint8
	// fromRepeat is set if the call was made by an execution that was a repeat, or came as a
	// repeat from another node.
	fromRepeat bool
	// reachedBackend is set if an earlier attempt may have reached a backend server.
	reachedBackend bool
	// parent is the execution that made this nested call, nil at the entry.
	parent *execution
	// conf are the settings by which the request is judged, and policy what they say of it.
	// heardVersion is the newest version that the node had heard of then, and confirmedAt when
	// a quorum had last confirmed conf, on the node's clock, 0 for never.
	conf         *config
	heardVersion uint64
	confirmedAt  time.Duration
	policy       *settings.Policy
	retryBudget  *budget.Pool
	scope        *scope.Scope
	method       string
	path         string
	header       []wire.Field

	// body is the whole body if it is small enough to be sent again; otherwise stream is read
	// once. bodyLen is the length in bytes, negative if unknown.
	body    []byte
	stream  io.Reader
	bodyLen int64
	// bodyPrefix is the beginning of a streamed body.
	bodyPrefix []byte
	// conn accounts for the memory of a request that a caller sent, nil for others.
	conn *inbound.Conn
	// closeEndsBody is set if the caller speaks HTTP/1.0, where the end of the connection is the end of
	// a body without a length.
	closeEndsBody bool
	// caller is the identity of the caller if the platform's adapter provides it. fingerprints
	// identify similar requests for quarantine.
	caller       string
	fingerprints quarantine.Fingerprints

	// underWay are the attempts that were sent and have not ended.
	underWay []attempt
	// attempts counts the attempts, retries included.
	attempts int
	// avoidInstance is the instance of the last attempt, lastFailure the reason for its
	// failure, and offeredTo the instances whose backend servers were offered the call.
	avoidInstance *route.Instance
	lastFailure   fault.Code
	offeredTo     []*route.Instance
	// rateLimitedBy are the instances that refused the call because of their rate limit.
	rateLimitedBy []*route.Instance
	// failedAttempts lists the failed attempts, and failureDetail describes the failure, for
	// the log.
	failedAttempts strings.Builder
	failureDetail  string
	// unchargedRetries counts the retries that were not charged to the retry budget.
	unchargedRetries int
	// retryDenied is set if a retry was not made because the service's ratio was used up.
	retryDenied bool
	// brokenAttempts counts the attempts in which the backend server was lost during
	// execution.
	brokenAttempts int
	// mayHaveExecuted is set if any attempt may have been executed by a backend server.
	mayHaveExecuted bool
	// callerLeft is set when the caller has closed its connection. A call that is canceled because
	// its parent ended still gets a response.
	callerLeft atomic.Bool
	started    time.Time
}

// bindConfig judges the call by the settings in force and returns them.
func (n *Node) bindConfig(c *call) *config {
	c.conf, c.heardVersion, c.confirmedAt = n.conf.Load(), n.gossip.highestVersion.Load(), n.versions.confirmation()
	return c.conf
}

// unconfirmedFor returns how long the settings by which a call is judged had not been confirmed
// when it began, 0 if they had been recently or never.
func (n *Node) unconfirmedFor(c *call) time.Duration {
	age := c.started.Sub(n.start) - c.confirmedAt
	if c.confirmedAt == 0 || age <= contactTimeout {
		return 0
	}
	return age
}

// hasOutdatedConfig reports whether the node had heard of newer settings when it judged the call.
func (c *call) hasOutdatedConfig() bool { return c.conf != nil && c.heardVersion > c.conf.version }

// configVersion returns the version of the settings by which the call is judged, or 0 if it was
// refused before.
func (c *call) configVersion() uint64 {
	if c.conf == nil {
		return 0
	}
	return c.conf.version
}

// replayable reports whether the call can be sent again.
func (c *call) replayable() bool { return c.stream == nil }

// isRepeat reports whether the current attempt counts as a repeat for the backend server: an
// earlier one may have reached one, or the call was made by an execution that was a repeat.
func (c *call) isRepeat() bool { return c.fromRepeat || c.reachedBackend }

// execution is a request that the local backend server is executing. Nested calls find it by
// its token and share its deadline, rank and retry budget.
type execution struct {
	token string
	call  *call
	// incarnation is that of the backend server that executes it.
	incarnation uint32
	// repeat is set if this execution is a repeat; so are its nested calls.
	repeat bool
	// scope ends with this attempt and cancels its nested calls; the request itself may
	// continue at another instance.
	scope *scope.Scope
	// finishedCalls counts its completed nested calls.
	finishedCalls atomic.Uint32
	// nestedCallFailed is set once a nested call was refused or failed.
	nestedCallFailed atomic.Bool
}

// nestedCallDepth returns the depth of a nested call that is made now: it grows with the calls
// already completed.
func (w *execution) nestedCallDepth() uint8 {
	return uint8(min(uint32(w.call.depth)+1+w.finishedCalls.Load(), maxDepth))
}

// maxDepth is the largest depth; deeper calls are counted as this one.
const maxDepth = 255

// response is the response of a local or remote backend server.
type response struct {
	status int
	header []wire.Field
	// length is that of the body in bytes, negative if unknown.
	length int64
	body   io.Reader
	// buffered is the whole body if it was read before the head was sent, else nil.
	buffered []byte
	close    func()
}

// splitTarget splits fleet/service/kind/rest into the target fleet/service/kind and the rest
// with a leading slash; ok is false if a name is missing or invalid.
func splitTarget(path string) (target, rest string, ok bool) {
	parts := strings.SplitN(path, "/", 4)
	if len(parts) < 3 {
		return "", "", false
	}
	for _, p := range parts[:3] {
		if !settings.ValidName(p) {
			return "", "", false
		}
	}
	target = strings.Join(parts[:3], "/")
	rest = "/"
	if len(parts) == 4 {
		rest = "/" + parts[3]
	}
	return target, rest, true
}

// serviceOfTarget returns the fleet/service part of a target.
func serviceOfTarget(target string) string { return target[:strings.LastIndexByte(target, '/')] }

// outOfMemory returns the error for a call whose connection was evicted, or for which there is no memory.
func (c *call) outOfMemory() *fault.Error {
	return c.refusal(fault.Overload, "the memory for requests is used up", 0)
}

// refusal returns an error for a call that was certainly not executed, with the time after
// which to retry where a retry can help.
func (c *call) refusal(code fault.Code, detail string, l rank.Level) *fault.Error {
	e := fault.New(code, detail)
	switch code {
	case fault.Overload, fault.QueueTimeout, fault.ShareSpent, fault.Rejected, fault.RateLimited, fault.RetryBudgetSpent:
		e.RetryAfter = retry.RetryAfterWithin(l, c.policy.ObjectiveWithin, rand.Float64())
	case fault.NoBackend, fault.Misdirected, fault.Draining, fault.Starting:
		e.RetryAfter = retry.RetryAfter(l, rand.Float64())
	}
	return e
}

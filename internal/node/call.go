package node

import (
	"io"
	"math/rand/v2"
	"strings"
	"sync/atomic"
	"time"

	"github.com/umberthread/umberthread/budget"
	"github.com/umberthread/umberthread/fault"
	"github.com/umberthread/umberthread/internal/scope"
	"github.com/umberthread/umberthread/internal/wire"
	"github.com/umberthread/umberthread/quarantine"
	"github.com/umberthread/umberthread/rank"
	"github.com/umberthread/umberthread/retry"
	"github.com/umberthread/umberthread/route"
	"github.com/umberthread/umberthread/settings"
)

// call is one request to one service, from its arrival at this node until it
// is answered.
type call struct {
	id      string
	root    string
	target  string
	service string
	rank    rank.Rank
	depth   uint8
	// repeat is set if the call belongs to a run that was itself a repeat.
	repeat bool
	// parent is the work that this call belongs to, nil at the entry.
	parent *work
	policy *settings.Policy
	pool   *budget.Pool
	scope  *scope.Scope
	method string
	path   string
	header []wire.Field

	// body is the whole body if it is small enough to be sent again, else
	// stream is read once.
	body    []byte
	stream  io.Reader
	bodyLen int64
	// bodyStart is the beginning of a body that is streamed.
	bodyStart []byte
	// caller is who asks, where the edge tells, and marks are what the request is
	// recognised by when backend servers end under it.
	caller string
	marks  quarantine.Fingerprints

	attempts int
	// avoid is the instance of the last attempt, lastFailure why it failed, and
	// sentTo are the instances whose backend servers were offered the call.
	avoid       *route.Instance
	lastFailure fault.Code
	sentTo      []*route.Instance
	// trail names the failed attempts, and detail is a sentence about the
	// failure, for the log.
	trail  strings.Builder
	detail string
	// free counts the attempts that cost no retry.
	free int
	// broken counts the attempts that broke off in work at a backend server.
	broken int
	// mayHaveRun is set if a backend server may have seen an attempt.
	mayHaveRun bool
	// callerLeft is set when the caller closed its connection. A call can also
	// be canceled because the request that it belongs to has ended; its
	// sender is then still there and gets an answer.
	callerLeft atomic.Bool
	started    time.Time
}

// replayable tells whether the call can be sent once more.
func (c *call) replayable() bool { return c.stream == nil }

// work is a request that the backend server beside this node has in hand.
// The calls that it makes find it by its token and share its deadline, rank
// and retry budget.
type work struct {
	token string
	call  *call
	// start is that of the backend server that has it.
	start uint32
	// scope is the life of this attempt. It ends with it, and with it the
	// calls made for it; the request itself may go on at another instance.
	scope *scope.Scope
	// finished counts the calls that it has made.
	finished atomic.Uint32
	// failedBelow is set once a call that it made was refused or failed.
	failedBelow atomic.Bool
}

// depth is the work behind a call that is made for it now.
func (w *work) depth() uint8 {
	return uint8(min(uint32(w.call.depth)+1+w.finished.Load(), maxDepth))
}

// maxDepth is the highest depth that is told apart.
const maxDepth = 255

// answer is what a backend server said, wherever it stands.
type answer struct {
	status int
	header []wire.Field
	length int64
	body   io.Reader
	// whole is the body if it was read whole before its head was sent on.
	whole []byte
	close func()
}

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

func serviceOf(target string) string { return target[:strings.LastIndexByte(target, '/')] }

// refusal types a code for a request that certainly was not run.
func (c *call) refusal(code fault.Code, detail string, l rank.Level) *fault.Error {
	e := fault.New(code, detail)
	switch code {
	case fault.Overload, fault.QueueTimeout, fault.ShareSpent, fault.Rejected:
		e.RetryAfter = retry.ComeBackInTime(l, c.policy.ObjectiveWithin, rand.Float64())
	case fault.NoBackend, fault.Draining, fault.Starting:
		e.RetryAfter = retry.ComeBack(l, rand.Float64())
	}
	return e
}

package node

import (
	"bytes"
	"io"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/umberthread/umberthread/claims"
	"github.com/umberthread/umberthread/fault"
	"github.com/umberthread/umberthread/internal/wire"
	"github.com/umberthread/umberthread/quarantine"
	"github.com/umberthread/umberthread/retry"
)

const (
	// claimGrace is added to the deadline of a request for the lease of its claim, so that the
	// outcome can still be stored.
	claimGrace = 2 * time.Second
	// outcomeReportTimeout bounds storing an outcome or releasing a key.
	outcomeReportTimeout = 2 * time.Second
)

// serveKeyed executes a request at most once for its idempotency key: the key is claimed
// durably on a quorum of replicas before any backend server is called, and the outcome is
// stored for resends.
func (n *Node) serveKeyed(w http.ResponseWriter, r *http.Request, c *call) {
	key := r.Header.Get(HeaderIdempotencyKey)
	if key == "" {
		n.refuse(w, c, n.unlessOutdated(c.conf, fault.New(fault.KeyRequired, "this request kind needs an Idempotency-Key, a UUID of version 7")))
		return
	}
	if c.stream != nil {
		n.refuse(w, c, n.unlessOutdated(c.conf, fault.Newf(fault.TooLarge, "the body of a request with an idempotency key is limited to %d bytes", c.policy.ReplayMax)))
		return
	}
	o := &keyedAttempt{node: n, call: c, key: key, token: n.newToken()}
	res, ferr := o.claimKey()
	if ferr != nil {
		n.refuse(w, c, ferr)
		return
	}
	switch {
	case res.Verdict == claims.Granted:
		o.execute(w)
	case res.Verdict == claims.Replay:
		n.writeStoredOutcome(w, c, res.Outcome)
	default:
		ferr := fault.New(res.Verdict.Code(), verdictText[res.Verdict])
		if res.Verdict == claims.Running {
			ferr.RetryAfter = retry.RetryAfter(0, rand.Float64())
		}
		if res.Verdict == claims.Running || res.Verdict == claims.OutcomeUnknown {
			ferr.Execution = fault.ExecutionUnknown
		}
		n.refuse(w, c, ferr)
	}
}

// verdictText explains to the caller why a claim was refused.
var verdictText = map[claims.Verdict]string{
	claims.Running:        "another attempt with this key is in progress",
	claims.OutcomeUnknown: "the outcome of an earlier attempt with this key is unknown; the request is not executed again",
	claims.KeyMismatch:    "the key was used for another request",
	claims.Expired:        "the key is older than the retention period",
	claims.Malformed:      "the key must be a UUID of version 7 with the current time",
}

// keyedAttempt is one attempt to execute a request with an idempotency key.
type keyedAttempt struct {
	node  *Node
	call  *call
	key   string
	token string
}

// newCommand returns a command of this attempt on its key.
func (o *keyedAttempt) newCommand(op claims.Op) claims.Command {
	return claims.Command{Op: op, Kind: o.call.target, Key: o.key, Token: o.token, NowMs: time.Now().UnixMilli()}
}

// submitCommand submits a command to the replica group of the key and returns its result.
func (o *keyedAttempt) submitCommand(cmd *claims.Command, wait time.Duration) (claims.Result, *fault.Error) {
	var res claims.Result
	b, ferr := o.node.submitCommand(o.node.shardOf(o.key), encodeMsgpack(cmd), wait)
	if ferr != nil {
		return res, ferr
	}
	if err := msgpack.Unmarshal(b, &res); err != nil {
		return res, fault.Wrap(fault.Internal, err, "malformed result of a claim").WithUnknownExecution()
	}
	return res, nil
}

// claimKey claims the key. If the result of the claim is unknown, the request is not executed
// and the key is released in the background.
func (o *keyedAttempt) claimKey() (claims.Result, *fault.Error) {
	cmd := o.newCommand(claims.OpBegin)
	cmd.Fingerprint = o.fingerprint()
	cmd.LeaseMs = (o.call.scope.Remaining() + claimGrace).Milliseconds()
	cmd.RetainMs = o.call.policy.KeyRetention.Milliseconds()
	res, ferr := o.submitCommand(&cmd, o.call.scope.Remaining())
	if ferr == nil {
		return res, nil
	}
	if ferr.Execution != fault.NotExecuted {
		go o.releaseKey()
	}
	// The request was not sent to a backend server under this token.
	e := fault.New(ferr.Code, "the key could not be claimed: "+ferr.Detail)
	e.RetryAfter = retry.RetryAfter(0, rand.Float64())
	return res, e
}

// fingerprint hashes the request, so that reuse of a key for another request is detected.
func (o *keyedAttempt) fingerprint() uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(o.call.method)
	_, _ = d.WriteString(o.call.path)
	_, _ = d.Write(o.call.body)
	return d.Sum64()
}

// releaseKey gives up the claim, so that a resend can be executed.
func (o *keyedAttempt) releaseKey() {
	cmd := o.newCommand(claims.OpRelease)
	if _, ferr := o.submitCommand(&cmd, outcomeReportTimeout); ferr != nil {
		o.node.warn("claims", "Cannot release an idempotency key.", "key", o.key, "err", ferr)
	}
}

// execute dispatches the request and stores its outcome. If the request was certainly not
// executed it releases the key; if it may have been, the key stays claimed.
func (o *keyedAttempt) execute(w http.ResponseWriter) {
	resp, ferr := o.node.dispatch(o.call)
	if ferr != nil {
		if ferr.Execution == fault.NotExecuted {
			o.releaseKey()
		}
		o.node.refuse(w, o.call, ferr)
		return
	}
	body, err := io.ReadAll(io.LimitReader(resp.body, claims.MaxBodyBytes+1))
	if err != nil {
		resp.close()
		ferr := fault.From(err).WithUnknownExecution()
		ferr.Code = fault.OutcomeUnknown
		o.node.refuse(w, o.call, ferr)
		return
	}
	if len(body) <= claims.MaxBodyBytes {
		resp.close()
		resp.length, resp.body, resp.close = int64(len(body)), bytes.NewReader(body), func() {}
	} else {
		// What is not stored is not kept in memory either.
		resp.body = io.MultiReader(bytes.NewReader(body), resp.body)
	}
	o.storeOutcome(resp, body)
	o.node.writeResponse(w, o.call, resp)
}

// storeOutcome stores the response for resends. body is that of the response, or more than
// claims.MaxBodyBytes of it, in which case it is left out.
func (o *keyedAttempt) storeOutcome(resp *response, body []byte) {
	out := &claims.Outcome{Status: resp.status, ContentType: headerValue(resp.header, "Content-Type"), Body: body}
	if len(body) > claims.MaxBodyBytes {
		out.Body, out.Truncated = nil, true
	}
	cmd := o.newCommand(claims.OpFinish)
	cmd.Outcome = out
	if _, ferr := o.submitCommand(&cmd, outcomeReportTimeout); ferr != nil {
		o.node.warn("claims", "Cannot store the outcome of a request.", "key", o.key, "err", ferr)
	}
}

// writeStoredOutcome responds to a resend with the stored outcome of an earlier execution.
func (n *Node) writeStoredOutcome(w http.ResponseWriter, c *call, out *claims.Outcome) {
	if out == nil {
		n.refuse(w, c, fault.New(fault.Internal, "the stored outcome is empty").WithUnknownExecution())
		return
	}
	if out.Truncated {
		w.Header().Set("Umber-Body", "not-kept")
	}
	resp := &response{
		status: out.Status, length: int64(len(out.Body)), body: bytes.NewReader(out.Body), close: func() {},
		header: []wire.Field{{Name: HeaderReplayed, Value: "true"}},
	}
	if out.ContentType != "" {
		resp.header = append(resp.header, wire.Field{Name: "Content-Type", Value: out.ContentType})
	}
	// No backend server executed it now, so the response must not clear its fingerprints.
	c.fingerprints = quarantine.Fingerprints{}
	n.writeResponse(w, c, resp)
}

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
	// claimGrace is how long after its deadline a claim may still report.
	claimGrace = 2 * time.Second
	// reportTimeout bounds the report of an outcome.
	reportTimeout = 2 * time.Second
)

// serveOnce runs a keyed request at most once: its key is claimed durably on a
// quorum of replicas before any backend server is called, and the outcome is
// stored for resends.
func (n *Node) serveOnce(w http.ResponseWriter, r *http.Request, c *call) {
	key := r.Header.Get(HeaderKey)
	if key == "" {
		n.refuse(w, c, fault.New(fault.KeyRequired, "this request kind needs an Idempotency-Key, a UUID of version 7"))
		return
	}
	if c.stream != nil {
		n.refuse(w, c, fault.Newf(fault.TooLarge, "a keyed request may have %d bytes", c.policy.ReplayMax))
		return
	}
	o := &once{n: n, c: c, key: key, token: n.newToken()}
	res, ferr := o.begin()
	if ferr != nil {
		n.refuse(w, c, ferr)
		return
	}
	switch {
	case res.Verdict == claims.Granted:
		o.run(w)
	case res.Verdict == claims.Replay:
		n.replay(w, c, res.Outcome)
	default:
		ferr := fault.New(res.Verdict.Code(), verdictText[res.Verdict])
		if res.Verdict == claims.Running {
			ferr.RetryAfter = retry.ComeBack(0, rand.Float64())
		}
		if res.Verdict == claims.Running || res.Verdict == claims.OutcomeUnknown {
			ferr.Run = fault.ExecutionUnknown
		}
		n.refuse(w, c, ferr)
	}
}

var verdictText = map[claims.Verdict]string{
	claims.Running:        "another attempt with this key is in work",
	claims.OutcomeUnknown: "an attempt with this key did not report; it is not run again",
	claims.Mismatch:       "the key was used for another request",
	claims.Expired:        "the key is older than what is remembered",
	claims.Malformed:      "the key must be a UUID of version 7, made at the present time",
}

// once is one attempt to run a keyed request.
type once struct {
	n     *Node
	c     *call
	key   string
	token string
}

func (o *once) command(op claims.Op) claims.Command {
	return claims.Command{Op: op, Kind: o.c.target, Key: o.key, Token: o.token, NowMs: time.Now().UnixMilli()}
}

func (o *once) submit(cmd *claims.Command, wait time.Duration) (claims.Result, *fault.Error) {
	var res claims.Result
	b, ferr := o.n.submit(o.n.shardOf(o.key), encode(cmd), wait)
	if ferr != nil {
		return res, ferr
	}
	if err := msgpack.Unmarshal(b, &res); err != nil {
		return res, fault.Wrap(fault.Internal, err, "malformed result of a claim").WithUnknownExecution()
	}
	return res, nil
}

// begin claims the key. If it cannot be known whether the claim was made, the
// request is not run, and a release is left behind: this token is never used.
func (o *once) begin() (claims.Result, *fault.Error) {
	cmd := o.command(claims.OpBegin)
	cmd.Fingerprint = o.fingerprint()
	cmd.LeaseMs = (o.c.scope.Remaining() + claimGrace).Milliseconds()
	cmd.RetainMs = o.c.policy.KeyRetention.Milliseconds()
	res, ferr := o.submit(&cmd, o.c.scope.Remaining())
	if ferr == nil {
		return res, nil
	}
	if ferr.Run != fault.NotExecuted {
		go o.release()
	}
	// Nothing was sent to a backend server on this token.
	e := fault.New(ferr.Code, "the key could not be claimed: "+ferr.Detail)
	e.RetryAfter = retry.ComeBack(0, rand.Float64())
	return res, e
}

func (o *once) fingerprint() uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(o.c.method)
	_, _ = d.WriteString(o.c.path)
	_, _ = d.Write(o.c.body)
	return d.Sum64()
}

func (o *once) release() {
	cmd := o.command(claims.OpRelease)
	if _, ferr := o.submit(&cmd, reportTimeout); ferr != nil {
		o.n.warn("claims", "Cannot release a key.", "key", o.key, "err", ferr)
	}
}

// run dispatches the request and reports what became of it. A request that
// certainly was not run gives its key back; one that may have run keeps it.
func (o *once) run(w http.ResponseWriter) {
	a, ferr := o.n.dispatch(o.c)
	if ferr != nil {
		if ferr.Run == fault.NotExecuted {
			o.release()
		}
		o.n.refuse(w, o.c, ferr)
		return
	}
	body, err := io.ReadAll(a.body)
	a.close()
	if err != nil {
		ferr := fault.From(err).WithUnknownExecution()
		ferr.Code = fault.OutcomeUnknown
		o.n.refuse(w, o.c, ferr)
		return
	}
	o.finish(a, body)
	a.body = bytes.NewReader(body)
	a.length = int64(len(body))
	a.close = func() {}
	o.n.deliver(w, o.c, a)
}

func (o *once) finish(a *answer, body []byte) {
	out := &claims.Outcome{Status: a.status, ContentType: fieldValue(a.header, "Content-Type"), Body: body}
	if len(body) > claims.MaxBody {
		out.Body, out.Truncated = nil, true
	}
	cmd := o.command(claims.OpFinish)
	cmd.Outcome = out
	if _, ferr := o.submit(&cmd, reportTimeout); ferr != nil {
		o.n.warn("claims", "Cannot store an outcome.", "key", o.key, "err", ferr)
	}
}

// replay answers from the stored outcome of an earlier run.
func (n *Node) replay(w http.ResponseWriter, c *call, out *claims.Outcome) {
	if out == nil {
		n.refuse(w, c, fault.New(fault.Internal, "the stored outcome is empty").WithUnknownExecution())
		return
	}
	if out.Truncated {
		w.Header().Set("Umber-Body", "not-kept")
	}
	a := &answer{
		status: out.Status, length: int64(len(out.Body)), body: bytes.NewReader(out.Body), close: func() {},
		header: []wire.Field{{Name: HeaderReplayed, Value: "true"}},
	}
	if out.ContentType != "" {
		a.header = append(a.header, wire.Field{Name: "Content-Type", Value: out.ContentType})
	}
	// No backend server runs it now, so that it speaks for no request like it.
	c.marks = quarantine.Fingerprints{}
	n.deliver(w, c, a)
}

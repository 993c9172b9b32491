package node

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/umberthread/umberthread/internal/wire"
)

// Header fields of the project's own HTTP interface; docs/HEADERS.md describes each.
const (
	// HeaderRequestID is the request id, shared by all nested calls and resends.
	HeaderRequestID = "Umber-Request-Id"
	// HeaderCallToken identifies an execution. The node sends it to the backend server, which
	// returns it on nested calls.
	HeaderCallToken = "Umber-Call"
	// HeaderRemaining is the time left until the deadline, in milliseconds.
	HeaderRemaining = "Umber-Remaining-Ms"
	// HeaderClass is the class of the request that entered.
	HeaderClass = "Umber-Class"
	// HeaderRetryBudget is the number of retries that the request may still cause.
	HeaderRetryBudget = "Umber-Retry-Budget"
	// HeaderExecution states on a refusal whether the request was executed: no or unknown.
	HeaderExecution = "Umber-Run"
	// HeaderReplayed marks a response taken from the stored outcome of an earlier execution.
	HeaderReplayed = "Umber-Replayed"
	// HeaderWorkspaceKey is the key of the caller's workspace. It is not passed on.
	HeaderWorkspaceKey = "Umber-Workspace-Key"
	// HeaderWorkspace is the name of the workspace, as the backend server gets it.
	HeaderWorkspace = "Umber-Workspace"
	// HeaderRateLimit is sent by a backend server: the requests per second that it accepts from
	// all nodes together.
	HeaderRateLimit = "Umber-Rate-Limit"
	// HeaderLeaving is sent by a backend server, with the value 1, once it is about to shut
	// down.
	HeaderLeaving = "Umber-Leaving"
	// HeaderIdempotencyKey is the caller's idempotency key, a UUID of version 7.
	HeaderIdempotencyKey = "Idempotency-Key"
)

// hopByHopFields are the fields that RFC 9110 limits to one connection, and those that this
// package sets on every hop.
var hopByHopFields = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Te": true,
	"Trailer": true, "Expect": true, "Transfer-Encoding": true, "Upgrade": true, "Content-Length": true,
	"Proxy-Authenticate": true, "Proxy-Authorization": true,
	HeaderCallToken: true, HeaderRemaining: true, HeaderClass: true, HeaderRetryBudget: true, HeaderRequestID: true,
	HeaderExecution: true, HeaderReplayed: true, HeaderWorkspaceKey: true, HeaderWorkspace: true,
	HeaderRateLimit: true, HeaderLeaving: true,
}

// endToEndFields returns the fields of h to forward.
func endToEndFields(h http.Header) []wire.Field {
	named := connectionFields(h)
	fs := make([]wire.Field, 0, len(h))
	for name, values := range h {
		if hopByHopFields[name] || named[name] {
			continue
		}
		for _, v := range values {
			fs = append(fs, wire.Field{Name: name, Value: v})
		}
	}
	return fs
}

// connectionFields returns the fields listed in the Connection header, which are hop-by-hop,
// too.
func connectionFields(h http.Header) map[string]bool {
	values := h["Connection"]
	if len(values) == 0 {
		return nil
	}
	named := map[string]bool{}
	for _, v := range values {
		for name := range strings.SplitSeq(v, ",") {
			named[http.CanonicalHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	return named
}

// formatMilliseconds formats d in whole milliseconds, at least 0.
func formatMilliseconds(d time.Duration) string {
	return strconv.FormatInt(max(0, d.Milliseconds()), 10)
}

// parseRemaining parses the value of HeaderRemaining; false unless it is a positive number.
func parseRemaining(v string) (time.Duration, bool) {
	n, err := strconv.ParseInt(v, 10, 32)
	if err != nil || n <= 0 {
		return 0, false
	}
	return time.Duration(n) * time.Millisecond, true
}

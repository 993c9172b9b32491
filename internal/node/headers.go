package node

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/umberthread/umberthread/internal/wire"
)

// The project's own header fields; docs/HEADERS.md explains each.
const (
	// HeaderRequestID is the id of the whole request, the same in resends.
	HeaderRequestID = "Umber-Request-Id"
	// HeaderCall is given to a backend server with each request; the calls
	// that it makes for the request carry it back to its node.
	HeaderCallToken = "Umber-Call"
	// HeaderRemaining is the time left, in milliseconds.
	HeaderRemaining = "Umber-Remaining-Ms"
	// HeaderClass is the class of the whole request.
	HeaderClass = "Umber-Class"
	// HeaderBudget is how many retries the request may still cause.
	HeaderRetryBudget = "Umber-Retry-Budget"
	// HeaderRun is on refusals: whether the request was run, no or unknown.
	HeaderRun = "Umber-Run"
	// HeaderReplayed is on answers given from the record of an earlier run.
	HeaderReplayed = "Umber-Replayed"
	// HeaderKey is the standard idempotency key.
	HeaderIdempotencyKey = "Idempotency-Key"
)

// hopByHop are the fields that RFC 9110 ties to one connection, and those
// that this package sets itself on every hop.
var hopByHopFields = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Te": true,
	"Trailer": true, "Expect": true, "Transfer-Encoding": true, "Upgrade": true, "Content-Length": true,
	"Proxy-Authenticate": true, "Proxy-Authorization": true,
	HeaderCallToken: true, HeaderRemaining: true, HeaderClass: true, HeaderRetryBudget: true, HeaderRequestID: true,
	HeaderRun: true, HeaderReplayed: true,
}

// endToEnd returns the fields of h that travel on.
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

// connectionFields returns the fields that the Connection field ties to it.
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

func formatMilliseconds(d time.Duration) string {
	return strconv.FormatInt(max(0, d.Milliseconds()), 10)
}

// parseRemaining reads HeaderRemaining; false if it is not a positive number.
func parseRemaining(v string) (time.Duration, bool) {
	n, err := strconv.ParseInt(v, 10, 32)
	if err != nil || n <= 0 {
		return 0, false
	}
	return time.Duration(n) * time.Millisecond, true
}

package node

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"

	"github.com/umberthread/umberthread/fault"
)

// Problem is the body of a refusal, application/problem+json (RFC 9457).
type Problem struct {
	Type   string `json:"type"`
	Title  string `json:"title"`
	Status int    `json:"status"`
	Detail string `json:"detail,omitempty"`
	// Reason is the name of the fault code.
	Reason string `json:"reason"`
	// Run tells whether the request was executed: no or unknown.
	Run string `json:"run"`
	// RetryAfterMs is when to come back, in milliseconds; 0 if a resend
	// would fail again.
	RetryAfterMs int64 `json:"retry_after_ms,omitempty"`
	// RequestID is the id to give when asking why.
	RequestID string `json:"request_id,omitempty"`
}

const problemTypePrefix = "urn:umberthread:problem:"

// writeRefusal answers a caller at once.
func writeRefusal(w http.ResponseWriter, id string, e *fault.Error) {
	status := e.Code.HTTPStatus()
	p := Problem{
		Type: problemTypePrefix + e.Code.String(), Title: http.StatusText(status), Status: status,
		Detail: e.Error(), Reason: e.Code.String(), Run: e.Run.String(),
		RetryAfterMs: e.RetryAfter.Milliseconds(), RequestID: id,
	}
	h := w.Header()
	h.Set("Content-Type", "application/problem+json")
	h.Set(HeaderRun, p.Run)
	if id != "" {
		h.Set(HeaderRequestID, id)
	}
	if e.RetryAfter > 0 {
		seconds := int(math.Ceil(e.RetryAfter.Seconds()))
		h.Set("Retry-After", strconv.Itoa(seconds))
	}
	body, err := json.Marshal(p)
	if err != nil {
		body = []byte("{}")
	}
	h.Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	_, _ = w.Write(body)
}

package node

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"

	"github.com/umberthread/umberthread/fault"
)

// Problem is the response body of a refusal, application/problem+json (RFC 9457).
type Problem struct {
	Type   string `json:"type"`
	Title  string `json:"title"`
	Status int    `json:"status"`
	Detail string `json:"detail,omitempty"`
	// Reason is the name of the fault code.
	Reason string `json:"reason"`
	// Execution states whether the request was executed: no or unknown.
	Execution string `json:"run"`
	// RetryAfterMs is the time after which to retry, in milliseconds, 0 if a retry would fail
	// again.
	RetryAfterMs int64 `json:"retry_after_ms,omitempty"`
	// RequestID is the id under which the request is logged and traced.
	RequestID string `json:"request_id,omitempty"`
}

// problemTypePrefix followed by the name of the fault code is the problem type URI.
const problemTypePrefix = "urn:umberthread:problem:"

// writeProblem writes a refusal with its status, header fields and Problem body.
func writeProblem(w http.ResponseWriter, id string, e *fault.Error) {
	status := e.Code.HTTPStatus()
	p := Problem{
		Type: problemTypePrefix + e.Code.String(), Title: http.StatusText(status), Status: status,
		Detail: e.Error(), Reason: e.Code.String(), Execution: e.Execution.String(),
		RetryAfterMs: e.RetryAfter.Milliseconds(), RequestID: id,
	}
	h := w.Header()
	h.Set("Content-Type", "application/problem+json")
	h.Set(HeaderExecution, p.Execution)
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

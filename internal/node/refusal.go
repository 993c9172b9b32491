package node

import (
	"encoding/json"
	"math"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/umberthread/umberthread/fault"
	"github.com/umberthread/umberthread/rank"
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
	status := e.Code.Status()
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

const (
	// comeBackMin is the shortest time given to a caller to come back.
	comeBackMin = 200 * time.Millisecond
	// comeBackMax is the longest, at a level that sheds nearly everything.
	comeBackMax = 4 * time.Second
	// comeBackShare is the mean share of the objective after which a caller that
	// was turned away for load may come back: at most half of it is gone then.
	comeBackShare = 1.0 / 3
)

// comeBack returns when a refused caller may come back: the longer the more
// is being shed, spread over half to one and a half of that time so that
// callers do not return together.
func comeBack(l rank.Level) time.Duration { return spread(comeBackMean(l)) }

// comeBackInTime is comeBack for a request that was turned away for load: it
// comes back with another place in the order of shedding, while an answer is
// still worth most to its caller. The load outlasts the longest time that a
// caller would wait, so that a longer one only makes its answer late.
func comeBackInTime(l rank.Level, objective time.Duration) time.Duration {
	return spread(min(comeBackMean(l), time.Duration(comeBackShare*float64(objective))))
}

func comeBackMean(l rank.Level) time.Duration {
	shed := float64(l) / rank.Count
	return comeBackMin + time.Duration(shed*float64(comeBackMax-comeBackMin))
}

func spread(mean time.Duration) time.Duration {
	return time.Duration(float64(mean) * (0.5 + rand.Float64()))
}

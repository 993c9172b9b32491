// Package fault defines the typed failures that umberthread reports.
//
// Every failure that leaves a package is a *Error with a Code. The code
// decides the HTTP status, the exit code of the command-line tool, whether
// the request may be sent again, and what is claimed about its execution.
package fault

import (
	"fmt"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

// Code names one kind of failure.
type Code uint8

// The failure codes. The zero Code means no failure.
const (
	None Code = iota
	Overload
	QueueTimeout
	Deadline
	NoBackend
	Draining
	Starting
	BudgetSpent
	ShareSpent
	Canceled
	PeerLost
	PeerSilent
	BackendLost
	BadRequest
	TooLarge
	UnknownService
	UnknownKind
	KeyRequired
	KeyExpired
	KeyRunning
	KeyMismatch
	OutcomeUnknown
	Conflict
	NotLeader
	NoQuorum
	Corrupt
	Protocol
	InvalidSetting
	NotFound
	Internal
	Rejected
	Quarantined
	codeCount
)

type codeInfo struct {
	slug   string
	status int
	exit   int
}

var infos = [codeCount]codeInfo{
	None:           {"none", http.StatusOK, 0},
	Overload:       {"overload", http.StatusServiceUnavailable, 10},
	QueueTimeout:   {"queue-timeout", http.StatusServiceUnavailable, 10},
	Deadline:       {"deadline", http.StatusGatewayTimeout, 11},
	NoBackend:      {"no-backend", http.StatusServiceUnavailable, 12},
	Draining:       {"draining", http.StatusServiceUnavailable, 12},
	Starting:       {"starting", http.StatusServiceUnavailable, 12},
	BudgetSpent:    {"retry-budget-spent", http.StatusServiceUnavailable, 13},
	ShareSpent:     {"share-spent", http.StatusServiceUnavailable, 10},
	Canceled:       {"canceled", 499, 14},
	PeerLost:       {"peer-lost", http.StatusBadGateway, 15},
	PeerSilent:     {"peer-silent", http.StatusBadGateway, 15},
	BackendLost:    {"backend-lost", http.StatusBadGateway, 15},
	BadRequest:     {"bad-request", http.StatusBadRequest, 2},
	TooLarge:       {"too-large", http.StatusRequestEntityTooLarge, 2},
	UnknownService: {"unknown-service", http.StatusNotFound, 4},
	UnknownKind:    {"unknown-kind", http.StatusNotFound, 4},
	KeyRequired:    {"key-required", http.StatusBadRequest, 2},
	KeyExpired:     {"key-expired", http.StatusConflict, 5},
	KeyRunning:     {"key-running", http.StatusConflict, 5},
	KeyMismatch:    {"key-mismatch", http.StatusUnprocessableEntity, 5},
	OutcomeUnknown: {"outcome-unknown", http.StatusConflict, 6},
	Conflict:       {"conflict", http.StatusConflict, 5},
	NotLeader:      {"not-leader", http.StatusServiceUnavailable, 7},
	NoQuorum:       {"no-quorum", http.StatusServiceUnavailable, 7},
	Corrupt:        {"corrupt", http.StatusInternalServerError, 8},
	Protocol:       {"protocol", http.StatusBadGateway, 8},
	InvalidSetting: {"invalid-setting", http.StatusUnprocessableEntity, 3},
	NotFound:       {"not-found", http.StatusNotFound, 4},
	Internal:       {"internal", http.StatusInternalServerError, 1},
	Rejected:       {"rejected", http.StatusServiceUnavailable, 10},
	Quarantined:    {"quarantined", http.StatusServiceUnavailable, 16},
}

// String returns the code's name as it appears in refusals and metrics.
func (c Code) String() string {
	if c >= codeCount {
		return "unknown"
	}
	return infos[c].slug
}

// Status returns the HTTP status that carries the code.
func (c Code) Status() int {
	if c >= codeCount {
		return http.StatusInternalServerError
	}
	return infos[c].status
}

// Exit returns the exit code of the command-line tool.
func (c Code) Exit() int {
	if c >= codeCount {
		return 1
	}
	return infos[c].exit
}

// Count is the number of codes, for arrays indexed by Code.
const Count = int(codeCount)

// ParseCode returns the code with the given name.
func ParseCode(slug string) (Code, bool) {
	for c := None; c < codeCount; c++ {
		if infos[c].slug == slug {
			return c, true
		}
	}
	return Internal, false
}

// Run says what is known about the execution of a request that failed.
type Execution uint8

const (
	// RunNo means that the backend server certainly never saw the request,
	// so that it may be sent again whatever its kind.
	NotExecuted Execution = iota
	// RunUnknown means that the request may have been executed.
	ExecutionUnknown
	// RunYes means that the backend server answered.
	Executed
)

// String returns "no", "unknown" or "yes".
func (r Execution) String() string {
	switch r {
	case NotExecuted:
		return "no"
	case Executed:
		return "yes"
	default:
		return "unknown"
	}
}

// Error is a failure with its code and what a caller needs to act on it.
type Error struct {
	// Code is the kind of failure.
	Code Code
	// Run tells whether the request was executed.
	Run Execution
	// RetryAfter is when to come back; zero if the failure is final.
	RetryAfter time.Duration
	// Detail is a short sentence for a person.
	Detail string
	// Cause is the underlying error, or nil.
	Cause error
}

// New returns an error for a request that was not run.
func New(c Code, detail string) *Error {
	return &Error{Code: c, Detail: detail}
}

// Newf is New with a formatted detail.
func Newf(c Code, format string, args ...any) *Error {
	return &Error{Code: c, Detail: fmt.Sprintf(format, args...)}
}

// Wrap returns an error with the given code and cause.
func Wrap(c Code, cause error, detail string) *Error {
	return &Error{Code: c, Detail: detail, Cause: cause}
}

// Unknown marks the failure as one after which the request may have run.
func (e *Error) WithUnknownExecution() *Error {
	e.Run = ExecutionUnknown
	return e
}

// After sets when the caller may come back.
func (e *Error) After(d time.Duration) *Error {
	e.RetryAfter = d
	return e
}

// Error implements error.
func (e *Error) Error() string {
	if e.Cause != nil {
		return e.Code.String() + ": " + e.Detail + ": " + e.Cause.Error()
	}
	return e.Code.String() + ": " + e.Detail
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// From returns the typed failure within err, or wraps err as Internal.
func From(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return &Error{Code: Internal, Run: ExecutionUnknown, Detail: "unexpected failure", Cause: err}
}

// CodeOf returns the code of err; None for nil.
func CodeOf(err error) Code {
	if err == nil {
		return None
	}
	return From(err).Code
}

// Package fault defines the typed errors of the project.
//
// Every failure that leaves a package is an *Error with a Code. The code determines the
// HTTP status and the exit code of the command-line tools; the code and the Execution
// decide whether the request may be retried.
package fault

import (
	"fmt"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

// Code identifies a kind of failure.
type Code uint8

// The failure codes. None is the zero value and means no failure.
const (
	None Code = iota
	// Overload means that the request was shed because of overload.
	Overload
	// QueueTimeout means that the request waited too long in a queue.
	QueueTimeout
	// Deadline means that the deadline expired.
	Deadline
	// NoBackend means that no backend server is available.
	NoBackend
	// Draining means that the node or its backend server is shutting down.
	Draining
	// Starting means that the node or its backend server is not ready yet.
	Starting
	// RetryBudgetSpent means that the retry budget is exhausted.
	RetryBudgetSpent
	// ShareSpent means that too many requests at the node already wait on the service.
	ShareSpent
	// Canceled means that the request or operation was canceled.
	Canceled
	// PeerLost means that the connection to a peer failed.
	PeerLost
	// PeerSilent means that a peer stopped responding.
	PeerSilent
	// BackendLost means that the connection to the backend server failed.
	BackendLost
	// BadRequest means that the request is malformed.
	BadRequest
	// TooLarge means that the request exceeds a size limit.
	TooLarge
	// UnknownService means that the settings do not define the service.
	UnknownService
	// UnknownKind means that the settings do not define the request kind.
	UnknownKind
	// KeyRequired means that the request lacks an idempotency key.
	KeyRequired
	// KeyExpired means that the idempotency key is too old.
	KeyExpired
	// KeyRunning means that another attempt with the idempotency key is in progress.
	KeyRunning
	// KeyMismatch means that the idempotency key was used for a different request.
	KeyMismatch
	// OutcomeUnknown means that the request may have been executed, and is not run again.
	OutcomeUnknown
	// Conflict means that the operation conflicts with the current state.
	Conflict
	// NotLeader means that the replica is not the leader of its group.
	NotLeader
	// NoQuorum means that no quorum of replicas confirmed the operation.
	NoQuorum
	// Corrupt means that stored data is corrupt.
	Corrupt
	// Protocol means that a peer violated the protocol.
	Protocol
	// InvalidSetting means that a setting is invalid.
	InvalidSetting
	// NotFound means that the requested item does not exist.
	NotFound
	// Internal means an unexpected failure.
	Internal
	// Rejected means that the backend server rejected the request.
	Rejected
	// Quarantined means that requests like this one terminated several backend servers.
	Quarantined
	// Unauthenticated means that the request lacks the key of a workspace.
	Unauthenticated
	// QuotaExceeded means that the workspace has sent more than its limit allows.
	QuotaExceeded
	// RateLimited means that the backend server accepts no more requests per second.
	RateLimited
	// DiskRefused means that the disk refused a read or a write. What it stores may be sound.
	DiskRefused
	// UnknownFormat means that stored data is sound but of a format that this version cannot read.
	UnknownFormat
	// Misdirected means that another backend server than the intended one got the request
	// and did not execute it.
	Misdirected
	// Doubted means that an attempt has had no response for far longer than usual. It goes on, so the
	// code does not leave the node that made it.
	Doubted
	numCodes
)

// codeProperties holds the name, HTTP status and exit code of a code.
type codeProperties struct {
	slug       string
	httpStatus int
	exitCode   int
}

// codeTable is indexed by Code. The names and numbers are part of the HTTP interface, the
// metrics and the command line.
var codeTable = [numCodes]codeProperties{
	None:             {"none", http.StatusOK, 0},
	Overload:         {"overload", http.StatusServiceUnavailable, 10},
	QueueTimeout:     {"queue-timeout", http.StatusServiceUnavailable, 10},
	Deadline:         {"deadline", http.StatusGatewayTimeout, 11},
	NoBackend:        {"no-backend", http.StatusServiceUnavailable, 12},
	Draining:         {"draining", http.StatusServiceUnavailable, 12},
	Starting:         {"starting", http.StatusServiceUnavailable, 12},
	RetryBudgetSpent: {"retry-budget-spent", http.StatusServiceUnavailable, 13},
	ShareSpent:       {"share-spent", http.StatusServiceUnavailable, 10},
	Canceled:         {"canceled", 499, 14},
	PeerLost:         {"peer-lost", http.StatusBadGateway, 15},
	PeerSilent:       {"peer-silent", http.StatusBadGateway, 15},
	BackendLost:      {"backend-lost", http.StatusBadGateway, 15},
	BadRequest:       {"bad-request", http.StatusBadRequest, 2},
	TooLarge:         {"too-large", http.StatusRequestEntityTooLarge, 2},
	UnknownService:   {"unknown-service", http.StatusNotFound, 4},
	UnknownKind:      {"unknown-kind", http.StatusNotFound, 4},
	KeyRequired:      {"key-required", http.StatusBadRequest, 2},
	KeyExpired:       {"key-expired", http.StatusConflict, 5},
	KeyRunning:       {"key-running", http.StatusConflict, 5},
	KeyMismatch:      {"key-mismatch", http.StatusUnprocessableEntity, 5},
	OutcomeUnknown:   {"outcome-unknown", http.StatusConflict, 6},
	Conflict:         {"conflict", http.StatusConflict, 5},
	NotLeader:        {"not-leader", http.StatusServiceUnavailable, 7},
	NoQuorum:         {"no-quorum", http.StatusServiceUnavailable, 7},
	Corrupt:          {"corrupt", http.StatusInternalServerError, 8},
	Protocol:         {"protocol", http.StatusBadGateway, 8},
	InvalidSetting:   {"invalid-setting", http.StatusUnprocessableEntity, 3},
	NotFound:         {"not-found", http.StatusNotFound, 4},
	Internal:         {"internal", http.StatusInternalServerError, 1},
	Rejected:         {"rejected", http.StatusServiceUnavailable, 10},
	Quarantined:      {"quarantined", http.StatusServiceUnavailable, 16},
	Unauthenticated:  {"unauthenticated", http.StatusUnauthorized, 17},
	QuotaExceeded:    {"quota-exceeded", http.StatusTooManyRequests, 18},
	RateLimited:      {"rate-limited", http.StatusServiceUnavailable, 10},
	DiskRefused:      {"disk-refused", http.StatusServiceUnavailable, 9},
	UnknownFormat:    {"unknown-format", http.StatusInternalServerError, 8},
	Misdirected:      {"misdirected", http.StatusServiceUnavailable, 12},
	Doubted:          {"doubted", http.StatusBadGateway, 15},
}

// String returns the name of the code as used in refusals and metrics.
func (c Code) String() string {
	if c >= numCodes {
		return "unknown"
	}
	return codeTable[c].slug
}

// HTTPStatus returns the HTTP status for the code.
func (c Code) HTTPStatus() int {
	if c >= numCodes {
		return http.StatusInternalServerError
	}
	return codeTable[c].httpStatus
}

// ExitCode returns the exit code of the command-line tools for the code.
func (c Code) ExitCode() int {
	if c >= numCodes {
		return 1
	}
	return codeTable[c].exitCode
}

// CodeCount is the number of codes, None included, for arrays indexed by Code.
const CodeCount = int(numCodes)

// ParseCode returns the code with the given name, and Internal and false if there is
// none.
func ParseCode(slug string) (Code, bool) {
	for c := None; c < numCodes; c++ {
		if codeTable[c].slug == slug {
			return c, true
		}
	}
	return Internal, false
}

// Execution tells whether a failed request was executed.
type Execution uint8

const (
	// NotExecuted means that the request was certainly not executed, so that it is safe to
	// retry. The backend server may have received and rejected it.
	NotExecuted Execution = iota
	// ExecutionUnknown means that the request may have been executed.
	ExecutionUnknown
	// Executed means that the backend server answered.
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

// Error is a failure with what the caller needs to react to it.
type Error struct {
	// Code is the kind of failure.
	Code Code
	// Execution tells whether the request was executed.
	Execution Execution
	// RetryAfter is how long the caller should wait before a retry, zero if not stated.
	RetryAfter time.Duration
	// Detail is a short description for people.
	Detail string
	// Cause is the underlying error, or nil.
	Cause error
}

// New returns an error for a request that was not executed.
func New(c Code, detail string) *Error {
	return &Error{Code: c, Detail: detail}
}

// Newf is New with a formatted detail.
func Newf(c Code, format string, args ...any) *Error {
	return &Error{Code: c, Detail: fmt.Sprintf(format, args...)}
}

// Wrap returns an error with a cause, for a request that was not executed.
func Wrap(c Code, cause error, detail string) *Error {
	return &Error{Code: c, Detail: detail, Cause: cause}
}

// WithUnknownExecution marks the request as possibly executed and returns e.
func (e *Error) WithUnknownExecution() *Error {
	e.Execution = ExecutionUnknown
	return e
}

// WithRetryAfter sets RetryAfter and returns e.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
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

// From returns the *Error in the chain of err, or wraps err as Internal with
// ExecutionUnknown.
func From(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return &Error{Code: Internal, Execution: ExecutionUnknown, Detail: "unexpected failure", Cause: err}
}

// CodeOf returns the code of err: None for nil, Internal if its chain has no *Error.
func CodeOf(err error) Code {
	if err == nil {
		return None
	}
	return From(err).Code
}

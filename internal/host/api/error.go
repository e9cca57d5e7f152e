package api

import (
	"errors"
	"fmt"
	"net/http"
	"time"
)

// Code is the error code that callers see. Codes are stable.
type Code string

// The error codes.
const (
	BadRequest     Code = "bad_request"
	TooLarge       Code = "too_large"
	KeyMissing     Code = "key_missing"
	KeyUnknown     Code = "key_unknown"
	KeyWithdrawn   Code = "key_withdrawn" // while the request was handled; KeyUnknown afterwards
	NotAllowed     Code = "not_allowed"
	NotFound       Code = "not_found"
	LimitReached   Code = "limit_reached"
	Overloaded     Code = "overloaded" // the host or the backend servers have no capacity left
	Deadline       Code = "deadline"   // the deadline passed or the caller disconnected
	Draining       Code = "draining"
	NotReady       Code = "not_ready" // the host is not ready yet, or received no updates for longer than the workspace allows
	NoBackend      Code = "no_backend"
	Unreachable    Code = "unreachable" // another host or the platform, which the request needs
	Conflict       Code = "conflict"    // with another request under the idempotency key, or with the state of the step
	Running        Code = "running"
	OutcomeUnknown Code = "outcome_unknown"
	AlreadyRan     Code = "already_ran"
	BackendFailed  Code = "backend_failed" // the backend server failed or its answer is incomplete
	Poison         Code = "poison"         // the request crashes backend servers
	Internal       Code = "internal"
)

// Ran tells whether a backend server ran the request, or may have.
type Ran string

// The values of Ran.
const (
	RanNo      Ran = "no"
	RanUnknown Ran = "unknown"
	RanYes     Ran = "yes"
)

// Error is the error that callers see. RetrySafe reports whether it is safe to send the same
// request again; RetryAfter is the time to wait before doing so, zero for no advice.
type Error struct {
	Code       Code
	Message    string
	Ran        Ran
	RetrySafe  bool
	RetryAfter time.Duration
}

func (f *Error) Error() string {
	return fmt.Sprintf("%s: %s (ran: %s)", f.Code, f.Message, f.Ran)
}

// Refuse returns the error for a request that did not run.
func Refuse(code Code, message string) *Error {
	return &Error{Code: code, Message: message, Ran: RanNo, RetrySafe: retrySafe(code)}
}

// RefuseFor is like Refuse, with the time after which a retry may succeed.
func RefuseFor(code Code, message string, after time.Duration) *Error {
	f := Refuse(code, message)
	f.RetryAfter = after
	return f
}

// retrySafe reports whether a request refused with a code may be sent again unchanged.
func retrySafe(code Code) bool {
	switch code {
	case LimitReached, Overloaded, Deadline, Draining, NotReady, NoBackend, Unreachable, Running:
		return true
	default:
		return false
	}
}

// Status returns the HTTP status of a code.
func (c Code) Status() int {
	switch c {
	case BadRequest:
		return http.StatusBadRequest
	case TooLarge:
		return http.StatusRequestEntityTooLarge
	case KeyMissing, KeyUnknown, KeyWithdrawn:
		return http.StatusUnauthorized
	case NotAllowed:
		return http.StatusForbidden
	case NotFound:
		return http.StatusNotFound
	case LimitReached:
		return http.StatusTooManyRequests
	case Overloaded, Draining, NotReady, NoBackend, Unreachable:
		return http.StatusServiceUnavailable
	case Deadline, OutcomeUnknown:
		return http.StatusGatewayTimeout
	case Conflict, Running, AlreadyRan:
		return http.StatusConflict
	case BackendFailed:
		return http.StatusBadGateway
	case Poison:
		return http.StatusUnprocessableEntity
	default:
		return http.StatusInternalServerError
	}
}

// AsError returns the *Error that err wraps, or otherwise, also for nil, one with code
// Internal and an unknown outcome.
func AsError(err error) *Error {
	var failure *Error
	if errors.As(err, &failure) {
		return failure
	}
	return &Error{Code: Internal, Message: "internal error", Ran: RanUnknown}
}

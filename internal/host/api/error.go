package api

import (
	"errors"
	"fmt"
	"net/http"
	"time"
)

// Code names a failure towards callers. Codes are stable.
type Code string

// The codes of failures.
const (
	BadRequest     Code = "bad_request"
	TooLarge       Code = "too_large"
	KeyMissing     Code = "key_missing"
	KeyUnknown     Code = "key_unknown"
	KeyWithdrawn   Code = "key_withdrawn"
	NotAllowed     Code = "not_allowed"
	NotFound       Code = "not_found"
	LimitReached   Code = "limit_reached"
	Overloaded     Code = "overloaded"
	Deadline       Code = "deadline"
	Draining       Code = "draining"
	NotReady       Code = "not_ready"
	NoBackend      Code = "no_backend"
	Unreachable    Code = "unreachable"
	Conflict       Code = "conflict"
	Running        Code = "running"
	OutcomeUnknown Code = "outcome_unknown"
	AlreadyRan     Code = "already_ran"
	BackendFailed  Code = "backend_failed"
	Poison         Code = "poison"
	Internal       Code = "internal"
)

// Ran says whether a backend server may have worked on the request.
type Ran string

// The answers to whether a request ran.
const (
	RanNo      Ran = "no"
	RanUnknown Ran = "unknown"
	RanYes     Ran = "yes"
)

// Error is the one error that callers see. Repeat says whether sending the
// same request again is safe; After is when to, zero for no advice.
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

// Refuse returns a failure of a request that did not run.
func Refuse(code Code, message string) *Error {
	return &Error{Code: code, Message: message, Ran: RanNo, RetrySafe: repeatable(code)}
}

// RefuseFor is Refuse with the time after which a repeat may succeed.
func RefuseFor(code Code, message string, after time.Duration) *Error {
	f := Refuse(code, message)
	f.RetryAfter = after
	return f
}

func repeatable(code Code) bool {
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

// AsError returns the failure that err holds, or one with code Internal and
// an unknown outcome.
func AsError(err error) *Error {
	var failure *Error
	if errors.As(err, &failure) {
		return failure
	}
	return &Error{Code: Internal, Message: "internal error", Ran: RanUnknown}
}

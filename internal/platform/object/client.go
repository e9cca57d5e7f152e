package object

import (
	"errors"
	"net/http"

	"github.com/hyssopwall/hyssopwall/internal/platform/rest"
)

// Client is a Store that calls the platform over HTTP. Base is the platform's URL without
// a trailing slash, Source names this host in the platform's records. A nil HTTP is the
// shared client of package rest.
type Client struct {
	Base   string
	Source string
	HTTP   *http.Client
}

func (c *Client) caller() rest.Caller {
	return rest.Caller{Base: c.Base, Source: c.Source, HTTP: c.HTTP}
}

// RequestError says that a call is invalid. The platform refused it with Status, or it was
// not sent and Status is zero. Nothing was written, and a retry would fail in the same way.
type RequestError struct {
	Status  int
	Code    string
	Message string
}

func (e *RequestError) Error() string {
	return "request to the platform is wrong: " + e.Code + " " + e.Message
}

// ReadFailure converts an error of package rest to one of this package, for a call that
// changes nothing on the platform. It returns nil for nil.
func ReadFailure(key string, err error) error {
	if err == nil {
		return nil
	}
	status, ok := errors.AsType[*rest.StatusError](err)
	if !ok {
		return &OutageError{Err: err}
	}
	if status.Status == http.StatusNotFound && status.Problem.Code == "absent" {
		return &NotFoundError{Key: key}
	}
	if refused := refusalError(key, 0, status); refused != nil {
		return refused
	}
	return &OutageError{Err: err}
}

// WriteFailure converts an error of package rest to one of this package, for a call that
// may change something on the platform; want is the version or epoch that it expected.
// Only a request that was not sent, or that the platform itself refused, counts as without
// effect. It returns nil for nil.
func WriteFailure(key string, want uint64, err error) error {
	if err == nil {
		return nil
	}
	if lost, ok := errors.AsType[*rest.LostError](err); ok && !lost.Sent {
		return &OutageError{Err: err}
	}
	if invalid, ok := errors.AsType[*rest.ValueError](err); ok {
		return &RequestError{Code: "malformed", Message: invalid.Err.Error()}
	}
	status, ok := errors.AsType[*rest.StatusError](err)
	if !ok {
		return &UnknownError{Key: key, Err: err}
	}
	if refused := refusalError(key, want, status); refused != nil {
		return refused
	}
	if !status.MayHaveRun && status.Status >= http.StatusInternalServerError {
		return &OutageError{Err: err}
	}
	return &UnknownError{Key: key, Err: err}
}

// refusalError returns the error for a status that shows that the platform refused the
// call, nil for a status that doesn't show whether the call took effect.
func refusalError(key string, want uint64, status *rest.StatusError) error {
	switch status.Status {
	case http.StatusTooManyRequests:
		return &LimitError{RetryAfter: status.RetryAfter}
	case http.StatusConflict, http.StatusPreconditionFailed:
		return &ConflictError{Key: key, Want: want, Have: status.Problem.Have}
	case http.StatusRequestEntityTooLarge:
		return &SizeError{Key: key, Size: int(status.Problem.Have)}
	case http.StatusBadRequest, http.StatusNotFound, http.StatusUnauthorized, http.StatusForbidden, http.StatusUnprocessableEntity:
		return &RequestError{Status: status.Status, Code: status.Problem.Code, Message: status.Problem.Message}
	}
	return nil
}

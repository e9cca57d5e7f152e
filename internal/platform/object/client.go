package object

import (
	"errors"
	"net/http"

	"github.com/hyssopwall/hyssopwall/internal/platform/rest"
)

// Client is a Store over HTTP. Base is the platform's URL; Source names this
// host in the platform's records. The zero HTTP client works.
type Client struct {
	Base   string
	Source string
	HTTP   *http.Client
}

func (c *Client) caller() rest.Caller {
	return rest.Caller{Base: c.Base, Source: c.Source, HTTP: c.HTTP}
}

// RequestError says that a call is wrong: the platform refused it, or it was not
// sent and Status is zero. Nothing was written, and a repeat fails in the same
// way.
type RequestError struct {
	Status  int
	Code    string
	Message string
}

func (e *RequestError) Error() string {
	return "request to the platform is wrong: " + e.Code + " " + e.Message
}

// ReadFailure turns an error of package rest into one of this package, for a
// call that changes nothing.
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
	if known := refusal(key, 0, status); known != nil {
		return known
	}
	return &OutageError{Err: err}
}

// WriteFailure turns an error of package rest into one of this package, for a
// call that may change something. Only a request that never left, or a refusal
// by the platform itself, counts as without effect.
func WriteFailure(key string, want uint64, err error) error {
	if err == nil {
		return nil
	}
	if lost, ok := errors.AsType[*rest.LostError](err); ok && !lost.Sent {
		return &OutageError{Err: err}
	}
	if wrong, ok := errors.AsType[*rest.ValueError](err); ok {
		return &RequestError{Code: "malformed", Message: wrong.Err.Error()}
	}
	status, ok := errors.AsType[*rest.StatusError](err)
	if !ok {
		return &UnknownError{Key: key, Err: err}
	}
	if known := refusal(key, want, status); known != nil {
		return known
	}
	if !status.MayHaveRun && status.Status >= http.StatusInternalServerError {
		return &OutageError{Err: err}
	}
	return &UnknownError{Key: key, Err: err}
}

// refusal returns nil for a status that says nothing certain about the effect.
func refusal(key string, want uint64, status *rest.StatusError) error {
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

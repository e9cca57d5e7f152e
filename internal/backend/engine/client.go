package engine

import (
	"errors"
	"net/http"

	"github.com/hyssopwall/hyssopwall/internal/platform/rest"
)

// Client is an Engine over HTTP. Base is the engine's URL. The zero HTTP client
// works. A request carries no header of its caller.
type Client struct {
	Base string
	HTTP *http.Client
}

// The reasons of a BrokenError.
const (
	ReasonConnect   = "connect"
	ReasonTruncated = "truncated"
	ReasonCrossed   = "crossed"
	ReasonDigest    = "digest"
	ReasonMalformed = "malformed"
	ReasonStatus    = "status"
)

func (c *Client) caller() rest.Caller {
	return rest.Caller{Base: c.Base, HTTP: c.HTTP}
}

// failure turns an error of package rest into one of this package. A refusal
// counts only when the engine itself said that it did no work.
func failure(id string, err error) error {
	if err == nil {
		return nil
	}
	if _, wrong := errors.AsType[*rest.ValueError](err); wrong {
		return &BrokenError{ID: id, Reason: ReasonMalformed, Err: err}
	}
	status, ok := errors.AsType[*rest.StatusError](err)
	if !ok {
		lost, ok := errors.AsType[*rest.LostError](err)
		return &BrokenError{ID: id, Reason: ReasonConnect, Sent: !ok || lost.Sent, Err: err}
	}
	if !status.Ran && status.Problem.Code != "" {
		return &RefusedError{Code: status.Problem.Code, RetryAfter: status.After}
	}
	return &BrokenError{ID: id, Reason: ReasonStatus, Sent: true, Err: err}
}

package engine

import (
	"errors"
	"net/http"

	"github.com/hyssopwall/hyssopwall/internal/platform/rest"
)

// Client implements Engine over HTTP. Base is the engine's URL. A nil HTTP uses
// connections that all clients share. Requests never carry headers of the original
// caller.
type Client struct {
	Base string
	HTTP *http.Client
}

// The reasons of a BrokenError.
const (
	// ReasonConnect means that no response arrived. For calls other than Run, it also
	// stands for a response that ended early or can't be decoded.
	ReasonConnect = "connect"
	// ReasonTruncated means that the response to Run ended early, but not within an
	// event, or that one event is longer than maxLine.
	ReasonTruncated = "truncated"
	// ReasonCrossed means that the response belongs to another request.
	ReasonCrossed = "crossed"
	// ReasonDigest means that the digest or the token count doesn't match, or that the
	// response has more tokens than the request allows.
	ReasonDigest = "digest"
	// ReasonMalformed means that the request has invalid fields and was not sent, or
	// that the response has invalid fields, ended within an event or is too large.
	ReasonMalformed = "malformed"
	// ReasonStatus means that the engine reported an error and may have done work.
	ReasonStatus = "status"
)

// caller returns the REST caller of the engine.
func (c *Client) caller() rest.Caller {
	return rest.Caller{Base: c.Base, HTTP: c.HTTP}
}

// failure converts an error of package rest into an error of this package. The result
// is a *RefusedError only if the engine itself reported that it did no work.
func failure(id string, err error) error {
	if err == nil {
		return nil
	}
	if _, invalid := errors.AsType[*rest.ValueError](err); invalid {
		return &BrokenError{ID: id, Reason: ReasonMalformed, Err: err}
	}
	status, ok := errors.AsType[*rest.StatusError](err)
	if !ok {
		lost, ok := errors.AsType[*rest.LostError](err)
		return &BrokenError{ID: id, Reason: ReasonConnect, Sent: !ok || lost.Sent, Err: err}
	}
	if !status.MayHaveRun && status.Problem.Code != "" {
		return &RefusedError{Code: status.Problem.Code, RetryAfter: status.RetryAfter}
	}
	return &BrokenError{ID: id, Reason: ReasonStatus, Sent: true, Err: err}
}

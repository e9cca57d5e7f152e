package rest

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
)

// Get makes a GET request and decodes the JSON response. A response that can't be decoded,
// or that fails its Check method, is a *LostError.
func Get[T any](ctx context.Context, caller Caller, path string, query url.Values) (T, error) {
	raw, err := caller.Do(ctx, Call{Method: http.MethodGet, Path: path, Query: query})
	return decode[T](raw, err)
}

// ValueError says that a value failed its Check method or could not be encoded. Nothing
// was sent.
type ValueError struct {
	Err error
}

func (e *ValueError) Error() string { return "value not sent: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *ValueError) Unwrap() error { return e.Err }

// Post sends a value as JSON and decodes the JSON response like Get. It returns a
// *ValueError for a value that is invalid.
func Post[T any](ctx context.Context, caller Caller, path string, value any) (T, error) {
	var none T
	if checked, ok := value.(checker); ok {
		if err := checked.Check(); err != nil {
			return none, &ValueError{Err: err}
		}
	}
	data, err := json.Marshal(value)
	if err != nil {
		return none, &ValueError{Err: err}
	}
	header := http.Header{"Content-Type": {"application/json"}}
	raw, err := caller.Do(ctx, Call{Method: http.MethodPost, Path: path, Header: header, Body: data})
	return decode[T](raw, err)
}

// None stands for a response body that is ignored, also if it is empty.
type None struct{}

// decode decodes the response of a call whose error is err. A response that is invalid
// gives a *LostError, since it doesn't show whether the call took effect.
func decode[T any](raw []byte, err error) (T, error) {
	var value T
	if err != nil {
		return value, err
	}
	if _, empty := any(value).(None); empty {
		return value, nil
	}
	if err := json.Unmarshal(raw, &value); err != nil {
		return value, &LostError{Sent: true, Err: err}
	}
	if checked, ok := any(value).(checker); ok {
		if err := checked.Check(); err != nil {
			return value, &LostError{Sent: true, Err: err}
		}
	}
	return value, nil
}

// checker is implemented by values that are validated before sending and after decoding.
type checker interface {
	Check() error
}

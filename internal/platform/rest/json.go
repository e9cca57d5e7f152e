package rest

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
)

// Get reads a JSON value.
func Get[T any](ctx context.Context, caller Caller, path string, query url.Values) (T, error) {
	raw, err := caller.Do(ctx, Call{Method: http.MethodGet, Path: path, Query: query})
	return decode[T](raw, err)
}

// ValueError says that a value is not fit to be sent. Nothing was sent.
type ValueError struct {
	Err error
}

func (e *ValueError) Error() string { return "value not sent: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *ValueError) Unwrap() error { return e.Err }

// Post sends a JSON value and decodes the JSON answer. It returns a *ValueError
// for a value that can't be sent.
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

// None decodes from an empty body.
type None struct{}

// decode fails with a *LostError: an answer that can't be read tells nothing
// about the call's effect.
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

// checker is a type that checks itself after decoding and before sending.
type checker interface {
	Check() error
}

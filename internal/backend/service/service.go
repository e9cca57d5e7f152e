// Package service defines the protocol between a host and a service, and implements its
// client. A service is a backend server that answers plain HTTP requests. Some requests
// are not idempotent and must not run twice.
package service

import (
	"context"
	"fmt"
	"time"
)

// Request is one call. ID is unique per attempt; the service repeats it in the
// X-Request-Id header of its response. Header never contains the API key of a caller.
type Request struct {
	ID     string              `cbor:"1,keyasint"`
	Method string              `cbor:"2,keyasint"`
	Path   string              `cbor:"3,keyasint"` // including the query
	Header map[string][]string `cbor:"4,keyasint,omitempty"`
	Body   []byte              `cbor:"5,keyasint,omitempty"`
}

// Response is a complete response to a Request. Its length and its digest have been
// checked if the service sent them.
type Response struct {
	ID     string              `cbor:"1,keyasint"`
	Status int                 `cbor:"2,keyasint"`
	Header map[string][]string `cbor:"3,keyasint,omitempty"`
	Body   []byte              `cbor:"4,keyasint,omitempty"`
}

// Caller calls one service.
type Caller interface {
	// Call sends a request and returns the response. A *RefusedError means that the
	// service did no work; a *BrokenError reports whether it may have.
	Call(ctx context.Context, request Request) (Response, error)
}

// RefusedError reports that the service refused a request before doing any work: it
// returned status 429 or 503 with the header X-Ran: no. RetryAfter is the wait that it
// asked for, zero if none.
type RefusedError struct {
	Status     int
	RetryAfter time.Duration
}

func (e *RefusedError) Error() string {
	return fmt.Sprintf("service refused with status %d", e.Status)
}

// BrokenError reports that no complete response to a request arrived. Reason is one of
// the Reason constants. Sent reports whether a byte of the request may have reached the
// service.
type BrokenError struct {
	ID     string // of the request
	Reason string
	Sent   bool
	Err    error // the cause; may be nil
}

func (e *BrokenError) Error() string {
	return fmt.Sprintf("answer to %s broken: %s", e.ID, e.Reason)
}

// Unwrap returns the cause, which may be nil.
func (e *BrokenError) Unwrap() error { return e.Err }

// Package service defines the protocol to a plain service: a backend server
// that answers HTTP requests, some of which may not be repeated.
package service

import (
	"context"
	"fmt"
	"time"
)

// Request is one call. ID is unique per attempt; a service echoes it in the
// X-Request-Id header of its answer. Header never holds a caller's key.
type Request struct {
	ID     string              `cbor:"1,keyasint"`
	Method string              `cbor:"2,keyasint"`
	Path   string              `cbor:"3,keyasint"`
	Header map[string][]string `cbor:"4,keyasint,omitempty"`
	Body   []byte              `cbor:"5,keyasint,omitempty"`
}

// Answer is a whole answer: its length and digest have been checked where the
// service gave them.
type Answer struct {
	ID     string              `cbor:"1,keyasint"`
	Status int                 `cbor:"2,keyasint"`
	Header map[string][]string `cbor:"3,keyasint,omitempty"`
	Body   []byte              `cbor:"4,keyasint,omitempty"`
}

// Caller calls one service. A *RefusedError means that the service did no
// work; a *BrokenError says whether it may have.
type Caller interface {
	Call(ctx context.Context, request Request) (Answer, error)
}

// RefusedError says that the service refused before any work: it answered 429
// or 503 with the header X-Ran: no.
type RefusedError struct {
	Status     int
	RetryAfter time.Duration
}

func (e *RefusedError) Error() string {
	return fmt.Sprintf("service refused with status %d", e.Status)
}

// BrokenError says that no whole answer to the request arrived. Reason is
// "connect", "truncated", "crossed" or "digest". Sent says whether a byte of
// the request may have reached the service.
type BrokenError struct {
	ID     string
	Reason string
	Sent   bool
	Err    error
}

func (e *BrokenError) Error() string {
	return fmt.Sprintf("answer to %s broken: %s", e.ID, e.Reason)
}

// Unwrap returns the cause, which may be nil.
func (e *BrokenError) Unwrap() error { return e.Err }

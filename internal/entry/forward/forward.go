// Package forward carries one plain request to backend servers and back: it
// chooses a server, sends, hedges and retries within the rules of package
// attempt, and ends with one whole answer or with what may truly be said.
package forward

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/hyssopwall/hyssopwall/internal/backend/pool"
)

// Request is a request for a backend server. Target is the path with its query
// as the caller wrote it. Header holds no key and nothing that concerns only
// one connection.
type Request struct {
	ID          string
	Host        string
	Method      string
	Target      string
	Header      http.Header
	Body        []byte
	Workspace   string        // empty for work without one
	TimeLeft    time.Duration // time that the server has, zero for no bound, negative when it is over
	Priority    int           // 0 is the most urgent, negative to leave it out
	ResumeAfter int           // events of an earlier run, of requests for streams
	// NewConnection asks for a new connection: on one that has carried the request before, a
	// second copy of that answer may still come and can't be told from the next.
	NewConnection bool
	// BeforeSend, when set, is asked just before the request leaves; an error ends it
	// as not run.
	BeforeSend func() error
}

// Response is a backend server's whole answer. Signature is empty when the server
// did not sign it.
type Response struct {
	Status    int
	Header    http.Header
	Body      []byte
	Signature string
	Load      *pool.Load
}

// Sender sends a request to one server once. Errors are a *NotRunError when it
// is certain that the server did not and will not run the request, else a
// *BrokenError.
type Sender interface {
	Send(ctx context.Context, server pool.Server, request Request) (Response, error)
}

// NotRunError says that a server did not run a request. Down says that the
// server could not be reached or is not the one asked for. Load is what the
// server said of itself, if it did.
type NotRunError struct {
	Reason      string
	Unreachable bool
	Load        *pool.Load
}

func (e *NotRunError) Error() string { return "not run: " + e.Reason }

// BrokenError says that a request may have run and no whole answer came.
type BrokenError struct {
	Reason string
	Err    error
}

func (e *BrokenError) Error() string { return fmt.Sprintf("answer broken: %s: %v", e.Reason, e.Err) }

// Unwrap returns the cause.
func (e *BrokenError) Unwrap() error { return e.Err }

// RefusedError is the end of a request that has not run and never will. After
// is when the caller should come back.
type RefusedError struct {
	Reason     string
	RetryAfter time.Duration
}

func (e *RefusedError) Error() string { return "refused: " + e.Reason }

// DelayedError says that a request could not leave soon after its time was worked
// out.
type DelayedError struct {
	By time.Duration
}

func (e *DelayedError) Error() string { return "delayed by " + e.By.String() }

// FailedError is the end of a request that may have run. Late says that its
// time ran out.
type FailedError struct {
	TimedOut bool
	Err      error
}

func (e *FailedError) Error() string { return fmt.Sprintf("failed (late: %t): %v", e.TimedOut, e.Err) }

// Unwrap returns the cause.
func (e *FailedError) Unwrap() error { return e.Err }

// Package forward sends one plain request to backend servers: it chooses a server,
// sends, hedges and retries by the rules of package attempt, and ends with one
// complete response or with an error that says whether the request may have run.
package forward

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/hyssopwall/hyssopwall/internal/backend/pool"
)

// Request is a request to a backend server.
type Request struct {
	ID          string
	Host        string // host name that the caller addressed, as in the Host header
	Method      string
	Target      string        // path and query, unchanged
	Header      http.Header   // of the caller; the Sender removes keys and connection-specific fields
	Body        net.Buffers   // in parts, which are not changed
	Workspace   string        // empty for requests of the system itself
	TimeLeft    time.Duration // sent to the server; zero means that the caller sets no limit, negative that none is left
	Priority    int           // 0 is the highest; negative sends none
	ResumeAfter int           // of a stream: number of events received in an earlier run
	// Owed says that the request belongs to an accepted batch. It is neither suspected of
	// crashing servers nor refused for it.
	Owed bool
	// Regions are lists of regions. A server has to be in a region of each of them.
	Regions [][]string
	// NewConnection requests a new connection. On one that has carried the request
	// before, a second copy of that response may still arrive and can't be told apart
	// from the next response.
	NewConnection bool
	// BeforeSend, if set, is called just before the request is sent. If it returns an
	// error, the request is not sent.
	BeforeSend func() error
}

// Response is a backend server's complete response. Signature is empty when the
// server did not sign it, Load is nil when it did not report its load.
type Response struct {
	Status    int
	Header    http.Header
	Body      []byte
	Signature string
	Load      *pool.Load
}

// Sender sends a request to a server once. Errors are a *NotRunError if the server
// certainly did not run the request and will not, else a *BrokenError.
type Sender interface {
	Send(ctx context.Context, server pool.Server, request Request) (Response, error)
}

// NotRunError is returned when a server did not run a request. Unreachable is set
// when the server could not be reached or another one responded at its address.
// Load is the load that the server reported, if any.
type NotRunError struct {
	Reason      string
	Unreachable bool
	Load        *pool.Load
}

func (e *NotRunError) Error() string { return "not run: " + e.Reason }

// BrokenError is returned when a request may have run and no complete response
// arrived. Err is nil when the response was complete but invalid.
type BrokenError struct {
	Reason string
	Err    error
}

func (e *BrokenError) Error() string { return fmt.Sprintf("broken response: %s: %v", e.Reason, e.Err) }

// Unwrap returns the cause.
func (e *BrokenError) Unwrap() error { return e.Err }

// RefusedError is the end of a request that has not run and will not. The caller may
// try again after RetryAfter.
type RefusedError struct {
	Reason     string
	RetryAfter time.Duration
}

func (e *RefusedError) Error() string { return "refused: " + e.Reason }

// DelayedError is returned by BeforeSend when a request was not sent within
// maxSendDelay after its TimeLeft was computed. By is the time since then.
type DelayedError struct {
	By time.Duration
}

func (e *DelayedError) Error() string { return "send delayed by " + e.By.String() }

// FailedError is the end of a request that may have run. TimedOut is set when its
// time ran out.
type FailedError struct {
	TimedOut bool
	Err      error
}

func (e *FailedError) Error() string {
	return fmt.Sprintf("failed (timed out: %t): %v", e.TimedOut, e.Err)
}

// Unwrap returns the cause.
func (e *FailedError) Unwrap() error { return e.Err }

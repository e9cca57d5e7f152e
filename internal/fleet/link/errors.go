package link

import (
	"errors"
	"fmt"
	"time"

	"github.com/hyssopwall/hyssopwall/internal/fleet/wire"
)

// The codes of the remote errors that the endpoint itself returns.
const (
	CodeInternal    = "internal"     // the handler returned an error without a code
	CodeUnknownKind = "unknown-kind" // the kind of the stream has no handler
	CodeBadMessage  = "bad-message"  // the request could not be decoded or is invalid
)

// RemoteError is the error of the peer's handler as it is sent to the caller. A handler
// sets the code by returning a *RemoteError or an error with a method Code.
type RemoteError struct {
	Code    string `cbor:"1,keyasint"`
	Message string `cbor:"2,keyasint"`
}

func (e *RemoteError) Error() string { return fmt.Sprintf("peer: %s: %s", e.Code, e.Message) }

// Check implements wire.Message.
func (e *RemoteError) Check() error {
	if e == nil || e.Code == "" {
		return &wire.FieldError{Type: "RemoteError", Field: "Code", Reason: "is empty"}
	}
	return nil
}

// CallError reports that the transfer of a call or a stream failed. If Sent is false, no byte
// of it has been sent, so the peer has certainly not received it. If Sent is true, the peer
// may have acted on it.
type CallError struct {
	Address string
	Kind    string
	Sent    bool
	Err     error
}

func (e *CallError) Error() string {
	return fmt.Sprintf("call %s to %s (sent: %t): %v", e.Kind, e.Address, e.Sent, e.Err)
}

// Unwrap returns the cause.
func (e *CallError) Unwrap() error { return e.Err }

// BackoffError reports that recent dials of the peer failed and that the next one is made
// after Wait.
type BackoffError struct {
	Wait time.Duration
	Err  error
}

func (e *BackoffError) Error() string {
	return fmt.Sprintf("not dialed again for %s: %v", e.Wait, e.Err)
}

// Unwrap returns the cause of the last failure.
func (e *BackoffError) Unwrap() error { return e.Err }

// AddressError reports an address that is not an IP address and a port, or that the
// endpoint can't listen on.
type AddressError struct {
	Address string
	Err     error
}

func (e *AddressError) Error() string {
	return fmt.Sprintf("address %q can't be used: %v", e.Address, e.Err)
}

// Unwrap returns the cause.
func (e *AddressError) Unwrap() error { return e.Err }

// FrameError reports a malformed frame or one that is too large.
type FrameError struct {
	Reason string
}

func (e *FrameError) Error() string { return "frame: " + e.Reason }

// ErrClosed is returned after the endpoint was closed.
var ErrClosed = errors.New("endpoint closed")

// coder is an error with a code for RemoteError.
type coder interface{ Code() string }

// toRemoteError returns the error of a handler as it is sent to the peer.
func toRemoteError(err error) *RemoteError {
	var known *RemoteError
	if errors.As(err, &known) {
		return known
	}
	var named coder
	if errors.As(err, &named) {
		return &RemoteError{Code: named.Code(), Message: err.Error()}
	}
	return &RemoteError{Code: CodeInternal, Message: err.Error()}
}

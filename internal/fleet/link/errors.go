package link

import (
	"errors"
	"fmt"
	"time"

	"github.com/hyssopwall/hyssopwall/internal/fleet/wire"
)

// The codes of remote errors that the endpoint itself gives.
const (
	CodeInternal    = "internal"
	CodeUnknownKind = "unknown-kind"
	CodeBadMessage  = "bad-message"
)

// RemoteError is an error of the handler at the peer, as it crossed the link.
// A handler chooses the code by returning a *RemoteError or an error that has
// a method Code.
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

// CallError says that a call or a stream failed on its way. When Sent is
// false, no byte of it has left this host, so the peer has certainly not seen
// it. When Sent is true the peer may have acted on it.
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

// BackoffError says that the peer could not be reached lately and is not
// tried again for Wait.
type BackoffError struct {
	Wait time.Duration
	Err  error
}

func (e *BackoffError) Error() string {
	return fmt.Sprintf("not dialed again for %s: %v", e.Wait, e.Err)
}

// Unwrap returns the cause of the last failure.
func (e *BackoffError) Unwrap() error { return e.Err }

// AddressError says that an address is not an IP number and a port.
type AddressError struct {
	Address string
	Err     error
}

func (e *AddressError) Error() string {
	return fmt.Sprintf("address %q is not IP:port: %v", e.Address, e.Err)
}

// Unwrap returns the cause.
func (e *AddressError) Unwrap() error { return e.Err }

// FrameError says that the bytes of a stream are no frame.
type FrameError struct {
	Reason string
}

func (e *FrameError) Error() string { return "frame: " + e.Reason }

// ErrClosed is the cause when the endpoint was closed.
var ErrClosed = errors.New("endpoint closed")

// coder is an error that names its own code.
type coder interface{ Code() string }

// remote turns the error of a handler into what crosses the link.
func remote(err error) *RemoteError {
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

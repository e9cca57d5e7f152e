package link

import (
	"context"
	"errors"
	"io"

	"github.com/hyssopwall/hyssopwall/internal/fleet/wire"
)

// Call sends a request to the host at address and waits for the answer. It returns a
// *RemoteError if the peer's handler failed. Every other error, also that of an answer that
// can't be decoded, is a *CallError, which tells whether the request may have been sent.
func Call[Q, A wire.Message](ctx context.Context, e *Endpoint, address, kind string, request Q) (A, error) {
	var none A
	stream, err := e.Open(ctx, address, kind)
	if err != nil {
		return none, err
	}
	defer stream.Cancel()
	sendErr := Send(stream, request)
	if sendErr == nil {
		sendErr = stream.CloseWrite()
	}
	if sendErr != nil && !stream.Sent() {
		return none, stream.wrapCallError(ctx, sendErr)
	}
	// The handler may have returned an answer before it read the complete request, so a
	// failed Send does not mean that the call failed.
	answer, err := Receive[A](stream)
	if err != nil {
		return none, stream.wrapCallError(ctx, errors.Join(err, sendErr))
	}
	return answer, nil
}

// wrapCallError returns the error of a failed call with its actual cause, since the end of
// the context appears as a reset of the stream, and a missing answer as io.EOF.
func (s *Stream) wrapCallError(ctx context.Context, err error) error {
	var known *RemoteError
	if errors.As(err, &known) {
		return err
	}
	if ctx.Err() != nil {
		return &CallError{Address: s.address, Kind: s.kind, Sent: s.Sent(), Err: context.Cause(ctx)}
	}
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	return s.wrapError(err)
}

// Open opens a stream to the host at address. Nothing is sent before the first Send, Receive
// or CloseWrite. The stream is canceled when ctx ends. The error is a *CallError with Sent
// false.
func (e *Endpoint) Open(ctx context.Context, address, kind string) (*Stream, error) {
	fail := func(err error) (*Stream, error) {
		return nil, &CallError{Address: address, Kind: kind, Err: err}
	}
	if len(kind) > maxKindLength {
		return fail(&FrameError{Reason: "name of the kind is too long"})
	}
	p, err := e.poolEntry(address)
	if err != nil {
		return fail(err)
	}
	for range 2 { // the pooled connection may have ended
		var c *connection
		c, err = e.connect(ctx, p)
		if err != nil {
			return fail(err)
		}
		raw, openErr := c.raw.OpenStreamSync(ctx)
		if openErr == nil {
			stream := &Stream{peer: c.host, address: address, kind: kind, raw: raw, traffic: &e.traffic}
			stop := context.AfterFunc(ctx, stream.Cancel)
			stream.stop.Store(&stop)
			return stream, nil
		}
		err = openErr
		if !connectionLost(openErr) {
			break
		}
	}
	return fail(err)
}

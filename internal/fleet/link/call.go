package link

import (
	"context"
	"errors"
	"io"

	"github.com/hyssopwall/hyssopwall/internal/fleet/wire"
)

// Call sends a request to the host at address and waits for its answer. It
// returns a *RemoteError when the peer's handler failed, and a *CallError,
// which tells whether the request may have left, when the way there failed.
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
		return none, stream.explain(ctx, sendErr)
	}
	// The handler may have ended before it read the whole request, so a failed
	// Send does not decide the call.
	answer, err := Receive[A](stream)
	if err != nil {
		return none, stream.explain(ctx, errors.Join(err, sendErr))
	}
	return answer, nil
}

// explain gives a failure its cause: an end of the context shows as a reset
// of the stream, and an answer that never began as io.EOF.
func (s *Stream) explain(ctx context.Context, err error) error {
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
	return s.fail(err)
}

// Open starts a stream to the host at address. No byte of it leaves before the
// first Send, Receive or CloseWrite. The stream is canceled when ctx ends. It
// returns a *CallError with Sent false otherwise.
func (e *Endpoint) Open(ctx context.Context, address, kind string) (*Stream, error) {
	fail := func(err error) (*Stream, error) {
		return nil, &CallError{Address: address, Kind: kind, Err: err}
	}
	if len(kind) > maxKind {
		return fail(&FrameError{Reason: "kind too long"})
	}
	p, err := e.peer(address)
	if err != nil {
		return fail(err)
	}
	for range 2 { // the pooled connection may turn out to be gone
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
		if !transient(openErr) {
			break
		}
	}
	return fail(err)
}

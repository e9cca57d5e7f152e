package link

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"runtime/debug"

	"github.com/quic-go/quic-go"

	"github.com/hyssopwall/hyssopwall/internal/fleet/identity"
	"github.com/hyssopwall/hyssopwall/internal/fleet/wire"
	"github.com/hyssopwall/hyssopwall/internal/site/event"
)

// acceptConnections accepts connections until the endpoint is closed.
func (e *Endpoint) acceptConnections() {
	for {
		raw, err := e.listener.Accept(e.ctx)
		if err != nil {
			return
		}
		e.spawn(func() { e.admit(raw) })
	}
}

// admit checks the peer of an accepted connection and serves it.
func (e *Endpoint) admit(raw *quic.Conn) {
	address, err := netip.ParseAddrPort(raw.RemoteAddr().String())
	if err != nil {
		_ = raw.CloseWithError(closeCode, "refused")
		return
	}
	accepted, err := e.authenticate(raw, address)
	if err != nil {
		return
	}
	e.addToPool(accepted, address)
	e.startServing(accepted, address)
}

// startServing starts the goroutines that serve a connection's streams and datagrams.
func (e *Endpoint) startServing(c *connection, address netip.AddrPort) {
	e.spawn(func() { e.acceptStreams(c, address) })
	e.spawn(func() { e.receiveDatagrams(c, address) })
	e.trackOpened(c)
	if !e.spawn(func() { e.sendDatagrams(c) }) {
		e.trackClosed(c)
	}
}

// acceptStreams serves the streams that the peer opens until the connection ends.
func (e *Endpoint) acceptStreams(c *connection, address netip.AddrPort) {
	for {
		raw, err := c.raw.AcceptStream(e.ctx)
		if err != nil {
			return
		}
		if !e.admissible(c, address) {
			return
		}
		stream := &Stream{peer: c.host, address: address.String(), raw: raw, traffic: &e.traffic, kindSent: true}
		if !e.spawn(func() { e.handleStream(stream) }) {
			return
		}
	}
}

// admissible reports whether the peer may still use the connection. It closes a connection
// whose certificate has expired; the peer then connects again with its current certificate.
func (e *Endpoint) admissible(c *connection, address netip.AddrPort) bool {
	if e.config.Now().Before(c.expires) {
		return e.trusted(c, address)
	}
	e.config.Identity.LogRefused(address.String(), &identity.PeerError{Reason: identity.Expired, Host: c.host})
	c.close("certificate expired")
	return false
}

// handleStream reads the kind of a stream and calls its handler, whose context ends with that
// of the stream and with the endpoint.
func (e *Endpoint) handleStream(stream *Stream) {
	ctx, cancel := context.WithCancel(stream.Context())
	defer cancel()
	detach := context.AfterFunc(e.ctx, cancel)
	defer detach()
	typ, name, err := readFrame(stream.raw)
	if err != nil || typ != kindFrame {
		stream.Cancel()
		return
	}
	stream.kind = string(name)
	e.traffic.received(stream.kind, len(name)+headerSize)
	e.mu.Lock()
	handler := e.handlers[stream.kind]
	e.mu.Unlock()
	if handler == nil {
		e.finishStream(stream, &RemoteError{Code: CodeUnknownKind, Message: stream.kind})
		return
	}
	e.finishStream(stream, e.callHandler(ctx, handler, stream))
}

// callHandler calls a handler. A panic ends its stream with an error, not the process: a
// peer must not be able to end it by what it sends.
func (e *Endpoint) callHandler(ctx context.Context, handler Handler, stream *Stream) (err error) {
	defer func() {
		if cause := recover(); cause != nil {
			e.logPanic(stream.peer, stream.kind, cause)
			err = &RemoteError{Code: CodeInternal, Message: "the handler panicked"}
		}
	}()
	return handler(ctx, stream.peer, stream)
}

// logPanic logs a panic of a handler and where it happened.
func (e *Endpoint) logPanic(from identity.Host, kind string, cause any) {
	e.config.Log.Emit(event.HandlerPanicked, "host", from.Name, "call", kind, "err", fmt.Sprint(cause), "why", string(debug.Stack()))
}

// finishStream sends the handler's error, if any, and ends the stream. While the endpoint is
// being closed it aborts the stream instead, since Close has canceled the handler: its error
// says nothing about the request, which may have taken effect.
func (e *Endpoint) finishStream(stream *Stream, err error) {
	if err != nil && e.ctx.Err() != nil {
		stream.Cancel()
		return
	}
	if err != nil {
		if data, encodeErr := wire.Encode(toRemoteError(err)); encodeErr == nil {
			_ = stream.write(errorFrame, data)
		}
	}
	_ = stream.CloseWrite()
	stream.raw.CancelRead(cancelCode)
}

// Serve sets the handler of a kind of call, which has one request and one answer.
func Serve[Q, A wire.Message](e *Endpoint, kind string, handler func(ctx context.Context, from identity.Host, request Q) (A, error)) {
	e.Handle(kind, func(ctx context.Context, from identity.Host, stream *Stream) error {
		request, err := Receive[Q](stream)
		if err != nil {
			return toBadMessage(err)
		}
		answer, err := handler(ctx, from, request)
		if err != nil {
			return err
		}
		return Send(stream, answer)
	})
}

// toBadMessage returns the error of a malformed request as a *RemoteError with
// CodeBadMessage, and other errors unchanged.
func toBadMessage(err error) error {
	var field *wire.FieldError
	var decode *wire.DecodeError
	if errors.As(err, &field) || errors.As(err, &decode) {
		return &RemoteError{Code: CodeBadMessage, Message: err.Error()}
	}
	return err
}

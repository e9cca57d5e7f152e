package link

import (
	"context"
	"errors"
	"net/netip"

	"github.com/quic-go/quic-go"

	"github.com/hyssopwall/hyssopwall/internal/fleet/identity"
	"github.com/hyssopwall/hyssopwall/internal/fleet/wire"
)

func (e *Endpoint) accept() {
	for {
		raw, err := e.listener.Accept(e.ctx)
		if err != nil {
			return
		}
		e.spawn(func() { e.admit(raw) })
	}
}

func (e *Endpoint) admit(raw *quic.Conn) {
	address, err := netip.ParseAddrPort(raw.RemoteAddr().String())
	if err != nil {
		_ = raw.CloseWithError(closeCode, "refused")
		return
	}
	accepted, err := e.prove(raw, address)
	if err != nil {
		return
	}
	e.adopt(accepted, address)
	e.serve(accepted, address)
}

// serve starts to take streams and notes from a connection.
func (e *Endpoint) serve(c *connection, address netip.AddrPort) {
	e.spawn(func() { e.takeStreams(c, address) })
	e.spawn(func() { e.takeNotes(c, address) })
	e.opened(c)
	if !e.spawn(func() { e.sendNotes(c) }) {
		e.closed(c)
	}
}

func (e *Endpoint) takeStreams(c *connection, address netip.AddrPort) {
	for {
		raw, err := c.raw.AcceptStream(e.ctx)
		if err != nil {
			return
		}
		if !e.admissible(c, address) {
			return
		}
		stream := &Stream{peer: c.host, address: address.String(), raw: raw, traffic: &e.traffic, opened: true}
		if !e.spawn(func() { e.handle(stream) }) {
			return
		}
	}
}

// admissible reports whether the peer may still use the connection. One whose
// certificate has run out is ended; the peer connects again with the
// certificate that it has now.
func (e *Endpoint) admissible(c *connection, address netip.AddrPort) bool {
	if e.config.Now().Before(c.expires) {
		return e.trusted(c, address)
	}
	e.config.Identity.LogRefused(address.String(), &identity.PeerError{Reason: identity.Expired, Host: c.host})
	c.close("certificate expired")
	return false
}

func (e *Endpoint) handle(stream *Stream) {
	ctx, cancel := context.WithCancel(stream.Context())
	defer cancel()
	detach := context.AfterFunc(e.ctx, cancel)
	defer detach()
	kind, name, err := readFrame(stream.raw)
	if err != nil || kind != kindFrame {
		stream.Cancel()
		return
	}
	stream.kind = string(name)
	e.traffic.received(stream.kind, len(name)+headerSize)
	e.mu.Lock()
	handler := e.handlers[stream.kind]
	e.mu.Unlock()
	if handler == nil {
		e.finish(stream, &RemoteError{Code: CodeUnknownKind, Message: stream.kind})
		return
	}
	e.finish(stream, handler(ctx, stream.peer, stream))
}

// finish sends the handler's error, if any, and ends the stream.
func (e *Endpoint) finish(stream *Stream, err error) {
	if err != nil {
		if data, encodeErr := wire.Encode(remote(err)); encodeErr == nil {
			_ = stream.write(errorFrame, data)
		}
	}
	_ = stream.CloseWrite()
	stream.raw.CancelRead(cancelCode)
}

// Serve handles a kind of call: one request, one answer.
func Serve[Q, A wire.Message](e *Endpoint, kind string, handler func(ctx context.Context, from identity.Host, request Q) (A, error)) {
	e.Handle(kind, func(ctx context.Context, from identity.Host, stream *Stream) error {
		request, err := Receive[Q](stream)
		if err != nil {
			return badMessage(err)
		}
		answer, err := handler(ctx, from, request)
		if err != nil {
			return err
		}
		return Send(stream, answer)
	})
}

func badMessage(err error) error {
	var field *wire.FieldError
	var decode *wire.DecodeError
	if errors.As(err, &field) || errors.As(err, &decode) {
		return &RemoteError{Code: CodeBadMessage, Message: err.Error()}
	}
	return err
}

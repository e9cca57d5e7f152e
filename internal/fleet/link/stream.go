package link

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"

	"github.com/quic-go/quic-go"

	"github.com/hyssopwall/hyssopwall/internal/fleet/identity"
	"github.com/hyssopwall/hyssopwall/internal/fleet/wire"
)

// cancelCode is the QUIC error code of a canceled stream.
const cancelCode quic.StreamErrorCode = 1

// Stream carries messages in both directions between two hosts. One goroutine may send
// while another receives.
type Stream struct {
	peer    identity.Host
	address string
	kind    string
	raw     *quic.Stream
	traffic *meter
	stop    atomic.Pointer[func() bool] // detaches the stream from the context of Open

	mu       sync.Mutex
	kindSent bool        // the kind frame has been written
	sent     atomic.Bool // a byte may have been sent
}

// Peer returns the host at the other end, which its certificate proves.
func (s *Stream) Peer() identity.Host { return s.peer }

// Address returns the address of the other end.
func (s *Stream) Address() string { return s.address }

// Sent reports whether a byte of the stream may have been sent.
func (s *Stream) Sent() bool { return s.sent.Load() }

// Context returns a context that ends when this side has closed its direction, the peer stops
// reading, the stream is canceled, or the connection ends.
func (s *Stream) Context() context.Context { return s.raw.Context() }

// Send writes one message. It blocks while the peer does not read. It fails after the peer's
// handler has returned; Receive then returns the handler's answer or error. The error of Send
// is a *CallError.
func Send[T wire.Message](s *Stream, message T) error {
	data, err := wire.Encode(message)
	if err != nil {
		return s.wrapError(err)
	}
	return s.write(messageFrame, data)
}

// Receive reads one message. It returns io.EOF after the last message if the peer has closed
// its side, a *RemoteError if the peer's handler failed, the error of wire.Decode for a
// malformed message, and a *CallError otherwise. If nothing was sent yet, it first sends the
// stream's kind, which starts the peer's handler.
func Receive[T wire.Message](s *Stream) (T, error) {
	var none T
	if err := s.sendKind(); err != nil {
		return none, err
	}
	typ, data, err := readFrame(s.raw)
	if err != nil {
		return none, s.wrapReadError(err)
	}
	s.traffic.received(s.kind, len(data)+headerSize)
	if typ == errorFrame {
		failure, err := wire.Decode[*RemoteError](data)
		if err != nil {
			return none, s.wrapError(err)
		}
		return none, failure
	}
	if typ != messageFrame {
		return none, s.wrapError(&FrameError{Reason: "unexpected type, want a message"})
	}
	return wire.Decode[T](data)
}

// CloseWrite tells the peer that no further message follows. The other direction stays open.
// It is not an error if the peer has stopped reading: it may have answered already, which
// Receive shows.
func (s *Stream) CloseWrite() error {
	if err := s.sendKind(); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	_ = s.raw.Close() // fails only for a canceled stream
	return nil
}

// Cancel aborts both directions. Messages that the peer has not read yet may be lost. It has
// no effect after the stream has ended.
func (s *Stream) Cancel() {
	if stop := s.stop.Load(); stop != nil {
		(*stop)()
	}
	s.raw.CancelWrite(cancelCode)
	s.raw.CancelRead(cancelCode)
}

// sendKind writes the kind frame unless it was written already.
func (s *Stream) sendKind() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.kindSent {
		return nil
	}
	return s.writeLocked(nil)
}

// write writes one frame, after the kind frame if this is the first.
func (s *Stream) write(typ frameType, data []byte) error {
	frame, err := appendFrame(make([]byte, 0, headerSize+len(data)), typ, data)
	if err != nil {
		return s.wrapError(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.writeLocked(frame)
}

// writeLocked writes a frame, which may be empty, after the kind frame if that was not
// written yet. The caller holds the lock.
func (s *Stream) writeLocked(frame []byte) error {
	if !s.kindSent {
		first, err := appendFrame(nil, kindFrame, []byte(s.kind))
		if err != nil {
			return s.wrapError(err)
		}
		frame = append(first, frame...)
		s.kindSent = true
	}
	s.sent.Store(true)
	s.traffic.sent(s.kind, len(frame))
	if _, err := s.raw.Write(frame); err != nil {
		return s.wrapError(err)
	}
	return nil
}

// wrapReadError returns the error of a read as a *CallError, except for io.EOF between
// frames.
func (s *Stream) wrapReadError(err error) error {
	if isEOF(err) {
		return err
	}
	return s.wrapError(err)
}

// wrapError returns an error as a *CallError.
func (s *Stream) wrapError(err error) error {
	var known *CallError
	if errors.As(err, &known) {
		return err
	}
	return &CallError{Address: s.address, Kind: s.kind, Sent: s.sent.Load(), Err: err}
}

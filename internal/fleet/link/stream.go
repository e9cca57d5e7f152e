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

// cancelCode is the QUIC error code of a stream that its user gave up.
const cancelCode quic.StreamErrorCode = 1

// Stream carries messages both ways between two hosts. One goroutine may send
// while another receives.
type Stream struct {
	peer    identity.Host
	address string
	kind    string
	raw     *quic.Stream
	traffic *meter
	stop    atomic.Pointer[func() bool] // ends the watch on the opener's context

	mu     sync.Mutex
	opened bool // the kind frame has been written
	sent   atomic.Bool
}

// Peer returns the host at the other end, proven by its certificate.
func (s *Stream) Peer() identity.Host { return s.peer }

// Address returns the address of the other end.
func (s *Stream) Address() string { return s.address }

// Sent reports whether a byte of the stream may have left this host.
func (s *Stream) Sent() bool { return s.sent.Load() }

// Context ends when the stream or its connection does.
func (s *Stream) Context() context.Context { return s.raw.Context() }

// Send writes one message. It blocks while the peer does not read. It fails
// when the peer's handler has ended; Receive then returns its answer or error.
func Send[T wire.Message](s *Stream, message T) error {
	data, err := wire.Encode(message)
	if err != nil {
		return s.fail(err)
	}
	return s.write(messageFrame, data)
}

// Receive reads one message. It returns io.EOF after the last one when the
// peer has closed its side, and a *RemoteError when the peer's handler failed.
func Receive[T wire.Message](s *Stream) (T, error) {
	var none T
	if err := s.open(); err != nil {
		return none, err
	}
	kind, data, err := readFrame(s.raw)
	if err != nil {
		return none, s.failRead(err)
	}
	s.traffic.received(s.kind, len(data)+headerSize)
	if kind == errorFrame {
		failure, err := wire.Decode[*RemoteError](data)
		if err != nil {
			return none, s.fail(err)
		}
		return none, failure
	}
	if kind != messageFrame {
		return none, s.fail(&FrameError{Reason: "not a message"})
	}
	return wire.Decode[T](data)
}

// CloseWrite says that no further message follows. The other direction goes on.
// It is no error that the peer has stopped reading: it may have answered
// already, and Receive tells.
func (s *Stream) CloseWrite() error {
	if err := s.open(); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	_ = s.raw.Close() // fails only for a canceled stream
	return nil
}

// Cancel gives up both directions. What the peer has not read yet may be lost.
// It is harmless after the stream has ended.
func (s *Stream) Cancel() {
	if stop := s.stop.Load(); stop != nil {
		(*stop)()
	}
	s.raw.CancelWrite(cancelCode)
	s.raw.CancelRead(cancelCode)
}

// open writes the kind frame unless a message has carried it.
func (s *Stream) open() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.opened {
		return nil
	}
	return s.writeLocked(nil)
}

func (s *Stream) write(kind frameType, data []byte) error {
	frame, err := appendFrame(make([]byte, 0, headerSize+len(data)), kind, data)
	if err != nil {
		return s.fail(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.writeLocked(frame)
}

func (s *Stream) writeLocked(frame []byte) error {
	if !s.opened {
		first, err := appendFrame(nil, kindFrame, []byte(s.kind))
		if err != nil {
			return s.fail(err)
		}
		frame = append(first, frame...)
		s.opened = true
	}
	s.sent.Store(true)
	s.traffic.sent(s.kind, len(frame))
	if _, err := s.raw.Write(frame); err != nil {
		return s.fail(err)
	}
	return nil
}

// failRead keeps io.EOF between frames as it is.
func (s *Stream) failRead(err error) error {
	if isEOF(err) {
		return err
	}
	return s.fail(err)
}

func (s *Stream) fail(err error) error {
	var known *CallError
	if errors.As(err, &known) {
		return err
	}
	return &CallError{Address: s.address, Kind: s.kind, Sent: s.sent.Load(), Err: err}
}

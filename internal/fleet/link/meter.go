package link

import (
	"io"
	"maps"
	"sync"
)

// Traffic counts the messages of one kind of stream or datagram and their bytes, without
// the overhead of QUIC, UDP and IP. The kind frame of a stream counts as a received message
// of its own, but as a sent one only if it is sent without a message.
type Traffic struct {
	SentMessages     uint64
	SentBytes        uint64
	ReceivedMessages uint64
	ReceivedBytes    uint64
}

// meter counts traffic by kind of stream and datagram. The zero value is ready for use.
type meter struct {
	mu    sync.Mutex
	kinds map[string]Traffic
}

func (m *meter) sent(kind string, size int) {
	m.add(kind, Traffic{SentMessages: 1, SentBytes: uint64(size)})
}

func (m *meter) received(kind string, size int) {
	m.add(kind, Traffic{ReceivedMessages: 1, ReceivedBytes: uint64(size)})
}

func (m *meter) add(kind string, delta Traffic) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.kinds == nil {
		m.kinds = make(map[string]Traffic)
	}
	sum := m.kinds[kind]
	sum.SentMessages += delta.SentMessages
	sum.SentBytes += delta.SentBytes
	sum.ReceivedMessages += delta.ReceivedMessages
	sum.ReceivedBytes += delta.ReceivedBytes
	m.kinds[kind] = sum
}

func (m *meter) snapshot() map[string]Traffic {
	m.mu.Lock()
	defer m.mu.Unlock()
	return maps.Clone(m.kinds)
}

// isEOF reports whether the stream ended between two frames.
func isEOF(err error) bool {
	return err == io.EOF //nolint:errorlint // a wrapped io.EOF is a truncated frame
}

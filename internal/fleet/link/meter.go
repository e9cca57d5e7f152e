package link

import (
	"io"
	"maps"
	"sync"
)

// Traffic counts the messages and their bytes of one kind, without the
// overhead of QUIC, UDP and IP.
type Traffic struct {
	SentMessages     uint64
	SentBytes        uint64
	ReceivedMessages uint64
	ReceivedBytes    uint64
}

// meter counts traffic by kind. The zero value counts from zero.
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

func (m *meter) add(kind string, more Traffic) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.kinds == nil {
		m.kinds = make(map[string]Traffic)
	}
	sum := m.kinds[kind]
	sum.SentMessages += more.SentMessages
	sum.SentBytes += more.SentBytes
	sum.ReceivedMessages += more.ReceivedMessages
	sum.ReceivedBytes += more.ReceivedBytes
	m.kinds[kind] = sum
}

func (m *meter) snapshot() map[string]Traffic {
	m.mu.Lock()
	defer m.mu.Unlock()
	return maps.Clone(m.kinds)
}

func isEOF(err error) bool {
	return err == io.EOF //nolint:errorlint // a wrapped io.EOF is a cut frame
}

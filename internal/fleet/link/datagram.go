package link

import (
	"fmt"
	"net/netip"
)

// MaxDatagram is the largest note in bytes, its kind included. It fits the
// smallest packet that QUIC allows.
const MaxDatagram = 1150

// SendDatagram sends one unreliable packet. It does not wait: without a connection
// the note waits for the dial that it starts, and a few others with it. It
// returns an error when the note can't be sent at all; no error does not mean
// that it arrives.
func (e *Endpoint) SendDatagram(address, kind string, data []byte) error {
	note := append([]byte{byte(len(kind))}, kind...)
	note = append(note, data...)
	if len(kind) > maxKind || len(note) > MaxDatagram {
		return &FrameError{Reason: fmt.Sprintf("note of %d bytes, more than %d", len(note), MaxDatagram)}
	}
	p, err := e.peer(address)
	if err != nil {
		return err
	}
	current, _, err := e.ready(p)
	if err != nil {
		return err
	}
	e.traffic.sent(kind, len(note))
	if current != nil {
		current.queue(note)
		return nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.dialing != nil && len(p.pending) < MaxPendingDatagrams {
		p.pending = append(p.pending, note)
	}
	return nil
}

// sendNotes sends the queued notes of a connection. It may wait for the
// congestion window, which is why it has its own goroutine.
func (e *Endpoint) sendNotes(c *connection) {
	defer e.closed(c)
	for {
		select {
		case note := <-c.notes:
			_ = c.raw.SendDatagram(note) // one that does not fit the path is lost
		case <-c.raw.Context().Done():
			return
		}
	}
}

func (e *Endpoint) takeNotes(c *connection, address netip.AddrPort) {
	for {
		note, err := c.raw.ReceiveDatagram(e.ctx)
		if err != nil {
			return
		}
		if !e.admissible(c, address) {
			return
		}
		e.takeNote(c, address.String(), note)
	}
}

func (e *Endpoint) takeNote(c *connection, address string, note []byte) {
	if len(note) == 0 || len(note) < 1+int(note[0]) {
		return
	}
	kind, data := string(note[1:1+note[0]]), note[1+note[0]:]
	e.mu.Lock()
	handler := e.notes[kind]
	e.mu.Unlock()
	if handler == nil {
		return
	}
	e.traffic.received(kind, len(note))
	handler(c.host, address, data)
}

package link

import (
	"fmt"
	"net/netip"
)

// MaxDatagram is the size of the largest datagram in bytes, its kind included. It fits into
// the smallest packet that QUIC allows.
const MaxDatagram = 1150

// SendDatagram sends one unreliable packet. It does not block: without a connection it
// starts a dial, for which up to MaxPendingDatagrams datagrams wait. It returns an error if
// the datagram can't be sent; nil does not mean that it arrives.
func (e *Endpoint) SendDatagram(address, kind string, data []byte) error {
	datagram := append([]byte{byte(len(kind))}, kind...)
	datagram = append(datagram, data...)
	if len(kind) > maxKindLength || len(datagram) > MaxDatagram {
		return &FrameError{Reason: fmt.Sprintf("datagram of %d bytes, more than %d", len(datagram), MaxDatagram)}
	}
	p, err := e.poolEntry(address)
	if err != nil {
		return err
	}
	current, _, err := e.usableOrDial(p)
	if err != nil {
		return err
	}
	e.traffic.sent(kind, len(datagram))
	if current != nil {
		current.queueDatagram(datagram)
		return nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.dialing != nil && len(p.pending) < MaxPendingDatagrams {
		p.pending = append(p.pending, datagram)
	}
	return nil
}

// sendDatagrams sends the queued datagrams of a connection until it ends. It has a goroutine
// of its own, since it may block on the congestion window.
func (e *Endpoint) sendDatagrams(c *connection) {
	defer e.trackClosed(c)
	for {
		select {
		case datagram := <-c.datagrams:
			_ = c.raw.SendDatagram(datagram) // a datagram that exceeds the path's packet size is lost
		case <-c.raw.Context().Done():
			return
		}
	}
}

// receiveDatagrams passes the datagrams of a connection to their handlers until the
// connection ends.
func (e *Endpoint) receiveDatagrams(c *connection, address netip.AddrPort) {
	for {
		datagram, err := c.raw.ReceiveDatagram(e.ctx)
		if err != nil {
			return
		}
		if !e.admissible(c, address) {
			return
		}
		e.handleDatagram(c, address.String(), datagram)
	}
}

// handleDatagram calls the handler of a datagram. One that is malformed or has no handler is
// dropped.
func (e *Endpoint) handleDatagram(c *connection, address string, datagram []byte) {
	if len(datagram) == 0 {
		return
	}
	kindEnd := 1 + int(datagram[0])
	if len(datagram) < kindEnd {
		return
	}
	kind, data := string(datagram[1:kindEnd]), datagram[kindEnd:]
	e.mu.Lock()
	handler := e.datagramHandlers[kind]
	e.mu.Unlock()
	if handler == nil {
		return
	}
	e.traffic.received(kind, len(datagram))
	defer func() {
		if cause := recover(); cause != nil {
			e.logPanic(c.host, kind, cause)
		}
	}()
	handler(c.host, address, data)
}

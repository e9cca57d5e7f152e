// Package network is a stand-in for the network between hosts: it cuts
// availability zones off from each other, and delays what passes between them.
package network

import (
	"net"
	"sync"
	"time"
)

// pair names two zones in the order of their names.
type pair struct {
	low  string
	high string
}

func between(a, b string) pair { return pair{min(a, b), max(a, b)} }

// Net joins the sockets of hosts. The zero value passes everything at once. It
// is safe for concurrent use.
type Net struct {
	mu      sync.Mutex
	zones   map[string]string // by address
	cuts    map[pair]bool
	delays  map[pair]time.Duration
	passed  int
	dropped int
}

// Listen opens a UDP socket of a host in a zone. Datagrams from it to sockets of
// the same Net are subject to cuts and delays.
func (n *Net) Listen(zone, address string) (net.PacketConn, error) {
	local, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil, err
	}
	socket, err := net.ListenUDP("udp", local)
	if err != nil {
		return nil, err
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.zones == nil {
		n.zones = make(map[string]string)
	}
	n.zones[socket.LocalAddr().String()] = zone
	return &conn{PacketConn: socket, socket: socket, net: n, zone: zone}, nil
}

// Cut drops everything between two zones, in both directions, or passes it
// again. A zone can be cut in itself.
func (n *Net) Cut(a, b string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cuts == nil {
		n.cuts = make(map[pair]bool)
	}
	n.cuts[between(a, b)] = cut
}

// Delay sets the one-way delay between two zones.
func (n *Net) Delay(a, b string, by time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.delays == nil {
		n.delays = make(map[pair]time.Duration)
	}
	n.delays[between(a, b)] = by
}

// Counts returns how many datagrams passed and how many were dropped.
func (n *Net) Counts() (passed, dropped int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.passed, n.dropped
}

// decide says whether a datagram passes, and after which delay.
func (n *Net) decide(zone string, to net.Addr) (time.Duration, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	way := between(zone, n.zones[to.String()])
	if n.cuts[way] {
		n.dropped++
		return 0, false
	}
	n.passed++
	return n.delays[way], true
}

func (n *Net) forget(address net.Addr) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.zones, address.String())
}

// conn hides the faster methods of a UDP socket, so that every datagram goes
// through WriteTo.
type conn struct {
	net.PacketConn
	socket *net.UDPConn
	net    *Net
	zone   string
}

// WriteTo sends a datagram unless a cut drops it, which the sender can't see.
func (c *conn) WriteTo(data []byte, to net.Addr) (int, error) {
	delay, passes := c.net.decide(c.zone, to)
	if !passes {
		return len(data), nil
	}
	if delay == 0 {
		return c.PacketConn.WriteTo(data, to)
	}
	late := append([]byte(nil), data...)
	time.AfterFunc(delay, func() { _, _ = c.PacketConn.WriteTo(late, to) })
	return len(data), nil
}

// Close closes the socket.
func (c *conn) Close() error {
	c.net.forget(c.LocalAddr())
	return c.PacketConn.Close()
}

// SetReadBuffer sets the size of the socket's buffer in bytes.
func (c *conn) SetReadBuffer(size int) error { return c.socket.SetReadBuffer(size) }

// SetWriteBuffer sets the size of the socket's buffer in bytes.
func (c *conn) SetWriteBuffer(size int) error { return c.socket.SetWriteBuffer(size) }

// Package network is a stand-in for the network between hosts. It partitions
// availability zones from each other and delays the datagrams between them.
package network

import (
	"net"
	"sync"
	"time"
)

// pair is an unordered pair of zones, stored in lexical order.
type pair struct {
	low  string
	high string
}

// newPair returns the pair of two zones.
func newPair(a, b string) pair { return pair{min(a, b), max(a, b)} }

// Net connects the sockets of hosts. The zero value delivers all datagrams without
// delay. It is safe for concurrent use.
type Net struct {
	mu      sync.Mutex
	zones   map[string]string // by socket address
	cuts    map[pair]bool
	delays  map[pair]time.Duration
	passed  int
	dropped int
}

// Listen opens a UDP socket of a host in a zone. Datagrams from it to sockets of the same
// Net are subject to cuts and delays. The zone of a receiver is found by the destination
// address, so the address needs a specific IP; port 0 picks a free port.
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

// Cut drops all datagrams between two zones in both directions if cut is set, and
// delivers them again if not. If both zones are the same, it applies within the zone.
// Delayed datagrams that were sent before the cut still arrive.
func (n *Net) Cut(a, b string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cuts == nil {
		n.cuts = make(map[pair]bool)
	}
	n.cuts[newPair(a, b)] = cut
}

// Delay sets the delay of each datagram between two zones, in both directions.
func (n *Net) Delay(a, b string, by time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.delays == nil {
		n.delays = make(map[pair]time.Duration)
	}
	n.delays[newPair(a, b)] = by
}

// Counts returns the numbers of datagrams passed on and dropped.
func (n *Net) Counts() (passed, dropped int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.passed, n.dropped
}

// decide counts a datagram from a zone, returns its delay and reports whether it is
// delivered.
func (n *Net) decide(zone string, to net.Addr) (time.Duration, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	link := newPair(zone, n.zones[to.String()])
	if n.cuts[link] {
		n.dropped++
		return 0, false
	}
	n.passed++
	return n.delays[link], true
}

// remove deletes the zone entry of a closed socket.
func (n *Net) remove(address net.Addr) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.zones, address.String())
}

// conn is a UDP socket that hides the methods other than WriteTo that send datagrams,
// so that every datagram is subject to cuts and delays.
type conn struct {
	net.PacketConn
	socket *net.UDPConn
	net    *Net
	zone   string
}

// WriteTo sends a datagram. A dropped datagram counts as sent, since a sender can't
// detect the loss.
func (c *conn) WriteTo(data []byte, to net.Addr) (int, error) {
	delay, passes := c.net.decide(c.zone, to)
	if !passes {
		return len(data), nil
	}
	if delay == 0 {
		return c.PacketConn.WriteTo(data, to)
	}
	delayed := append([]byte(nil), data...)
	time.AfterFunc(delay, func() { _, _ = c.PacketConn.WriteTo(delayed, to) })
	return len(data), nil
}

// Close closes the socket and removes its address from the Net.
func (c *conn) Close() error {
	c.net.remove(c.LocalAddr())
	return c.PacketConn.Close()
}

// SetReadBuffer sets the size of the socket's receive buffer in bytes.
func (c *conn) SetReadBuffer(size int) error { return c.socket.SetReadBuffer(size) }

// SetWriteBuffer sets the size of the socket's send buffer in bytes.
func (c *conn) SetWriteBuffer(size int) error { return c.socket.SetWriteBuffer(size) }

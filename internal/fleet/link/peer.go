package link

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/quic-go/quic-go"

	"github.com/hyssopwall/hyssopwall/internal/fleet/identity"
)

// The wait after a failed dial doubles from firstBackoff to maxBackoff.
const (
	firstBackoff = 100 * time.Millisecond
	maxBackoff   = 2 * time.Second
)

// MaxPendingDatagrams is how many notes wait for a connection, or on one that is
// congested. A further one is dropped, as the network could have done.
const MaxPendingDatagrams = 16

// peer is the pool entry of one address: at most one connection in use and
// one dial under way.
type peer struct {
	address netip.AddrPort

	mu       sync.Mutex
	current  *connection
	dialing  chan struct{} // closed when the dial under way has ended
	failure  error         // of the last dial
	failures int
	retryAt  time.Time
	pending  [][]byte
}

// connection is one QUIC connection with its proven peer.
type connection struct {
	raw     *quic.Conn
	host    identity.Host
	since   time.Time
	expires time.Time     // end of the certificate that the peer showed
	loads   atomic.Uint64 // of the own material when the peer was last admitted
	notes   chan []byte
}

func (c *connection) usable(now time.Time) bool {
	return c != nil && c.raw.Context().Err() == nil && now.Before(c.expires)
}

// trusted reports whether the peer is still to be admitted. After a change of
// the authorities that this host trusts, the certificate is checked again.
func (e *Endpoint) trusted(c *connection, address netip.AddrPort) bool {
	loads := e.config.Identity.LoadCount()
	if c.loads.Load() == loads {
		return true
	}
	chain := c.raw.ConnectionState().TLS.PeerCertificates
	if _, err := e.config.Identity.VerifyPeer(chain, address.String()); err != nil {
		c.close("refused")
		return false
	}
	c.loads.Store(loads)
	return true
}

// queue hands a note to the sender of the connection, or drops it when too
// many wait.
func (c *connection) queue(note []byte) {
	select {
	case c.notes <- note:
	default:
	}
}

// closeCode is the QUIC error code of a connection that an endpoint ends.
const closeCode quic.ApplicationErrorCode = 1

func (c *connection) close(reason string) {
	_ = c.raw.CloseWithError(closeCode, reason)
}

func (e *Endpoint) peer(address string) (*peer, error) {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, &AddressError{Address: address, Err: err}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.shutting {
		return nil, ErrClosed
	}
	p := e.peers[parsed]
	if p == nil {
		p = &peer{address: parsed}
		e.peers[parsed] = p
	}
	return p, nil
}

// Drop ends the connection to an address and forgets its failures, as when
// the host is known to have been replaced.
func (e *Endpoint) Drop(address string) {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil {
		return
	}
	e.mu.Lock()
	p := e.peers[parsed]
	delete(e.peers, parsed)
	e.mu.Unlock()
	if p != nil {
		p.drop("dropped")
	}
}

func (p *peer) drop(reason string) {
	p.mu.Lock()
	current := p.current
	p.current = nil
	p.mu.Unlock()
	if current != nil {
		current.close(reason)
	}
}

// connect returns the connection in use, or waits for a dial.
func (e *Endpoint) connect(ctx context.Context, p *peer) (*connection, error) {
	for {
		current, wait, err := e.ready(p) //nolint:contextcheck // the dial serves every waiter, so it lives with the endpoint
		if current != nil || err != nil {
			return current, err
		}
		select {
		case <-wait:
		case <-ctx.Done():
			return nil, context.Cause(ctx)
		}
	}
}

// ready returns a usable connection, or a channel to wait on after it has made
// sure that a dial is under way, or the reason why none is made now.
func (e *Endpoint) ready(p *peer) (*connection, <-chan struct{}, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := e.config.Now()
	if p.current.usable(now) && e.trusted(p.current, p.address) {
		if err := e.expected(p.address, p.current.host); err != nil {
			p.current.close("refused")
			p.current = nil
			return nil, nil, err
		}
		return p.current, nil, nil
	}
	if p.dialing != nil {
		return nil, p.dialing, nil
	}
	p.retire(now)
	if wait := p.retryAt.Sub(now); wait > 0 {
		return nil, nil, &BackoffError{Wait: wait, Err: p.failure}
	}
	p.dialing = make(chan struct{})
	if !e.spawn(func() { e.redial(p) }) {
		close(p.dialing)
		p.dialing = nil
		return nil, nil, ErrClosed
	}
	return nil, p.dialing, nil
}

// retire lets go of a connection that can't be used. One that a peer refused
// right after the handshake counts as a failed dial, because in TLS 1.3 a
// client learns only then that its certificate was turned away.
func (p *peer) retire(now time.Time) {
	if p.current == nil {
		return
	}
	cause := context.Cause(p.current.raw.Context())
	refused := new(quic.TransportError)
	if errors.As(cause, &refused) && now.Sub(p.current.since) < handshakeTimeout {
		p.fail(refused, now)
	} else {
		p.failures = 0
	}
	p.current.close("retired")
	p.current = nil
}

func (p *peer) fail(err error, now time.Time) {
	p.failure = err
	p.retryAt = now.Add(backoff(p.failures))
	p.failures++
	p.pending = nil
}

// redial makes one attempt and wakes the waiters.
func (e *Endpoint) redial(p *peer) {
	next, err := e.dial(p.address)
	p.mu.Lock()
	defer p.mu.Unlock()
	close(p.dialing)
	p.dialing = nil
	if err != nil {
		p.fail(err, e.config.Now())
		return
	}
	p.use(next)
	e.serve(next, p.address)
}

func backoff(failures int) time.Duration {
	return min(firstBackoff<<min(failures, 10), maxBackoff)
}

// use puts a new connection into service and sends the notes that waited.
func (p *peer) use(next *connection) {
	p.current = next
	p.failure, p.retryAt = nil, time.Time{}
	for _, note := range p.pending {
		next.queue(note)
	}
	p.pending = nil
}

func (e *Endpoint) dial(address netip.AddrPort) (*connection, error) {
	var refused error
	tls := e.config.Identity.ClientTLS(protocol, address.String(), func(err error) { refused = err })
	ctx, cancel := context.WithTimeout(e.ctx, handshakeTimeout)
	defer cancel()
	raw, err := e.transport.Dial(ctx, net.UDPAddrFromAddrPort(address), tls, settings())
	if err != nil {
		if refused != nil {
			return nil, refused
		}
		return nil, err
	}
	return e.prove(raw, address)
}

// prove reads the host from the certificate of a fresh connection and checks
// that it is the host expected at the address.
func (e *Endpoint) prove(raw *quic.Conn, address netip.AddrPort) (*connection, error) {
	leaf := raw.ConnectionState().TLS.PeerCertificates[0]
	host, err := identity.HostOf(leaf)
	if err == nil {
		err = e.expected(address, host)
	}
	if err != nil {
		_ = raw.CloseWithError(closeCode, "refused")
		return nil, err
	}
	proven := &connection{
		raw:     raw,
		host:    host,
		since:   e.config.Now(),
		expires: leaf.NotAfter,
		notes:   make(chan []byte, MaxPendingDatagrams),
	}
	proven.loads.Store(e.config.Identity.LoadCount())
	return proven, nil
}

func (e *Endpoint) expected(address netip.AddrPort, proven identity.Host) error {
	if e.config.ExpectedHost == nil {
		return nil
	}
	want, known := e.config.ExpectedHost(address.String())
	if !known {
		return nil
	}
	err := identity.Match(proven, want)
	if err != nil {
		e.config.Identity.LogRefused(address.String(), err)
	}
	return err
}

// adopt puts an accepted connection into the pool, unless one is in use.
func (e *Endpoint) adopt(accepted *connection, address netip.AddrPort) {
	p, err := e.peer(address.String())
	if err != nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.current.usable(e.config.Now()) {
		p.use(accepted)
	}
}

// transient reports whether an error of a pooled connection says that the
// connection is gone, so that another dial may help.
func transient(err error) bool {
	var reset *quic.StatelessResetError
	var idle *quic.IdleTimeoutError
	var application *quic.ApplicationError
	return errors.As(err, &reset) || errors.As(err, &idle) || errors.As(err, &application)
}

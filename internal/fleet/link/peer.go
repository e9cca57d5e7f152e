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

// The backoff after a failed dial doubles from firstBackoff to maxBackoff.
const (
	firstBackoff = 100 * time.Millisecond
	maxBackoff   = 2 * time.Second
)

// MaxPendingDatagrams is the largest number of datagrams that wait for a connection, or on
// a congested one. A further datagram is dropped, as the network may drop one too.
const MaxPendingDatagrams = 16

// poolEntry holds the connection to one address: at most one in use and one dial under way.
type poolEntry struct {
	address netip.AddrPort

	mu       sync.Mutex
	current  *connection
	dialing  chan struct{} // closed when the dial under way has ended
	lastErr  error         // of the last dial
	failures int           // consecutive failed dials, including those that the peer refused after the handshake
	retryAt  time.Time     // no dial before this time
	pending  [][]byte      // datagrams that wait for the dial
}

// connection is one QUIC connection with the host that the peer's certificate proves.
type connection struct {
	raw           *quic.Conn
	host          identity.Host
	since         time.Time     // when the handshake ended
	expires       time.Time     // end of the validity of the peer's certificate
	identityLoads atomic.Uint64 // LoadCount of this host's Identity when the peer's certificate was last checked
	datagrams     chan []byte   // waiting to be sent
}

// usable reports whether the connection is open and the peer's certificate has not expired.
// It is false for a nil connection.
func (c *connection) usable(now time.Time) bool {
	return c != nil && c.raw.Context().Err() == nil && now.Before(c.expires)
}

// trusted reports whether the peer's certificate is still trusted. It checks the
// certificate again once this host has loaded its credentials anew, with the authorities
// that it trusts, and closes the connection if the certificate is refused.
func (e *Endpoint) trusted(c *connection, address netip.AddrPort) bool {
	loads := e.config.Identity.LoadCount()
	if c.identityLoads.Load() == loads {
		return true
	}
	chain := c.raw.ConnectionState().TLS.PeerCertificates
	if _, err := e.config.Identity.VerifyPeer(chain, address.String()); err != nil {
		c.close("refused")
		return false
	}
	c.identityLoads.Store(loads)
	return true
}

// queueDatagram queues a datagram for sending, or drops it when the queue is full.
func (c *connection) queueDatagram(datagram []byte) {
	select {
	case c.datagrams <- datagram:
	default:
	}
}

// closeCode is the QUIC error code of a connection that an endpoint ends.
const closeCode quic.ApplicationErrorCode = 1

func (c *connection) close(reason string) {
	_ = c.raw.CloseWithError(closeCode, reason)
}

// poolEntry returns the pool's entry for an address, made if there is none.
func (e *Endpoint) poolEntry(address string) (*poolEntry, error) {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, &AddressError{Address: address, Err: err}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.closing {
		return nil, ErrClosed
	}
	p := e.pool[parsed]
	if p == nil {
		p = &poolEntry{address: parsed}
		e.pool[parsed] = p
	}
	return p, nil
}

// Drop closes the connection to an address and resets its backoff, for example when the
// host is known to have been replaced.
func (e *Endpoint) Drop(address string) {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil {
		return
	}
	e.mu.Lock()
	p := e.pool[parsed]
	delete(e.pool, parsed)
	e.mu.Unlock()
	if p != nil {
		p.drop("dropped")
	}
}

// drop closes the connection in use, if any.
func (p *poolEntry) drop(reason string) {
	p.mu.Lock()
	current := p.current
	p.current = nil
	p.mu.Unlock()
	if current != nil {
		current.close(reason)
	}
}

// connect returns the connection in use, or waits for a dial and returns its connection.
func (e *Endpoint) connect(ctx context.Context, p *poolEntry) (*connection, error) {
	for {
		current, wait, err := e.usableOrDial(p) //nolint:contextcheck // the dial serves every waiting call, so it uses the endpoint's context
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

// usableOrDial returns a usable connection; or, with a dial under way, which it starts if
// necessary, a channel that is closed at the end of the dial; or the reason why it does not
// dial now.
func (e *Endpoint) usableOrDial(p *poolEntry) (*connection, <-chan struct{}, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := e.config.Now()
	if p.current.usable(now) && e.trusted(p.current, p.address) {
		if err := e.checkExpected(p.address, p.current.host); err != nil {
			p.current.close("refused")
			p.current = nil
			return nil, nil, err
		}
		return p.current, nil, nil
	}
	if p.dialing != nil {
		return nil, p.dialing, nil
	}
	p.discardCurrent(now)
	if wait := p.retryAt.Sub(now); wait > 0 {
		return nil, nil, &BackoffError{Wait: wait, Err: p.lastErr}
	}
	p.dialing = make(chan struct{})
	if !e.spawn(func() { e.redial(p) }) {
		close(p.dialing)
		p.dialing = nil
		return nil, nil, ErrClosed
	}
	return nil, p.dialing, nil
}

// discardCurrent closes and removes a connection that can't be used. One that the peer
// refused right after the handshake counts as a failed dial, because in TLS 1.3 a client
// learns only then that its certificate was refused.
func (p *poolEntry) discardCurrent(now time.Time) {
	if p.current == nil {
		return
	}
	cause := context.Cause(p.current.raw.Context())
	refused := new(quic.TransportError)
	if errors.As(cause, &refused) && now.Sub(p.current.since) < handshakeTimeout {
		p.recordFailure(refused, now)
	} else {
		p.failures = 0
	}
	p.current.close("retired")
	p.current = nil
}

// recordFailure records a failed dial: it sets the time of the next one and drops the
// waiting datagrams.
func (p *poolEntry) recordFailure(err error, now time.Time) {
	p.lastErr = err
	p.retryAt = now.Add(backoff(p.failures))
	p.failures++
	p.pending = nil
}

// redial dials once and wakes the calls that wait for the dial.
func (e *Endpoint) redial(p *poolEntry) {
	next, err := e.dial(p.address)
	p.mu.Lock()
	defer p.mu.Unlock()
	close(p.dialing)
	p.dialing = nil
	if err != nil {
		p.recordFailure(err, e.config.Now())
		return
	}
	p.setCurrent(next)
	e.startServing(next, p.address)
}

// backoff returns the time to wait after a failed dial that was preceded by the given number
// of consecutive failed ones.
func backoff(failures int) time.Duration {
	// The limit of 10 prevents an overflow; maxBackoff is reached earlier.
	return min(firstBackoff<<min(failures, 10), maxBackoff)
}

// setCurrent makes a connection the one in use and queues the waiting datagrams on it.
func (p *poolEntry) setCurrent(next *connection) {
	p.current = next
	p.lastErr, p.retryAt = nil, time.Time{}
	for _, datagram := range p.pending {
		next.queueDatagram(datagram)
	}
	p.pending = nil
}

// dial opens a connection to an address and checks the peer's certificate.
func (e *Endpoint) dial(address netip.AddrPort) (*connection, error) {
	var refused error
	tls := e.config.Identity.ClientTLS(protocol, address.String(), func(err error) { refused = err })
	ctx, cancel := context.WithTimeout(e.ctx, handshakeTimeout)
	defer cancel()
	raw, err := e.transport.Dial(ctx, net.UDPAddrFromAddrPort(address), tls, quicConfig())
	if err != nil {
		if refused != nil {
			return nil, refused
		}
		return nil, err
	}
	return e.authenticate(raw, address)
}

// authenticate reads the host from the peer's certificate of a new connection and checks
// that it is the host expected at the address. It closes the connection otherwise.
func (e *Endpoint) authenticate(raw *quic.Conn, address netip.AddrPort) (*connection, error) {
	leaf := raw.ConnectionState().TLS.PeerCertificates[0]
	host, err := identity.HostOf(leaf)
	if err == nil {
		err = e.checkExpected(address, host)
	}
	if err != nil {
		_ = raw.CloseWithError(closeCode, "refused")
		return nil, err
	}
	authenticated := &connection{
		raw:       raw,
		host:      host,
		since:     e.config.Now(),
		expires:   leaf.NotAfter,
		datagrams: make(chan []byte, MaxPendingDatagrams),
	}
	authenticated.identityLoads.Store(e.config.Identity.LoadCount())
	return authenticated, nil
}

// checkExpected returns an error, and logs the refusal, if another host than the proven one is
// known to have the address.
func (e *Endpoint) checkExpected(address netip.AddrPort, proven identity.Host) error {
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

// addToPool makes an accepted connection the one in use for its address, unless another
// usable one is.
func (e *Endpoint) addToPool(accepted *connection, address netip.AddrPort) {
	p, err := e.poolEntry(address.String())
	if err != nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.current.usable(e.config.Now()) {
		p.setCurrent(accepted)
	}
}

// connectionLost reports whether an error of a pooled connection means that the connection
// has ended, so that another dial may succeed.
func connectionLost(err error) bool {
	var reset *quic.StatelessResetError
	var idle *quic.IdleTimeoutError
	var application *quic.ApplicationError
	return errors.As(err, &reset) || errors.As(err, &idle) || errors.As(err, &application)
}

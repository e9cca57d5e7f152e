// Package link carries messages between hosts over QUIC with mutual TLS 1.3.
//
// An endpoint has one UDP socket, on which it accepts and dials. It keeps one
// connection to each peer and uses it in both directions. Streams carry calls and
// forwarded requests; datagrams are single unreliable packets for probes.
package link

import (
	"context"
	"crypto/sha256"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/quic-go/quic-go"

	"github.com/hyssopwall/hyssopwall/internal/fleet/identity"
	"github.com/hyssopwall/hyssopwall/internal/site/event"
)

// protocol is the ALPN name of the protocol in the TLS handshake.
const protocol = "hyssopwall/1"

// Limits and timeouts of a connection.
const (
	// MaxStreams is the number of streams that a peer may have open on one connection.
	// Opening a further one blocks until another ends.
	MaxStreams = 1024

	handshakeTimeout = 3 * time.Second
	idleTimeout      = 60 * time.Second
	streamWindow     = 256 << 10 // bytes
	connectionWindow = 1 << 20   // bytes
)

// Handler serves one stream. from is the host that the peer's certificate proves. The
// stream ends when the handler returns; the handler's error is sent to the peer.
type Handler func(ctx context.Context, from identity.Host, stream *Stream) error

// DatagramHandler handles one datagram. It must not block.
type DatagramHandler func(from identity.Host, address string, data []byte)

// Config holds the parameters of an endpoint.
type Config struct {
	// Address is the IP:port to listen on; port 0 selects a free one.
	Address string
	// Socket, when set, is used instead of a UDP socket on Address. The endpoint closes it.
	Socket net.PacketConn
	// Identity supplies this host's certificate, checks those of peers and logs refusals.
	Identity *identity.Source
	// Log receives the panics of handlers.
	Log event.Log
	// Now is the clock; nil means time.Now.
	Now func() time.Time
	// ExpectedHost, when set, returns the host that is known to have the address, and
	// whether one is known. A peer whose certificate proves another host is refused.
	ExpectedHost func(address string) (identity.Host, bool)
}

// Endpoint holds this host's connections to other hosts, and the handlers of the streams and
// datagrams that arrive on them.
type Endpoint struct {
	config    Config
	transport *quic.Transport
	listener  *quic.Listener
	traffic   meter
	ctx       context.Context
	cancel    context.CancelFunc
	tasks     sync.WaitGroup // goroutines that Close waits for
	done      chan struct{}

	mu               sync.Mutex
	closing          bool
	handlers         map[string]Handler
	datagramHandlers map[string]DatagramHandler
	pool             map[netip.AddrPort]*poolEntry

	statsMu         sync.Mutex
	openConnections map[*connection]struct{}
	closedStats     PacketStats // of the connections that have been closed
}

// Listen starts an endpoint. It returns an *AddressError if the endpoint can't listen.
func Listen(config Config) (*Endpoint, error) {
	if config.Now == nil {
		config.Now = time.Now
	}
	socket, err := openSocket(config)
	if err != nil {
		return nil, err
	}
	e := &Endpoint{
		config:           config,
		transport:        &quic.Transport{Conn: socket, StatelessResetKey: statelessResetKey(config.Identity.Current())},
		done:             make(chan struct{}),
		handlers:         make(map[string]Handler),
		datagramHandlers: make(map[string]DatagramHandler),
		pool:             make(map[netip.AddrPort]*poolEntry),
		openConnections:  make(map[*connection]struct{}),
	}
	e.listener, err = e.transport.Listen(config.Identity.ServerTLS(protocol), quicConfig())
	if err != nil {
		_ = socket.Close()
		return nil, &AddressError{Address: config.Address, Err: err}
	}
	e.ctx, e.cancel = context.WithCancel(context.Background())
	e.tasks.Go(e.acceptConnections)
	return e, nil
}

// openSocket returns the configured socket, or a new UDP socket on the address.
func openSocket(config Config) (net.PacketConn, error) {
	if config.Socket != nil {
		return config.Socket, nil
	}
	address, err := netip.ParseAddrPort(config.Address)
	if err != nil {
		return nil, &AddressError{Address: config.Address, Err: err}
	}
	socket, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, &AddressError{Address: config.Address, Err: err}
	}
	return socket, nil
}

// quicConfig returns the settings of all connections.
func quicConfig() *quic.Config {
	return &quic.Config{
		HandshakeIdleTimeout:           handshakeTimeout,
		MaxIdleTimeout:                 idleTimeout,
		MaxIncomingStreams:             MaxStreams,
		MaxIncomingUniStreams:          -1,
		InitialStreamReceiveWindow:     streamWindow,
		InitialConnectionReceiveWindow: connectionWindow,
		EnableDatagrams:                true,
	}
}

// statelessResetKey derives the key of QUIC's stateless resets from the private key of the
// certificate. It is the same after a restart with the same certificate, so that a restarted
// host can tell its peers at once that their connections have ended.
func statelessResetKey(credentials identity.Credentials) *quic.StatelessResetKey {
	var key quic.StatelessResetKey
	digest := sha256.New()
	digest.Write([]byte("stateless reset"))
	if signer, ok := credentials.Certificate.PrivateKey.(interface{ Bytes() ([]byte, error) }); ok {
		if secret, err := signer.Bytes(); err == nil {
			digest.Write(secret)
		}
	}
	copy(key[:], digest.Sum(nil))
	return &key
}

// Address returns the IP:port on which the endpoint listens.
func (e *Endpoint) Address() string { return e.listener.Addr().String() }

// Host returns the host of the endpoint's certificate.
func (e *Endpoint) Host() identity.Host { return e.config.Identity.Host() }

// Handle sets the handler of a kind of stream.
func (e *Endpoint) Handle(kind string, handler func(ctx context.Context, from identity.Host, stream *Stream) error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.handlers[kind] = handler
}

// HandleDatagrams sets the handler of a kind of datagram.
func (e *Endpoint) HandleDatagrams(kind string, handler DatagramHandler) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.datagramHandlers[kind] = handler
}

// Traffic returns the traffic since the start, by kind of stream and datagram.
func (e *Endpoint) Traffic() map[string]Traffic { return e.traffic.snapshot() }

// Done returns a channel that is closed when the endpoint is closed and every handler has
// returned.
func (e *Endpoint) Done() <-chan struct{} { return e.done }

// Close closes all connections, cancels the contexts of the handlers, and waits until the
// handlers have returned.
func (e *Endpoint) Close() error {
	entries, first := e.beginClose()
	if !first {
		<-e.done
		return nil
	}
	for _, p := range entries {
		p.drop("closing")
	}
	_ = e.listener.Close()
	err := e.transport.Close()
	e.tasks.Wait()
	_ = e.transport.Conn.Close()
	close(e.done)
	return err
}

// beginClose prevents new tasks, cancels the endpoint's context, and empties the pool. It
// returns the entries of the pool, and false if the endpoint was already being closed.
func (e *Endpoint) beginClose() (map[netip.AddrPort]*poolEntry, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.closing {
		return nil, false
	}
	e.closing = true
	e.cancel()
	entries := e.pool
	e.pool = make(map[netip.AddrPort]*poolEntry)
	return entries, true
}

// spawn starts a goroutine that Close waits for. It reports false, without starting one,
// after Close.
func (e *Endpoint) spawn(task func()) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.closing {
		return false
	}
	e.tasks.Go(task)
	return true
}

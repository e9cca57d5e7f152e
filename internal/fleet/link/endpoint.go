// Package link carries messages between hosts over QUIC with mutual TLS 1.3.
//
// An endpoint has one UDP socket, on which it accepts and dials. It keeps one
// connection to each peer and uses it both ways. Streams carry calls and
// forwarded requests; notes are single unreliable packets for probes.
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

// protocol is the name that the handshake agrees on.
const protocol = "hyssopwall/1"

// Bounds and times of a connection.
const (
	// MaxStreams is how many streams a peer may have open on one connection.
	// A further one waits.
	MaxStreams = 1024

	handshakeTimeout = 3 * time.Second
	idleTimeout      = 60 * time.Second
	streamWindow     = 256 << 10 // bytes
	connectionWindow = 1 << 20   // bytes
)

// Handler serves one stream. from is proven by the certificate of the peer.
// The stream ends when the handler returns; its error crosses the link.
type Handler func(ctx context.Context, from identity.Host, stream *Stream) error

// DatagramHandler takes one note. It must not block.
type DatagramHandler func(from identity.Host, address string, data []byte)

// Config is what an endpoint is started with.
type Config struct {
	// Address is the IP:port to listen on; port 0 takes a free one.
	Address string
	// Socket, when set, is used instead of a UDP socket on Address.
	Socket net.PacketConn
	// Identity proves this host and checks peers.
	Identity *identity.Source
	Log      event.Log
	// Now is the clock; nil means time.Now.
	Now func() time.Time
	// ExpectedHost, when set, returns the host that is known to have the address.
	// A peer that proves to be another host is turned away.
	ExpectedHost func(address string) (identity.Host, bool)
}

// Endpoint is the end of all links of this host.
type Endpoint struct {
	config    Config
	transport *quic.Transport
	listener  *quic.Listener
	traffic   meter
	ctx       context.Context
	cancel    context.CancelFunc
	tasks     sync.WaitGroup
	done      chan struct{}

	mu       sync.Mutex
	shutting bool
	handlers map[string]Handler
	notes    map[string]DatagramHandler
	peers    map[netip.AddrPort]*peer

	wireMu sync.Mutex
	open   map[*connection]struct{}
	ended  PacketStats // of the connections that have ended
}

// Listen starts an endpoint.
func Listen(config Config) (*Endpoint, error) {
	if config.Now == nil {
		config.Now = time.Now
	}
	socket, err := open(config)
	if err != nil {
		return nil, err
	}
	e := &Endpoint{
		config:    config,
		transport: &quic.Transport{Conn: socket, StatelessResetKey: resetKey(config.Identity.Current())},
		done:      make(chan struct{}),
		handlers:  make(map[string]Handler),
		notes:     make(map[string]DatagramHandler),
		peers:     make(map[netip.AddrPort]*peer),
		open:      make(map[*connection]struct{}),
	}
	e.listener, err = e.transport.Listen(config.Identity.ServerTLS(protocol), settings())
	if err != nil {
		_ = socket.Close()
		return nil, &AddressError{Address: config.Address, Err: err}
	}
	e.ctx, e.cancel = context.WithCancel(context.Background())
	e.tasks.Go(e.accept)
	return e, nil
}

// open returns the socket of an endpoint.
func open(config Config) (net.PacketConn, error) {
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

func settings() *quic.Config {
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

// resetKey is the same after a restart with the same certificate, so that a
// restarted host can tell its peers at once that their connections are gone.
func resetKey(material identity.Credentials) *quic.StatelessResetKey {
	var key quic.StatelessResetKey
	digest := sha256.New()
	digest.Write([]byte("stateless reset"))
	if signer, ok := material.Certificate.PrivateKey.(interface{ Bytes() ([]byte, error) }); ok {
		if secret, err := signer.Bytes(); err == nil {
			digest.Write(secret)
		}
	}
	copy(key[:], digest.Sum(nil))
	return &key
}

// Address returns the IP:port on which the endpoint listens.
func (e *Endpoint) Address() string { return e.listener.Addr().String() }

// Host returns the host that the endpoint proves to be.
func (e *Endpoint) Host() identity.Host { return e.config.Identity.Host() }

// Handle sets the handler of a kind of stream.
func (e *Endpoint) Handle(kind string, handler func(ctx context.Context, from identity.Host, stream *Stream) error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.handlers[kind] = handler
}

// HandleDatagrams sets the handler of a kind of note.
func (e *Endpoint) HandleDatagrams(kind string, handler DatagramHandler) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.notes[kind] = handler
}

// Traffic returns the counts by kind since the start.
func (e *Endpoint) Traffic() map[string]Traffic { return e.traffic.snapshot() }

// Done is closed when the endpoint has ended and no handler runs any more.
func (e *Endpoint) Done() <-chan struct{} { return e.done }

// Close ends all connections and waits for the handlers to return. Their
// contexts are canceled.
func (e *Endpoint) Close() error {
	peers, first := e.shut()
	if !first {
		<-e.done
		return nil
	}
	for _, p := range peers {
		p.drop("closing")
	}
	_ = e.listener.Close()
	err := e.transport.Close()
	e.tasks.Wait()
	_ = e.transport.Conn.Close()
	close(e.done)
	return err
}

// shut lets no new task begin and empties the pool. It reports false when the
// endpoint was already shut.
func (e *Endpoint) shut() (map[netip.AddrPort]*peer, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.shutting {
		return nil, false
	}
	e.shutting = true
	e.cancel()
	peers := e.peers
	e.peers = make(map[netip.AddrPort]*peer)
	return peers, true
}

// spawn runs a task that Close waits for. It reports false after Close.
func (e *Endpoint) spawn(task func()) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.shutting {
		return false
	}
	e.tasks.Go(task)
	return true
}

package rest

import (
	"bytes"
	"cmp"
	"context"
	"crypto/tls"
	"errors"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"
)

// Defaults of clients.
const (
	dialTimeout       = 2 * time.Second
	idleTimeout       = 20 * time.Second // should be shorter than servers keep idle connections
	idlePerHost       = 64               // idle connections to one server
	maxHeaderBytes    = 64 << 10         // of a response
	keepAliveInterval = 15 * time.Second // between TCP keep-alive probes
)

// shared is the client of callers without one of their own, created at first use.
var shared = sync.OnceValue(NewClient)

// ClientConfig holds the settings of an HTTP client. Zero fields take the defaults.
type ClientConfig struct {
	DialTimeout time.Duration
	IdleTimeout time.Duration
	// UnresponsiveTimeout is the time after which the kernel closes a connection whose
	// other end doesn't respond. It is only for calls without an effect, such as watches:
	// only a reset by this end, when the call's deadline passes, ensures that the request
	// doesn't arrive later. Zero keeps Go's default number of keep-alive probes, one every
	// keepAliveInterval.
	UnresponsiveTimeout time.Duration
	// SingleUse opens a new connection for each call.
	SingleUse bool
}

// keepAliveProbes is the number of unanswered TCP keep-alive probes that close a
// connection.
const keepAliveProbes = 2

// NewClient returns an HTTP client with a connection pool of its own and the default
// timeouts.
func NewClient() *http.Client { return ClientConfig{}.Client() }

// Client returns an HTTP client with a connection pool of its own. It uses no proxy and
// asks for no compression, so that bytes arrive as they were sent.
func (c ClientConfig) Client() *http.Client {
	dialer := &net.Dialer{Timeout: cmp.Or(c.DialTimeout, dialTimeout), KeepAlive: keepAliveInterval}
	if c.UnresponsiveTimeout > 0 {
		probe := c.UnresponsiveTimeout / (keepAliveProbes + 1)
		dialer.KeepAliveConfig = net.KeepAliveConfig{Enable: true, Idle: probe, Interval: probe, Count: keepAliveProbes}
	}
	transport := &http.Transport{
		DialContext:            countingDial(dialer),
		DisableCompression:     true,
		IdleConnTimeout:        cmp.Or(c.IdleTimeout, idleTimeout),
		DisableKeepAlives:      c.SingleUse,
		MaxIdleConnsPerHost:    idlePerHost,
		MaxResponseHeaderBytes: maxHeaderBytes,
	}
	transport.DialTLSContext = countingDialTLS(dialer, transport)
	return &http.Client{Transport: transport, CheckRedirect: noRedirect}
}

// dialFunc is the type of the dial functions of an http.Transport.
type dialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// countingDial returns a dial function for connections that count their writes and check the
// heads of responses.
func countingDial(dialer *net.Dialer) dialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		connection, err := dialDiscarding(ctx, dialer, network, address)
		if err != nil {
			return nil, err
		}
		return &countedConn{Conn: connection}, nil
	}
}

// countingDialTLS is countingDial for TLS, with the transport's TLSClientConfig. The
// countedConn is above TLS, where it sees the bytes of requests and responses.
func countingDialTLS(dialer *net.Dialer, transport *http.Transport) dialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		host, _, err := net.SplitHostPort(address)
		if err != nil {
			return nil, err
		}
		connection, err := dialDiscarding(ctx, dialer, network, address)
		if err != nil {
			return nil, err
		}
		config := cmp.Or(transport.TLSClientConfig.Clone(), &tls.Config{MinVersion: tls.VersionTLS12})
		config.ServerName = cmp.Or(config.ServerName, host)
		secure := tls.Client(connection, config)
		if err := secure.HandshakeContext(ctx); err != nil {
			return nil, errors.Join(err, connection.Close())
		}
		return &countedConn{Conn: secure}, nil
	}
}

// dialDiscarding opens a connection. Closing it discards data that was not delivered yet
// (SO_LINGER 0): a request that was canceled must not reach its server later, when a partition
// heals.
func dialDiscarding(ctx context.Context, dialer *net.Dialer, network, address string) (net.Conn, error) {
	connection, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	if tcp, ok := connection.(*net.TCPConn); ok {
		if err := tcp.SetLinger(0); err != nil {
			return nil, errors.Join(err, tcp.Close())
		}
	}
	return connection, nil
}

// withoutRedirects returns a copy of the client, or the shared client if nil, that follows
// no redirect, since a redirect would send the request a second time, and has no cookies.
func withoutRedirects(client *http.Client) *http.Client {
	if client == nil {
		return shared()
	}
	copied := *client
	copied.CheckRedirect = noRedirect
	copied.Jar = nil
	return &copied
}

func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// opaqueBody hides the type of its reader from net/http. When net/http can copy the body
// and the method or an Idempotency-Key header marks the request as repeatable, it sends
// the request again on a new connection; a body that can't be copied prevents that.
type opaqueBody struct {
	io.Reader
}

func (opaqueBody) Close() error { return nil }

// newBody returns the body of a request. An empty one is not nil or http.NoBody, with which
// net/http would send a repeatable request again.
func newBody(data []byte) io.ReadCloser {
	if len(data) == 0 {
		return opaqueBody{emptyReader{}}
	}
	return opaqueBody{bytes.NewReader(data)}
}

// newBodyOfParts is newBody for a body in parts. Reading changes only a copy of the list, so
// that the same parts can be sent by several calls at once.
func newBodyOfParts(parts net.Buffers) io.ReadCloser {
	if partsSize(parts) == 0 {
		return newBody(nil)
	}
	unread := slices.Clone(parts)
	return opaqueBody{&unread}
}

// partsSize returns the number of bytes of a body in parts.
func partsSize(parts net.Buffers) int {
	size := 0
	for _, part := range parts {
		size += len(part)
	}
	return size
}

// emptyReader is the reader of an empty body.
type emptyReader struct{}

func (emptyReader) Read([]byte) (int, error) { return 0, io.EOF }

package rest

import (
	"bytes"
	"cmp"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// Settings of the connections that callers share.
const (
	dialTimeout     = 2 * time.Second
	idleTimeout     = 20 * time.Second // shorter than servers keep idle connections
	idlePerHost     = 64
	maxHeaderBytes  = 64 << 10
	keepAlivePeriod = 15 * time.Second
)

// shared is made at first use, so that the zero Caller works.
var shared = sync.OnceValue(NewClient)

// ClientConfig are the times of a client's connections. Silence is the time
// after which the kernel gives up a connection whose other end answers nothing.
// It is for calls without an effect, such as watches: only a reset of our own,
// at the end of a call's time, makes sure that the call does not arrive later.
// Single means a new connection for each call. Zero fields take the defaults.
type ClientConfig struct {
	DialTimeout         time.Duration
	IdleTimeout         time.Duration
	UnresponsiveTimeout time.Duration
	SingleUse           bool
}

// silenceProbes is the number of unanswered probes that end a connection.
const silenceProbes = 2

// NewClient returns an HTTP client with connections of its own and the default
// times.
func NewClient() *http.Client { return ClientConfig{}.Client() }

// Client returns an HTTP client with connections of its own. It uses no proxy
// and asks for no compression, so that bytes arrive as they were sent.
func (c ClientConfig) Client() *http.Client {
	dialer := &net.Dialer{Timeout: cmp.Or(c.DialTimeout, dialTimeout), KeepAlive: keepAlivePeriod}
	if c.UnresponsiveTimeout > 0 {
		probe := c.UnresponsiveTimeout / (silenceProbes + 1)
		dialer.KeepAliveConfig = net.KeepAliveConfig{Enable: true, Idle: probe, Interval: probe, Count: silenceProbes}
	}
	transport := &http.Transport{
		DialContext:            counted(dialer),
		DisableCompression:     true,
		IdleConnTimeout:        cmp.Or(c.IdleTimeout, idleTimeout),
		DisableKeepAlives:      c.SingleUse,
		MaxIdleConnsPerHost:    idlePerHost,
		MaxResponseHeaderBytes: maxHeaderBytes,
	}
	return &http.Client{Transport: transport, CheckRedirect: stay}
}

// counted dials connections whose writes are counted. Closing one drops what
// has not been delivered yet: a request that was given up must not reach its
// server later, when a partition heals.
func counted(dialer *net.Dialer) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		connection, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		if tcp, ok := connection.(*net.TCPConn); ok {
			if err := tcp.SetLinger(0); err != nil {
				return nil, errors.Join(err, tcp.Close())
			}
		}
		return &countedConn{Conn: connection}, nil
	}
}

// single returns the client to use, changed so that it follows no redirect: a
// redirect would send the request a second time.
func single(client *http.Client) *http.Client {
	if client == nil {
		return shared()
	}
	once := *client
	once.CheckRedirect = stay
	once.Jar = nil
	return &once
}

func stay(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// body hides its reader's type. net/http sends a request again on a fresh
// connection when it can copy the body and the method or an Idempotency-Key
// header makes it look repeatable; a body that can't be copied prevents that.
type body struct {
	io.Reader
}

func (body) Close() error { return nil }

func newBody(data []byte) io.ReadCloser {
	if len(data) == 0 {
		return body{emptyReader{}}
	}
	return body{bytes.NewReader(data)}
}

type emptyReader struct{}

func (emptyReader) Read([]byte) (int, error) { return 0, io.EOF }

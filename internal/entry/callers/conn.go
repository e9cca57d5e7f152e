// Package callers serves HTTP to clients that may keep to no limit. It bounds their connections
// and the memory of their requests and answers; package intake decides who is refused.
package callers

import (
	"cmp"
	"context"
	"io"
	"net"
	"net/http"
	"syscall"
	"time"

	"github.com/hyssopwall/hyssopwall/internal/entry/intake"
)

// Limits of callers' connections.
const (
	// receiveBuffer and sendBuffer are the sizes of the kernel's buffers for a connection of a
	// caller. Linux grows them to megabytes otherwise. What has arrived and was not read takes
	// memory of this host. At 2 ms round trip they allow 15 MB/s and more.
	receiveBuffer = 32 << 10
	sendBuffer    = 128 << 10
	// answerPiece is written at a time, within answerTimeout, so that a caller that reads
	// nothing holds the rest of its answer no longer than that.
	answerPiece   = 64 << 10
	answerTimeout = 20 * time.Second
	// maxServerTimeout bounds the head and idle times that a configuration can set.
	maxServerTimeout = 10 * time.Minute
)

// Listener is the listener for callers, other hosts or probes. It bounds the number of
// connections.
type Listener struct {
	net.Listener
	Server      *Server
	Connections *intake.Connections
}

// Accept implements net.Listener.
func (l Listener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	accepted := &callerConn{Conn: conn, server: l.Server}
	accepted.open, accepted.end = context.WithCancel(context.Background())
	added, closed := l.Connections.Add(time.Now(), func() {
		accepted.end()
		_ = conn.Close()
	})
	accepted.entry = added
	if closed != nil {
		l.Server.refused(intake.ReasonConnections)
		closed.Close()
	}
	return accepted, nil
}

// callerConn is a connection of a Listener.
type callerConn struct {
	net.Conn
	server *Server
	entry  *intake.Connection
	open   context.Context // ends with the connection; net/http notices the end only when it reads
	end    context.CancelFunc
}

// headTooLarge is the answer to a head that exceeds the limit. The server does not know of the
// limit, which may change.
const headTooLarge = "HTTP/1.1 431 Request Header Fields Too Large\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"

// Read implements net.Conn. It ends the connection when a head is too large.
func (c *callerConn) Read(into []byte) (int, error) {
	n, err := c.Conn.Read(into)
	if n <= 0 {
		return n, err
	}
	within, evicted := c.entry.Receive(time.Now(), into[:n])
	c.server.evict(evicted)
	if !within {
		c.server.refused(intake.ReasonHeadSize)
		_, _ = c.Write([]byte(headTooLarge))
		_ = c.CloseWrite()
		_ = c.SetReadDeadline(time.Now().Add(lingerTime)) // see Refuse
		_, _ = io.CopyN(io.Discard, c.Conn, lingerBytes)
		return 0, io.EOF
	}
	return n, err
}

// Write implements net.Conn. It fails when the caller accepts a piece of the data too slowly,
// unless the host has no memory limit.
func (c *callerConn) Write(data []byte) (int, error) {
	if c.server.Memory <= 0 {
		return c.Conn.Write(data)
	}
	written := 0
	for {
		piece := data[written:min(len(data), written+answerPiece)]
		if err := c.SetWriteDeadline(time.Now().Add(answerTimeout)); err != nil {
			return written, err
		}
		n, err := c.Conn.Write(piece)
		written += n
		if err != nil || written == len(data) {
			return written, err
		}
	}
}

// Close implements net.Conn.
func (c *callerConn) Close() error {
	c.end()
	c.entry.Remove()
	return c.Conn.Close()
}

// CloseWrite shuts down the writing side: the server does so before it closes a connection
// whose caller may still be sending.
func (c *callerConn) CloseWrite() error {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		return tcp.CloseWrite()
	}
	return nil
}

// connKey is the key of the callerConn in the context of a request.
type connKey struct{}

// HTTP returns the HTTP server for callers. Its own timeouts are above those of Limits, which
// Expire enforces.
func (s *Server) HTTP(entry http.Handler) *http.Server {
	return &http.Server{
		Handler: s.bounded(entry), ReadHeaderTimeout: maxServerTimeout, IdleTimeout: maxServerTimeout,
		ConnContext: func(ctx context.Context, conn net.Conn) context.Context {
			if c, ok := conn.(*callerConn); ok {
				untilClosed, cancel := context.WithCancel(ctx)
				context.AfterFunc(c.open, cancel)
				ctx = untilClosed
			}
			return context.WithValue(ctx, connKey{}, conn)
		},
		ConnState: func(conn net.Conn, state http.ConnState) {
			if c, ok := conn.(*callerConn); ok && state == http.StateIdle {
				c.entry.End(time.Now())
			}
		},
	}
}

// Track is the http.Server.ConnState of addresses for other hosts and probes. It tells
// Connections of their requests, which are small, so that a connection is not closed while one
// is under way.
func Track(conn net.Conn, state http.ConnState) {
	c, ok := conn.(*callerConn)
	switch {
	case ok && state == http.StateActive:
		c.entry.Begin()
		c.entry.Arrive()
	case ok && state == http.StateIdle:
		c.entry.End(time.Now())
	}
}

// bounded returns a handler that tells Connections of each request, and lets few of those go
// on at a time that callers sent without waiting for the responses to earlier ones.
func (s *Server) bounded(entry http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		conn, ok := r.Context().Value(connKey{}).(*callerConn)
		if !ok {
			entry.ServeHTTP(w, r)
			return
		}
		pipelining := conn.entry.Begin()
		s.evict(conn.entry.Hold(freeBytes(r.ContentLength)))
		if conn.entry.TakesTooMuch() {
			s.Refuse(w, r, &intake.RefusedError{Reason: intake.ReasonHeads, RetryAfter: intake.RetryAfter})
			return
		}
		if r.ContentLength == 0 {
			conn.entry.Arrive()
		}
		if pipelining {
			if err := s.pipelined.Enter(r.Context(), intake.Caller{}); err != nil {
				s.Refuse(w, r, err)
				return
			}
			defer s.pipelined.Leave(intake.Caller{})
		}
		entry.ServeHTTP(w, r)
	})
}

// freeBytes returns how much of a body of the given length, negative if unknown, no budget
// charges.
func freeBytes(length int64) int64 {
	if length < 0 {
		return intake.FreeBytes
	}
	return min(length, intake.FreeBytes)
}

// evict closes connections whose requests take too much memory.
func (s *Server) evict(connections []*intake.Connection) {
	for _, conn := range connections {
		s.refused(intake.ReasonHeads)
		conn.Close()
	}
}

// ExpiryInterval is the interval at which Expire should be called.
const ExpiryInterval = 250 * time.Millisecond

// Expire closes the connections whose head or idle time is over.
func (s *Server) Expire() {
	for conn, reason := range s.Connections.Expired(time.Now()) {
		if reason == intake.ReasonHeadTime {
			s.refused(reason)
		}
		conn.Close()
		conn.Remove()
	}
}

// Listen opens the socket for callers. Its connections inherit the size of the buffers. Without a
// memory limit the kernel chooses it.
func (s *Server) Listen(address string) (net.Listener, error) {
	if s.Memory <= 0 {
		return net.Listen("tcp", address)
	}
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		var failed error
		err := raw.Control(func(fd uintptr) {
			failed = cmp.Or(syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBuffer),
				syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_SNDBUF, sendBuffer))
		})
		return cmp.Or(err, failed)
	}}
	return config.Listen(context.Background(), "tcp", address)
}

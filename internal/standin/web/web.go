// Package web is the HTTP server of the stand-ins. It can stop as abruptly as a crashed
// process, restart on the same address, and record all received bytes.
package web

import (
	"bytes"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"
)

// headerTimeout bounds the time that a client takes to send a request's header.
const headerTimeout = 10 * time.Second

// Server serves Handler, the only field that must be set. If Record is set before
// Start, the received bytes are kept.
type Server struct {
	Handler http.Handler
	Record  bool

	mu      sync.Mutex
	address string        // of the last Start
	server  *http.Server  // nil while stopped
	done    chan struct{} // closed when server has stopped serving
	bytes   bytes.Buffer  // received bytes, if Record is set
}

// Start listens on the address, IP:port. Port 0 picks a free port. It returns an error if
// the server is started already.
func (s *Server) Start(address string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.server != nil {
		return errors.New("already started")
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	s.address = listener.Addr().String()
	if s.Record {
		listener = &recordingListener{Listener: listener, server: s}
	}
	s.server = &http.Server{Handler: s.Handler, ReadHeaderTimeout: headerTimeout}
	s.done = make(chan struct{})
	go serve(s.server, listener, s.done)
	return nil
}

// serve runs the server until it is closed, then closes done.
func serve(server *http.Server, listener net.Listener, done chan<- struct{}) {
	defer close(done)
	_ = server.Serve(listener) // ends with ErrServerClosed or when the listener fails
}

// Restart listens on the address of the last Start, and returns errors as Start does.
// It must not be called before the first Start: it would then pick any port.
func (s *Server) Restart() error { return s.Start(s.Address()) }

// Stop closes the listener and all connections immediately, as a crash does. It doesn't
// wait for running handlers. It is safe to call from a handler and without a Start.
func (s *Server) Stop() {
	s.mu.Lock()
	server, done := s.server, s.done
	s.server = nil
	s.mu.Unlock()
	if server == nil {
		return
	}
	_ = server.Close()
	<-done
}

// Listening reports whether the server is started.
func (s *Server) Listening() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.server != nil
}

// Address returns the IP:port that the last Start listened on.
func (s *Server) Address() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.address
}

// URL returns the base URL without a trailing slash.
func (s *Server) URL() string { return "http://" + s.Address() }

// Received returns a copy of the bytes received so far, if Record is set. The bytes of
// different connections may be interleaved at any point.
func (s *Server) Received() []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return bytes.Clone(s.bytes.Bytes())
}

// recordingListener accepts connections whose received bytes are recorded.
type recordingListener struct {
	net.Listener
	server *Server
}

func (r *recordingListener) Accept() (net.Conn, error) {
	connection, err := r.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &recordingConn{Conn: connection, server: r.server}, nil
}

// recordingConn appends the bytes it reads to the record of its server.
type recordingConn struct {
	net.Conn
	server *Server
}

func (r *recordingConn) Read(data []byte) (int, error) {
	count, err := r.Conn.Read(data)
	r.server.mu.Lock()
	defer r.server.mu.Unlock()
	r.server.bytes.Write(data[:count])
	return count, err
}

// Cut sends the first half of the data and closes the connection. It panics as Drop
// does.
func Cut(w http.ResponseWriter, data []byte) {
	_, _ = w.Write(data[:len(data)/2])
	_ = http.NewResponseController(w).Flush()
	Drop()
}

// Drop closes the connection of the request being handled without a response. It panics
// with http.ErrAbortHandler, so it must be called from the handler.
func Drop() {
	panic(http.ErrAbortHandler)
}

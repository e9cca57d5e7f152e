// Package web runs the HTTP side of a stand-in: it listens, can stop as a
// crashed process does, listens again on the same address, and can record each
// byte that it receives.
package web

import (
	"bytes"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"
)

// headerTimeout bounds the time in which a caller sends a request's header.
const headerTimeout = 10 * time.Second

// Server serves a handler. The zero value with a Handler works. Record, when
// set before Start, keeps the received bytes.
type Server struct {
	Handler http.Handler
	Record  bool

	mu      sync.Mutex
	address string
	server  *http.Server
	done    chan struct{}
	bytes   bytes.Buffer
}

// Start listens on the address, IP:port, where port 0 picks a free one.
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
		listener = &recorder{Listener: listener, server: s}
	}
	s.server = &http.Server{Handler: s.Handler, ReadHeaderTimeout: headerTimeout}
	s.done = make(chan struct{})
	go serve(s.server, listener, s.done)
	return nil
}

func serve(server *http.Server, listener net.Listener, done chan<- struct{}) {
	defer close(done)
	_ = server.Serve(listener) // ends with ErrServerClosed or when the listener fails
}

// Restart listens on the address of the last Start.
func (s *Server) Restart() error { return s.Start(s.Address()) }

// Stop ends the listener and every connection at once, as a crash does. It is
// safe to call from a handler and without a Start.
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

// Listening says whether the server listens.
func (s *Server) Listening() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.server != nil
}

// Address returns IP:port of the last Start.
func (s *Server) Address() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.address
}

// URL returns the base URL without a trailing slash.
func (s *Server) URL() string { return "http://" + s.Address() }

// Received returns a copy of the bytes received so far, when they are recorded.
// The bytes of different connections may be mixed at any place.
func (s *Server) Received() []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return bytes.Clone(s.bytes.Bytes())
}

type recorder struct {
	net.Listener
	server *Server
}

func (r *recorder) Accept() (net.Conn, error) {
	connection, err := r.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &recorded{Conn: connection, server: r.server}, nil
}

type recorded struct {
	net.Conn
	server *Server
}

func (r *recorded) Read(data []byte) (int, error) {
	count, err := r.Conn.Read(data)
	r.server.mu.Lock()
	defer r.server.mu.Unlock()
	r.server.bytes.Write(data[:count])
	return count, err
}

// Cut sends half of the data and ends the connection.
func Cut(w http.ResponseWriter, data []byte) {
	_, _ = w.Write(data[:len(data)/2])
	_ = http.NewResponseController(w).Flush()
	Drop()
}

// Drop ends the connection of the request being handled without an answer.
func Drop() {
	panic(http.ErrAbortHandler)
}

package network

import (
	"net/http"
	"sync"
)

// StallingHandler serves a handler as behind something that forgets open connections:
// after Forget, requests on connections used before get no answer until Close;
// new connections work. Next must be set. It is safe for concurrent use.
type StallingHandler struct {
	Next http.Handler

	mu    sync.Mutex
	known map[string]bool // connections, true once forgotten
	over  chan struct{}
}

// StallConnections silences all connections used so far.
func (f *StallingHandler) StallConnections() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for connection := range f.known {
		f.known[connection] = true
	}
}

// Close lets requests that wait end.
func (f *StallingHandler) Close() { close(f.end()) }

func (f *StallingHandler) end() chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.over == nil {
		f.over = make(chan struct{})
	}
	return f.over
}

// ServeHTTP implements http.Handler.
func (f *StallingHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	over := f.end()
	f.mu.Lock()
	if f.known == nil {
		f.known = map[string]bool{}
	}
	silent := f.known[r.RemoteAddr]
	f.known[r.RemoteAddr] = silent
	f.mu.Unlock()
	if silent {
		<-over
		return
	}
	f.Next.ServeHTTP(w, r)
}

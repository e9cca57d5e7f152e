package network

import (
	"net/http"
	"sync"
)

// Forgetful serves a handler as behind something that forgets open connections:
// after Forget, requests on connections used before get no answer until Close;
// new connections work. Next must be set. It is safe for concurrent use.
type Forgetful struct {
	Next http.Handler

	mu    sync.Mutex
	known map[string]bool // connections, true once forgotten
	over  chan struct{}
}

// Forget silences all connections used so far.
func (f *Forgetful) Forget() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for connection := range f.known {
		f.known[connection] = true
	}
}

// Close lets requests that wait end.
func (f *Forgetful) Close() { close(f.end()) }

func (f *Forgetful) end() chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.over == nil {
		f.over = make(chan struct{})
	}
	return f.over
}

// ServeHTTP implements http.Handler.
func (f *Forgetful) ServeHTTP(w http.ResponseWriter, r *http.Request) {
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

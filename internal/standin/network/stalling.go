package network

import (
	"net/http"
	"sync"
)

// StallingHandler simulates a middlebox that loses its table of open connections. After
// StallConnections, requests on connections used before get no response until Close, even
// if their client disconnects. New connections work. Next must be set. It is safe for
// concurrent use.
type StallingHandler struct {
	Next http.Handler

	mu      sync.Mutex
	stalled map[string]bool // by remote address, false for connections that work
	done    chan struct{}   // closed by Close
}

// StallConnections stops answering requests on all connections used so far.
func (h *StallingHandler) StallConnections() {
	h.mu.Lock()
	defer h.mu.Unlock()
	for connection := range h.stalled {
		h.stalled[connection] = true
	}
}

// Close ends the stalled requests with an empty 200 response. It must be called only once.
func (h *StallingHandler) Close() { close(h.doneChannel()) }

// doneChannel returns the channel that Close closes, and creates it on first use.
func (h *StallingHandler) doneChannel() chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.done == nil {
		h.done = make(chan struct{})
	}
	return h.done
}

// ServeHTTP implements http.Handler.
func (h *StallingHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	done := h.doneChannel()
	h.mu.Lock()
	if h.stalled == nil {
		h.stalled = map[string]bool{}
	}
	stalled := h.stalled[r.RemoteAddr]
	h.stalled[r.RemoteAddr] = stalled
	h.mu.Unlock()
	if stalled {
		<-done
		return
	}
	h.Next.ServeHTTP(w, r)
}

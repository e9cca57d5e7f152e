package peer

import (
	"sync"
	"time"

	"github.com/hyssopwall/hyssopwall/internal/site/event"
)

// The least time between two tries of the store, which bills them, also when it
// refuses. Only a host that makes calls tries.
const (
	// probeEvery is that of a host that others tell: with a try that was under way as
	// the store came back, it stays below the 3 s after which a host has to know the
	// configuration again.
	probeEvery = 1500 * time.Millisecond
	// watcherProbeEvery is that of a host that watches the store for itself or for
	// others, of which a site has few: while it does not know that the store is back,
	// all of them refuse keys.
	watcherProbeEvery = 500 * time.Millisecond
)

// StoreHealth says whether a host reaches the store by itself. The zero value says
// that it does. Log receives each change of the way and each peer that was no
// help. WatchesStore says whether the host watches the store itself; nil means no. It is
// safe for concurrent use.
type StoreHealth struct {
	Log          event.Log
	WatchesStore func() bool

	mu    sync.Mutex
	down  bool
	since time.Time     // of the first call without an answer
	tried time.Time     // the latest call without an answer
	found time.Time     // when the store was in reach again
	try   chan struct{} // closed at the end of the try under way, nil without one
	back  chan struct{} // closed when the store answers a try after a loss
	doubt chan struct{} // closed when a try after a loss fails
}

// Down says whether the store is out of direct reach.
func (h *StoreHealth) Down() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.down
}

// Restored returns a channel that is closed when the store is in direct reach again
// after a loss.
func (h *StoreHealth) Restored() <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	return channel(&h.back)
}

// turns returns channels that are closed when the store answers a try after a
// loss, and when it does not.
func (h *StoreHealth) turns() (back, doubt <-chan struct{}) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return channel(&h.back), channel(&h.doubt)
}

func channel(c *chan struct{}) <-chan struct{} {
	if *c == nil {
		*c = make(chan struct{})
	}
	return *c
}

func signal(c *chan struct{}) {
	if *c != nil {
		close(*c)
		*c = nil
	}
}

// lost notes a direct call that was made at an instant and failed. It returns
// whether the store is to be tried at once. A call made before the store was
// found again says nothing new, and one that fails soon after goes on through
// peers, so that a way which fails by turns costs few tries and few lines.
func (h *StoreHealth) lost(now, made time.Time, call relayed, err error) (try bool) {
	h.mu.Lock()
	if made.Before(h.found) {
		h.mu.Unlock()
		return false
	}
	first, again := !h.down, now.Sub(h.found) < probeEvery
	if first {
		h.since = now
	}
	h.down, h.tried = true, now
	h.mu.Unlock()
	if first {
		h.Log.Emit(event.StoreDetoured, "call", string(call.Op), "entry", call.entry(), "ms", now.Sub(made).Milliseconds(), "err", err.Error())
	}
	return !again
}

// due says whether the store is to be tried again now.
func (h *StoreHealth) due(now time.Time) bool {
	every := probeEvery
	if h.WatchesStore != nil && h.WatchesStore() {
		every = watcherProbeEvery
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.down && h.try == nil && now.Sub(h.tried) >= every
}

// begin returns a channel that is closed at the end of the try under way, and
// whether the caller has to make it.
func (h *StoreHealth) begin() (ended <-chan struct{}, own bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	own = h.try == nil
	return channel(&h.try), own
}

// settle takes in how a try ended.
func (h *StoreHealth) settle(now time.Time, reached bool) {
	h.mu.Lock()
	turned, away := h.down && reached, now.Sub(h.since)
	if h.down && !reached {
		signal(&h.doubt)
	}
	h.down, h.tried = !reached, now
	if turned {
		h.found = now
		signal(&h.back)
	}
	signal(&h.try)
	h.mu.Unlock()
	if turned {
		h.Log.Emit(event.StoreDirect, "ms", away.Milliseconds())
	}
}

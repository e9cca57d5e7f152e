package peer

import (
	"sync"
	"time"

	"github.com/hyssopwall/hyssopwall/internal/site/event"
)

// The shortest time between two probes of the store, which bills each call, refused ones
// included. A host probes only when it has a call to make.
const (
	// probeEvery is for a host that follows others. A host has to have the current
	// configuration 3 s after the store's return; this interval leaves time for that,
	// even with a probe that was under way at the return.
	probeEvery = 1500 * time.Millisecond
	// watcherProbeEvery is for a host that watches the store for itself or for others.
	// A site has few of them, and in a long outage every host refuses its callers' keys
	// until they find that the store is back.
	watcherProbeEvery = 500 * time.Millisecond
)

// StoreHealth tracks whether a host reaches the store directly. The zero value assumes
// that it does. Log receives each change between direct and relayed calls, and each relayed
// call that failed at a peer after silentPeerAfter or later. WatchesStore reports whether the
// host watches the store itself; nil means that it does not. It is safe for concurrent use.
type StoreHealth struct {
	Log          event.Log
	WatchesStore func() bool

	mu          sync.Mutex
	down        bool
	downSince   time.Time     // when the first call without an answer failed
	lastAttempt time.Time     // when the latest failed call or the latest probe ended
	restoredAt  time.Time     // when a probe last found the store reachable again
	probing     chan struct{} // closed at the end of the probe under way, nil without one
	restored    chan struct{} // closed when a probe after an outage succeeds
	probeFailed chan struct{} // closed when a probe during an outage fails
}

// Down reports whether the store can't be reached directly.
func (h *StoreHealth) Down() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.down
}

// DownTime returns how long the store has not been directly reachable at time now, zero while
// it is.
func (h *StoreHealth) DownTime(now time.Time) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.down {
		return 0
	}
	return now.Sub(h.downSince)
}

// Restored returns a channel that is closed when the store is directly reachable again
// after an outage.
func (h *StoreHealth) Restored() <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	return openChannel(&h.restored)
}

// probeResults returns channels that are closed when a probe during an outage succeeds,
// and when one fails.
func (h *StoreHealth) probeResults() (restored, failed <-chan struct{}) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return openChannel(&h.restored), openChannel(&h.probeFailed)
}

// openChannel returns the channel, made if it is nil.
func openChannel(c *chan struct{}) <-chan struct{} {
	if *c == nil {
		*c = make(chan struct{})
	}
	return *c
}

// closeChannel closes the channel, if there is one, and sets it to nil.
func closeChannel(c *chan struct{}) {
	if *c != nil {
		close(*c)
		*c = nil
	}
}

// recordFailure records that a direct call failed at time now, which started at time made.
// It reports whether the store should be probed at once, which holds for each failure with
// two exceptions. A call that started before the store was last restored is ignored. One
// that fails within probeEvery after that is relayed without a probe, so that a connection
// that fails intermittently causes few probes and log lines.
func (h *StoreHealth) recordFailure(now, made time.Time, call relayCall, err error) (probe bool) {
	h.mu.Lock()
	if made.Before(h.restoredAt) {
		h.mu.Unlock()
		return false
	}
	first, recent := !h.down, now.Sub(h.restoredAt) < probeEvery
	if first {
		h.downSince = now
	}
	h.down, h.lastAttempt = true, now
	h.mu.Unlock()
	if first {
		h.Log.Emit(event.StoreRelayed, "call", string(call.Op), "entry", call.entry(), "ms", now.Sub(made).Milliseconds(), "err", err.Error())
	}
	return !recent
}

// probeDue reports whether the store should be probed now.
func (h *StoreHealth) probeDue(now time.Time) bool {
	every := probeEvery
	if h.WatchesStore != nil && h.WatchesStore() {
		every = watcherProbeEvery
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.down && h.probing == nil && now.Sub(h.lastAttempt) >= every
}

// ExpectReachable makes the next probe due at once, since another host reaches the store.
func (h *StoreHealth) ExpectReachable() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.down && h.probing == nil {
		h.lastAttempt = time.Time{}
	}
}

// beginProbe returns a channel that is closed at the end of the probe under way, and
// whether the caller has to make that probe.
func (h *StoreHealth) beginProbe() (ended <-chan struct{}, own bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	own = h.probing == nil
	return openChannel(&h.probing), own
}

// endProbe records whether a probe reached the store.
func (h *StoreHealth) endProbe(now time.Time, reached bool) {
	h.mu.Lock()
	restored, outage := h.down && reached, now.Sub(h.downSince)
	if h.down && !reached {
		closeChannel(&h.probeFailed)
	}
	h.down, h.lastAttempt = !reached, now
	if restored {
		h.restoredAt = now
		closeChannel(&h.restored)
	}
	closeChannel(&h.probing)
	h.mu.Unlock()
	if restored {
		h.Log.Emit(event.StoreDirect, "ms", outage.Milliseconds())
	}
}

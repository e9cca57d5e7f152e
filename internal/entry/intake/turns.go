package intake

import (
	"context"
	"slices"
	"sync"
	"time"
)

// Turns bounds the requests under way. When there are too many, requests wait, and the next
// one is that of the caller who has the fewest under way. The zero value has no limit. It is
// safe for concurrent use.
type Turns struct {
	mu      sync.Mutex
	max     int
	current int
	byKey   map[string]int64
	byAddr  map[string]int64
	waiting []*turn
}

// turn is a request that waits.
type turn struct {
	caller Caller
	ready  chan struct{} // closed when the request may go on
}

// maxTurnWait is the longest wait for a turn. Callers come back by themselves after a refusal.
const maxTurnWait = time.Second

// ReasonRequests is the reason of a RefusedError for a request that got no turn in time.
const ReasonRequests = "too many requests under way"

// SetMax changes the number of requests under way, zero for no limit.
func (t *Turns) SetMax(most int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.max = most
}

// Enter waits for a turn. Without an error, the caller must call Leave.
func (t *Turns) Enter(ctx context.Context, caller Caller) error {
	waits := t.request(caller)
	if waits == nil {
		return nil
	}
	timer := time.NewTimer(maxTurnWait)
	defer timer.Stop()
	select {
	case <-waits.ready:
		return nil
	case <-ctx.Done():
	case <-timer.C:
	}
	if t.giveUp(waits) {
		return &RefusedError{Reason: ReasonRequests, RetryAfter: RetryAfter}
	}
	return nil // it got its turn at the same time
}

// request takes a turn, or returns the one to wait for.
func (t *Turns) request(caller Caller) *turn {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.max <= 0 || t.current < t.max {
		t.count(caller, 1)
		return nil
	}
	waits := &turn{caller, make(chan struct{})}
	t.waiting = append(t.waiting, waits)
	return waits
}

// giveUp stops waiting. It returns false if the turn has come.
func (t *Turns) giveUp(waits *turn) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	at := slices.Index(t.waiting, waits)
	if at < 0 {
		return false
	}
	t.waiting = slices.Delete(t.waiting, at, at+1)
	return true
}

// Leave ends the turn of a caller, and gives it to the one who has the fewest.
func (t *Turns) Leave(caller Caller) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.count(caller, -1)
	if len(t.waiting) == 0 || t.max > 0 && t.current >= t.max {
		return
	}
	next := slices.MinFunc(t.waiting, func(x, y *turn) int { return int(t.load(x.caller) - t.load(y.caller)) })
	t.waiting = slices.DeleteFunc(t.waiting, func(other *turn) bool { return other == next })
	t.count(next.caller, 1)
	close(next.ready)
}

// load returns how many requests a caller has under way, by its key or its address, whichever
// has more.
func (t *Turns) load(caller Caller) int64 { return max(t.byKey[caller.Key], t.byAddr[caller.Address]) }

// count adds n to the requests under way of a caller.
func (t *Turns) count(caller Caller, n int64) {
	if t.byKey == nil {
		t.byKey, t.byAddr = map[string]int64{}, map[string]int64{}
	}
	t.current += int(n)
	addTo(t.byKey, caller.Key, n)
	addTo(t.byAddr, caller.Address, n)
}

package batch

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/hyssopwall/hyssopwall/internal/backend/pool"
)

// The generations of all batches of a host that wait for an engine get the free slots in the
// order of their urgency. A generation that an engine turned away, or that moves, would
// otherwise compete with all later ones for each slot, and a step takes as long as its last
// generation.

// urgency orders the waiting generations:
//
//  1. Those of an earlier batch come first: its trainer waits for it already.
//  2. Then those of groups that an earlier step has left over, without which the step does
//     not end.
//  3. Then those with the longest text so far, and those with the longest expected text.
type urgency struct {
	Submitted int64 // of the batch, in milliseconds
	Required  bool
	Events    int // of the text so far, or of a text that could not be used
	Length    int // estimated number of tokens
}

// compare returns a negative number if u comes before v.
func (u urgency) compare(v urgency) int {
	required := func(u urgency) int {
		if u.Required {
			return 0
		}
		return 1
	}
	return cmp.Or(
		cmp.Compare(u.Submitted, v.Submitted), cmp.Compare(required(u), required(v)),
		cmp.Compare(v.Events, u.Events), cmp.Compare(v.Length, u.Length),
	)
}

// waiter is a generation that waits for an engine.
type waiter struct {
	urgency urgency
	need    pool.Need
	avoid   string            // engine to avoid if another one is usable
	choice  chan *pool.Choice // receives the engine; has room for it
}

// assigner assigns free engines to the waiting generations of a host. The zero value is
// ready to use with a Pool.
type assigner struct {
	pool *pool.Pool

	mu      sync.Mutex
	waiting []*waiter // the most urgent first
	running bool      // whether watch runs
}

// pick waits for an engine until the deadline or the end of the context.
func (a *assigner) pick(ctx context.Context, w *waiter, deadline time.Time) (*pool.Choice, bool) {
	w.choice = make(chan *pool.Choice, 1)
	a.join(w)
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	select {
	case choice := <-w.choice:
		return choice, true
	case <-timer.C:
	case <-ctx.Done():
	}
	a.leave(w)
	select {
	case choice := <-w.choice: // assigned meanwhile
		if ctx.Err() == nil {
			return choice, true
		}
		choice.Release()
	default:
	}
	return nil, false
}

// join adds a waiter and assigns what is free.
func (a *assigner) join(w *waiter) {
	a.mu.Lock()
	defer a.mu.Unlock()
	at, _ := slices.BinarySearchFunc(a.waiting, w, func(other, w *waiter) int {
		if other.urgency.compare(w.urgency) <= 0 {
			return -1 // behind its equals
		}
		return 1
	})
	a.waiting = slices.Insert(a.waiting, at, w)
	a.assign(time.Now())
	if len(a.waiting) > 0 && !a.running {
		a.running = true
		go a.watch()
	}
}

// leave removes a waiter.
func (a *assigner) leave(w *waiter) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.waiting = slices.DeleteFunc(a.waiting, func(other *waiter) bool { return other == w })
}

// watch assigns engines as they become free, until nobody waits.
func (a *assigner) watch() {
	for {
		changed := a.pool.Changed() // before the assignment, so that no change is missed
		a.mu.Lock()
		a.assign(time.Now())
		if len(a.waiting) == 0 {
			a.running = false
			a.mu.Unlock()
			return
		}
		a.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(pickInterval): // load reports expire without a notification
		}
	}
}

// demand is what generations have to have in common so that one of them finds no engine if
// another one finds none.
type demand struct {
	service, model string
	minVersion     uint64
	regions        string
}

// assign gives the waiters free engines, in order. The caller holds the lock.
func (a *assigner) assign(now time.Time) {
	full := map[demand]bool{}
	a.waiting = slices.DeleteFunc(a.waiting, func(w *waiter) bool {
		kind := demand{w.need.Service, w.need.Model, w.need.MinVersion, regionsKey(w.need.Regions)}
		if full[kind] {
			return false
		}
		need := w.need
		if w.avoid != "" && a.pool.UsableCount(need) > 1 {
			need.Avoid = []string{w.avoid}
		}
		choice, ok := a.pool.Pick(now, need)
		if !ok {
			full[kind] = len(need.Avoid) == 0
			return false
		}
		w.choice <- choice
		return true
	})
}

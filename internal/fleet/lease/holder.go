package lease

import (
	"context"
	"sync"
	"time"

	"github.com/hyssopwall/hyssopwall/internal/fleet/commit"
	"github.com/hyssopwall/hyssopwall/internal/platform/object"
	"github.com/hyssopwall/hyssopwall/internal/site/event"
)

// Bounds on the calls of a Holder.
const (
	// CallTimeout bounds one call to the platform's store.
	CallTimeout = 1500 * time.Millisecond
	// MinCallInterval is the period of the loops. A loop makes at most one call a period.
	MinCallInterval = 50 * time.Millisecond
)

// Holder contends for duties on behalf of a host. Set the exported fields,
// then call Run; the other methods may be called at any time. One loop renews
// the session and another takes and releases the duties, so that a slow call for a
// duty doesn't delay a renewal.
type Holder struct {
	Host        string
	Incarnation uint64 // has to grow with each process of the host
	Store       object.Store
	Clock       Clock
	Config      Config
	Duties      []string // names of the duties to contend for
	// Contend reports whether this host may take the duty now; nil means that it
	// always may. Only a few hosts should contend for a duty, since each of them
	// reads the platform's store every Config.Poll.
	Contend func(duty string) bool
	Log     event.Log

	mu      sync.Mutex
	session Session
	duties  []Duty
	held    []bool        // per duty, as last logged
	done    chan struct{} // closed when Run has returned
	closing bool          // Release has been called
}

// Run contends for the duties and renews the session until the context ends. If Release
// has returned before that, the next holder need not wait.
func (h *Holder) Run(ctx context.Context) {
	h.start()
	defer close(h.done)
	var group sync.WaitGroup
	group.Go(func() { h.loop(ctx, h.nextRenewal, h.applyRenewal) })
	group.Go(func() { h.loop(ctx, h.nextDuty, h.applyDuty) })
	group.Wait()
}

// Done returns a channel that is closed when Run has returned.
func (h *Holder) Done() <-chan struct{} {
	h.start()
	return h.done
}

// start initializes the state on the first call.
func (h *Holder) start() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.done != nil {
		return
	}
	h.done = make(chan struct{})
	h.session = Session{Host: h.Host, Incarnation: h.Incarnation, Config: h.Config}
	h.held = make([]bool, len(h.Duties))
	for _, name := range h.Duties {
		h.duties = append(h.duties, Duty{Name: name, Host: h.Host, Incarnation: h.Incarnation, Config: h.Config})
	}
}

// loop makes the calls that next returns, one at a time and at most one a tick of
// MinCallInterval, and passes each answer to done.
func (h *Holder) loop(ctx context.Context, next func() (int, commit.Call, bool), done func(int, commit.Answer)) {
	ticker := time.NewTicker(MinCallInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if index, call, ok := next(); ok {
			done(index, h.call(ctx, call))
		}
	}
}

func (h *Holder) call(ctx context.Context, call commit.Call) commit.Answer {
	ctx, cancel := context.WithTimeout(ctx, CallTimeout)
	defer cancel()
	return commit.Do(ctx, h.Store, call)
}

// nextRenewal returns the session's next call, if any. The index is not used.
func (h *Holder) nextRenewal() (int, commit.Call, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.Clock.Now()
	wanted := false
	for _, duty := range h.duties {
		// A host that waits for a duty but may no longer take it renews no session.
		involved := !duty.Idle() || h.mayTake(duty.Name)
		wanted = wanted || involved && duty.NeedsSession(now)
	}
	var (
		call commit.Call
		ok   bool
	)
	h.session, call, ok = h.session.Next(wanted, now)
	return 0, call, ok
}

// applyRenewal applies the answer to a call of the session.
func (h *Holder) applyRenewal(_ int, answer commit.Answer) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.session = h.session.Apply(answer, h.Clock.Now())
	h.logChanges()
}

// nextDuty returns the index of the first duty with a call to make, and the call.
func (h *Holder) nextDuty() (int, commit.Call, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.Clock.Now()
	for index := range h.duties {
		duty, call, ok := h.duties[index].Next(h.session, h.mayTake(h.duties[index].Name), now)
		h.duties[index] = duty
		if ok {
			return index, call, true
		}
	}
	return 0, commit.Call{}, false
}

// mayTake reports whether this host may take the duty now.
func (h *Holder) mayTake(duty string) bool {
	return !h.closing && (h.Contend == nil || h.Contend(duty))
}

// applyDuty applies the answer to a call of the duty at an index.
func (h *Holder) applyDuty(index int, answer commit.Answer) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.duties[index] = h.duties[index].Apply(answer, h.Clock.Now())
	h.logChanges()
}

// logChanges logs the duties that were taken or lost since its last call.
func (h *Holder) logChanges() {
	now := h.Clock.Now()
	for index, duty := range h.duties {
		grant, held := duty.Held(h.session, now)
		if held == h.held[index] {
			continue
		}
		h.held[index] = held
		if held {
			h.Log.Emit(event.LeaseAcquired, "duty", duty.Name, "epoch", grant.Epoch)
		} else {
			h.Log.Emit(event.LeaseLost, "duty", duty.Name)
		}
	}
}

// LastHolder returns the host that a duty's object names, or "" if no host has held the
// duty or the last holder has released it.
func (h *Holder) LastHolder(ctx context.Context, duty string) (string, error) {
	answer := h.call(ctx, commit.Call{Op: commit.Get, Key: DutyPrefix + duty})
	if answer.Kind == commit.NotFound {
		return "", nil
	}
	record, ok := decode[DutyRecord](answer.Value)
	if answer.Kind != commit.OK || !ok {
		return "", &RecordError{Duty: duty}
	}
	return record.Host, nil
}

// RecordError reports that a duty's object could not be read or decoded.
type RecordError struct {
	Duty string
}

func (e *RecordError) Error() string { return "the object of duty " + e.Duty + " cannot be read" }

// Release releases every duty and ends contending for duties. It returns when the duties
// are released or the context ends. The caller must have stopped sending orders: Held
// returns false for the duties held at the call, but can still return true for up to
// MinCallInterval for a duty that was being taken.
func (h *Holder) Release(ctx context.Context) error {
	h.start()
	h.mu.Lock()
	h.closing = true
	for index := range h.duties {
		h.duties[index] = h.duties[index].Release(h.Clock.Now())
	}
	h.mu.Unlock()
	ticker := time.NewTicker(MinCallInterval)
	defer ticker.Stop()
	for !h.allIdle() {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
			h.releaseNewlyTaken()
		}
	}
	return nil
}

// releaseNewlyTaken releases duties that were being taken when Release was called.
func (h *Holder) releaseNewlyTaken() {
	h.mu.Lock()
	defer h.mu.Unlock()
	for index := range h.duties {
		h.duties[index] = h.duties[index].Release(h.Clock.Now())
	}
}

// allIdle reports whether every duty is idle.
func (h *Holder) allIdle() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, duty := range h.duties {
		if !duty.Idle() {
			return false
		}
	}
	return true
}

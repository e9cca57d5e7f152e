package lease

import (
	"context"
	"sync"
	"time"

	"github.com/hyssopwall/hyssopwall/internal/fleet/commit"
	"github.com/hyssopwall/hyssopwall/internal/platform/object"
	"github.com/hyssopwall/hyssopwall/internal/site/event"
)

// Bounds of the holder.
const (
	// CallTimeout bounds one call to the platform.
	CallTimeout = 1500 * time.Millisecond
	// MinCallInterval is the shortest time between two calls of one loop.
	MinCallInterval = 50 * time.Millisecond
)

// Holder contends for duties on behalf of a host. Set the exported fields,
// then call Run; the other methods may be called at any time. One loop renews
// the session and another looks after the duties, so that a slow call for a
// duty doesn't delay a renewal.
type Holder struct {
	Host        string
	Incarnation uint64
	Store       object.Store
	Clock       Clock
	Config      Config
	Duties      []string
	// Contend says whether this host may take the duty now. A few hosts
	// should, since each reads the platform every Config.Poll. Nil means yes.
	Contend func(duty string) bool
	Log     event.Log

	mu      sync.Mutex
	session Session
	duties  []Duty
	held    []bool
	done    chan struct{}
	closing bool
}

// Run works until the context ends. It then stops renewing; call Release
// before that for a handover without a wait.
func (h *Holder) Run(ctx context.Context) {
	h.start()
	defer close(h.done)
	var group sync.WaitGroup
	group.Go(func() { h.loop(ctx, h.nextRenewal, h.renewed) })
	group.Go(func() { h.loop(ctx, h.nextDuty, h.answered) })
	group.Wait()
}

// Done returns a channel that is closed when Run has returned.
func (h *Holder) Done() <-chan struct{} {
	h.start()
	return h.done
}

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

// loop makes the calls of one part, one at a time.
func (h *Holder) loop(ctx context.Context, next func() (int, commit.Call, bool), done func(int, commit.Answer)) {
	ticker := time.NewTicker(MinCallInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if at, call, ok := next(); ok {
			done(at, h.call(ctx, call))
		}
	}
}

func (h *Holder) call(ctx context.Context, call commit.Call) commit.Answer {
	ctx, cancel := context.WithTimeout(ctx, CallTimeout)
	defer cancel()
	return commit.Do(ctx, h.Store, call)
}

func (h *Holder) nextRenewal() (int, commit.Call, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.Clock.Now()
	wanted := false
	for _, duty := range h.duties {
		// A host that waits for a duty and may no longer take it renews nothing.
		part := !duty.Idle() || h.contends(duty.Name)
		wanted = wanted || part && duty.NeedsSession(now)
	}
	var (
		call commit.Call
		ok   bool
	)
	h.session, call, ok = h.session.Next(wanted, now)
	return 0, call, ok
}

func (h *Holder) renewed(_ int, answer commit.Answer) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.session = h.session.Apply(answer, h.Clock.Now())
	h.note()
}

func (h *Holder) nextDuty() (int, commit.Call, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.Clock.Now()
	for at := range h.duties {
		duty, call, ok := h.duties[at].Next(h.session, h.contends(h.duties[at].Name), now)
		h.duties[at] = duty
		if ok {
			return at, call, true
		}
	}
	return 0, commit.Call{}, false
}

func (h *Holder) contends(duty string) bool {
	return !h.closing && (h.Contend == nil || h.Contend(duty))
}

func (h *Holder) answered(at int, answer commit.Answer) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.duties[at] = h.duties[at].Apply(answer, h.Clock.Now())
	h.note()
}

// note logs which duties were taken or lost since it was called last.
func (h *Holder) note() {
	now := h.Clock.Now()
	for at, duty := range h.duties {
		grant, held := duty.Held(h.session, now)
		if held == h.held[at] {
			continue
		}
		h.held[at] = held
		if held {
			h.Log.Emit(event.LeaseTaken, "duty", duty.Name, "epoch", grant.Epoch)
		} else {
			h.Log.Emit(event.LeaseLost, "duty", duty.Name)
		}
	}
}

// LastHolder returns the host that a duty's object names, empty when nobody has
// held it or the last holder has given it up.
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

// RecordError says that a duty's object could not be read.
type RecordError struct {
	Duty string
}

func (e *RecordError) Error() string { return "object of duty " + e.Duty + " can't be read" }

// Release gives up every duty and contends for none any more. It returns when
// the duties are released or the context ends. The caller has stopped sending
// orders; Held is false from the call on.
func (h *Holder) Release(ctx context.Context) error {
	h.start()
	h.mu.Lock()
	h.closing = true
	for at := range h.duties {
		h.duties[at] = h.duties[at].Release(h.Clock.Now())
	}
	h.mu.Unlock()
	ticker := time.NewTicker(MinCallInterval)
	defer ticker.Stop()
	for !h.idle() {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
			h.releaseLate()
		}
	}
	return nil
}

// releaseLate gives up a duty that was being taken when Release was called.
func (h *Holder) releaseLate() {
	h.mu.Lock()
	defer h.mu.Unlock()
	for at := range h.duties {
		h.duties[at] = h.duties[at].Release(h.Clock.Now())
	}
}

func (h *Holder) idle() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, duty := range h.duties {
		if !duty.Idle() {
			return false
		}
	}
	return true
}

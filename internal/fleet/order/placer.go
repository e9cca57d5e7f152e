package order

import (
	"context"
	"sync"
	"time"

	"github.com/hyssopwall/hyssopwall/internal/fleet/commit"
	"github.com/hyssopwall/hyssopwall/internal/fleet/lease"
	"github.com/hyssopwall/hyssopwall/internal/platform/object"
	"github.com/hyssopwall/hyssopwall/internal/site/event"
)

// Limits of the placer.
const (
	// RunInterval is the time between two rounds of Run.
	RunInterval = 100 * time.Millisecond
	// RetryInterval is the minimum time between two sends of one intent.
	RetryInterval = time.Second
	// MaxInFlight is the maximum number of orders in flight at once.
	MaxInFlight = 256
	// CallTimeout bounds one call to the platform.
	CallTimeout = 2 * time.Second
)

// Leases is the part of a lease holder that the placer uses.
type Leases interface {
	Held(duty string) (lease.Grant, bool)
	Do(ctx context.Context, duty string, send func(context.Context, lease.Grant) error) error
}

// Clock returns the time since an arbitrary start; see package lease.
type Clock interface {
	Now() time.Duration
}

// Placer stores and sends the orders of one duty while this host holds it. Set
// the exported fields, then call Run; the other methods may be called at any time.
type Placer[C comparable] struct {
	Duty   string
	Leases Leases
	Store  object.Store
	Clock  Clock
	// OrderTimeout is the OrderTimeout of the lease's configuration.
	OrderTimeout time.Duration
	// Send sends one order. Its context ends with the lease or after OrderTimeout,
	// whichever is earlier.
	Send func(ctx context.Context, intent Intent[C], epoch uint64) error
	Log  event.Log

	mu       sync.Mutex
	state    *State[C]
	desired  map[string]C
	lastSend map[string]time.Duration // by intent ID
	inFlight map[string]bool          // by intent ID
}

// SetDesired sets the command that a target should have.
func (p *Placer[C]) SetDesired(target string, command C) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.desired == nil {
		p.desired = map[string]C{}
	}
	p.desired[target] = command
	if p.state != nil {
		p.state.SetDesired(target, command)
	}
}

// Remove drops the desired command of a target that no longer exists.
func (p *Placer[C]) Remove(target string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.desired, target)
	if p.state != nil {
		p.state.Remove(target)
	}
}

// Observe records the command that a target follows, or none when ok is false.
// It has no effect before the first grant of the duty, and is forgotten when the duty
// is granted under another epoch.
func (p *Placer[C]) Observe(target string, command C, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.state != nil {
		p.state.Observe(target, command, ok)
	}
}

// Run stores and sends orders until the context ends, and returns when no order
// is in flight.
func (p *Placer[C]) Run(ctx context.Context) {
	ticker := time.NewTicker(RunInterval)
	defer ticker.Stop()
	var group sync.WaitGroup
	defer group.Wait()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			p.RunOnce(ctx, &group)
		}
	}
}

// RunOnce makes the calls to the platform that are due, and starts the sends that
// are due in the group.
func (p *Placer[C]) RunOnce(ctx context.Context, group *sync.WaitGroup) {
	if !p.openState() {
		return
	}
	for p.updateJournal(ctx) {
	}
	for _, intent := range p.dueIntents() {
		group.Go(func() { p.send(ctx, intent) })
	}
}

// openState makes a new state for each new grant. It reports whether the duty is
// held and its state not stopped.
func (p *Placer[C]) openState() bool {
	grant, held := p.Leases.Held(p.Duty)
	p.mu.Lock()
	defer p.mu.Unlock()
	if !held {
		return false
	}
	if p.state != nil && p.state.Epoch == grant.Epoch {
		return !p.state.Stopped()
	}
	p.state = New[C](p.Duty, grant.Epoch, p.OrderTimeout)
	p.lastSend, p.inFlight = map[string]time.Duration{}, map[string]bool{}
	for target, command := range p.desired {
		p.state.SetDesired(target, command)
	}
	return true
}

// updateJournal makes one call to the platform, and reports whether to make
// another immediately.
func (p *Placer[C]) updateJournal(ctx context.Context) bool {
	p.mu.Lock()
	state := p.state
	call, ok := state.Call()
	p.mu.Unlock()
	if !ok {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, CallTimeout)
	defer cancel()
	answer := commit.Do(ctx, p.Store, call)
	p.mu.Lock()
	defer p.mu.Unlock()
	state.Apply(answer)
	return answer.Kind == commit.OK || answer.Kind == commit.NotFound || answer.Kind == commit.Conflict
}

// dueIntents returns the intents to send now and marks them in flight.
func (p *Placer[C]) dueIntents() []Intent[C] {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.Clock.Now()
	var due []Intent[C]
	for _, intent := range p.state.Sendable() {
		last, sent := p.lastSend[intent.ID]
		if len(p.inFlight) >= MaxInFlight || p.inFlight[intent.ID] || sent && now < last+RetryInterval {
			continue
		}
		p.lastSend[intent.ID] = now
		p.inFlight[intent.ID] = true
		due = append(due, intent)
	}
	return due
}

// send sends an intent under the lease and records the outcome.
func (p *Placer[C]) send(ctx context.Context, intent Intent[C]) {
	p.mu.Lock()
	state := p.state
	p.mu.Unlock()
	err := p.Leases.Do(ctx, p.Duty, func(ctx context.Context, grant lease.Grant) error {
		if grant.Epoch != state.Epoch {
			return &lease.NotHeldError{Duty: p.Duty}
		}
		return p.Send(ctx, intent, grant.Epoch)
	})
	p.mu.Lock()
	defer p.mu.Unlock()
	outcome := Classify(err, state.Epoch)
	state.RecordOutcome(intent, outcome, p.Clock.Now())
	if state != p.state {
		return
	}
	delete(p.inFlight, intent.ID)
	switch outcome {
	case Accepted:
		delete(p.lastSend, intent.ID)
		p.Log.Emit(event.OrderPlaced, "target", intent.Target, "id", intent.ID)
	case Fenced:
		p.Log.Emit(event.OrderFenced, "target", intent.Target, "id", intent.ID)
	case Refused, OutcomeUnknown:
	}
}

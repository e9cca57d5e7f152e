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

// Bounds of the placer.
const (
	// Pace is the time between two turns.
	Pace = 100 * time.Millisecond
	// Retry is the time between two sends of one intent.
	Retry = time.Second
	// Parallel is the number of orders under way at once.
	Parallel = 256
	// CallTimeout bounds one call to the platform.
	CallTimeout = 2 * time.Second
)

// Leases is the part of a lease holder that the placer uses.
type Leases interface {
	Held(duty string) (lease.Grant, bool)
	Do(ctx context.Context, duty string, send func(context.Context, lease.Grant) error) error
}

// Clock tells the time since an arbitrary start; see package lease.
type Clock interface {
	Now() time.Duration
}

// Placer gives the orders of one duty while this host holds it. Set the
// exported fields, then call Run; the other methods may be called at any time.
type Placer[C comparable] struct {
	Duty   string
	Leases Leases
	Store  object.Store
	Clock  Clock
	// Flight is that of the lease's configuration.
	Flight time.Duration
	// Send sends one order. The context ends with the lease.
	Send func(ctx context.Context, intent Intent[C], epoch uint64) error
	Log  event.Log

	mu     sync.Mutex
	desk   *Desk[C]
	wanted map[string]C
	sent   map[string]time.Duration // when an ID was sent last
	flying map[string]bool          // IDs under way
}

// Want sets the command that a target should have.
func (p *Placer[C]) Want(target string, command C) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.wanted == nil {
		p.wanted = map[string]C{}
	}
	p.wanted[target] = command
	if p.desk != nil {
		p.desk.Want(target, command)
	}
}

// Forget ends what is wanted of a target that is gone.
func (p *Placer[C]) Forget(target string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.wanted, target)
	if p.desk != nil {
		p.desk.Forget(target)
	}
}

// Observe says which command a target follows, or that it follows none.
func (p *Placer[C]) Observe(target string, command C, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.desk != nil {
		p.desk.Observe(target, command, ok)
	}
}

// Run works until the context ends, and returns when no order is under way.
func (p *Placer[C]) Run(ctx context.Context) {
	ticker := time.NewTicker(Pace)
	defer ticker.Stop()
	var group sync.WaitGroup
	defer group.Wait()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			p.Turn(ctx, &group)
		}
	}
}

// Turn makes the calls to the platform that are due, and starts the sends that
// are due in the group.
func (p *Placer[C]) Turn(ctx context.Context, group *sync.WaitGroup) {
	if !p.open() {
		return
	}
	for p.journal(ctx) {
	}
	for _, intent := range p.due() {
		group.Go(func() { p.send(ctx, intent) })
	}
}

// open makes a desk for each new grant. It returns false without one.
func (p *Placer[C]) open() bool {
	grant, held := p.Leases.Held(p.Duty)
	p.mu.Lock()
	defer p.mu.Unlock()
	if !held {
		return false
	}
	if p.desk != nil && p.desk.Epoch == grant.Epoch {
		return !p.desk.Over()
	}
	p.desk = New[C](p.Duty, grant.Epoch, p.Flight)
	p.sent, p.flying = map[string]time.Duration{}, map[string]bool{}
	for target, command := range p.wanted {
		p.desk.Want(target, command)
	}
	return true
}

// journal makes one call to the platform, and says whether to make another at
// once.
func (p *Placer[C]) journal(ctx context.Context) bool {
	p.mu.Lock()
	desk := p.desk
	call, ok := desk.Call()
	p.mu.Unlock()
	if !ok {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, CallTimeout)
	defer cancel()
	answer := commit.Do(ctx, p.Store, call)
	p.mu.Lock()
	defer p.mu.Unlock()
	desk.Answer(answer)
	return answer.Kind == commit.OK || answer.Kind == commit.NotFound || answer.Kind == commit.Conflict
}

func (p *Placer[C]) due() []Intent[C] {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.Clock.Now()
	var due []Intent[C]
	for _, intent := range p.desk.Ready() {
		last, tried := p.sent[intent.ID]
		if len(p.flying) >= Parallel || p.flying[intent.ID] || tried && now < last+Retry {
			continue
		}
		p.sent[intent.ID] = now
		p.flying[intent.ID] = true
		due = append(due, intent)
	}
	return due
}

func (p *Placer[C]) send(ctx context.Context, intent Intent[C]) {
	p.mu.Lock()
	desk := p.desk
	p.mu.Unlock()
	err := p.Leases.Do(ctx, p.Duty, func(ctx context.Context, grant lease.Grant) error {
		if grant.Epoch != desk.Epoch {
			return &lease.NotHeldError{Duty: p.Duty}
		}
		return p.Send(ctx, intent, grant.Epoch)
	})
	p.mu.Lock()
	defer p.mu.Unlock()
	outcome := Judge(err, desk.Epoch)
	desk.Sent(intent, outcome, p.Clock.Now())
	if desk != p.desk {
		return
	}
	delete(p.flying, intent.ID)
	switch outcome {
	case Accepted:
		delete(p.sent, intent.ID)
		p.Log.Emit(event.OrderPlaced, "target", intent.Target, "id", intent.ID)
	case Fenced:
		p.Log.Emit(event.OrderFenced, "target", intent.Target, "id", intent.ID)
	case Refused, Unclear:
	}
}

package claim

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/hyssopwall/hyssopwall/internal/fleet/commit"
	"github.com/hyssopwall/hyssopwall/internal/fleet/view"
	"github.com/hyssopwall/hyssopwall/internal/platform/object"
)

// Bounds of a shard's duty.
const (
	// QueueSize is the capacity of the ring to a shard's duty. A full ring
	// replies Busy.
	QueueSize = 256
	// ExpireEvery is the time between two searches for old records.
	ExpireEvery = time.Minute
	// RenewTimeout bounds one renewal of the view of an owner without copies.
	RenewTimeout = 2 * time.Second
)

// Peers sends messages to other hosts.
type Peers interface {
	Claim(ctx context.Context, to view.Member, request Request) (Reply, error)
	Finish(ctx context.Context, to view.Member, finish Finish) error
	Copy(ctx context.Context, to view.Member, message Copy) (CopyReply, error)
}

// Clock tells the time since an arbitrary start. It never goes back.
type Clock interface {
	Now() time.Duration
}

// Shard is the duty that owns a Table: one goroutine, reached through a ring.
type Shard struct {
	table  Table
	peers  Peers
	store  object.Store
	clock  Clock
	ring   chan func(*Table)
	stop   chan struct{}
	done   chan struct{}
	renew  chan chan bool
	closed atomic.Bool
	// unsettled says that an update that lists joining hosts may yet take
	// effect. Only steps of the plan use it, one at a time.
	unsettled bool
	// Rejected counts the messages refused because the ring was full.
	Rejected atomic.Uint64
}

// NewShard starts the duty of one shard on this host.
func NewShard(name string, self view.Member, peers Peers, store object.Store, clock Clock) *Shard {
	s := &Shard{
		table: Table{Self: self, Shard: name},
		peers: peers,
		store: store,
		clock: clock,
		ring:  make(chan func(*Table), QueueSize),
		stop:  make(chan struct{}),
		done:  make(chan struct{}),
		renew: make(chan chan bool, QueueSize),
	}
	go s.run()
	go s.renewals()
	return s
}

// Close stops the duty. Done is closed when it has stopped.
func (s *Shard) Close() {
	if !s.closed.Swap(true) {
		close(s.stop)
	}
}

// Done returns the channel that is closed when the duty has stopped.
func (s *Shard) Done() <-chan struct{} { return s.done }

func (s *Shard) run() {
	defer close(s.done)
	ticker := time.NewTicker(ExpireEvery)
	defer ticker.Stop()
	for {
		select {
		case <-s.stop:
			return
		case <-ticker.C:
			s.table.Expire(s.clock.Now())
		case step := <-s.ring:
			step(&s.table)
		}
	}
}

// do runs a step on the table and waits for it. It returns false when the step
// was not run: the ring is full, or the duty has stopped.
func (s *Shard) do(step func(*Table)) bool {
	ready := make(chan struct{})
	job := func(t *Table) {
		step(t)
		close(ready)
	}
	select {
	case s.ring <- job:
	default:
		s.Rejected.Add(1)
		return false
	}
	select {
	case <-ready:
		return true
	case <-s.done:
		return false
	}
}

// Claim decides a request; it returns when every copy has stored the claim or
// the context ends. A claim that could not be stored everywhere is Busy: the
// attempt may ask again, and must not run.
func (s *Shard) Claim(ctx context.Context, request Request) Reply {
	reply, ask, ok := s.decide((*Table).Claim, request)
	if !ok {
		return Reply{Status: Busy}
	}
	if !ask.Any() {
		return reply
	}
	s.collect(ctx, request, ask)
	reply, ask, ok = s.decide((*Table).Recheck, request)
	if !ok || ask.Any() {
		s.do(func(t *Table) { t.Withdraw(request.Key, request.Attempt) })
		return Reply{Status: Busy}
	}
	return reply
}

func (s *Shard) decide(how func(*Table, Request, time.Duration) (Reply, Pending), request Request) (Reply, Pending, bool) {
	var (
		reply Reply
		ask   Pending
	)
	ok := s.do(func(t *Table) { reply, ask = how(t, request, s.clock.Now()) })
	return reply, ask, ok
}

// collect asks all at once and notes each result.
func (s *Shard) collect(ctx context.Context, request Request, ask Pending) {
	results := make(chan struct{}, len(ask.To)+1)
	for _, member := range ask.To {
		go func() {
			defer func() { results <- struct{}{} }()
			if s.send(ctx, member, ask.Copy) {
				s.do(func(t *Table) { t.MarkStored(request.Key, request.Attempt, member) })
			}
		}()
	}
	if ask.Renew && s.confirm(ctx) {
		s.do(func(t *Table) { t.MarkStored(request.Key, request.Attempt, view.Member{}) })
	}
	for range ask.To {
		<-results
	}
}

func (s *Shard) send(ctx context.Context, to view.Member, message Copy) bool {
	reply, err := s.peers.Copy(ctx, to, message)
	if err != nil {
		return false
	}
	if !reply.Stored {
		s.do(func(t *Table) { t.RaiseMinEpoch(reply.Epoch) })
	}
	return reply.Stored
}

// confirm waits until the view was renewed after this call began.
func (s *Shard) confirm(ctx context.Context) bool {
	answer := make(chan bool, 1)
	select {
	case s.renew <- answer:
	default:
		s.Rejected.Add(1)
		return false
	}
	select {
	case ok := <-answer:
		return ok
	case <-ctx.Done():
	case <-s.done:
	}
	return false
}

// renewals renews the view once for all that wait.
func (s *Shard) renewals() {
	for {
		select {
		case <-s.stop:
			return
		case first := <-s.renew:
			waiting := []chan bool{first}
			for len(s.renew) > 0 {
				waiting = append(waiting, <-s.renew)
			}
			ok := s.renewOnce()
			for _, answer := range waiting {
				answer <- ok
			}
		}
	}
}

func (s *Shard) renewOnce() bool {
	ctx, cancel := context.WithTimeout(context.Background(), RenewTimeout)
	defer cancel()
	var from view.View
	s.do(func(t *Table) { from = t.View() })
	next := view.Renew(from)
	return s.install(ctx, from, next) == nil
}

// install replaces the view at the platform and adopts the outcome. While the
// outcome is open, an error of type *commit.OpenError is returned and nothing
// is adopted.
func (s *Shard) install(ctx context.Context, from, next view.View) error {
	installed, err := view.Install(ctx, s.store, from, next)
	if err == nil {
		s.Adopt(installed)
		return nil
	}
	if lost, ok := asLost(err); ok {
		if other, parseErr := view.Parse([]byte(lost.Value), lost.Version); parseErr == nil {
			s.Adopt(other)
		}
	}
	return err
}

// Adopt takes a view that certainly stands at the platform.
func (s *Shard) Adopt(v view.View) { s.do(func(t *Table) { t.Adopt(v) }) }

// View returns the view that the shard knows.
func (s *Shard) View() view.View {
	var v view.View
	s.do(func(t *Table) { v = t.View() })
	return v
}

// Copy serves an owner's message.
func (s *Shard) Copy(message Copy) (CopyReply, error) {
	var reply CopyReply
	if !s.do(func(t *Table) { reply = t.Copy(message, s.clock.Now()) }) {
		return reply, &BusyError{Shard: message.Shard}
	}
	return reply, nil
}

// Finish notes how an attempt ended and tells the copies at best effort. It
// returns a *MovedError when this host has no such claim.
func (s *Shard) Finish(ctx context.Context, finish Finish) error {
	var (
		message Copy
		copies  []view.Member
		known   bool
	)
	ok := s.do(func(t *Table) {
		message, known = t.Finish(finish, s.clock.Now())
		copies = t.View().Copies
	})
	if !ok {
		return &BusyError{Shard: finish.Shard}
	}
	if !known {
		return &MovedError{Shard: finish.Shard}
	}
	if len(message.Records) == 0 {
		return nil
	}
	for _, member := range copies {
		s.send(ctx, member, message)
	}
	return nil
}

func asLost(err error) (*commit.LostError, bool) {
	lost, ok := errorAs[*commit.LostError](err)
	return lost, ok
}

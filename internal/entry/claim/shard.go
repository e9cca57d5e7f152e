package claim

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/hyssopwall/hyssopwall/internal/fleet/commit"
	"github.com/hyssopwall/hyssopwall/internal/fleet/view"
	"github.com/hyssopwall/hyssopwall/internal/platform/object"
)

// Limits of a Shard.
const (
	// QueueSize is the capacity of the queue to a shard's goroutine. When it is
	// full, the shard replies Busy.
	QueueSize = 256
	// ExpireEvery is the interval at which expired records are removed.
	ExpireEvery = time.Minute
	// RenewTimeout is the timeout of one renewal of the view of an owner without
	// copies.
	RenewTimeout = 2 * time.Second
	// adoptRetryPause is the pause before a view is adopted again after the queue was
	// full.
	adoptRetryPause = 5 * time.Millisecond
)

// Peers sends messages to the shards of other hosts.
type Peers interface {
	Claim(ctx context.Context, to view.Member, request Request) (Reply, error)
	Finish(ctx context.Context, to view.Member, finish Finish) error
	Copy(ctx context.Context, to view.Member, message Copy) (CopyReply, error)
}

// Clock is a monotonic clock.
type Clock interface {
	// Now returns the time since an arbitrary start.
	Now() time.Duration
}

// Shard owns a Table: one goroutine runs all functions on it, which it gets from
// a queue.
type Shard struct {
	table    Table
	peers    Peers
	store    object.Store
	clock    Clock
	queue    chan func(*Table)
	stop     chan struct{}
	done     chan struct{}
	renewals chan chan bool // calls that wait for a renewal of the view
	closed   atomic.Bool
	// joinUnresolved reports that an update that lists joining hosts may yet take
	// effect. Only the steps of the plan use it, one at a time.
	joinUnresolved bool
	// Rejected counts the calls that were rejected because a queue was full.
	Rejected atomic.Uint64
}

// NewShard starts the goroutines of one shard on this host.
func NewShard(name string, self view.Member, peers Peers, store object.Store, clock Clock) *Shard {
	s := &Shard{
		table:    Table{Self: self, Shard: name},
		peers:    peers,
		store:    store,
		clock:    clock,
		queue:    make(chan func(*Table), QueueSize),
		stop:     make(chan struct{}),
		done:     make(chan struct{}),
		renewals: make(chan chan bool, QueueSize),
	}
	go s.run()
	go s.runRenewals()
	return s
}

// Close stops the shard. The channel of Done is closed when it has stopped.
func (s *Shard) Close() {
	if !s.closed.Swap(true) {
		close(s.stop)
	}
}

// Done returns the channel that is closed when the shard has stopped.
func (s *Shard) Done() <-chan struct{} { return s.done }

// run executes the queued functions and removes expired records until Close.
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
		case call := <-s.queue:
			call(&s.table)
		}
	}
}

// do runs a function on the table and waits for it. It returns false if the queue
// is full or the shard has stopped; in the second case the function may have run.
func (s *Shard) do(call func(*Table)) bool {
	ready := make(chan struct{})
	job := func(t *Table) {
		call(t)
		close(ready)
	}
	select {
	case s.queue <- job:
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

// Claim decides a request. If members must store the claim first, it sends the
// claim to them with the same context and waits for every reply or failure. If the
// claim could not be stored by every member, it is withdrawn and the reply is Busy:
// the attempt may ask again, and must not run.
func (s *Shard) Claim(ctx context.Context, request Request) Reply {
	reply, pending, ok := s.decide((*Table).Claim, request)
	if !ok {
		return Reply{Status: Busy}
	}
	if !pending.Any() {
		return reply
	}
	s.completePending(ctx, request, pending)
	reply, pending, ok = s.decide((*Table).Recheck, request)
	if !ok || pending.Any() {
		s.do(func(t *Table) { t.Withdraw(request.Key, request.Attempt) })
		return Reply{Status: Busy}
	}
	return reply
}

// decide runs Table.Claim or Table.Recheck on the table.
func (s *Shard) decide(method func(*Table, Request, time.Duration) (Reply, Pending), request Request) (Reply, Pending, bool) {
	var (
		reply   Reply
		pending Pending
	)
	ok := s.do(func(t *Table) { reply, pending = method(t, request, s.clock.Now()) })
	return reply, pending, ok
}

// completePending sends the copy to the members that must store it, concurrently,
// and renews the view if needed. It marks each success in the table.
func (s *Shard) completePending(ctx context.Context, request Request, pending Pending) {
	results := make(chan struct{}, len(pending.To)+1)
	for _, member := range pending.To {
		go func() {
			defer func() { results <- struct{}{} }()
			if s.send(ctx, member, pending.Copy) {
				s.do(func(t *Table) { t.MarkStored(request.Key, request.Attempt, member) })
			}
		}()
	}
	if pending.Renew && s.awaitRenewal(ctx) {
		s.do(func(t *Table) { t.MarkStored(request.Key, request.Attempt, view.Member{}) })
	}
	for range pending.To {
		<-results
	}
}

// send sends a message to a member and reports whether the member stored it. If
// the member refuses the epoch, send raises the table's minimum epoch.
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

// awaitRenewal requests a renewal of the view that begins after this call and
// reports whether it succeeded.
func (s *Shard) awaitRenewal(ctx context.Context) bool {
	result := make(chan bool, 1)
	select {
	case s.renewals <- result:
	default:
		s.Rejected.Add(1)
		return false
	}
	select {
	case ok := <-result:
		return ok
	case <-ctx.Done():
	case <-s.done:
	}
	return false
}

// runRenewals renews the view once for all calls that wait.
func (s *Shard) runRenewals() {
	for {
		select {
		case <-s.stop:
			return
		case first := <-s.renewals:
			waiting := []chan bool{first}
			for len(s.renewals) > 0 {
				waiting = append(waiting, <-s.renewals)
			}
			ok := s.renew()
			for _, result := range waiting {
				result <- ok
			}
		}
	}
}

// renew renews the view once and reports whether that certainly succeeded.
func (s *Shard) renew() bool {
	ctx, cancel := context.WithTimeout(context.Background(), RenewTimeout)
	defer cancel()
	from, ok := s.View()
	return ok && s.install(ctx, from, view.Renew(from)) == nil
}

// install replaces the view at the platform and adopts the view that is then
// installed. If the outcome is not certain, or the shard could not adopt the view
// before the context ended, it returns a *commit.UnresolvedError.
func (s *Shard) install(ctx context.Context, from, next view.View) error {
	installed, err := view.Install(ctx, s.store, from, next)
	if err == nil {
		return s.adoptInstalled(ctx, installed)
	}
	if lost, ok := asLostError(err); ok {
		if other, parseErr := view.Parse([]byte(lost.Value), lost.Version); parseErr == nil {
			if busy := s.adoptInstalled(ctx, other); busy != nil {
				return busy
			}
		}
	}
	return err
}

// adoptInstalled adopts a view and waits while the queue is full. Its error is a
// *commit.UnresolvedError.
func (s *Shard) adoptInstalled(ctx context.Context, v view.View) error {
	for !s.Adopt(v) {
		select {
		case <-time.After(adoptRetryPause):
		case <-ctx.Done():
			return &commit.UnresolvedError{Key: v.Shard, Err: ctx.Err()}
		case <-s.done:
			return &commit.UnresolvedError{Key: v.Shard, Err: &BusyError{Shard: v.Shard}}
		}
	}
	return nil
}

// Adopt replaces the view by one that is certainly installed at the platform. It
// returns false if the queue is full or the shard has stopped.
func (s *Shard) Adopt(v view.View) bool { return s.do(func(t *Table) { t.Adopt(v) }) }

// View returns the newest view that the shard knows. It returns false if the queue is
// full or the shard has stopped.
func (s *Shard) View() (v view.View, ok bool) {
	ok = s.do(func(t *Table) { v = t.View() })
	return v, ok
}

// Copy stores the records of an owner's message. It returns a *BusyError if the
// queue is full or the shard has stopped.
func (s *Shard) Copy(message Copy) (CopyReply, error) {
	var reply CopyReply
	if !s.do(func(t *Table) { reply = t.Copy(message, s.clock.Now()) }) {
		return reply, &BusyError{Shard: message.Shard}
	}
	return reply, nil
}

// Finish records how an attempt ended and sends the record to the copies, without
// a retry. It returns a *MovedError if this host doesn't own the shard or has no
// such claim, and a *BusyError if the queue is full or the shard has stopped.
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

func asLostError(err error) (*commit.LostError, bool) {
	lost, ok := errorAs[*commit.LostError](err)
	return lost, ok
}

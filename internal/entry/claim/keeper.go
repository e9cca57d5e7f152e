package claim

import (
	"context"
	"errors"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hyssopwall/hyssopwall/internal/fleet/commit"
	"github.com/hyssopwall/hyssopwall/internal/fleet/view"
	"github.com/hyssopwall/hyssopwall/internal/platform/object"
	"github.com/hyssopwall/hyssopwall/internal/site/event"
)

// Bounds of the keeper.
const (
	// PlanEvery is the time between two looks at the views.
	PlanEvery = time.Second
	// StepTimeout bounds one step of a plan, reading back included.
	StepTimeout = 30 * time.Second
	// TargetCopies is the number of copies that a shard should have.
	TargetCopies = 2
)

// Fleet tells the keeper about the other hosts. Its answers may be wrong; only
// speed depends on them, but for Certain.
type Fleet interface {
	Alive(member view.Member) bool
	// Hosts returns the hosts that may keep a shard of this host's
	// availability zone, most wanted first, this host included.
	Hosts(shard string) []view.Member
	// ConfirmedDead says that the member's process has ended for certain: a higher
	// incarnation of the host answers at its address, or an operator said so.
	ConfirmedDead(member view.Member) bool
}

// Manager keeps the shards of this host. Set the exported fields, then call
// Run; the other methods may be called at any time.
type Manager struct {
	Self  view.Member
	Zone  string
	Store object.Store
	Peers Peers
	Clock Clock
	Fleet Fleet
	// HomeShards are the shards whose home is this host's availability zone.
	HomeShards []string
	Book       *view.Cache
	Log        event.Log

	mu     sync.Mutex
	shards map[string]*kept
	closed bool
	// leaving says that the host is about to stop, so that it plans nothing.
	leaving bool
}

type kept struct {
	shard *Shard
	known view.View     // the view that since belongs to
	since time.Duration // when it was first seen
	heard time.Duration // when a member of it was last alive
	busy  atomic.Bool   // a step is under way
}

// Claim serves a request that this host should own.
func (k *Manager) Claim(ctx context.Context, request Request) Reply {
	found := k.find(request.Shard)
	if found == nil {
		return Reply{Status: Moved}
	}
	return found.shard.Claim(ctx, request)
}

// Finish serves the end of an attempt.
func (k *Manager) Finish(ctx context.Context, finish Finish) error {
	found := k.find(finish.Shard)
	if found == nil {
		return &MovedError{Shard: finish.Shard}
	}
	return found.shard.Finish(ctx, finish)
}

// Copy serves an owner's message; any host may be asked.
func (k *Manager) Copy(message Copy) (CopyReply, error) {
	found := k.open(message.Shard)
	if found == nil {
		return CopyReply{}, &BusyError{Shard: message.Shard}
	}
	if message.View != nil {
		k.Learn(*message.View)
	}
	return found.shard.Copy(message)
}

// Learn takes a view that certainly stands at the platform, from a watch or
// from a peer.
func (k *Manager) Learn(v view.View) {
	k.Book.Merge(v)
	if found := k.find(v.Shard); found != nil {
		found.shard.Adopt(v)
	}
}

// SetHomeShards replaces Names while the keeper runs, for a new configuration.
func (k *Manager) SetHomeShards(names []string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.HomeShards = names
}

// Run looks after the views until the context ends, then closes the shards.
func (k *Manager) Run(ctx context.Context) {
	ticker := time.NewTicker(PlanEvery)
	defer ticker.Stop()
	defer k.close()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			k.Tick(ctx)
		}
	}
}

// Tick starts the next step of each shard that has none under way. It returns
// a group that is done when the steps are.
func (k *Manager) Tick(ctx context.Context) *sync.WaitGroup {
	var group sync.WaitGroup
	if k.isLeaving() {
		return &group
	}
	for _, name := range k.mine() {
		found := k.open(name) //nolint:contextcheck // a duty outlives the call that starts it
		if found == nil || found.busy.Swap(true) {
			continue
		}
		group.Go(func() {
			defer found.busy.Store(false)
			k.step(ctx, name, found)
		})
	}
	return &group
}

// mine returns the shards of this zone and those that this host is in.
func (k *Manager) mine() []string {
	k.mu.Lock()
	names := append([]string(nil), k.HomeShards...)
	k.mu.Unlock()
	seen := map[string]bool{}
	for _, name := range names {
		seen[name] = true
	}
	for _, v := range k.Book.All() {
		if !seen[v.Shard] && (v.Owner == k.Self || v.HasCopy(k.Self)) {
			names = append(names, v.Shard)
		}
	}
	return names
}

func (k *Manager) step(ctx context.Context, name string, found *kept) {
	ctx, cancel := context.WithTimeout(ctx, StepTimeout)
	defer cancel()
	if known, ok := k.Book.Find(name); ok {
		found.shard.Adopt(known)
	}
	from := found.shard.View()
	if from.Epoch > 0 {
		k.Book.Merge(from)
	}
	step, next := Plan(k.scene(name, from, found))
	k.take(ctx, found, step, from, next)
	k.announce(ctx, found, from.Epoch)
}

// announce tells the copies that they are in a new view of this owner.
func (k *Manager) announce(ctx context.Context, found *kept, before uint64) {
	now := found.shard.View()
	if now.Epoch == 0 {
		return
	}
	k.Book.Merge(now)
	if now.Epoch == before || now.Owner != k.Self {
		return
	}
	for _, member := range now.Copies {
		found.shard.send(ctx, member, Copy{Shard: now.Shard, Epoch: now.Epoch, View: &now})
	}
}

func (k *Manager) scene(name string, from view.View, found *kept) PlanInput {
	now := k.Clock.Now()
	if found.known.Epoch != from.Epoch {
		found.known, found.since, found.heard = from, now, now
	}
	if slices.ContainsFunc(from.Members(), k.Fleet.Alive) {
		found.heard = now
	}
	return PlanInput{
		Self: k.Self, Shard: name, Zone: k.Zone, View: from,
		Alive: k.Fleet.Alive, Hosts: k.Fleet.Hosts(name), Copies: TargetCopies,
		Age: now - found.since, Silent: now - found.heard, ConfirmedDead: k.Fleet.ConfirmedDead,
	}
}

func (k *Manager) take(ctx context.Context, found *kept, step Step, from, next view.View) {
	switch step {
	case NoStep:
	case Create:
		if k.load(ctx, found, next.Shard) {
			return
		}
		_ = found.shard.install(ctx, from, next)
	case Grow:
		found.shard.grow(ctx, from, next)
	case TakeOver:
		if found.shard.install(ctx, from, next) == nil {
			k.Log.Emit(event.ShardTaken, "id", next.Shard, "epoch", next.Epoch)
		}
	case Restart:
		if found.shard.install(ctx, from, next) == nil {
			k.Log.Emit(event.ShardLost, "id", next.Shard, "epoch", next.Epoch)
		}
	case Shrink, Recover:
		_ = found.shard.install(ctx, from, next)
	}
}

// load reads a view that this host doesn't know. It returns true when there is
// one, or when that can't be told.
func (k *Manager) load(ctx context.Context, found *kept, name string) bool {
	v, err := view.Load(ctx, k.Store, name)
	var missing *object.NotFoundError
	if errors.As(err, &missing) {
		return false
	}
	if err == nil {
		found.shard.Adopt(v)
	}
	return true
}

// grow brings new copies up to date and installs the view that lists them.
func (s *Shard) grow(ctx context.Context, from, next view.View) {
	var fresh []view.Member
	for _, member := range next.Copies {
		if !from.HasCopy(member) {
			fresh = append(fresh, member)
		}
	}
	var messages []Copy
	joined := s.do(func(t *Table) {
		t.AddJoining(fresh)
		messages = t.Records(s.clock.Now())
	})
	if !joined {
		return
	}
	for _, member := range fresh {
		if !s.sendAll(ctx, member, messages) {
			s.leave()
			return
		}
	}
	err := s.install(ctx, from, next)
	if _, open := errorAs[*commit.UnresolvedError](err); open {
		s.unsettled = true
		return
	}
	if _, refused := errorAs[*commit.RefusedError](err); !refused {
		s.unsettled = false // the version has moved on, so that no earlier update can win
	}
	s.leave()
}

// leave ends a join unless an earlier update that lists the hosts may yet take
// effect.
func (s *Shard) leave() {
	if !s.unsettled {
		s.do(func(t *Table) { t.ClearJoining() })
	}
}

func (s *Shard) sendAll(ctx context.Context, to view.Member, messages []Copy) bool {
	for _, message := range messages {
		if !s.send(ctx, to, message) {
			return false
		}
	}
	return true
}

func (k *Manager) isLeaving() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.leaving
}

func (k *Manager) find(name string) *kept {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.shards[name]
}

func (k *Manager) open(name string) *kept {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.closed {
		return nil
	}
	if k.shards == nil {
		k.shards = map[string]*kept{}
	}
	if k.shards[name] == nil {
		k.shards[name] = &kept{shard: NewShard(name, k.Self, k.Peers, k.Store, k.Clock)}
	}
	return k.shards[name]
}

func (k *Manager) close() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.closed = true
	for _, found := range k.shards {
		found.shard.Close()
	}
}

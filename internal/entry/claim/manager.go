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

// Limits of a Manager.
const (
	// PlanEvery is the interval at which the views are checked.
	PlanEvery = time.Second
	// StepTimeout is the timeout of one step, reading back its outcome included.
	StepTimeout = 30 * time.Second
	// TargetCopies is the number of copies that a shard should have.
	TargetCopies = 2
)

// Fleet provides the state of the other hosts. Alive and Hosts may be wrong,
// which only costs time; ConfirmedDead must be right.
type Fleet interface {
	// Alive reports whether the member is believed to answer.
	Alive(member view.Member) bool
	// Hosts returns the hosts that may keep a shard of this host's
	// availability zone, most preferred first, this host included.
	Hosts(shard string) []view.Member
	// ConfirmedDead reports whether the member's process has certainly ended: a
	// higher incarnation of the host answers at its address, or an operator has
	// confirmed it.
	ConfirmedDead(member view.Member) bool
}

// Manager runs the claim shards of this host: it serves their messages and
// changes their views when hosts fail or join. Set the exported fields, then call
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
	// Views holds the views that this host knows.
	Views *view.Cache
	Log   event.Log

	mu     sync.Mutex
	shards map[string]*managedShard
	closed bool
	// leaving is set when the host is about to stop and plans no more steps.
	leaving bool
}

// managedShard is a shard with the state that its plan needs. Only the current
// step uses lastView, viewSince and lastAlive.
type managedShard struct {
	shard     *Shard
	lastView  view.View     // the view when its epoch was first seen
	viewSince time.Duration // when this host first saw that epoch
	lastAlive time.Duration // when a member was last alive, viewSince if none has been since
	busy      atomic.Bool   // a step is in progress
}

// Claim decides a request if this host owns its shard.
func (m *Manager) Claim(ctx context.Context, request Request) Reply {
	s := m.find(request.Shard)
	if s == nil {
		return Reply{Status: Moved}
	}
	return s.shard.Claim(ctx, request)
}

// Finish records how an attempt ended if this host owns its shard.
func (m *Manager) Finish(ctx context.Context, finish Finish) error {
	s := m.find(finish.Shard)
	if s == nil {
		return &MovedError{Shard: finish.Shard}
	}
	return s.shard.Finish(ctx, finish)
}

// Copy stores the records of an owner's message. Any host may get one, since the
// owner may be about to make it a copy.
func (m *Manager) Copy(message Copy) (CopyReply, error) {
	s := m.open(message.Shard)
	if s == nil {
		return CopyReply{}, &BusyError{Shard: message.Shard}
	}
	if message.View != nil {
		m.MergeView(*message.View)
	}
	return s.shard.Copy(message)
}

// MergeView adopts a view from a watch or from another host, if it is newer. The
// view must certainly be installed at the platform.
func (m *Manager) MergeView(v view.View) {
	m.Views.Merge(v)
	if s := m.find(v.Shard); s != nil {
		s.shard.Adopt(v)
	}
}

// SetHomeShards replaces HomeShards while the manager runs, for a new
// configuration.
func (m *Manager) SetHomeShards(names []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.HomeShards = names
}

// Run plans the views until the context ends, then closes the shards.
func (m *Manager) Run(ctx context.Context) {
	ticker := time.NewTicker(PlanEvery)
	defer ticker.Stop()
	defer m.close()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			m.Tick(ctx)
		}
	}
}

// Tick starts the next step of each shard that has none in progress. The returned
// group is done when the steps are.
func (m *Manager) Tick(ctx context.Context) *sync.WaitGroup {
	var group sync.WaitGroup
	if m.isLeaving() {
		return &group
	}
	for _, name := range m.plannedShards() {
		s := m.open(name) //nolint:contextcheck // the shard outlives the call that starts it
		if s == nil || s.busy.Swap(true) {
			continue
		}
		group.Go(func() {
			defer s.busy.Store(false)
			m.step(ctx, name, s)
		})
	}
	return &group
}

// plannedShards returns the shards of this zone and those of which this host is a
// member.
func (m *Manager) plannedShards() []string {
	m.mu.Lock()
	names := append([]string(nil), m.HomeShards...)
	m.mu.Unlock()
	seen := map[string]bool{}
	for _, name := range names {
		seen[name] = true
	}
	for _, v := range m.Views.All() {
		if !seen[v.Shard] && (v.Owner == m.Self || v.HasCopy(m.Self)) {
			names = append(names, v.Shard)
		}
	}
	return names
}

// step plans and carries out one step of a shard.
func (m *Manager) step(ctx context.Context, name string, s *managedShard) {
	ctx, cancel := context.WithTimeout(ctx, StepTimeout)
	defer cancel()
	if known, ok := m.Views.Find(name); ok {
		s.shard.Adopt(known)
	}
	from, known := s.shard.View()
	if !known {
		return // the queue is full: the next step plans again
	}
	if from.Epoch > 0 {
		m.Views.Merge(from)
	}
	step, next := Plan(m.planInput(name, from, s))
	m.apply(ctx, s, step, from, next)
	m.announce(ctx, s, from.Epoch)
}

// announce adds the view after a step to Views. If the step changed it and this
// host is its owner, announce also sends it to the copies. epochBefore is the
// epoch before the step.
func (m *Manager) announce(ctx context.Context, s *managedShard, epochBefore uint64) {
	now, known := s.shard.View()
	if !known || now.Epoch == 0 {
		return
	}
	m.Views.Merge(now)
	if now.Epoch == epochBefore || now.Owner != m.Self {
		return
	}
	for _, member := range now.Copies {
		s.shard.send(ctx, member, Copy{Shard: now.Shard, Epoch: now.Epoch, View: &now})
	}
}

// planInput collects the state of a shard for Plan. It updates lastView, viewSince
// and lastAlive.
func (m *Manager) planInput(name string, from view.View, s *managedShard) PlanInput {
	now := m.Clock.Now()
	if s.lastView.Epoch != from.Epoch {
		s.lastView, s.viewSince, s.lastAlive = from, now, now
	}
	if slices.ContainsFunc(from.Members(), m.Fleet.Alive) {
		s.lastAlive = now
	}
	return PlanInput{
		Self: m.Self, Shard: name, Zone: m.Zone, View: from,
		Alive: m.Fleet.Alive, Hosts: m.Fleet.Hosts(name), Copies: TargetCopies,
		Age: now - s.viewSince, Silent: now - s.lastAlive, ConfirmedDead: m.Fleet.ConfirmedDead,
	}
}

// apply carries out a step. An update of the view that fails is planned again.
func (m *Manager) apply(ctx context.Context, s *managedShard, step Step, from, next view.View) {
	switch step {
	case NoStep:
	case Create:
		if m.adoptExisting(ctx, s, next.Shard) {
			return
		}
		_ = s.shard.install(ctx, from, next)
	case Grow:
		s.shard.grow(ctx, from, next)
	case TakeOver:
		if s.shard.install(ctx, from, next) == nil {
			m.Log.Emit(event.ShardTakenOver, "id", next.Shard, "epoch", next.Epoch)
		}
	case Restart:
		if s.shard.install(ctx, from, next) == nil {
			m.Log.Emit(event.ShardLost, "id", next.Shard, "epoch", next.Epoch)
		}
	case Shrink, ClearLost:
		_ = s.shard.install(ctx, from, next)
	}
}

// adoptExisting adopts the view that the platform has of a shard of which this
// host knows none. It returns false only if the platform reports that it has none.
func (m *Manager) adoptExisting(ctx context.Context, s *managedShard, name string) bool {
	v, err := view.Load(ctx, m.Store, name)
	var missing *object.NotFoundError
	if errors.As(err, &missing) {
		return false
	}
	if err == nil {
		s.shard.Adopt(v)
	}
	return true
}

// grow brings new copies up to date and installs the view that lists them. Rule 9.
func (s *Shard) grow(ctx context.Context, from, next view.View) {
	var added []view.Member
	for _, member := range next.Copies {
		if !from.HasCopy(member) {
			added = append(added, member)
		}
	}
	var messages []Copy
	joined := s.do(func(t *Table) {
		t.AddJoining(added)
		messages = t.Records(s.clock.Now())
	})
	if !joined {
		return
	}
	for _, member := range added {
		if !s.sendAll(ctx, member, messages) {
			s.endJoin()
			return
		}
	}
	err := s.install(ctx, from, next)
	if _, unresolved := errorAs[*commit.UnresolvedError](err); unresolved {
		s.joinUnresolved = true
		return
	}
	if _, refused := errorAs[*commit.RefusedError](err); !refused {
		s.joinUnresolved = false // the version has increased, so no earlier update can take effect
	}
	s.endJoin()
}

// endJoin clears the joining hosts unless an earlier update that lists them may
// yet take effect.
func (s *Shard) endJoin() {
	if !s.joinUnresolved {
		s.do(func(t *Table) { t.ClearJoining() })
	}
}

// sendAll sends messages to a member until one is not stored. It reports whether
// all were.
func (s *Shard) sendAll(ctx context.Context, to view.Member, messages []Copy) bool {
	for _, message := range messages {
		if !s.send(ctx, to, message) {
			return false
		}
	}
	return true
}

func (m *Manager) isLeaving() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.leaving
}

// find returns a shard that runs here, or nil.
func (m *Manager) find(name string) *managedShard {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.shards[name]
}

// open returns a shard and starts it if it does not run here. It returns nil
// after close.
func (m *Manager) open(name string) *managedShard {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.closed {
		return nil
	}
	if m.shards == nil {
		m.shards = map[string]*managedShard{}
	}
	if m.shards[name] == nil {
		m.shards[name] = &managedShard{shard: NewShard(name, m.Self, m.Peers, m.Store, m.Clock)}
	}
	return m.shards[name]
}

// close stops all shards. After it, open starts none.
func (m *Manager) close() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.closed = true
	for _, s := range m.shards {
		s.shard.Close()
	}
}

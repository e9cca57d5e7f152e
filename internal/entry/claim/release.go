package claim

import (
	"context"

	"github.com/hyssopwall/hyssopwall/internal/fleet/view"
)

// Release hands each shard that this host owns over to a copy, before a planned
// stop, so that requests need not wait until the host is detected as failed. It
// returns the shards that it still owns, because they have no living copy or the
// update of their view failed. From then on this host plans no more steps, but it
// replies and stores copies until it is closed.
func (m *Manager) Release(ctx context.Context) []string {
	m.mu.Lock()
	m.leaving = true
	shards := make(map[string]*managedShard, len(m.shards))
	for name, s := range m.shards {
		shards[name] = s
	}
	m.mu.Unlock()
	var remaining []string
	for name, s := range shards {
		if !m.handOver(ctx, s) {
			remaining = append(remaining, name)
		}
	}
	return remaining
}

// handOver makes a copy the owner of a shard. It returns false if this host still
// owns the shard afterwards.
func (m *Manager) handOver(ctx context.Context, s *managedShard) bool {
	from, known := s.shard.View()
	if !known {
		return false
	}
	if from.Epoch == 0 || from.Owner != m.Self {
		return true
	}
	next, ok := view.Handover(from, m.Fleet.Alive)
	if !ok || s.shard.install(ctx, from, next) != nil {
		now, known := s.shard.View()
		return known && now.Owner != m.Self
	}
	now, known := s.shard.View()
	if !known {
		return true // the view is installed; its watch tells the others
	}
	m.Views.Merge(now)
	for _, member := range now.Members() {
		message := Copy{Shard: now.Shard, Epoch: now.Epoch, View: &now}
		_, _ = m.Peers.Copy(ctx, member, message) // its watch of the views is the fallback
	}
	return true
}

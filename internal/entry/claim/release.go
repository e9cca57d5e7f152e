package claim

import (
	"context"

	"github.com/hyssopwall/hyssopwall/internal/fleet/view"
)

// Release hands each shard that this host owns to a copy, before a planned
// stop, so that nobody waits until the host is taken for failed. It returns
// the shards that it could not hand over: they have no copy, or the platform
// can't be reached. From then on this host plans nothing any more, and goes on
// to reply and to store copies until it is closed.
func (k *Manager) Release(ctx context.Context) []string {
	k.mu.Lock()
	k.leaving = true
	shards := make(map[string]*kept, len(k.shards))
	for name, found := range k.shards {
		shards[name] = found
	}
	k.mu.Unlock()
	var left []string
	for name, found := range shards {
		if !k.handOver(ctx, found) {
			left = append(left, name)
		}
	}
	return left
}

func (k *Manager) handOver(ctx context.Context, found *kept) bool {
	from := found.shard.View()
	if from.Epoch == 0 || from.Owner != k.Self {
		return true
	}
	next, ok := view.Handover(from, k.Fleet.Alive)
	if !ok || found.shard.install(ctx, from, next) != nil {
		return found.shard.View().Owner != k.Self
	}
	now := found.shard.View()
	k.Book.Merge(now)
	for _, member := range now.Members() {
		message := Copy{Shard: now.Shard, Epoch: now.Epoch, View: &now}
		_, _ = k.Peers.Copy(ctx, member, message) // it learns the view in another way too
	}
	return true
}

package view

import (
	"context"
	"time"

	"github.com/hyssopwall/hyssopwall/internal/platform/object"
)

// WatchRetry is the pause before a failed watch is started again.
const WatchRetry = time.Second

// Watcher reads all views from the platform and watches them for changes. Each
// host that manages shards runs one.
type Watcher struct {
	Store object.Reader
	// OnView is called with each view that was read. It may get views that are
	// known already or stale.
	OnView func(View)
}

// Run watches until the context ends.
func (w *Watcher) Run(ctx context.Context) {
	for ctx.Err() == nil {
		w.follow(ctx)
		timer := time.NewTimer(WatchRetry)
		select {
		case <-ctx.Done():
		case <-timer.C:
		}
		timer.Stop()
	}
}

// follow lists the views once and then watches them, until a call fails or the
// context ends.
func (w *Watcher) follow(ctx context.Context) {
	batch, err := w.Store.List(ctx, Prefix)
	for err == nil && ctx.Err() == nil {
		w.deliver(batch)
		batch, err = w.Store.Watch(ctx, Prefix, batch.Revision)
	}
}

// deliver calls OnView for each view of a batch. It skips deleted and invalid
// ones.
func (w *Watcher) deliver(batch object.Batch) {
	for _, found := range batch.Objects {
		if found.Deleted {
			continue
		}
		if v, err := Parse(found.Value, found.Version); err == nil {
			w.OnView(v)
		}
	}
}

package view

import (
	"context"
	"time"

	"github.com/hyssopwall/hyssopwall/internal/platform/object"
)

// WatchRetry is the pause after a watch that failed.
const WatchRetry = time.Second

// Watcher reads all views and passes on each change. One or two hosts of an
// availability zone run it; the others learn the views from them.
type Watcher struct {
	Store  object.Reader
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

// follow returns when a call fails or the context ends.
func (w *Watcher) follow(ctx context.Context) {
	batch, err := w.Store.List(ctx, Prefix)
	for err == nil && ctx.Err() == nil {
		w.pass(batch)
		batch, err = w.Store.Watch(ctx, Prefix, batch.Revision)
	}
}

func (w *Watcher) pass(batch object.Batch) {
	for _, found := range batch.Objects {
		if found.Deleted {
			continue
		}
		if v, err := Parse(found.Value, found.Version); err == nil {
			w.OnView(v)
		}
	}
}

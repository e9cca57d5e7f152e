package spread

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/hyssopwall/hyssopwall/internal/fleet/wire"
	"github.com/hyssopwall/hyssopwall/internal/platform/object"
	"github.com/hyssopwall/hyssopwall/internal/site/event"
)

// The wait after a failed call to the platform doubles between these, with
// jitter, so that watchers don't return in step after an outage.
const (
	firstRetry = 500 * time.Millisecond
	lastRetry  = 4 * time.Second
)

// callTimeout ends a call that the platform never answers; a watch that waits
// is ended by the platform before.
const callTimeout = 60 * time.Second

func (d *Runner) watch(on bool) {
	if d.unwatch != nil {
		d.unwatch()
		d.unwatch = nil
	}
	if !on || d.config.Platform == nil {
		return
	}
	ctx, cancel := context.WithCancel(d.ctx)
	d.unwatch = cancel
	d.tasks.Go(func() { d.follow(ctx) })
}

// follow reads the platform and waits for changes until ctx ends.
func (d *Runner) follow(ctx context.Context) {
	var after uint64
	listed, lost, retry := false, false, firstRetry
	for ctx.Err() == nil {
		batch, err := d.next(ctx, listed, after)
		if err != nil {
			if !lost && ctx.Err() == nil {
				d.config.Log.Emit(event.PlatformLost, "err", err.Error())
			}
			lost, listed = true, false
			_ = pause(ctx, retry/2+rand.N(retry))
			retry = min(2*retry, lastRetry)
			continue
		}
		if err := d.offer(ctx, batch); err != nil {
			listed = false // the document was replaced meanwhile, or can't be read now
			_ = pause(ctx, retry/2+rand.N(retry))
			retry = min(2*retry, lastRetry)
			continue
		}
		if lost {
			d.config.Log.Emit(event.PlatformBack)
		}
		listed, lost, retry = true, false, firstRetry
		after = batch.Revision
	}
}

// next lists once, then watches.
func (d *Runner) next(ctx context.Context, listed bool, after uint64) (object.Batch, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if !listed {
		return d.config.Platform.List(ctx, Key)
	}
	return d.config.Platform.Watch(ctx, Key, after)
}

func (d *Runner) offer(ctx context.Context, batch object.Batch) error {
	for _, found := range batch.Objects {
		if found.Key != Key || found.Deleted {
			continue
		}
		record, err := wire.Decode[Record](found.Value)
		if err != nil {
			d.config.Log.Emit(event.ConfigurationUnreadable, "err", err.Error())
			continue
		}
		accepted, err := d.resolve(ctx, record)
		if err != nil {
			return err
		}
		d.put(DocumentRead{Accepted: accepted})
	}
	return nil
}

// resolve returns the document of a record, from the platform when the one in
// force does not lead to it.
func (d *Runner) resolve(ctx context.Context, record Record) (Accepted, error) {
	have, _ := d.Current()
	if record.Version <= have.Version && record.ID == have.ID {
		return have, nil
	}
	accepted, ok := record.Resolve(have)
	if ok {
		return accepted, nil
	}
	return whole(ctx, d.config.Platform, record)
}

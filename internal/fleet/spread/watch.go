package spread

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/hyssopwall/hyssopwall/internal/fleet/wire"
	"github.com/hyssopwall/hyssopwall/internal/platform/object"
	"github.com/hyssopwall/hyssopwall/internal/site/event"
)

// The backoff after a failed call to the platform doubles from minBackoff to
// maxBackoff. Jitter keeps watchers from all returning at once after an outage.
const (
	minBackoff = 500 * time.Millisecond
	maxBackoff = 4 * time.Second
)

// callTimeout ends a call that the platform never answers. The platform ends a
// watch without changes earlier.
const callTimeout = 60 * time.Second

// watch starts or stops the watch of the platform. It first stops one that runs.
func (r *Runner) watch(on bool) {
	if r.unwatch != nil {
		r.unwatch()
		r.unwatch = nil
	}
	if !on || r.config.Platform == nil {
		return
	}
	ctx, cancel := context.WithCancel(r.ctx)
	r.unwatch = cancel
	r.tasks.Go(func() { r.follow(ctx) })
}

// follow reads the record from the platform and watches it until ctx ends. After
// an error it backs off and reads the record again.
func (r *Runner) follow(ctx context.Context) {
	var after uint64
	listed, lost, backoff := false, false, minBackoff
	for ctx.Err() == nil {
		batch, err := r.listOrWatch(ctx, listed, after)
		if err != nil {
			if !lost && ctx.Err() == nil {
				r.config.Log.Emit(event.PlatformUnreachable, "err", err.Error())
			}
			lost, listed = true, false
			_ = pause(ctx, backoff/2+rand.N(backoff))
			backoff = min(2*backoff, maxBackoff)
			continue
		}
		if err := r.readBatch(ctx, batch); err != nil {
			listed = false // the document was replaced in the meantime or can't be read now
			_ = pause(ctx, backoff/2+rand.N(backoff))
			backoff = min(2*backoff, maxBackoff)
			continue
		}
		if lost {
			r.config.Log.Emit(event.PlatformReachable)
		}
		listed, lost, backoff = true, false, minBackoff
		after = batch.Revision
	}
}

// listOrWatch lists the record unless that is done, and otherwise waits for a
// change after the given revision.
func (r *Runner) listOrWatch(ctx context.Context, listed bool, after uint64) (object.Batch, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if !listed {
		return r.config.Platform.List(ctx, Key)
	}
	return r.config.Platform.Watch(ctx, Key, after)
}

// readBatch enqueues the document of each record in a batch. It logs and skips
// records that can't be decoded, and fails if a document can't be read.
func (r *Runner) readBatch(ctx context.Context, batch object.Batch) error {
	for _, found := range batch.Objects {
		if found.Key != Key || found.Deleted {
			continue
		}
		record, err := wire.Decode[Record](found.Value)
		if err != nil {
			r.config.Log.Emit(event.ConfigurationUnreadable, "err", err.Error())
			continue
		}
		accepted, err := r.resolve(ctx, record)
		if err != nil {
			return err
		}
		r.enqueue(DocumentRead{Accepted: accepted})
	}
	return nil
}

// resolve returns the document of a record. It reads the document from the
// platform only if the record and the document in force are not sufficient.
func (r *Runner) resolve(ctx context.Context, record Record) (Accepted, error) {
	have, _ := r.Current()
	if record.Version <= have.Version && record.ID == have.ID {
		return have, nil
	}
	accepted, ok := record.Resolve(have)
	if ok {
		return accepted, nil
	}
	return readBody(ctx, r.config.Platform, record)
}

package batch

import (
	"context"
	"slices"
	"time"

	"github.com/hyssopwall/hyssopwall/internal/site/event"
)

// append writes results as the next object of the log (rule 2). It retries until the
// log holds them. It returns false if the context ends first or the results can't be
// encoded.
func (w *worker) append(ctx context.Context, results []Result) bool {
	for w.startWrite(ctx) {
		results = slices.DeleteFunc(results, func(r Result) bool { return w.isListed(r.ID) })
		if len(results) == 0 {
			w.endWrite()
			return true
		}
		value, err := encode(results)
		if err != nil {
			w.endWrite()
			w.Log.Emit(event.BatchWriteFailed, "batch", w.batch.ID, "err", err.Error())
			return false
		}
		began := time.Now()
		chunk := w.nextChunk()
		_, err = w.storage().put(ctx, logKey(w.batch.ID, chunk), value, 0)
		switch {
		case err == nil:
			w.lastWrite = time.Now()
			w.Meter.Time("results_write_seconds", w.lastWrite.Sub(began))
			w.publish(chunk, results)
			return true
		case isConflict(err):
			w.merge(ctx, chunk)
		default:
			w.Log.Emit(event.BatchWriteFailed, "batch", w.batch.ID, "chunk", chunk,
				"ms", time.Since(began).Milliseconds(), "err", err.Error())
			w.resolve(ctx, chunk, err)
		}
	}
	return false
}

// resolve follows a failed write of a log object. If its outcome is unknown, the object may
// be in the store, where other hosts read it: until that is known, readers here read the log
// too. A read costs less time than writing the object again over a busy link.
func (w *worker) resolve(ctx context.Context, chunk int, err error) {
	if !isUnknown(err) {
		pauseBeforeRetry(ctx)
		return
	}
	w.mu.Lock()
	w.inDoubt = true
	w.mu.Unlock()
	w.merge(ctx, chunk)
}

// startWrite marks a write as in flight. It returns false if the context has ended. The
// end of a batch cancels the context before it reads the mark.
func (w *worker) startWrite(ctx context.Context) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if ctx.Err() != nil {
		return false
	}
	w.writing = true
	return true
}

// merge publishes the log object that already exists where this owner wanted to write.
// This owner wrote it if the answer to an earlier write was lost; otherwise another owner
// did (rule 3).
func (w *worker) merge(ctx context.Context, chunk int) {
	results, err := w.storage().chunk(ctx, w.batch.ID, chunk)
	if err != nil {
		pauseBeforeRetry(ctx)
		return
	}
	w.publish(chunk, results)
}

// publish makes an object of the log visible to readers, unless it already is.
func (w *worker) publish(chunk int, results []Result) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.chunks != chunk {
		return
	}
	w.chunks++
	w.writing, w.inDoubt = false, false
	w.published = append(w.published, results...)
	for _, r := range results {
		w.listed[r.ID] = true
	}
	w.noteDelivery(time.Now())
	close(w.changed)
	w.changed = make(chan struct{})
}

package batch

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/hyssopwall/hyssopwall/internal/backend/pool"
	"github.com/hyssopwall/hyssopwall/internal/site/event"
)

// Bounds of an owner's worker.
const (
	// writeInterval is the least time between two writes of a batch's results, but for
	// that which makes the step whole: each call to the store is billed, and a
	// trainer goes on only with a whole step.
	writeInterval = 900 * time.Millisecond
	// minGather lets results that end together be written together.
	minGather = 30 * time.Millisecond
	// maxChunkBytes bounds the text of one object of the log.
	maxChunkBytes = 500 << 10
	// running bounds the generations of one batch at once on a host; each holds
	// a connection and some tens of kilobytes.
	maxGenerations = 512
)

// worker is a batch that this host runs.
type worker struct {
	*Batches
	batch         Batch
	epoch         uint64
	previousOwner string // the owner before, empty for the first
	expires       time.Time
	cancel        context.CancelFunc

	lastWrite time.Time // end of the latest write; owned by run

	mu          sync.Mutex
	published   []Result // as acknowledged by the store
	writing     bool     // a write is under way, or its outcome is unknown
	chunks      int      // objects of the log
	lastCatchUp time.Time
	readError   error // why the log could not be read on
	listed      map[string]bool
	changed     chan struct{} // closed when list grows
	itemIDs     map[string]bool
	itemRuns    map[string]itemRun
	handedOver  map[string]bool // items that a later batch runs
	finished    chan Result     // ring from the generations to the log
	slots       chan struct{}   // bounds the generations at once
}

func newWorker(b *Batches, batch Batch, record Record, log []Result, chunks int) *worker {
	w := &worker{
		Batches: b, batch: batch, epoch: record.Epoch, previousOwner: record.PreviousOwner, published: log, chunks: chunks,
		expires:    expiry(batch, record, time.Now()),
		listed:     make(map[string]bool, len(batch.Items)),
		changed:    make(chan struct{}),
		itemIDs:    make(map[string]bool, len(batch.Items)),
		itemRuns:   map[string]itemRun{},
		handedOver: map[string]bool{},
		finished:   make(chan Result, len(batch.Items)),
		slots:      make(chan struct{}, maxGenerations),
	}
	for _, item := range batch.Items {
		w.itemIDs[item.ID] = true
	}
	for _, result := range log {
		w.listed[result.ID] = true
	}
	return w
}

// clockSkew is by how much the times of day of two hosts may differ, jumps included.
const clockSkew = 5 * time.Second

// expiry returns when the items of a batch may be given up, by the steady clock of
// this host: its time of day may jump, and that of the host that took the batch may
// have. It errs on the late side.
func expiry(batch Batch, record Record, now time.Time) time.Time {
	age := now.Sub(time.UnixMilli(record.Submitted)) - clockSkew
	return now.Add(batch.Expiry - min(max(0, age), batch.Expiry))
}

// run generates what is not listed yet and appends it to the log, until all is
// listed or the context ends.
func (w *worker) run(ctx context.Context) {
	var items sync.WaitGroup
	defer items.Wait()
	items.Go(func() {
		w.dispatch(ctx, func(g *generation, choice *pool.Choice) {
			items.Go(func() {
				defer func() { <-w.slots }()
				running, unregister, ok := w.registerRun(ctx, g.item.ID)
				defer unregister()
				if !ok && choice != nil {
					choice.Release()
				}
				if !ok {
					return
				}
				if result, ok := g.run(running, choice); ok {
					w.finished <- result
				}
			})
		})
	})
	for w.remaining() > 0 {
		results, ok := w.collect(ctx)
		if !ok || !w.append(ctx, results) {
			return
		}
	}
	w.Log.Emit(event.BatchListed, "batch", w.batch.ID, "items", len(w.batch.Items), "chunks", w.nextChunk())
}

func (w *worker) remaining() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.batch.Items) - len(w.listed)
}

// collect waits for a result, and gathers others until the next write may be
// made. An item that was given up is written at once: it would fail at the next
// owner's engines as often again.
func (w *worker) collect(ctx context.Context) ([]Result, bool) {
	var results []Result
	size := 0
	var full <-chan time.Time
	next := w.lastWrite.Add(writeInterval)
	for {
		select {
		case result := <-w.finished:
			results = append(results, result)
			size += len(result.Text)
			if result.State == Errored {
				next = time.Time{}
			}
			if full == nil || result.State == Errored {
				full = time.After(max(minGather, time.Until(next)))
			}
			if size >= maxChunkBytes || len(results) >= w.remaining() || w.reachesDesiredGroups(results) {
				return results, true
			}
		case <-full:
			return results, true
		case <-ctx.Done():
			return nil, false
		}
	}
}

// completes says whether the results bring the groups that the trainer waits
// for to their number, so that it need not wait for the next write.
func (w *worker) reachesDesiredGroups(results []Result) bool {
	if w.batch.DesiredGroups <= 0 {
		return false
	}
	collected := map[string]bool{}
	for _, r := range results {
		collected[r.ID] = true
	}
	openAfter, openBefore := map[string]bool{}, map[string]bool{}
	groups := map[string]bool{}
	for _, item := range w.batch.Items {
		groups[item.Group] = true
		if w.isListed(item.ID) {
			continue
		}
		openBefore[item.Group] = true
		if !collected[item.ID] {
			openAfter[item.Group] = true
		}
	}
	return len(groups)-len(openBefore) < w.batch.DesiredGroups && len(groups)-len(openAfter) >= w.batch.DesiredGroups
}

// append writes results as the next object of the log (rule 2). It goes on
// until they stand or the context ends.
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
			pauseBeforeRetry(ctx)
		}
	}
	return false
}

// startWrite notes a write that is about to be made; false when the batch has
// ended here. An end cancels the context before it looks for the note.
func (w *worker) startWrite(ctx context.Context) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if ctx.Err() != nil {
		return false
	}
	w.writing = true
	return true
}

func (w *worker) endWrite() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.writing = false
}

// merge takes in the object that stands where this owner wanted to write: its
// own, when the answer was lost, or another owner's (rule 3).
func (w *worker) merge(ctx context.Context, chunk int) {
	results, err := w.storage().chunk(ctx, w.batch.ID, chunk)
	if err != nil {
		pauseBeforeRetry(ctx)
		return
	}
	w.publish(chunk, results)
}

// next returns the number of the log's next object.
func (w *worker) nextChunk() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.chunks
}

// publish shows an object of the log to readers, unless it is shown already.
func (w *worker) publish(chunk int, results []Result) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.chunks != chunk {
		return
	}
	w.chunks++
	w.writing = false
	w.published = append(w.published, results...)
	for _, r := range results {
		w.listed[r.ID] = true
	}
	close(w.changed)
	w.changed = make(chan struct{})
}

func (w *worker) nothingAfter(after int) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.published) <= after
}

func (w *worker) isListed(id string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.listed[id]
}

// catchUpInterval is how often an owner that took a batch over looks for what the
// owner before still writes.
const catchUpInterval = 400 * time.Millisecond

// peek reads on in the log of a batch that was taken over: the owner before may
// not know yet that it is no longer, and readers may have its results. The error
// says that the log could not be read to its end.
func (w *worker) catchUp(ctx context.Context) error {
	if !w.catchUpDue() {
		return w.lastReadError()
	}
	for {
		chunk := w.nextChunk()
		results, err := w.storage().chunk(ctx, w.batch.ID, chunk)
		if isNotFound(err) {
			err = nil // the end
		} else if err == nil {
			w.publish(chunk, results)
			continue
		}
		w.mu.Lock()
		w.readError = err
		w.mu.Unlock()
		return err
	}
}

// catchUpDue says whether the log is to be read on now.
func (w *worker) catchUpDue() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	due := w.epoch > 1 && time.Since(w.lastCatchUp) >= catchUpInterval
	if due {
		w.lastCatchUp = time.Now()
	}
	return due
}

// lastReadError returns why the log could not be read on lately.
func (w *worker) lastReadError() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.readError
}

// read returns results from a position on and waits for the first. The error says
// that there may be results that can't be read now.
func (w *worker) read(ctx context.Context, after int, wait time.Duration) (Page, error) {
	if w.nothingAfter(after) {
		if err := w.catchUp(ctx); err != nil && w.nothingAfter(after) {
			return Page{}, err
		}
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		w.mu.Lock()
		p, changed := newPage(w.published, len(w.batch.Items), after), w.changed
		w.mu.Unlock()
		if len(p.Results) > 0 || after >= p.Total {
			return p, nil
		}
		select {
		case <-changed:
		case <-timer.C:
			return p, nil
		case <-ctx.Done():
			return p, nil
		}
	}
}

func (w *worker) body(item string) ([]byte, bool) {
	at := slices.IndexFunc(w.batch.Items, func(i Item) bool { return i.ID == item })
	if at < 0 || w.isListed(item) {
		return nil, false
	}
	return w.batch.Items[at].Body, true
}

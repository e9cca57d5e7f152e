package batch

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/hyssopwall/hyssopwall/internal/backend/pool"
	"github.com/hyssopwall/hyssopwall/internal/site/event"
)

// Bounds of an owner's work.
const (
	// spacing is the least time between two writes of a batch's results, but for
	// that which makes the step whole: each call to the store is billed, and a
	// trainer goes on only with a whole step.
	spacing = 900 * time.Millisecond
	// leastGather lets results that end together be written together.
	leastGather = 30 * time.Millisecond
	// chunkBytes bounds the text of one object of the log.
	chunkBytes = 500 << 10
	// running bounds the generations of one batch at once on a host; each holds
	// a connection and some tens of kilobytes.
	running = 512
)

// work is a batch that this host runs.
type work struct {
	*Batches
	batch   Batch
	epoch   uint64
	last    string // the owner before, empty for the first
	expires time.Time
	cancel  context.CancelFunc

	wrote time.Time // end of the latest write; owned by run

	mu      sync.Mutex
	list    []Result // as acknowledged by the store
	writing bool     // a write is under way, or its outcome is unknown
	chunks  int      // objects of the log
	peeked  time.Time
	unread  error // why the log could not be read on
	listed  map[string]bool
	changed chan struct{} // closed when list grows
	holds   map[string]bool
	runs    map[string]itemRun
	yielded map[string]bool // items that a later batch runs
	ready   chan Result     // ring from the generations to the log
	places  chan struct{}   // bounds the generations at once
}

func newWork(b *Batches, batch Batch, record Record, log []Result, chunks int) *work {
	w := &work{
		Batches: b, batch: batch, epoch: record.Epoch, last: record.PreviousOwner, list: log, chunks: chunks,
		expires: expiry(batch, record, time.Now()),
		listed:  make(map[string]bool, len(batch.Items)),
		changed: make(chan struct{}),
		holds:   make(map[string]bool, len(batch.Items)),
		runs:    map[string]itemRun{},
		yielded: map[string]bool{},
		ready:   make(chan Result, len(batch.Items)),
		places:  make(chan struct{}, running),
	}
	for _, item := range batch.Items {
		w.holds[item.ID] = true
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
func (w *work) run(ctx context.Context) {
	var items sync.WaitGroup
	defer items.Wait()
	items.Go(func() {
		w.dispatch(ctx, func(g *generation, choice *pool.Choice) {
			items.Go(func() {
				defer func() { <-w.places }()
				running, leave, ok := w.enter(ctx, g.item.ID)
				defer leave()
				if !ok && choice != nil {
					choice.Release()
				}
				if !ok {
					return
				}
				if result, ok := g.run(running, choice); ok {
					w.ready <- result
				}
			})
		})
	})
	for w.left() > 0 {
		results, ok := w.collect(ctx)
		if !ok || !w.append(ctx, results) {
			return
		}
	}
	w.Log.Emit(event.BatchListed, "batch", w.batch.ID, "items", len(w.batch.Items), "chunks", w.next())
}

func (w *work) left() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.batch.Items) - len(w.listed)
}

// collect waits for a result, and gathers others until the next write may be
// made. An item that was given up is written at once: it would fail at the next
// owner's engines as often again.
func (w *work) collect(ctx context.Context) ([]Result, bool) {
	var results []Result
	size := 0
	var full <-chan time.Time
	next := w.wrote.Add(spacing)
	for {
		select {
		case result := <-w.ready:
			results = append(results, result)
			size += len(result.Text)
			if result.State == Errored {
				next = time.Time{}
			}
			if full == nil || result.State == Errored {
				full = time.After(max(leastGather, time.Until(next)))
			}
			if size >= chunkBytes || len(results) >= w.left() || w.completes(results) {
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
func (w *work) completes(results []Result) bool {
	if w.batch.DesiredGroups <= 0 {
		return false
	}
	waiting := map[string]bool{}
	for _, r := range results {
		waiting[r.ID] = true
	}
	open, before := map[string]bool{}, map[string]bool{}
	groups := map[string]bool{}
	for _, item := range w.batch.Items {
		groups[item.Group] = true
		if w.isListed(item.ID) {
			continue
		}
		before[item.Group] = true
		if !waiting[item.ID] {
			open[item.Group] = true
		}
	}
	return len(groups)-len(before) < w.batch.DesiredGroups && len(groups)-len(open) >= w.batch.DesiredGroups
}

// append writes results as the next object of the log (rule 2). It goes on
// until they stand or the context ends.
func (w *work) append(ctx context.Context, results []Result) bool {
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
		chunk := w.next()
		_, err = w.ledger().put(ctx, logKey(w.batch.ID, chunk), value, 0)
		switch {
		case err == nil:
			w.wrote = time.Now()
			w.Meter.Time("results_write_seconds", w.wrote.Sub(began))
			w.publish(chunk, results)
			return true
		case conflicts(err):
			w.merge(ctx, chunk)
		default:
			w.Log.Emit(event.BatchWriteFailed, "batch", w.batch.ID, "chunk", chunk,
				"ms", time.Since(began).Milliseconds(), "err", err.Error())
			retry(ctx)
		}
	}
	return false
}

// startWrite notes a write that is about to be made; false when the batch has
// ended here. An end cancels the context before it looks for the note.
func (w *work) startWrite(ctx context.Context) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if ctx.Err() != nil {
		return false
	}
	w.writing = true
	return true
}

func (w *work) endWrite() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.writing = false
}

// merge takes in the object that stands where this owner wanted to write: its
// own, when the answer was lost, or another owner's (rule 3).
func (w *work) merge(ctx context.Context, chunk int) {
	results, err := w.ledger().chunk(ctx, w.batch.ID, chunk)
	if err != nil {
		retry(ctx)
		return
	}
	w.publish(chunk, results)
}

// next returns the number of the log's next object.
func (w *work) next() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.chunks
}

// publish shows an object of the log to readers, unless it is shown already.
func (w *work) publish(chunk int, results []Result) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.chunks != chunk {
		return
	}
	w.chunks++
	w.writing = false
	w.list = append(w.list, results...)
	for _, r := range results {
		w.listed[r.ID] = true
	}
	close(w.changed)
	w.changed = make(chan struct{})
}

func (w *work) short(after int) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.list) <= after
}

func (w *work) isListed(id string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.listed[id]
}

// peekEvery is how often an owner that took a batch over looks for what the
// owner before still writes.
const peekEvery = 400 * time.Millisecond

// peek reads on in the log of a batch that was taken over: the owner before may
// not know yet that it is no longer, and readers may have its results. The error
// says that the log could not be read to its end.
func (w *work) peek(ctx context.Context) error {
	if !w.duePeek() {
		return w.peekError()
	}
	for {
		chunk := w.next()
		results, err := w.ledger().chunk(ctx, w.batch.ID, chunk)
		if missing(err) {
			err = nil // the end
		} else if err == nil {
			w.publish(chunk, results)
			continue
		}
		w.mu.Lock()
		w.unread = err
		w.mu.Unlock()
		return err
	}
}

// duePeek says whether the log is to be read on now.
func (w *work) duePeek() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	due := w.epoch > 1 && time.Since(w.peeked) >= peekEvery
	if due {
		w.peeked = time.Now()
	}
	return due
}

// peekError returns why the log could not be read on lately.
func (w *work) peekError() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.unread
}

// read returns results from a position on and waits for the first. The error says
// that there may be results that can't be read now.
func (w *work) read(ctx context.Context, after int, wait time.Duration) (Page, error) {
	if w.short(after) {
		if err := w.peek(ctx); err != nil && w.short(after) {
			return Page{}, err
		}
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		w.mu.Lock()
		p, changed := page(w.list, len(w.batch.Items), after), w.changed
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

func (w *work) body(item string) ([]byte, bool) {
	at := slices.IndexFunc(w.batch.Items, func(i Item) bool { return i.ID == item })
	if at < 0 || w.isListed(item) {
		return nil, false
	}
	return w.batch.Items[at].Body, true
}

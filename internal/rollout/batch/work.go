package batch

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/hyssopwall/hyssopwall/internal/site/event"
)

// Limits of a worker.
const (
	// writeInterval is the minimum time between two writes of a batch's results, since
	// each call to the store is billed. A write that completes the batch or its desired
	// groups does not wait for it, since a trainer goes on only with a complete step;
	// nor does one that reaches maxChunkBytes or holds an item that was given up.
	writeInterval = 900 * time.Millisecond
	// minGather is the minimum time for which results are gathered, so that results
	// that finish together are written together.
	minGather = 30 * time.Millisecond
	// maxChunkBytes is the length of the gathered text at which it is written without
	// further waiting. An object of the log exceeds it by less than the text of its last
	// result.
	maxChunkBytes = 500 << 10
	// maxGenerations bounds the concurrent generations of one batch on a host. Each
	// holds a connection and some tens of kilobytes.
	maxGenerations = 512
)

// worker runs the items of one batch on this host and serves its results. An item is
// listed once the log in the store holds its result.
type worker struct {
	*Batches
	batch     Batch
	epoch     uint64
	submitted int64     // see Record
	previous  process   // the previous owner, empty for the first one
	expires   time.Time // when the items may be given up
	due       time.Time // see dueTime
	latestEnd time.Time // see latestEnd
	lagging   bool      // see trainerLags
	cancel    context.CancelFunc
	copies    *copySender // nil without Batches.ToleratedZones

	lastWrite time.Time // end of the latest write; used only by run

	mu          sync.Mutex
	published   []Result // results in the order of the log, acknowledged by the store
	writing     bool     // a write is in flight, or its outcome is unknown
	chunks      int      // number of objects in the log
	lastCatchUp time.Time
	replaced    bool               // see markReplaced
	inDoubt     bool               // the outcome of the latest write is unknown, see resolve
	readError   error              // error of the latest catchUp
	listed      map[string]bool    // items with a published result
	deliveredAt time.Time          // see noteDelivery; zero before
	changed     chan struct{}      // closed and replaced when published grows
	itemIDs     map[string]bool    // all items of the batch
	itemRuns    map[string]itemRun // generations in progress, by item
	handedOver  map[string]bool    // items that another worker runs from now on
	finished    chan Result        // results of the generations, received by collect
	slots       chan struct{}      // semaphore that bounds concurrent generations
}

func newWorker(b *Batches, batch Batch, record Record, previous process, log []Result, chunks int) *worker {
	batch.Items = slices.Clone(batch.Items) // releaseBodies changes them
	now := time.Now()
	w := &worker{
		Batches: b, batch: batch, epoch: record.Epoch, submitted: record.Submitted, previous: previous, published: log, chunks: chunks,
		expires: expiry(batch, record, now), due: dueTime(batch, record, now), latestEnd: latestEnd(batch, record, now),
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
	w.noteDelivery(now)
	if b.ToleratedZones > 0 {
		w.copies = &copySender{worker: w, items: map[string]*itemProgress{}}
	}
	return w
}

// clockSkew bounds the difference between the wall clocks of two hosts, jumps included.
const clockSkew = 5 * time.Second

// expiry returns the time from which the items of a batch may be given up. It uses the
// monotonic clock of this host from now on, because the wall clocks of this host and
// of the host that accepted the batch may jump. It errs on the late side.
func expiry(batch Batch, record Record, now time.Time) time.Time {
	age := now.Sub(time.UnixMilli(record.Submitted)) - clockSkew
	return now.Add(batch.Expiry - min(max(0, age), batch.Expiry))
}

// run generates the items that are not listed yet and appends their results to the
// log, until all items are listed or the context ends.
func (w *worker) run(ctx context.Context) {
	var items sync.WaitGroup
	defer items.Wait()
	items.Go(func() {
		w.dispatch(ctx, func(g *generation) {
			items.Go(func() {
				defer func() { <-w.slots }()
				running, unregister, ok := w.registerRun(ctx, g.item.ID)
				defer unregister()
				if !ok {
					return
				}
				if result, ok := g.generateAndScore(running); ok {
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
	w.Log.Emit(event.BatchCompleted, "batch", w.batch.ID, "items", len(w.batch.Items), "chunks", w.nextChunk())
}

// remaining returns the number of items that are not listed yet.
func (w *worker) remaining() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.batch.Items) - len(w.listed)
}

// collect waits for a result and gathers further ones until the next write is due. It
// returns false if the context ends first. An item that was given up is written after
// minGather: if this host failed before the write, the next owner would run the item on
// its engines just as often again.
func (w *worker) collect(ctx context.Context) ([]Result, bool) {
	var results []Result
	size := 0
	var due <-chan time.Time // fires when the results are to be written; nil before the first one
	next := w.lastWrite.Add(writeInterval)
	for {
		select {
		case result := <-w.finished:
			results = append(results, result)
			size += len(result.Text)
			if result.State == Errored {
				next = time.Time{}
			}
			if due == nil || result.State == Errored {
				due = time.After(max(minGather, time.Until(next)))
			}
			if size >= maxChunkBytes || len(results) >= w.remaining() || w.reachesDesiredGroups(results) {
				return results, true
			}
		case <-due:
			return results, true
		case <-ctx.Done():
			return nil, false
		}
	}
}

// reachesDesiredGroups reports whether the collected results raise the number of
// complete groups to the number that the trainer waits for. They are then written
// without waiting for the write interval.
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

// endWrite clears the mark of startWrite.
func (w *worker) endWrite() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.writing = false
}

// nextChunk returns the number of the log's next object.
func (w *worker) nextChunk() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.chunks
}

// nothingAfter reports whether no result is published from a position on.
func (w *worker) nothingAfter(after int) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.published) <= after
}

// isListed reports whether an item's result is published.
func (w *worker) isListed(id string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.listed[id]
}

// catchUpInterval is how often an owner that took a batch over, or whose batch was taken
// over, checks the log for results that the other owner writes.
const catchUpInterval = 400 * time.Millisecond

// catchUp reads the new objects in the log of a batch that was taken over. The previous
// owner may not have seen yet that it was replaced, and may already have served its
// results to readers. An error means that the log could not be read to its end. Within
// catchUpInterval of the latest read it returns the outcome of that read again.
func (w *worker) catchUp(ctx context.Context) error {
	if !w.catchUpDue() {
		return w.lastReadError()
	}
	for {
		chunk := w.nextChunk()
		results, err := w.storage().chunk(ctx, w.batch.ID, chunk)
		if isNotFound(err) {
			err = nil // end of the log
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

// catchUpDue reports whether the log has to be read again now. If so, it sets
// lastCatchUp: the caller must read the log.
func (w *worker) catchUpDue() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	due := (w.epoch > 1 || w.replaced || w.inDoubt) && time.Since(w.lastCatchUp) >= catchUpInterval
	if due {
		w.lastCatchUp = time.Now()
	}
	return due
}

// lastReadError returns the error of the latest catchUp, if it failed.
func (w *worker) lastReadError() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.readError
}

// read returns results from a position on and waits at most the given time for the
// first one; the page is empty if none is published by then. An error means
// that the log may hold results that can't be read at the moment.
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
			return w.page(after), nil // results may have come at the same time
		case <-ctx.Done():
			return w.page(after), nil
		}
	}
}

// page returns the published results from a position on.
func (w *worker) page(after int) Page {
	w.mu.Lock()
	defer w.mu.Unlock()
	return newPage(w.published, len(w.batch.Items), after)
}

// releaseBodies frees the bodies of the items of a batch whose results are all listed. None of
// them is read again.
func (w *worker) releaseBodies() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for i := range w.batch.Items {
		w.batch.Items[i].Body, w.batch.Items[i].Scorer = nil, nil
	}
}

// body returns the body of an item without a listed result.
func (w *worker) body(item string) ([]byte, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	at := slices.IndexFunc(w.batch.Items, func(i Item) bool { return i.ID == item })
	if at < 0 || w.listed[item] {
		return nil, false
	}
	return w.batch.Items[at].Body, true
}

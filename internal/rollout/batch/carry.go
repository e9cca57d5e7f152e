package batch

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/hyssopwall/hyssopwall/internal/site/event"
)

// A trainer resubmits the groups that a step left unfinished with the next step, under
// the same item identifiers. The host that ran the step keeps their text, and the next
// owner goes on from it if its weights are new enough. These carried items are the
// longest ones, so starting them from the beginning would delay the next step as well.

const (
	// partialRetention is how long text is kept for a later batch: the duration of a
	// few steps. Text of an item that is stored again is dropped with the earlier one.
	partialRetention = 30 * time.Second
	// partialsTimeout bounds the requests for partial results, which delay the start of
	// a step.
	partialsTimeout = 150 * time.Millisecond
	// givenUpTimeout bounds reading the logs of batches whose owners don't answer, which
	// delays the start of a step as well. A slow store answers in a quarter of a second.
	givenUpTimeout = 300 * time.Millisecond
	// maxPreviousAge is the age up to which a batch is asked for carried items.
	maxPreviousAge = 20 * time.Second
)

// storePartial keeps the text of an item whose generation has stopped, and its failures,
// for a later batch that contains the item. A text that is already kept stays unless the
// new one is longer or has a newer weights version.
func (b *Batches) storePartial(item string, partial Partial) {
	if len(partial.Texts) == 0 && partial.Failures == 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.initMaps()
	previous := b.partials[item]
	if len(previous.Texts) >= len(partial.Texts) && previous.newestVersion() >= partial.newestVersion() {
		partial.Texts, partial.Versions, partial.Complete = previous.Texts, previous.Versions, previous.Complete
	}
	partial.addFailures(previous.Partial)
	stored := previous.stored
	if stored.IsZero() {
		stored = time.Now()
	}
	b.partials[item] = storedPartial{partial, stored}
}

// storedPartial is a partial result and the time since which one of its item is stored. It
// is dropped by sweep.
type storedPartial struct {
	Partial
	stored time.Time
}

// addFailures merges the failures that another host or batch has recorded of the item.
func (p *Partial) addFailures(other Partial) {
	p.Failures = max(p.Failures, other.Failures)
	p.Permanent = p.Permanent || other.Permanent
	p.ScorerFailures = max(p.ScorerFailures, other.ScorerFailures)
	p.Unscorable = p.Unscorable || other.Unscorable
}

// newestVersion returns the newest weights version that generated the text, zero for none.
func (p Partial) newestVersion() uint64 {
	if len(p.Versions) == 0 {
		return 0
	}
	return p.Versions[len(p.Versions)-1]
}

// handOverItems stops the generations of those items that the batch contains and that
// are not listed. This worker never starts them again. It waits until their text is stored
// in the partial results, or the context ends.
func (w *worker) handOverItems(ctx context.Context, items []string) {
	var ends []chan struct{}
	w.mu.Lock()
	for _, item := range items {
		if w.listed[item] || !w.itemIDs[item] {
			continue
		}
		w.handedOver[item] = true
		if run, ok := w.itemRuns[item]; ok {
			run.cancel()
			ends = append(ends, run.done)
		}
	}
	w.mu.Unlock()
	for _, end := range ends {
		select {
		case <-end:
		case <-ctx.Done():
			return
		}
	}
}

// markReplaced records that another host has taken over the batch of the items, if it is this
// one. Until this host learns it from the record, it reads the log for each reader, since the
// new owner may already have shown results of its own.
func (w *worker) markReplaced(items []string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.replaced = w.replaced || slices.ContainsFunc(items, func(id string) bool { return w.itemIDs[id] })
}

// itemRun is a generation in progress.
type itemRun struct {
	cancel context.CancelFunc
	done   chan struct{}
}

// registerRun registers the generation of an item, unless the item was handed over. The
// returned context is canceled when the item is handed over. The caller calls unregister
// when the generation has stopped.
func (w *worker) registerRun(ctx context.Context, item string) (running context.Context, unregister func(), ok bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.handedOver[item] {
		return ctx, func() {}, false
	}
	running, cancel := context.WithCancel(ctx)
	run := itemRun{cancel: cancel, done: make(chan struct{})}
	w.itemRuns[item] = run
	return running, func() {
		cancel()
		w.mu.Lock()
		delete(w.itemRuns, item)
		w.mu.Unlock()
		close(run.done)
	}, true
}

// usable reports whether a batch may go on from the text.
func (p Partial) usable(batch Batch) bool {
	switch {
	case len(p.Texts) == 0 || len(p.Versions) == 0:
		return false
	case batch.Single && len(p.Versions) > 1:
		return false
	}
	return p.Versions[0] >= batch.MinVersion
}

// ServePartials answers another host, or this one. Running batches of the request's
// workspace and route stop the items and hand them over, except the batch that asks. Batches
// that this host has just dropped count as running until their generations have stopped.
func (b *Batches) ServePartials(ctx context.Context, request PartialsRequest) PartialsReply {
	if request.CopyOf != "" {
		return b.heldCopy(request.CopyOf)
	}
	for _, w := range b.activeWorkers() {
		if w.batch.ID != request.Batch && w.batch.Workspace == request.Workspace && w.batch.Route == request.Route {
			if request.Batch == "" {
				w.markReplaced(request.Items)
			}
			w.handOverItems(ctx, request.Items)
		}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	reply := PartialsReply{Partials: map[string]Partial{}, Incarnation: b.Incarnation}
	for _, item := range request.Items {
		if kept, ok := b.partials[item]; ok {
			kept.Texts = slices.Clip(kept.Texts) // the generations that get it append to it
			reply.Partials[item] = kept.Partial
		}
	}
	return reply
}

// activeWorkers returns the workers whose run has not returned.
func (b *Batches) activeWorkers() []*worker {
	b.mu.Lock()
	defer b.mu.Unlock()
	return slices.Collect(maps.Keys(b.active))
}

// carriedItem is what is known of an item from an earlier batch. Events is the length of its
// text there, also of one that is too old to be used.
type carriedItem struct {
	Partial
	events int
}

// carried returns the usable text and the failures of the batch's items, by item. It
// asks the previous owner if the batch was taken over, this host, and the owners of the
// recent batches of the same workspace and route. If the owner of a recent batch does not
// answer, or was an earlier process of this host, the items that the log of that batch
// lists as given up count as failed Attempts times.
func (w *worker) carried(ctx context.Context) map[string]carriedItem {
	b, batch := w.Batches, w.batch
	request := PartialsRequest{
		Batch: batch.ID, Workspace: batch.Workspace, Route: batch.Route, Items: make([]string, len(batch.Items)),
	}
	for i, item := range batch.Items {
		request.Items[i] = item.ID
	}
	found := map[string]carriedItem{}
	add := func(partials map[string]Partial) {
		for item, partial := range partials {
			best := found[item]
			if partial.usable(batch) && len(partial.Texts) > len(best.Texts) {
				best.Texts, best.Versions, best.Complete = partial.Texts, partial.Versions, partial.Complete
			}
			best.addFailures(partial)
			best.events = max(best.events, len(partial.Texts))
			found[item] = best
		}
	}
	partials, copies := w.fromLostOwner(ctx, request) // with its own timeout, since that owner may be dead
	add(partials)
	add(copies)
	var unanswered []string // batches whose owners don't answer
	askCtx, cancel := context.WithTimeout(ctx, partialsTimeout)
	defer cancel()
	add(b.ServePartials(askCtx, request).Partials)
	for owner, batches := range b.previousOwners(batch) {
		if owner.host != b.Host {
			if reply, err := w.askPartials(askCtx, owner.host, request); err == nil {
				add(reply.Partials)
				continue
			}
		}
		unanswered = append(unanswered, batches...)
	}
	readCtx, stop := context.WithTimeout(ctx, givenUpTimeout)
	defer stop()
	for _, id := range unanswered {
		for _, item := range b.givenUpItems(readCtx, id) {
			partial := found[item]
			partial.Failures += batch.Attempts
			found[item] = partial
		}
	}
	return found
}

// fromLostOwner returns the partial results of a batch that was taken over: those of its
// previous owner, or the copies at its standbys. A copy may hold a text that the owner has
// dropped since, so that copies count only if the process of that owner does not answer.
func (w *worker) fromLostOwner(ctx context.Context, request PartialsRequest) (partials, copies map[string]Partial) {
	var group sync.WaitGroup
	group.Go(func() { copies = w.fromStandbys(ctx) })
	partials, answered := w.fromPreviousOwner(ctx, request)
	group.Wait()
	if answered {
		return partials, nil
	}
	texts := 0
	for item, partial := range copies {
		if partial.usable(w.batch) && !w.isListed(item) {
			texts++
		}
	}
	w.Meter.Add("copied_texts_used_total", int64(texts))
	return partials, copies
}

// fromPreviousOwner asks the previous owner of a batch that was taken over for its
// partial results. That owner may only have been slow to answer or cut off from the
// store, and still runs the items; it stops them and returns their text. The result is
// nil if it does not answer, and false if its process does not.
func (w *worker) fromPreviousOwner(ctx context.Context, request PartialsRequest) (map[string]Partial, bool) {
	if w.previous.host == "" || w.previous.host == w.Host {
		return nil, w.previous == process{w.Host, w.Incarnation}
	}
	request.Batch = "" // so that the batch itself is not excepted
	request.Items = slices.DeleteFunc(slices.Clone(request.Items), w.isListed)
	ctx, cancel := context.WithTimeout(ctx, partialsTimeout)
	defer cancel()
	reply, err := w.askPartials(ctx, w.previous.host, request)
	return reply.Partials, err == nil && reply.Incarnation == w.previous.incarnation
}

// askPartials asks another host for partial results.
func (w *worker) askPartials(ctx context.Context, host string, request PartialsRequest) (PartialsReply, error) {
	reply, err := w.Peers.Partials(ctx, host, request)
	if err != nil {
		w.Log.Emit(event.OwnerNotifyFailed, "batch", w.batch.ID, "owner", host, "err", err.Error())
	}
	return reply, err
}

// givenUpItems returns the items that the log of a batch lists as given up.
func (b *Batches) givenUpItems(ctx context.Context, id string) []string {
	chunks, err := b.storage().log(ctx, id, 0)
	if err != nil {
		b.Log.Emit(event.BatchUnreadable, "batch", id, "err", err.Error())
		return nil
	}
	var items []string
	for _, result := range slices.Concat(chunks...) {
		if result.State == Errored {
			items = append(items, result.ID)
		}
	}
	return items
}

// process identifies a process of a host that ran a batch.
type process struct {
	host        string
	incarnation uint64
}

// previousOwners returns the processes that ran recent batches of the same workspace and
// route, with the identifiers of these batches. It leaves out this process, which has its
// own partial results in memory.
func (b *Batches) previousOwners(batch Batch) map[process][]string {
	b.mu.Lock()
	defer b.mu.Unlock()
	oldest := time.Now().Add(-maxPreviousAge).UnixMilli()
	owners := map[process][]string{}
	for id, k := range b.known {
		same := id != batch.ID && k.Workspace == batch.Workspace && k.Route == batch.Route && k.Submitted >= oldest
		owner := process{k.Owner, k.Incarnation}
		if same && k.Owner != "" && owner != (process{b.Host, b.Incarnation}) {
			owners[owner] = append(owners[owner], id)
		}
	}
	return owners
}

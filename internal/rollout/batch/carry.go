package batch

import (
	"context"
	"slices"
	"time"

	"github.com/hyssopwall/hyssopwall/internal/site/event"
)

// A trainer submits the groups that a step left unfinished again with the next
// step, under the same identifiers. Their text is kept by the host that ran the
// step, and the next owner goes on from it where its weights are new enough.
// Carried items are the longest ones, so that a new start would make the next
// step late as well.

const (
	// partialRetention is how long text is kept for a next step: some steps' time.
	partialRetention = 30 * time.Second
	// partialsTimeout bounds the question for it, which delays a step's start.
	partialsTimeout = 150 * time.Millisecond
	// givenUpTimeout bounds the reading of the logs of owners that don't answer, which
	// delays a step's start as well; a slow store answers in a quarter of a second.
	givenUpTimeout = 300 * time.Millisecond
	// maxPreviousAge is the age up to which a batch may have left items behind.
	maxPreviousAge = 20 * time.Second
)

// storePartial keeps the text of an item that its batch did not finish, and the
// failures of one that can't be finished.
func (b *Batches) storePartial(item string, partial Partial) {
	if len(partial.Texts) == 0 && partial.Failures == 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.initMaps()
	known := b.partials[item]
	if len(known.Texts) >= len(partial.Texts) && known.newestVersion() >= partial.newestVersion() {
		partial.Texts, partial.Versions, partial.Complete = known.Texts, known.Versions, known.Complete
	}
	partial.addFailures(known)
	b.partials[item] = partial
	time.AfterFunc(partialRetention, func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		delete(b.partials, item)
	})
}

// addFailures takes in what another host or batch knows of the item's failures.
func (p *Partial) addFailures(other Partial) {
	p.Failures = max(p.Failures, other.Failures)
	p.Permanent = p.Permanent || other.Permanent
	p.ScorerFailures = max(p.ScorerFailures, other.ScorerFailures)
	p.Unscorable = p.Unscorable || other.Unscorable
}

func (p Partial) newestVersion() uint64 {
	if len(p.Versions) == 0 {
		return 0
	}
	return p.Versions[len(p.Versions)-1]
}

// yield stops the generations of items for good and waits until their text is
// kept.
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

// itemRun is the generation of an item under way.
type itemRun struct {
	cancel context.CancelFunc
	done   chan struct{}
}

// enter registers the generation of an item, unless it was handedOver. The
// returned context ends with it; unregister is called at its end.
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

// usable says whether a batch may go on from the text.
func (p Partial) usable(batch Batch) bool {
	switch {
	case len(p.Texts) == 0 || len(p.Versions) == 0:
		return false
	case batch.Single && len(p.Versions) > 1:
		return false
	}
	return p.Versions[0] >= batch.Floor
}

// ServePartials answers another host, or this one. Batches that run here give
// up the items: the later batch runs them.
func (b *Batches) ServePartials(ctx context.Context, request PartialsRequest) PartialsReply {
	for id, w := range b.runningWorkers() {
		if id != request.Batch && w.batch.Workspace == request.Workspace && w.batch.Route == request.Route {
			w.handOverItems(ctx, request.Items)
		}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	reply := PartialsReply{Partials: map[string]Partial{}}
	for _, item := range request.Items {
		if partial, ok := b.partials[item]; ok {
			reply.Partials[item] = partial
		}
	}
	return reply
}

// carried returns the usable text and the failures of a batch's items from this
// host, from the owner before if the batch was taken over, and from the owners of
// the latest batches along the same route. Of an owner
// that does not answer, the log in the store tells which items were given up.
func (w *worker) carried(ctx context.Context) map[string]Partial {
	b, batch := w.Batches, w.batch
	request := PartialsRequest{
		Batch: batch.ID, Workspace: batch.Workspace, Route: batch.Route, Items: make([]string, len(batch.Items)),
	}
	for i, item := range batch.Items {
		request.Items[i] = item.ID
	}
	found := map[string]Partial{}
	add := func(partials map[string]Partial) {
		for item, partial := range partials {
			best := found[item]
			if partial.usable(batch) && len(partial.Texts) > len(best.Texts) {
				best.Texts, best.Versions, best.Complete = partial.Texts, partial.Versions, partial.Complete
			}
			best.addFailures(partial)
			found[item] = best
		}
	}
	add(w.fromPreviousOwner(ctx, request)) // in a time of its own, since that owner may be dead
	var unread []string                    // batches of owners that don't answer
	asking, cancel := context.WithTimeout(ctx, partialsTimeout)
	defer cancel()
	add(b.ServePartials(asking, request).Partials)
	for owner, batches := range b.previousOwners(batch) {
		if owner.host != b.Host {
			if partials, ok := w.askPartials(asking, owner.host, request); ok {
				add(partials)
				continue
			}
		}
		unread = append(unread, batches...)
	}
	reading, stop := context.WithTimeout(ctx, givenUpTimeout)
	defer stop()
	for _, id := range unread {
		for _, item := range b.givenUpItems(reading, id) {
			partial := found[item]
			partial.Failures += batch.Attempts
			found[item] = partial
		}
	}
	return found
}

// taken returns what the owner before has of a batch that was taken over from it. It
// may only have been slow to answer, or cut off from the store, and gives its
// generations up with their text. Of one that does not answer nothing is known.
func (w *worker) fromPreviousOwner(ctx context.Context, request PartialsRequest) map[string]Partial {
	if w.previousOwner == "" || w.previousOwner == w.Host {
		return nil
	}
	request.Batch = "" // the batch itself is to give the items up
	request.Items = slices.DeleteFunc(slices.Clone(request.Items), w.isListed)
	ctx, cancel := context.WithTimeout(ctx, partialsTimeout)
	defer cancel()
	partials, _ := w.askPartials(ctx, w.previousOwner, request)
	return partials
}

// askPartials asks another host for text; false when it does not answer.
func (w *worker) askPartials(ctx context.Context, host string, request PartialsRequest) (map[string]Partial, bool) {
	reply, err := w.Peers.Partials(ctx, host, request)
	if err != nil {
		w.Log.Emit(event.BatchNoticeFailed, "batch", w.batch.ID, "owner", host, "err", err.Error())
	}
	return reply.Partials, err == nil
}

// givenUp returns the items that the log of a batch lists as given up.
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

// process is a process that ran a batch.
type process struct {
	host        string
	incarnation uint64
}

// previousOwners returns the processes that ran batches of the same workspace and
// route lately, and which. This process is left out, since it knows what it ran.
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

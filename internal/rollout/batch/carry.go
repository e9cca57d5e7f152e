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
	// keepPartial is how long text is kept for a next step: some steps' time.
	keepPartial = 30 * time.Second
	// partialsTimeout bounds the question for it, which delays a step's start.
	partialsTimeout = 150 * time.Millisecond
	// givenUpTimeout bounds the reading of the logs of owners that don't answer, which
	// delays a step's start as well; a slow store answers in a quarter of a second.
	givenUpTimeout = 300 * time.Millisecond
	// recentEnd is the age up to which a batch may have left items behind.
	recentEnd = 20 * time.Second
)

// storePartial keeps the text of an item that its batch did not finish, and the
// failures of one that can't be finished.
func (b *Batches) storePartial(item string, partial Partial) {
	if len(partial.Texts) == 0 && partial.Failures == 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.fill()
	known := b.partials[item]
	if len(known.Texts) >= len(partial.Texts) && known.newest() >= partial.newest() {
		partial.Texts, partial.Versions, partial.Complete = known.Texts, known.Versions, known.Complete
	}
	partial.addFails(known)
	b.partials[item] = partial
	time.AfterFunc(keepPartial, func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		delete(b.partials, item)
	})
}

// addFails takes in what another host or batch knows of the item's failures.
func (p *Partial) addFails(other Partial) {
	p.Failures = max(p.Failures, other.Failures)
	p.Permanent = p.Permanent || other.Permanent
	p.ScorerFailures = max(p.ScorerFailures, other.ScorerFailures)
	p.Unscorable = p.Unscorable || other.Unscorable
}

func (p Partial) newest() uint64 {
	if len(p.Versions) == 0 {
		return 0
	}
	return p.Versions[len(p.Versions)-1]
}

// yield stops the generations of items for good and waits until their text is
// kept.
func (w *work) yield(ctx context.Context, items []string) {
	var ends []chan struct{}
	w.mu.Lock()
	for _, item := range items {
		if w.listed[item] || !w.holds[item] {
			continue
		}
		w.yielded[item] = true
		if run, ok := w.runs[item]; ok {
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

// enter registers the generation of an item, unless it was yielded. The
// returned context ends with it; leave is called at its end.
func (w *work) enter(ctx context.Context, item string) (running context.Context, leave func(), ok bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.yielded[item] {
		return ctx, func() {}, false
	}
	running, cancel := context.WithCancel(ctx)
	run := itemRun{cancel: cancel, done: make(chan struct{})}
	w.runs[item] = run
	return running, func() {
		cancel()
		w.mu.Lock()
		delete(w.runs, item)
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
	for id, w := range b.running() {
		if id != request.Batch && w.batch.Workspace == request.Workspace && w.batch.Route == request.Route {
			w.yield(ctx, request.Items)
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
func (w *work) carried(ctx context.Context) map[string]Partial {
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
			best.addFails(partial)
			found[item] = best
		}
	}
	add(w.taken(ctx, request)) // in a time of its own, since that owner may be dead
	var unread []string        // batches of owners that don't answer
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
		for _, item := range b.givenUp(reading, id) {
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
func (w *work) taken(ctx context.Context, request PartialsRequest) map[string]Partial {
	if w.last == "" || w.last == w.Host {
		return nil
	}
	request.Batch = "" // the batch itself is to give the items up
	request.Items = slices.DeleteFunc(slices.Clone(request.Items), w.isListed)
	ctx, cancel := context.WithTimeout(ctx, partialsTimeout)
	defer cancel()
	partials, _ := w.askPartials(ctx, w.last, request)
	return partials
}

// askPartials asks another host for text; false when it does not answer.
func (w *work) askPartials(ctx context.Context, host string, request PartialsRequest) (map[string]Partial, bool) {
	reply, err := w.Peers.Partials(ctx, host, request)
	if err != nil {
		w.Log.Emit(event.BatchNoticeFailed, "batch", w.batch.ID, "owner", host, "err", err.Error())
	}
	return reply.Partials, err == nil
}

// givenUp returns the items that the log of a batch lists as given up.
func (b *Batches) givenUp(ctx context.Context, id string) []string {
	chunks, err := b.ledger().log(ctx, id, 0)
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

// ownership is a process that ran a batch.
type ownership struct {
	host        string
	incarnation uint64
}

// previousOwners returns the processes that ran batches of the same workspace and
// route lately, and which. This process is left out, since it knows what it ran.
func (b *Batches) previousOwners(batch Batch) map[ownership][]string {
	b.mu.Lock()
	defer b.mu.Unlock()
	oldest := time.Now().Add(-recentEnd).UnixMilli()
	owners := map[ownership][]string{}
	for id, k := range b.known {
		same := id != batch.ID && k.Workspace == batch.Workspace && k.Route == batch.Route && k.Submitted >= oldest
		owner := ownership{k.Owner, k.Incarnation}
		if same && k.Owner != "" && owner != (ownership{b.Host, b.Incarnation}) {
			owners[owner] = append(owners[owner], id)
		}
	}
	return owners
}

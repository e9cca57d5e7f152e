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
	// recentEnd is the age up to which a batch may have left items behind.
	recentEnd = 20 * time.Second
)

// storePartial keeps the text of an item that its batch did not finish.
func (b *Book) storePartial(item string, partial Partial) {
	if len(partial.Texts) == 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.fill()
	if len(b.partials[item].Texts) >= len(partial.Texts) && b.partials[item].newest() >= partial.newest() {
		return
	}
	b.partials[item] = partial
	time.AfterFunc(keepPartial, func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		delete(b.partials, item)
	})
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
func (b *Book) ServePartials(ctx context.Context, request PartialsRequest) PartialsReply {
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

// carried returns the usable text of a batch's items from this host and from
// the owners of the latest batches along the same route.
func (b *Book) carried(ctx context.Context, batch Batch) map[string]Partial {
	request := PartialsRequest{
		Batch: batch.ID, Workspace: batch.Workspace, Route: batch.Route, Items: make([]string, len(batch.Items)),
	}
	for i, item := range batch.Items {
		request.Items[i] = item.ID
	}
	found := map[string]Partial{}
	add := func(reply PartialsReply) {
		for item, partial := range reply.Partials {
			if partial.usable(batch) && len(partial.Texts) > len(found[item].Texts) {
				found[item] = partial
			}
		}
	}
	ctx, cancel := context.WithTimeout(ctx, partialsTimeout)
	defer cancel()
	add(b.ServePartials(ctx, request))
	for _, host := range b.previousOwners(batch) {
		reply, err := b.Peers.Partials(ctx, host, request)
		if err != nil {
			b.Log.Emit(event.BatchNoticeFailed, "batch", batch.ID, "owner", host, "err", err.Error())
			continue
		}
		add(reply)
	}
	return found
}

// previousOwners returns the other hosts that ran batches of the same workspace
// and route lately.
func (b *Book) previousOwners(batch Batch) []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	oldest := time.Now().Add(-recentEnd).UnixMilli()
	var hosts []string
	for id, k := range b.known {
		same := id != batch.ID && k.Workspace == batch.Workspace && k.Route == batch.Route && k.Submitted >= oldest
		if same && k.Owner != "" && k.Owner != b.Host && !slices.Contains(hosts, k.Owner) {
			hosts = append(hosts, k.Owner)
		}
	}
	return hosts
}

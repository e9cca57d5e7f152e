package batch

import (
	"context"
	"slices"
	"time"
)

// maxPageBytes bounds the text of a page of more than one result. The protocol with
// trainers allows 1 MB.
const maxPageBytes = 700 << 10

// peerMargin is how much longer than a reader's wait a call to another host may take.
const peerMargin = 700 * time.Millisecond

// ownerlessPoll is the interval at which a batch is looked up in the store while its owner
// does not answer and a reader waits.
const ownerlessPoll = 400 * time.Millisecond

// Read returns the results of a batch from position after on, and waits up to wait for the
// first one. The error is a *NotFoundError or an *UnavailableError.
func (b *Batches) Read(ctx context.Context, id, workspace string, after int, wait time.Duration) (Page, error) {
	end := time.Now().Add(wait)
	for {
		record, err := b.find(ctx, id, workspace)
		if err != nil {
			return Page{}, err
		}
		left := max(0, time.Until(end))
		if page, ok := b.readFromOwner(ctx, record, ReadRequest{ID: id, After: after, Wait: left}); ok {
			return page, nil
		}
		page, err := b.readThroughCacheHost(ctx, id, record, after)
		if err != nil || len(page.Results) > 0 || left == 0 || record.Ended {
			return page, err
		}
		select {
		case <-ctx.Done():
			return page, nil
		case <-time.After(min(left, ownerlessPoll)):
		}
	}
}

// find returns the record of a workspace's batch. It reads it from the store if the watch
// has not delivered it yet.
func (b *Batches) find(ctx context.Context, id, workspace string) (Record, error) {
	k, ok := b.lookup(id)
	if !ok {
		record, version, err := b.storage().record(ctx, id)
		if isNotFound(err) {
			return Record{}, &NotFoundError{ID: id}
		}
		if err != nil {
			return Record{}, &UnavailableError{Err: err, RetryAfter: retryPause}
		}
		b.applyRecord(id, record, version)
		k = known{record, version}
	}
	if k.Workspace != workspace || k.IsExpired(time.Now(), b.Retention) {
		return Record{}, &NotFoundError{ID: id}
	}
	return k.Record, nil
}

// readFromOwner reads from this host's worker or memory, or asks the owner. It returns
// false if none of them can answer.
func (b *Batches) readFromOwner(ctx context.Context, record Record, request ReadRequest) (Page, bool) {
	if w := b.worker(request.ID); w != nil {
		page, err := w.read(ctx, request.After, request.Wait)
		return page, err == nil // on an error the store may be reachable through another host
	}
	if page, ok := b.readFromMemory(request, record.Total); ok {
		return page, true
	}
	if record.Owner == "" || record.Owner == b.Host {
		return Page{}, false
	}
	ctx, cancel := context.WithTimeout(ctx, request.Wait+peerMargin)
	defer cancel()
	reply, err := b.Peers.Read(ctx, record.Owner, request)
	return reply.Page, err == nil && reply.Owned
}

// readFromMemory reads results that this host keeps in memory of a batch that it does not
// run. It returns false if it has none from the position on, unless it has all results of
// an ended batch.
func (b *Batches) readFromMemory(request ReadRequest, total int) (Page, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	list, ok := b.logs[request.ID]
	k := b.known[request.ID]
	// A previous owner may have written more results than this host has read, and so may
	// a write of this host that was in flight at the end of the batch.
	complete := k.Ended && k.Owner == b.Host && k.Incarnation == b.Incarnation && k.Epoch == 1 && b.logComplete[request.ID]
	if !ok || len(list) <= request.After && !complete {
		return Page{}, false
	}
	return newPage(list, total, request.After), true
}

// ServeRead answers another host.
func (b *Batches) ServeRead(ctx context.Context, request ReadRequest) ReadReply {
	if w := b.worker(request.ID); w != nil {
		page, err := w.read(ctx, request.After, request.Wait)
		return ReadReply{Owned: err == nil, Page: page}
	}
	k, known := b.lookup(request.ID)
	page, ok := b.readFromMemory(request, k.Total)
	if !ok && known && request.FromStore {
		kept, err := b.readFromStore(ctx, request.ID, k.Record, request.After)
		page, ok = kept, err == nil // on an error the reader asks the store itself
	}
	return ReadReply{Owned: ok, Page: page}
}

// readThroughCacheHost reads a batch that no host runs through the first host in rank for
// it, which caches the log. So a log is read from the store once and not by each host.
func (b *Batches) readThroughCacheHost(ctx context.Context, id string, record Record, after int) (Page, error) {
	cacheHosts := b.Peers.First(id, 1)
	if len(cacheHosts) == 0 || cacheHosts[0] == b.Host || cacheHosts[0] == record.Owner {
		return b.readFromStore(ctx, id, record, after)
	}
	askCtx, cancel := context.WithTimeout(ctx, peerMargin)
	defer cancel()
	reply, err := b.Peers.Read(askCtx, cacheHosts[0], ReadRequest{ID: id, After: after, FromStore: true})
	if err != nil || !reply.Owned {
		return b.readFromStore(ctx, id, record, after)
	}
	return reply.Page, nil
}

// readFromStore returns results from a position on. It reads the log from the store, and
// caches it, unless the cached part has such results or is complete. Objects of the log
// never change.
func (b *Batches) readFromStore(ctx context.Context, id string, record Record, after int) (Page, error) {
	b.mu.Lock()
	list, from := b.logs[id], b.chunks[id]
	b.mu.Unlock()
	if len(list) <= after && len(list) < record.Total {
		chunks, err := b.storage().log(ctx, id, from)
		if err != nil {
			return Page{}, &UnavailableError{Err: err, RetryAfter: retryPause}
		}
		for _, chunk := range chunks {
			list = append(list, chunk...)
		}
		b.cacheLog(id, list, from+len(chunks))
	}
	return newPage(list, record.Total, after), nil
}

// cacheLog keeps a log in memory unless a longer one is kept already.
func (b *Batches) cacheLog(id string, list []Result, chunks int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.initMaps()
	if chunks > b.chunks[id] {
		b.logs[id], b.chunks[id] = list, chunks
	}
}

// newPage returns the page of results from a position on, limited to maxPageBytes of text.
func newPage(list []Result, total, after int) Page {
	p := Page{Total: total, Next: after}
	size := 0
	for _, result := range list[min(after, len(list)):] {
		size += len(result.Text)
		if size > maxPageBytes && len(p.Results) > 0 {
			break
		}
		p.Results = append(p.Results, result)
	}
	p.Next = after + len(p.Results)
	return p
}

// Body returns the body of an item that has no listed result yet. If no host that runs the
// batch answers, it also returns that of a listed item. The error is a *NotFoundError or an
// *UnavailableError.
func (b *Batches) Body(ctx context.Context, id, workspace, item string) ([]byte, error) {
	record, err := b.find(ctx, id, workspace)
	if err != nil {
		return nil, err
	}
	request := BodyRequest{ID: id, Item: item}
	reply := b.ServeBody(request)
	if !reply.Owned && !record.Ended && record.Owner != "" && record.Owner != b.Host {
		askCtx, cancel := context.WithTimeout(ctx, peerMargin)
		reply, _ = b.Peers.Body(askCtx, record.Owner, request) // without an answer the body is read from the store
		cancel()
	}
	if reply.Owned && reply.Found {
		return reply.Body, nil
	}
	if reply.Owned {
		return nil, &NotFoundError{ID: item}
	}
	batch, err := b.storage().body(ctx, id, record)
	if err != nil {
		return nil, &UnavailableError{Err: err, RetryAfter: retryPause}
	}
	for _, candidate := range batch.Items {
		if candidate.ID == item {
			return candidate.Body, nil
		}
	}
	return nil, &NotFoundError{ID: item}
}

// ServeBody answers another host.
func (b *Batches) ServeBody(request BodyRequest) BodyReply {
	w := b.worker(request.ID)
	if w == nil {
		return BodyReply{}
	}
	body, found := w.body(request.Item)
	return BodyReply{Owned: true, Found: found, Body: body}
}

// Owners returns the hosts that may send requests of batches to the servers of a service: the
// owners of all batches of the service that have not ended, as far as this host knows.
func (b *Batches) Owners(service string) []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	var owners []string
	for _, k := range b.known {
		if !k.Ended && k.Owner != "" && (k.Service == service || k.Service == "") && !slices.Contains(owners, k.Owner) {
			owners = append(owners, k.Owner)
		}
	}
	return owners
}

// Demand is the expected demand of the next batches of a model, taken from the latest one.
// Tokens is the estimated number of tokens of a batch. VersionLag is the number of versions
// by which weights may be older than the newest; it is valid if VersionLagKnown is set.
type Demand struct {
	Tokens          int
	VersionLag      uint64
	VersionLagKnown bool
}

// Demand returns the demand for a model. Step k is submitted once weights version k is
// published, so that the number of a step is that of the newest version.
func (b *Batches) Demand(model string) Demand {
	b.mu.Lock()
	defer b.mu.Unlock()
	var latest known
	for _, k := range b.known {
		if k.Model == model && k.Submitted > latest.Submitted {
			latest = k
		}
	}
	demand := Demand{Tokens: latest.Tokens}
	if step := uint64(max(0, latest.Step)); step >= firstRegularStep && step >= latest.MinVersion {
		demand.VersionLag, demand.VersionLagKnown = step-latest.MinVersion, true
	}
	return demand
}

// firstRegularStep is the first step whose oldest allowed version is not limited by the
// version that engines start with.
const firstRegularStep = 3

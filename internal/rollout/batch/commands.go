package batch

import (
	"context"
	"errors"
	"time"

	"github.com/hyssopwall/hyssopwall/internal/site/event"
)

// retryAfterDraining is the UnavailableError.RetryAfter while this host starts or drains: any
// other host accepts the batch at once.
const retryAfterDraining = 50 * time.Millisecond

// endNotifyTimeout bounds the call that notifies an owner of the end of its batch.
const endNotifyTimeout = 800 * time.Millisecond

// Accept stores a batch and starts it on its owner. A batch that is already stored is
// accepted again. The error is an *UnavailableError if the batch was not accepted and
// never will be by this call, else an *OutcomeUnknownError.
func (b *Batches) Accept(ctx context.Context, batch Batch) error {
	if _, ok := b.lookup(batch.ID); ok {
		return nil
	}
	if !b.AcceptsBatches() {
		return &UnavailableError{Err: errNotAccepting, RetryAfter: retryAfterDraining}
	}
	if !b.hasRoomFor(batch.size()) {
		return &UnavailableError{Err: errNoRoom, RetryAfter: retryAfterNoRoom}
	}
	body, err := encodeBody(batch)
	if err != nil {
		return &UnavailableError{Err: err, RetryAfter: b.RetryAfter()}
	}
	if err := b.storage().writeBody(ctx, batch.ID, body); err != nil {
		return &UnavailableError{Err: err, RetryAfter: b.RetryAfter()} // a body without a record is never run
	}
	regions := b.ownerRegions(batch)
	owner, incarnation := b.chooseOwner(ctx, batch, regions)
	record := Record{
		Workspace: batch.Workspace, Route: batch.Route, Service: batch.Service, Model: batch.Model, MinVersion: batch.MinVersion, Step: batch.Step,
		Tokens: batch.Tokens(), Total: len(batch.Items), Parts: body.parts, Body: body.digest,
		Submitted: time.Now().UnixMilli(), Owner: owner, Incarnation: incarnation, Epoch: 1,
		Regions: regions,
	}
	return b.create(ctx, batch, record)
}

// errNotAccepting is the cause of errors while the host starts or drains.
var errNotAccepting = errors.New("this host accepts no batches now: it is starting or draining")

// errNoRoom is the cause of errors while the batches that the host runs take too much memory.
var errNoRoom = errors.New("the batches that this host runs take too much memory")

// retryAfterNoRoom is the UnavailableError.RetryAfter for errNoRoom. Other hosts may have
// room, and batches of this one end every few seconds.
const retryAfterNoRoom = 500 * time.Millisecond

// hasRoomFor reports whether a batch of the given size fits into MaxOpenBytes beside those that
// this host runs. One of any size fits alone.
func (b *Batches) hasRoomFor(size int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.MaxOpenBytes <= 0 || b.openBytes == 0 || b.openBytes+size <= b.MaxOpenBytes
}

// OpenBytes returns the size of the bodies of all batches that this host runs.
func (b *Batches) OpenBytes() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.openBytes
}

// AcceptsBatches reports whether the host accepts batches now.
func (b *Batches) AcceptsBatches() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.ctx != nil && !b.draining && (b.MaxOpenBytes <= 0 || b.openBytes < b.MaxOpenBytes)
}

// create creates the record of a batch. A write without an answer may take effect seconds
// later, so it is retried until the outcome is certain, and never reported as refused.
func (b *Batches) create(ctx context.Context, batch Batch, record Record) error {
	value, err := encode(record)
	if err != nil {
		return &UnavailableError{Err: err, RetryAfter: b.RetryAfter()}
	}
	uncertain := false
	for {
		stored, err := b.storage().put(ctx, RecordPrefix+batch.ID, value, 0)
		switch {
		case err == nil:
			b.applyRecord(batch.ID, record, stored.Version)
			b.startAtOwner(batch, record, stored.Version) //nolint:contextcheck // the batch outlives the call
			return nil
		case isConflict(err):
			return b.acceptExisting(ctx, batch, record.Body)
		case isUnknown(err):
			uncertain = true
		case !uncertain:
			return &UnavailableError{Err: err, RetryAfter: b.RetryAfter()}
		}
		if ctx.Err() != nil {
			return &OutcomeUnknownError{Err: err}
		}
		pauseBeforeRetry(ctx)
	}
}

// acceptExisting completes an acceptance whose record already exists. This host created
// it if the answer to its write was lost, else another host did. The batch is started at
// its first owner, unless it has ended or was taken over. What runs is the body that the
// record names; digest is that of this attempt.
func (b *Batches) acceptExisting(ctx context.Context, batch Batch, digest string) error {
	record, version, err := b.storage().record(ctx, batch.ID)
	if err != nil {
		return &OutcomeUnknownError{Err: err}
	}
	b.applyRecord(batch.ID, record, version)
	if record.Epoch != 1 || record.Ended {
		return nil // a later owner starts the batch when it takes it over
	}
	if record.Body != digest {
		stored, err := b.storage().body(ctx, batch.ID, record)
		if err != nil {
			b.Log.Emit(event.BatchUnreadable, "batch", batch.ID, "err", err.Error())
			return nil // accepted all the same: its owner finds it by its watch
		}
		batch = stored
	}
	b.startAtOwner(batch, record, version) //nolint:contextcheck // the batch outlives the call
	return nil
}

// startWorker starts running a batch that this host owns, unless it runs already, has
// ended or has a newer owner, or this host starts or drains. Log holds the results that are
// listed so far, and chunks is the number of log objects that they come from. Previous is the
// previous owner, empty for the first one.
func (b *Batches) startWorker(batch Batch, record Record, previous process, log []Result, chunks int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.workers[batch.ID] != nil || b.draining || b.stopped || b.ctx == nil {
		return
	}
	if k := b.known[batch.ID]; k.Ended || k.Epoch > record.Epoch {
		return
	}
	w := newWorker(b, batch, record, previous, log, chunks)
	w.lagging = b.trainerLags(batch, record)
	ctx, cancel := context.WithCancel(b.ctx)
	w.cancel = cancel
	b.workers[batch.ID] = w
	b.active[w] = true
	size := batch.size()
	b.openBytes += size
	b.startLocked(func() {
		w.run(ctx)
		if w.remaining() == 0 {
			w.releaseBodies()
		}
		b.mu.Lock()
		defer b.mu.Unlock()
		b.openBytes -= size
		delete(b.active, w)
	})
	b.Log.Emit(event.BatchStarted, "batch", batch.ID, "route", batch.Route, "workspace", batch.Workspace,
		"items", len(batch.Items), "listed", len(log), "epoch", record.Epoch, "floor", batch.MinVersion, "step", batch.Step)
}

// End ends a batch of a workspace and returns when the record says so. If the record
// can't be written now, it is written in the background, since the caller may not retry;
// the error is then an *OutcomeUnknownError. The other errors are *NotFoundError, and
// *UnavailableError before Run.
func (b *Batches) End(ctx context.Context, id, workspace string) error { //nolint:contextcheck // the retries outlive the call
	b.mu.Lock()
	background := b.ctx
	b.mu.Unlock()
	if background == nil {
		return &UnavailableError{Err: errNotAccepting, RetryAfter: retryAfterDraining}
	}
	err := b.end(ctx, id, workspace)
	if err == nil || isError[*NotFoundError](err) {
		return err
	}
	b.start(func() { b.retryEnd(background, id, workspace) })
	return &OutcomeUnknownError{Err: err}
}

// end records the end of a batch and notifies its owner.
func (b *Batches) end(ctx context.Context, id, workspace string) error {
	otherWorkspace := false
	from, _ := b.lookup(id)
	record, version, err := b.storage().updateRecord(ctx, id, from, func(r *Record) bool {
		otherWorkspace = r.Workspace != workspace
		changed := !r.Ended && !otherWorkspace
		r.Ended = true
		return changed
	})
	switch {
	case otherWorkspace || isNotFound(err):
		return &NotFoundError{ID: id}
	case err != nil:
		return err
	}
	b.applyRecord(id, record, version)
	if record.Owner != b.Host {
		b.notify(id, record.Owner, endNotifyTimeout, func(ctx context.Context) error { //nolint:contextcheck // the notification outlives the call
			return b.Peers.End(ctx, record.Owner, id)
		})
	}
	return nil
}

// Times of an end that could not be written at once.
const (
	endRetryInterval = 400 * time.Millisecond
	endRetryLimit    = 60 * time.Second // the longest outage of the store that is bridged
)

// retryEnd retries end until it succeeds, the batch turns out not to exist or
// endRetryLimit has passed.
func (b *Batches) retryEnd(ctx context.Context, id, workspace string) {
	ctx, cancel := context.WithTimeout(ctx, endRetryLimit)
	defer cancel()
	for ctx.Err() == nil {
		err := b.end(ctx, id, workspace)
		if err == nil || isError[*NotFoundError](err) {
			return
		}
		select {
		case <-ctx.Done():
		case <-time.After(endRetryInterval):
		}
	}
}

// ServeEnd stops running a batch whose end another host has recorded.
func (b *Batches) ServeEnd(id string) {
	k, ok := b.lookup(id)
	if ok && !k.Ended {
		k.Ended = true
		b.applyRecord(id, k.Record, k.version+1) // the watch delivers the actual version, which is not lower
	}
}

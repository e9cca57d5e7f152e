package batch

import (
	"context"
	"errors"
	"time"

	"github.com/hyssopwall/hyssopwall/internal/site/event"
)

// Waits that callers are told.
const (
	// retryAfterStore is the Retry-After while the store does not take a batch;
	// its short troubles pass within a second.
	retryAfterStore = time.Second
	// retryAfterDraining is the Retry-After of a host that is stopping: any other
	// host takes the batch at once.
	retryAfterDraining = 50 * time.Millisecond
)

// endNotifyTimeout bounds the call that tells an owner of an end at once.
const endNotifyTimeout = 800 * time.Millisecond

// Accept stores a batch and starts it here. A batch that stands already is
// accepted again. The error is an *UnavailableError when it was certainly not
// accepted and never will be, else an *UnsureError.
func (b *Batches) Accept(ctx context.Context, batch Batch) error {
	if _, ok := b.lookup(batch.ID); ok {
		return nil
	}
	if !b.AcceptsBatches() {
		return &UnavailableError{Err: errNotAccepting, RetryAfter: retryAfterDraining}
	}
	parts, err := splitParts(batch)
	if err != nil {
		return &UnavailableError{Err: err, RetryAfter: retryAfterStore}
	}
	if err := b.storage().writeBody(ctx, batch.ID, parts); err != nil {
		return &UnavailableError{Err: err, RetryAfter: retryAfterStore} // a body alone runs nothing
	}
	owner, incarnation := b.chooseOwner(ctx, batch)
	record := Record{
		Workspace: batch.Workspace, Route: batch.Route, Model: batch.Model, Floor: batch.Floor, Step: batch.Step, Tokens: batch.Tokens(), Total: len(batch.Items), Parts: len(parts),
		Submitted: time.Now().UnixMilli(), Owner: owner, Incarnation: incarnation, Epoch: 1,
	}
	return b.create(ctx, batch, record)
}

// errNotAccepting is the cause of refusals at the start and at the end of a host.
var errNotAccepting = errors.New("this host takes no batches now")

// AcceptsBatches says whether the host takes batches now.
func (b *Batches) AcceptsBatches() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.ctx != nil && !b.draining
}

// create brings the record into being. A write without an answer may take
// effect seconds later, so it is read back and never called refused.
func (b *Batches) create(ctx context.Context, batch Batch, record Record) error {
	value, err := encode(record)
	if err != nil {
		return &UnavailableError{Err: err, RetryAfter: retryAfterStore}
	}
	uncertain := false
	for {
		stored, err := b.storage().put(ctx, RecordPrefix+batch.ID, value, 0)
		switch {
		case err == nil:
			b.applyRecord(batch.ID, record, stored.Version)
			b.startAtOwner(batch, record, stored.Version) //nolint:contextcheck // the worker outlives the call
			return nil
		case isConflict(err):
			return b.acceptExisting(ctx, batch)
		case isUnknown(err):
			uncertain = true
		case !uncertain:
			return &UnavailableError{Err: err, RetryAfter: retryAfterStore}
		}
		if ctx.Err() != nil {
			return &OutcomeUnknownError{Err: err}
		}
		pauseBeforeRetry(ctx)
	}
}

// acceptExisting finishes an acceptance whose record stands already: by this host, if
// the answer to its write was lost, or by another.
func (b *Batches) acceptExisting(ctx context.Context, batch Batch) error {
	record, version, err := b.storage().record(ctx, batch.ID)
	if err != nil {
		return &OutcomeUnknownError{Err: err}
	}
	b.applyRecord(batch.ID, record, version)
	if record.Epoch == 1 && !record.Ended { // a later owner has begun by itself
		b.startAtOwner(batch, record, version) //nolint:contextcheck // the worker outlives the call
	}
	return nil
}

// begin starts the worker on a batch that this host owns.
func (b *Batches) startWorker(batch Batch, record Record, log []Result, chunks int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.workers[batch.ID] != nil || b.draining || b.ctx == nil {
		return
	}
	if k := b.known[batch.ID]; k.Ended || k.Epoch > record.Epoch {
		return
	}
	w := newWorker(b, batch, record, log, chunks)
	ctx, cancel := context.WithCancel(b.ctx)
	w.cancel = cancel
	b.workers[batch.ID] = w
	b.group.Go(func() { w.run(ctx) })
	b.Log.Emit(event.BatchStarted, "batch", batch.ID, "route", batch.Route, "workspace", batch.Workspace,
		"items", len(batch.Items), "listed", len(log), "epoch", record.Epoch, "floor", batch.Floor, "step", batch.Step)
}

// End ends a batch of a workspace. It returns once the record says so. The end
// of a batch that could not be written now is written later, since its caller
// may not come back: the error is then an *UnsureError.
func (b *Batches) End(ctx context.Context, id, workspace string) error { //nolint:contextcheck // what is left goes on after the call
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
	b.group.Go(func() { b.retryEnd(background, id, workspace) })
	return &OutcomeUnknownError{Err: err}
}

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
		b.notify(id, record.Owner, endNotifyTimeout, func(ctx context.Context) error { //nolint:contextcheck // goes on after the call
			return b.Peers.End(ctx, record.Owner, id)
		})
	}
	return nil
}

// Times of an end that could not be written at once.
const (
	endRetryInterval = 400 * time.Millisecond
	endRetryLimit    = 60 * time.Second // the longest trouble of the store that is bridged
)

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

// ServeEnd stops the worker on a batch whose end another host has written.
func (b *Batches) ServeEnd(id string) {
	k, ok := b.lookup(id)
	if ok && !k.Ended {
		k.Ended = true
		b.applyRecord(id, k.Record, k.version+1) // the watch brings the real version, which is not lower
	}
}

package spread

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/google/uuid"

	"github.com/hyssopwall/hyssopwall/internal/fleet/wire"
	"github.com/hyssopwall/hyssopwall/internal/platform/object"
)

// readBackPause is the pause between two attempts of a submission, each of which
// reads the record back.
const readBackPause = 200 * time.Millisecond

// Submission is a valid document that an operator wants to put into force. Base
// is the version that the operator started from, zero for the first document.
type Submission struct {
	By   string
	At   time.Time
	Base uint64
	Body []byte
	// Previous is the document of version Base, if the caller has it. With it,
	// watchers read only the change of a large document.
	Previous Accepted
	// ID is unique to the submission. If it is empty, a random one is generated. A
	// caller that submits again after an unknown outcome uses the same ID.
	ID string
}

// ConflictError reports that another document was accepted since version Base
// and that the submission is not in force. Have is the accepted version and By
// its operator. The submission changed nothing, unless the answer to its write
// was lost: then it may have been accepted and replaced before the read.
type ConflictError struct {
	Base uint64
	Have uint64
	By   string
}

func (e *ConflictError) Error() string {
	return fmt.Sprintf("document version %d by %s was accepted since version %d", e.Have, e.By, e.Base)
}

// Code returns the code of the error in answers to other hosts.
func (e *ConflictError) Code() string { return "document-conflict" }

// OutcomeError reports that the outcome of a submission was not known before the
// context ended. The submission may be repeated with the same ID.
type OutcomeError struct {
	ID  string
	Err error
}

func (e *OutcomeError) Error() string {
	return fmt.Sprintf("outcome of submission %s unknown: %v", e.ID, e.Err)
}

// Unwrap returns the cause.
func (e *OutcomeError) Unwrap() error { return e.Err }

// Accept puts a submission into force under the version after its Base. It
// returns a *ConflictError if another document was accepted first, and an
// *OutcomeError if ctx ended before the outcome was known. After a write whose
// answer was lost it reads the record back, and repeats the write under the same
// condition if it had no effect.
func Accept(ctx context.Context, store object.Store, submission Submission) (Accepted, error) {
	if submission.ID == "" {
		submission.ID = uuid.NewString()
	}
	next := Accepted{
		Version: submission.Base + 1,
		By:      submission.By,
		At:      submission.At,
		ID:      submission.ID,
		Body:    submission.Body,
	}
	if err := next.Check(); err != nil {
		return Accepted{}, err
	}
	acceptance := &acceptance{store: store, next: next, previous: submission.Previous}
	for {
		done, err := acceptance.attempt(ctx)
		if done || err != nil && !acceptance.retryable(ctx, err) {
			return acceptance.outcome(err)
		}
		if err := pause(ctx, readBackPause); err != nil {
			return acceptance.outcome(err)
		}
	}
}

// acceptance is the state of a submission in progress.
type acceptance struct {
	store      object.Store
	next       Accepted
	previous   Accepted
	unclear    bool // a write may have taken effect although its answer was lost
	bodyStored bool // the document is stored in its own object
}

// attempt reads the record and writes the next version if the record is still
// that of the base version. It reports whether the outcome is known.
func (a *acceptance) attempt(ctx context.Context) (bool, error) {
	current, revision, err := read(ctx, a.store)
	if err != nil {
		return false, err
	}
	if current.Version == a.next.Version && current.ID == a.next.ID {
		return true, nil
	}
	base := a.next.Version - 1
	if current.Version > base {
		a.removeBody(ctx, a.next.ID)
		return true, &ConflictError{Base: base, Have: current.Version, By: current.By}
	}
	if current.Version < base {
		return false, nil // a stale read: the operator has read a newer version
	}
	return a.write(ctx, current, revision)
}

// write stores the document in its own object if it is large, and then the
// record that puts it into force.
func (a *acceptance) write(ctx context.Context, current Record, revision uint64) (bool, error) {
	if a.previous.ID != current.ID {
		a.previous, _ = current.with(current.Body)
	}
	record := NewRecord(a.next, a.previous)
	if current.large() {
		record.PreviousID = current.ID
	}
	if record.large() && !a.bodyStored {
		if err := a.storeBody(ctx); err != nil {
			return false, err
		}
	}
	value, err := wire.Encode(record)
	if err != nil {
		return true, err
	}
	if _, err := a.store.Put(ctx, Key, value, revision); err != nil {
		return false, err
	}
	a.removeBody(ctx, current.PreviousID)
	return true, nil
}

// storeBody writes the document to its own object. A conflict means that an
// earlier attempt has written it.
func (a *acceptance) storeBody(ctx context.Context) error {
	_, err := a.store.Put(ctx, BodyKey(a.next.ID), a.next.Body, 0)
	var conflict *object.ConflictError
	if err != nil && !errors.As(err, &conflict) {
		return err
	}
	a.bodyStored = true
	return nil
}

// removeBody deletes the object of a document that no host reads any more. After
// a failure the object stays, which only costs storage.
func (a *acceptance) removeBody(ctx context.Context, id string) {
	if id == "" {
		return
	}
	found, err := a.store.Get(ctx, BodyKey(id))
	if err == nil {
		_ = a.store.Delete(ctx, BodyKey(id), found.Version)
	}
}

// retryable reports whether another attempt may succeed after an error. It sets
// unclear after a write whose answer was lost, and waits for the time that a rate
// limit demands.
func (a *acceptance) retryable(ctx context.Context, err error) bool {
	var unknown *object.UnknownError
	var conflict *object.ConflictError
	var limit *object.LimitError
	switch {
	case errors.As(err, &unknown):
		a.unclear = true
		return ctx.Err() == nil
	case errors.As(err, &conflict):
		return ctx.Err() == nil
	case errors.As(err, &limit):
		return pause(ctx, limit.RetryAfter) == nil
	default:
		return a.unclear && ctx.Err() == nil
	}
}

// outcome returns the result of Accept after the last attempt.
func (a *acceptance) outcome(err error) (Accepted, error) {
	if err == nil {
		return a.next, nil
	}
	var conflict *ConflictError
	if errors.As(err, &conflict) || !a.unclear {
		return Accepted{}, err
	}
	return Accepted{}, &OutcomeError{ID: a.next.ID, Err: err}
}

// read returns the record and the object version to expect in an update of it.
// Both are zero if no document was accepted yet.
func read(ctx context.Context, store object.Reader) (Record, uint64, error) {
	current, err := store.Get(ctx, Key)
	var missing *object.NotFoundError
	if errors.As(err, &missing) {
		return Record{}, 0, nil
	}
	if err != nil {
		return Record{}, 0, err
	}
	record, err := wire.Decode[Record](current.Value)
	return record, current.Version, err
}

// pause waits, and returns the cause if ctx ends first.
func pause(ctx context.Context, wait time.Duration) error {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

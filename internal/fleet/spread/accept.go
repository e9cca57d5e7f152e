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

// readBackPause is the wait between two attempts to learn the outcome of a
// write whose answer was lost.
const readBackPause = 200 * time.Millisecond

// Submission is a checked document that an operator wants in force. Base is
// the version that the operator started from, zero for the first document.
type Submission struct {
	By   string
	At   time.Time
	Base uint64
	Body []byte
	// Previous is the document of version Base, if at hand. With it, watchers
	// read the change of a large document only.
	Previous Accepted
	// ID is unique to the submission; empty means a random one. A caller that
	// submits again after an unclear outcome gives the same ID.
	ID string
}

// ConflictError says that another document was accepted since the operator
// read version Base. Nothing was changed.
type ConflictError struct {
	Base uint64
	Have uint64
	By   string
}

func (e *ConflictError) Error() string {
	return fmt.Sprintf("document version %d by %s was accepted since version %d", e.Have, e.By, e.Base)
}

// Code is the code under which the error crosses between hosts.
func (e *ConflictError) Code() string { return "document-conflict" }

// OutcomeError says that the outcome of a submission could not be learned in
// time. The same submission, with the same ID, may be given again.
type OutcomeError struct {
	ID  string
	Err error
}

func (e *OutcomeError) Error() string {
	return fmt.Sprintf("outcome of submission %s unknown: %v", e.ID, e.Err)
}

// Unwrap returns the cause.
func (e *OutcomeError) Unwrap() error { return e.Err }

// Accept puts a submission into force with the version after its Base. It
// returns a *ConflictError when another document came first, and an
// *OutcomeError when ctx ended before the outcome was known. A write whose
// answer was lost is read back, and repeated under the same condition when it
// has had no effect.
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
	attempt := &attempt{store: store, next: next, previous: submission.Previous}
	for {
		done, err := attempt.once(ctx)
		if done || err != nil && !attempt.again(ctx, err) {
			return attempt.outcome(err)
		}
		if err := pause(ctx, readBackPause); err != nil {
			return attempt.outcome(err)
		}
	}
}

// attempt is a submission under way. unclear is set once a write may have
// taken effect without an answer.
type attempt struct {
	store    object.Store
	next     Accepted
	previous Accepted
	unclear  bool
	bodied   bool // the document stands in its own object
}

// once reads the object and writes the next version when nothing newer is
// there. It reports true when the outcome is known.
func (a *attempt) once(ctx context.Context) (bool, error) {
	current, revision, err := read(ctx, a.store)
	if err != nil {
		return false, err
	}
	if current.Version == a.next.Version && current.ID == a.next.ID {
		return true, nil
	}
	base := a.next.Version - 1
	if current.Version > base {
		a.remove(ctx, a.next.ID)
		return true, &ConflictError{Base: base, Have: current.Version, By: current.By}
	}
	if current.Version < base {
		return false, nil // an old read; the operator has seen a newer version
	}
	return a.write(ctx, current, revision)
}

// write stores a large document, then the record that puts it into force.
func (a *attempt) write(ctx context.Context, current Record, revision uint64) (bool, error) {
	if a.previous.ID != current.ID {
		a.previous, _ = current.with(current.Body)
	}
	record := NewRecord(a.next, a.previous)
	if current.large() {
		record.PreviousID = current.ID
	}
	if record.large() && !a.bodied {
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
	a.remove(ctx, current.PreviousID)
	return true, nil
}

// storeBody writes the document's own object. A conflict means that an earlier
// attempt has written it.
func (a *attempt) storeBody(ctx context.Context) error {
	_, err := a.store.Put(ctx, BodyKey(a.next.ID), a.next.Body, 0)
	var conflict *object.ConflictError
	if err != nil && !errors.As(err, &conflict) {
		return err
	}
	a.bodied = true
	return nil
}

// remove deletes the object of a document that nobody reads any more. One that
// stays after a failure costs its room only.
func (a *attempt) remove(ctx context.Context, id string) {
	if id == "" {
		return
	}
	found, err := a.store.Get(ctx, BodyKey(id))
	if err == nil {
		_ = a.store.Delete(ctx, BodyKey(id), found.Version)
	}
}

// again reports whether an error is worth another look at the platform.
func (a *attempt) again(ctx context.Context, err error) bool {
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
		return pause(ctx, limit.After) == nil
	default:
		return a.unclear && ctx.Err() == nil
	}
}

func (a *attempt) outcome(err error) (Accepted, error) {
	if err == nil {
		return a.next, nil
	}
	var conflict *ConflictError
	if errors.As(err, &conflict) || !a.unclear {
		return Accepted{}, err
	}
	return Accepted{}, &OutcomeError{ID: a.next.ID, Err: err}
}

// read returns the record and the object version to expect; both are zero when
// there is none.
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

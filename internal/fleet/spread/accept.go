package spread

import (
	"bytes"
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
	value, err := wire.Encode(next)
	if err != nil {
		return Accepted{}, err
	}
	attempt := &attempt{store: store, next: next, value: value}
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
	store   object.Store
	next    Accepted
	value   []byte
	unclear bool
}

// once reads the object and writes the next version when nothing newer is
// there. It reports true when the outcome is known.
func (a *attempt) once(ctx context.Context) (bool, error) {
	current, revision, err := read(ctx, a.store)
	if err != nil {
		return false, err
	}
	if current.Version == a.next.Version && current.ID == a.next.ID && bytes.Equal(current.Body, a.next.Body) {
		return true, nil
	}
	base := a.next.Version - 1
	if current.Version > base {
		return true, &ConflictError{Base: base, Have: current.Version, By: current.By}
	}
	if current.Version < base {
		return false, nil // an old read; the operator has seen a newer version
	}
	_, err = a.store.Put(ctx, Key, a.value, revision)
	return err == nil, err
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

// read returns the accepted document and the object version to expect; both
// are zero when there is none.
func read(ctx context.Context, store object.Reader) (Accepted, uint64, error) {
	current, err := store.Get(ctx, Key)
	var missing *object.NotFoundError
	if errors.As(err, &missing) {
		return Accepted{}, 0, nil
	}
	if err != nil {
		return Accepted{}, 0, err
	}
	accepted, err := wire.Decode[Accepted](current.Value)
	return accepted, current.Version, err
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

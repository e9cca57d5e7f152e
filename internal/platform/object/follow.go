package object

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"
)

// The backoff after a failed call of a follower doubles between these limits. The wait is
// 0.5 to 1.5 times the backoff, so that followers don't retry in step after an outage. It
// is well below the time within which a change must be applied (2 s).
const (
	minFollowBackoff = 100 * time.Millisecond
	maxFollowBackoff = 400 * time.Millisecond
)

// CompactedError says that the store no longer has the changes after a revision. The
// objects must be listed again.
type CompactedError struct {
	Prefix string
}

func (e *CompactedError) Error() string { return "history of " + e.Prefix + " was compacted" }

// Change is an update of the objects under a prefix.
type Change struct {
	Batch
	// Complete is set if the batch holds all objects of the prefix, instead of those that
	// have changed.
	Complete bool
	// AsOf is an instant of the follower's clock: the follower has all changes that the
	// store had then.
	AsOf time.Duration
}

// Follower keeps up with the objects under a prefix.
type Follower struct {
	Reader Reader
	Prefix string
	// Now is a monotonic clock that includes the time in which the machine is suspended.
	Now func() time.Duration
	// Handle is called by one goroutine for each update. It is also called for a watch
	// that ended without a change, which shows that nothing has changed.
	Handle func(Change)
	// OnFailure, if set, is called for each failed call with the time that it took, but not
	// for a *CompactedError.
	OnFailure func(err error, took time.Duration)
	// MinCallInterval is the least time from the start of a successful call to the next
	// call. Changes in quick succession are thereby combined.
	MinCallInterval time.Duration
	// ListAfterFailure makes the follower list the objects after a failed call. A watch shows
	// only at its end that nothing has changed; a list is answered at once, so that the
	// objects are known to be current as soon as the store is back.
	ListAfterFailure bool
	// RetrySignal, if set, returns a channel that is closed to end the backoff after a
	// failed call early.
	RetrySignal func() <-chan struct{}
}

// Run lists the objects once and then watches them, until the context ends. It lists them
// again if the store has compacted the changes that it would need, and with ListAfterFailure
// after each failed call.
func (f Follower) Run(ctx context.Context) {
	var after uint64
	listed, backoff := false, minFollowBackoff
	for ctx.Err() == nil {
		var wake <-chan struct{}
		if f.RetrySignal != nil {
			wake = f.RetrySignal() // before the call, so that no signal is missed
		}
		sent := f.Now()
		change, err := f.next(ctx, listed, after)
		if err == nil {
			listed, after, backoff = true, change.Revision, minFollowBackoff
			f.Handle(change)
			if remaining := f.MinCallInterval - (f.Now() - sent); remaining > 0 {
				sleep(ctx, remaining, nil)
			}
			continue
		}
		if _, compacted := errors.AsType[*CompactedError](err); compacted {
			listed = false
			continue
		}
		listed = listed && !f.ListAfterFailure
		if f.OnFailure != nil {
			f.OnFailure(err, f.Now()-sent)
		}
		sleep(ctx, backoff/2+rand.N(backoff), wake)
		backoff = min(2*backoff, maxFollowBackoff)
	}
}

// next makes the next call: a list, or a watch after a revision once listed.
func (f Follower) next(ctx context.Context, listed bool, after uint64) (Change, error) {
	sent := f.Now()
	if !listed {
		batch, err := f.Reader.List(ctx, f.Prefix)
		return Change{Batch: batch, Complete: true, AsOf: sent - batch.Age}, err
	}
	batch, err := f.Reader.Watch(ctx, f.Prefix, after)
	return Change{Batch: batch, AsOf: sent + batch.Waited - batch.Age}, err
}

// sleep waits for d, for the end of the context or for wake to be closed.
func sleep(ctx context.Context, d time.Duration, wake <-chan struct{}) {
	select {
	case <-ctx.Done():
	case <-wake:
	case <-time.After(d):
	}
}

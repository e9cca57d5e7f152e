package object

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"
)

// The wait after a failed call of a follower doubles between these, with
// jitter, so that followers don't return in step after an outage. The first is
// well below the time in which a change has to be in force (2 s).
const (
	firstFollowRetry = 100 * time.Millisecond
	lastFollowRetry  = 400 * time.Millisecond
)

// CompactedError says that the changes after a revision are no longer kept. The
// objects have to be listed again.
type CompactedError struct {
	Prefix string
}

func (e *CompactedError) Error() string { return "history of " + e.Prefix + " was compacted" }

// Change is what a follower hands on: all objects of a prefix when Whole is
// set, else those that changed. Known is the instant of the follower's clock at
// which, at the earliest, the store was as the follower now knows it.
type Change struct {
	Batch
	Complete bool
	AsOf     time.Duration
}

// Follower keeps up with the objects under a prefix. Now is a clock that counts
// suspend. Handle is called by one goroutine, also for a watch that ended
// without a change, since that shows that nothing has changed. Lost, when set,
// is called for each failed call with the time that it took. Pace is the least time between two calls, so
// that changes in quick succession come together. Retry, when set, returns a
// channel whose close ends the pause after a failed call.
type Follower struct {
	Reader          Reader
	Prefix          string
	Now             func() time.Duration
	Handle          func(Change)
	OnFailure       func(err error, took time.Duration)
	MinCallInterval time.Duration
	RetrySignal     func() <-chan struct{}
}

// Run lists once and then watches, until the context ends.
func (f Follower) Run(ctx context.Context) {
	var after uint64
	listed, retry := false, firstFollowRetry
	for ctx.Err() == nil {
		var wake <-chan struct{}
		if f.RetrySignal != nil {
			wake = f.RetrySignal() // before the call, so that no close is missed
		}
		sent := f.Now()
		change, err := f.next(ctx, listed, after)
		if err == nil {
			listed, after, retry = true, change.Revision, firstFollowRetry
			f.Handle(change)
			if rest := f.MinCallInterval - (f.Now() - sent); rest > 0 {
				sleep(ctx, rest, nil)
			}
			continue
		}
		if _, compacted := errors.AsType[*CompactedError](err); compacted {
			listed = false
			continue
		}
		if f.OnFailure != nil {
			f.OnFailure(err, f.Now()-sent)
		}
		sleep(ctx, retry/2+rand.N(retry), wake)
		retry = min(2*retry, lastFollowRetry)
	}
}

func (f Follower) next(ctx context.Context, listed bool, after uint64) (Change, error) {
	sent := f.Now()
	if !listed {
		batch, err := f.Reader.List(ctx, f.Prefix)
		return Change{Batch: batch, Complete: true, AsOf: sent - batch.Age}, err
	}
	batch, err := f.Reader.Watch(ctx, f.Prefix, after)
	return Change{Batch: batch, AsOf: sent + batch.Waited - batch.Age}, err
}

func sleep(ctx context.Context, d time.Duration, wake <-chan struct{}) {
	select {
	case <-ctx.Done():
	case <-wake:
	case <-time.After(d):
	}
}

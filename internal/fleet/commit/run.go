package commit

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/hyssopwall/hyssopwall/internal/platform/object"
)

// RetryWait is the pause between two calls of one update. The first read after a
// conflict comes without a pause.
const RetryWait = 50 * time.Millisecond

// UnresolvedError reports that the context ended before the outcome of an update
// was known. The update may have taken effect, or may still do so.
type UnresolvedError struct {
	Key string
	Err error
}

func (e *UnresolvedError) Error() string {
	return fmt.Sprintf("outcome of the update of %s still open: %v", e.Key, e.Err)
}

// Unwrap returns the cause.
func (e *UnresolvedError) Unwrap() error { return e.Err }

// LostError reports that the object has another Value at Version, so that the update
// is not in effect. Version is zero if there is no object. The update wrote nothing,
// unless the answer to an attempt was lost: then it may have taken effect and have
// been replaced before the read, which can be of a later version (rule 2).
type LostError struct {
	Key     string
	Version uint64
	Value   string
}

func (e *LostError) Error() string {
	return fmt.Sprintf("update of %s lost against version %d", e.Key, e.Version)
}

// RefusedError reports that the first attempt failed without effect, for example
// because the platform refused it, limited the rate or could not be reached. The update
// wrote nothing and isn't tried again.
type RefusedError struct {
	Key string
}

func (e *RefusedError) Error() string { return fmt.Sprintf("update of %s refused", e.Key) }

// Do makes one call and translates its outcome. For a write, an error of an
// unexpected kind counts as Unknown, because the write may have taken effect.
func Do(ctx context.Context, store object.Store, call Call) Answer {
	if call.Op == Get {
		found, err := store.Get(ctx, call.Key)
		return translate(call, found, err)
	}
	found, err := store.Put(ctx, call.Key, []byte(call.Value), call.Expect)
	return translate(call, found, err)
}

// translate returns the answer for the result of a call.
func translate(call Call, found object.Object, err error) Answer {
	var (
		missing  *object.NotFoundError
		conflict *object.ConflictError
		limit    *object.LimitError
		outage   *object.OutageError
		size     *object.SizeError
		request  *object.RequestError
	)
	switch {
	case err == nil:
		return Answer{Kind: OK, Version: found.Version, Value: string(found.Value)}
	case errors.As(err, &missing):
		return Answer{Kind: NotFound}
	case errors.As(err, &conflict):
		return Answer{Kind: Conflict, Version: conflict.Have}
	case errors.As(err, &limit), errors.As(err, &outage), errors.As(err, &size), errors.As(err, &request), call.Op == Get:
		return Answer{Kind: NoEffect}
	default:
		return Answer{Kind: Unknown}
	}
}

// Run makes the calls of an update until its outcome is known. It returns the
// new version, or a *LostError, *RefusedError or *UnresolvedError.
func Run(ctx context.Context, store object.Store, update Update) (uint64, error) {
	for {
		answer := Do(ctx, store, update.Call())
		update = update.Apply(answer)
		switch update.State {
		case Won:
			return update.Version, nil
		case Lost:
			return 0, &LostError{Key: update.Key, Version: update.Version, Value: update.Found}
		case Refused:
			return 0, &RefusedError{Key: update.Key}
		case Unresolved:
		}
		if answer.Kind == Conflict {
			continue // the deciding read needs no pause
		}
		if err := pause(ctx); err != nil {
			return 0, &UnresolvedError{Key: update.Key, Err: err}
		}
	}
}

// pause waits for RetryWait, and returns an error if ctx ends first.
func pause(ctx context.Context) error {
	timer := time.NewTimer(RetryWait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}

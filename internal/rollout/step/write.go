package step

import (
	"bytes"
	"context"
	"errors"
	"strconv"
	"time"

	"github.com/hyssopwall/hyssopwall/internal/fleet/wire"
	"github.com/hyssopwall/hyssopwall/internal/platform/object"
)

const (
	writeBackoff    = 100 * time.Millisecond
	maxWriteBackoff = 5 * time.Second
	callTimeout     = 5 * time.Second // of one call that writes the step object or reads it back
)

// writeDelay returns the delay of the next write after a number of failures in a row, at
// least one.
func writeDelay(failures int) time.Duration {
	return min(writeBackoff<<min(failures-1, 16), maxWriteBackoff) // more than 16 doublings could overflow
}

// write starts the write of the pending commit, unless a write is in flight or the delay
// after a failed one has not passed.
func (o *Owner) write() {
	commit := o.ledger.Pending()
	if commit == nil || o.writeInFlight || o.config.Clock.Now().Before(o.nextWrite) {
		return
	}
	o.writeInFlight = true
	o.workers.Add(1)
	go func() {
		defer o.workers.Done()
		_ = o.send(o.ctx, o.writeCommit(o.ctx, *commit, o.version))
	}()
}

// writeCommit saves the copy of the chunk and then writes the step object (rule 2). A
// failure to save the copy doesn't stop the step: if the chunk is lost with its owner,
// rule 4 applies.
func (o *Owner) writeCommit(ctx context.Context, commit Commit, expect uint64) writeResult {
	if commit.Chunk != nil {
		o.saveCopy(ctx, chunkKey(o.id, commit.Chunk.Cursor), *commit.Chunk)
	}
	value, err := wire.Encode(commit.State)
	if err != nil {
		return writeResult{err: err}
	}
	return writeObject(ctx, o.config.Store, o.id, value, expect)
}

// writeObject writes a step object. If the outcome of the write is unknown or it
// conflicts, writeObject reads the object back to determine the outcome (rule 5).
func writeObject(ctx context.Context, store Store, id ID, value []byte, expect uint64) writeResult {
	limited, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	stored, err := store.Put(limited, id.Key(), value, expect)
	if err == nil {
		return writeResult{version: stored.Version}
	}
	var conflict *object.ConflictError
	var unknown *object.UnknownError
	if errors.As(err, &conflict) || errors.As(err, &unknown) {
		return readBack(ctx, store, id, value, expect)
	}
	return writeResult{err: err}
}

// readBack compares the stored object with the value that was to be written. The value
// contains the owner and its epoch, so equal bytes mean that the write of this owner has
// taken effect.
func readBack(ctx context.Context, store Store, id ID, value []byte, expect uint64) writeResult {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	stored, err := store.Get(ctx, id.Key())
	var missing *object.NotFoundError
	switch {
	case errors.As(err, &missing) && expect == 0:
		return writeResult{err: err}
	case errors.As(err, &missing):
		return writeResult{fenced: &FencedError{ID: id}}
	case err != nil:
		return writeResult{err: err}
	case bytes.Equal(stored.Value, value):
		return writeResult{version: stored.Version}
	case stored.Version == expect:
		return writeResult{err: &object.UnknownError{Key: id.Key(), Err: errors.New("not yet in effect")}}
	}
	state, err := wire.Decode[State](stored.Value)
	if err != nil {
		return writeResult{fenced: &FencedError{ID: id}}
	}
	return writeResult{fenced: &FencedError{ID: id, Owner: state.Owner, Epoch: state.Epoch}}
}

// verifyEpoch reads the step object and returns nil if epoch is still its epoch. Otherwise
// it returns a *FencedError with the new owner, as far as known.
func verifyEpoch(ctx context.Context, store Store, id ID, epoch uint64) (*FencedError, error) {
	stored, err := store.Get(ctx, id.Key())
	var missing *object.NotFoundError
	if errors.As(err, &missing) {
		return &FencedError{ID: id}, nil
	}
	if err != nil {
		return nil, err
	}
	state, err := wire.Decode[State](stored.Value)
	if err != nil {
		return nil, err
	}
	if state.Epoch == epoch {
		return nil, nil
	}
	return &FencedError{ID: id, Owner: state.Owner, Epoch: state.Epoch}, nil
}

// saveCopy saves a copy of a chunk. It counts an error of Copies.Save in
// Stats.CopyFailures.
func (o *Owner) saveCopy(ctx context.Context, key string, chunk Chunk) {
	data, err := wire.Encode(chunk)
	if err != nil || o.config.Copies == nil {
		return
	}
	if err := o.config.Copies.Save(ctx, key, data); err != nil {
		o.trySend(copyFailed{})
	}
}

// copyFailed reports a chunk whose copy could not be saved.
type copyFailed struct{}

func (copyFailed) apply(o *Owner) { o.ledger.stats.CopyFailures++ }

// planKey returns the key of the copy of a step's plan.
func planKey(id ID) string { return id.Key() + "/plan" }

// chunkKey returns the key of the copy of a chunk.
func chunkKey(id ID, cursor uint64) string {
	return id.Key() + "/" + strconv.FormatUint(cursor, 10)
}

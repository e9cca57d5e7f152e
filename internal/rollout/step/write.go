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
	callTimeout     = 5 * time.Second // of one call of the platform
)

func writeDelay(failures int) time.Duration {
	return min(writeBackoff<<min(failures-1, 16), maxWriteBackoff)
}

// write starts the pending commit, one at a time.
func (o *Owner) write() {
	commit := o.ledger.Pending()
	if commit == nil || o.writing || o.config.Clock.Now().Before(o.nextWrite) {
		return
	}
	o.writing = true
	o.workers.Add(1)
	go func() {
		defer o.workers.Done()
		_ = o.send(o.ctx, o.put(o.ctx, *commit, o.version))
	}()
}

// put saves the copy and then writes the step object (rule 2). A lost copy
// does not stop the step: the trainer's next pull then decides (rule 4).
func (o *Owner) put(ctx context.Context, commit Commit, expect uint64) writeResult {
	if commit.Chunk != nil {
		o.saveCopy(ctx, chunkKey(o.id, commit.Chunk.Cursor), *commit.Chunk)
	}
	value, err := wire.Encode(commit.State)
	if err != nil {
		return writeResult{err: err}
	}
	return put(ctx, o.config.Store, o.id, value, expect)
}

// put writes a step object and finds out what became of it (rule 5).
func put(ctx context.Context, store Store, id ID, value []byte, expect uint64) writeResult {
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

// readBack compares the object with what was to be written. The value names
// the owner and its epoch, so that equal bytes are this owner's own write.
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

// verify reads whether the epoch still owns the step. It returns nil if so,
// and what is known of the later owner if not.
func verify(ctx context.Context, store Store, id ID, epoch uint64) (*FencedError, error) {
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

func (o *Owner) saveCopy(ctx context.Context, key string, chunk Chunk) {
	data, err := wire.Encode(chunk)
	if err != nil || o.config.Copies == nil {
		return
	}
	if err := o.config.Copies.Save(ctx, key, data); err != nil {
		o.trySend(copyFailed{})
	}
}

// copyFailed counts a chunk that has no copy.
type copyFailed struct{}

func (copyFailed) apply(o *Owner) { o.ledger.stats.CopyFailures++ }

func planKey(id ID) string { return id.Key() + "/plan" }

func chunkKey(id ID, cursor uint64) string {
	return id.Key() + "/" + strconv.FormatUint(cursor, 10)
}

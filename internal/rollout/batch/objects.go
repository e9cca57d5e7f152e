package batch

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/hyssopwall/hyssopwall/internal/platform/object"
)

// Times of calls to the store.
const (
	callTimeout = 900 * time.Millisecond // the store answers in milliseconds, or in a quarter of a second when slow
	retryPause  = 100 * time.Millisecond // pause after a failed call
)

// maxPartBytes bounds the part of a body that is stored in one object. After its encoding
// in base64 and quotes it is still smaller than the largest value of the store.
const maxPartBytes = 600 << 10

// storage reads and writes the objects of batches in the store.
type storage struct {
	store object.Store
}

// bodyKey returns the key of a part of a body. The digest is empty for a body of an earlier
// version of this program.
func bodyKey(id, digest string, part int) string {
	if digest == "" {
		return fmt.Sprintf("%s%s.%d", BodyPrefix, id, part)
	}
	return fmt.Sprintf("%s%s.%s.%d", BodyPrefix, id, digest, part)
}

func logKey(id string, chunk int) string      { return fmt.Sprintf("%s%s/%05d", LogPrefix, id, chunk) }
func isNotFound(err error) bool               { return isError[*object.NotFoundError](err) }
func isConflict(err error) bool               { return isError[*object.ConflictError](err) }
func isUnknown(err error) bool                { return isError[*object.UnknownError](err) }
func isError[E error](err error) bool         { _, ok := errors.AsType[E](err); return ok }
func encode[T any](value T) ([]byte, error)   { return json.Marshal(value) }
func decode[T any](raw []byte) (v T, _ error) { err := json.Unmarshal(raw, &v); return v, err }

func (l storage) get(ctx context.Context, key string) (object.Object, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return l.store.Get(ctx, key)
}

func (l storage) put(ctx context.Context, key string, value []byte, expect uint64) (object.Object, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return l.store.Put(ctx, key, value, expect)
}

// digestOf returns the digest that names an encoded body: half of its SHA-256, in
// hexadecimal.
func digestOf(raw []byte) string {
	sum := sha256.Sum256(raw)
	return hex.EncodeToString(sum[:sha256.Size/2])
}

// create creates an object unless it already exists. It retries while the outcome of the
// write is unknown.
func (l storage) create(ctx context.Context, key string, value []byte) error {
	for {
		_, err := l.put(ctx, key, value, 0)
		if err == nil || isConflict(err) {
			return nil
		}
		if !isUnknown(err) || ctx.Err() != nil {
			return err
		}
	}
}

// body reads and decodes the batch that a record names. The error is a *BodyError if the
// parts are not those of one encoding.
func (l storage) body(ctx context.Context, id string, record Record) (Batch, error) {
	var raw []byte
	for i := range record.Parts {
		found, err := l.get(ctx, bodyKey(id, record.Body, i))
		if err != nil {
			return Batch{}, err
		}
		part, err := decode[[]byte](found.Value)
		if err != nil {
			return Batch{}, err
		}
		raw = append(raw, part...)
	}
	if found := digestOf(raw); record.Body != "" && found != record.Body {
		return Batch{}, &BodyError{ID: id, Want: record.Body, Found: found}
	}
	return decode[Batch](raw)
}

// BodyError says that the stored body of a batch does not have the digest in its record.
type BodyError struct {
	ID          string
	Want, Found string
}

func (e *BodyError) Error() string {
	return fmt.Sprintf("body of batch %s has digest %s instead of %s", e.ID, e.Found, e.Want)
}

// record reads a batch's record and its version.
func (l storage) record(ctx context.Context, id string) (Record, uint64, error) {
	found, err := l.get(ctx, RecordPrefix+id)
	if err != nil {
		return Record{}, 0, err
	}
	record, err := decode[Record](found.Value)
	return record, found.Version, err
}

// updateRecord applies a change to a record until the store accepts it. Apply returns false
// if there is nothing to change. The first attempt uses the known record, which may be
// outdated; the record is read from the store only after a conflict or an unknown outcome,
// or if no version is known. It returns the resulting record and its version.
func (l storage) updateRecord(ctx context.Context, id string, from known, apply func(*Record) bool) (Record, uint64, error) {
	record, version := from.Record, from.version
	for {
		if version == 0 {
			var err error
			if record, version, err = l.record(ctx, id); err != nil {
				return Record{}, 0, err
			}
		}
		if !apply(&record) {
			return record, version, nil
		}
		value, err := encode(record)
		if err != nil {
			return Record{}, 0, err
		}
		stored, err := l.put(ctx, RecordPrefix+id, value, version)
		if err == nil {
			return record, stored.Version, nil
		}
		if !isConflict(err) && !isUnknown(err) || ctx.Err() != nil {
			return Record{}, 0, err
		}
		version = 0
	}
}

// chunk reads one object of a batch's log.
func (l storage) chunk(ctx context.Context, id string, n int) ([]Result, error) {
	found, err := l.get(ctx, logKey(id, n))
	if err != nil {
		return nil, err
	}
	return decode[[]Result](found.Value)
}

// log reads the objects of a batch's log from a number on, with a single call to the
// store. It stops at the first missing object.
func (l storage) log(ctx context.Context, id string, from int) ([][]Result, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	listed, err := l.store.List(ctx, LogPrefix+id+"/")
	if err != nil {
		return nil, err
	}
	byKey := make(map[string][]byte, len(listed.Objects))
	for _, o := range listed.Objects {
		byKey[o.Key] = o.Value
	}
	var chunks [][]Result
	for {
		value, ok := byKey[logKey(id, from+len(chunks))]
		if !ok {
			return chunks, nil
		}
		results, err := decode[[]Result](value)
		if err != nil {
			return nil, err
		}
		chunks = append(chunks, results)
	}
}

// pauseBeforeRetry waits before the next attempt of a failed call.
func pauseBeforeRetry(ctx context.Context) { pause(ctx, retryPause) }

// pause waits for a time or until the context ends.
func pause(ctx context.Context, wait time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(wait):
	}
}

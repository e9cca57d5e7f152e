// Package object defines the platform's object API as hyssopwall uses it:
// versioned values, conditional updates and long-poll watches.
//
// The platform counts every call, and a watch as one call however long it waits.
// A call can time out after it has taken effect. A write then returns an
// [UnknownError], and the caller must read the object before it acts on the
// outcome.
package object

import (
	"context"
	"fmt"
	"math"
	"time"
)

// MaxValue is the largest value in bytes that the platform stores.
const MaxValue = 1 << 20

// AnyVersion as the expected version of a delete stands for any version.
const AnyVersion = math.MaxUint64

// Object is one stored value. Version is the revision of the entire store at which the
// value was written; it grows with each write and is never reused. Deleted marks, in the
// result of a watch, an object that was removed at that version.
type Object struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"`
	Value   []byte `json:"value,omitempty"`
	Deleted bool   `json:"deleted,omitempty"`
}

// Batch is the response to a list or a watch: the objects, and the revision from which the
// next watch continues. Age is an upper bound for how far the response lagged behind the
// store when it was made. Waited is a lower bound for the time between the start of a
// watch and its response. Both are zero in the batches of Client.
type Batch struct {
	Objects  []Object      `json:"objects"`
	Revision uint64        `json:"revision"`
	Age      time.Duration `json:"-" cbor:"-"`
	Waited   time.Duration `json:"-" cbor:"-"`
}

// Reader has the read operations of the object API. Besides the errors named below, calls
// may fail with a *LimitError, a *RequestError or an *OutageError.
type Reader interface {
	// Get returns the object, or a *NotFoundError.
	Get(ctx context.Context, key string) (Object, error)
	// List returns all objects whose keys start with prefix, ordered by key.
	List(ctx context.Context, prefix string) (Batch, error)
	// Watch waits for changes under prefix after the given revision and
	// returns them, the oldest first. It returns an empty batch if the platform ends
	// the wait without a change, and a *CompactedError if the store no longer
	// has all changes after the revision.
	Watch(ctx context.Context, prefix string, after uint64) (Batch, error)
}

// Writer has the write operations of the object API. Besides the errors named below, calls
// may fail with a *LimitError, a *RequestError or an *OutageError.
type Writer interface {
	// Put stores value if the object's version equals expect; zero means
	// that the object must not exist. It returns a *ConflictError otherwise,
	// a *SizeError if the value is too large, and an *UnknownError if it is
	// not known whether the write took effect.
	Put(ctx context.Context, key string, value []byte, expect uint64) (Object, error)
	// Delete removes the object under the same condition as Put, or whatever its version
	// if expect is AnyVersion. For an
	// object that doesn't exist, some implementations return nil, others an
	// error.
	Delete(ctx context.Context, key string, expect uint64) error
}

// Store is the complete object API.
type Store interface {
	Reader
	Writer
}

// NotFoundError says that no object has the key.
type NotFoundError struct {
	Key string
}

func (e *NotFoundError) Error() string {
	return fmt.Sprintf("object %s not found", e.Key)
}

// ConflictError says that the object's version is Have instead of Want. Nothing was
// written.
type ConflictError struct {
	Key  string
	Want uint64
	Have uint64
}

func (e *ConflictError) Error() string {
	return fmt.Sprintf("object %s has version %d, not %d", e.Key, e.Have, e.Want)
}

// LimitError says that the platform refused the call because of its rate limit. Nothing
// was written. RetryAfter is the wait that the platform asks for, zero if it
// names none.
type LimitError struct {
	RetryAfter time.Duration
}

func (e *LimitError) Error() string {
	return fmt.Sprintf("platform rate limit, retry after %s", e.RetryAfter)
}

// OutageError says that the platform was unavailable: it could not be reached, gave no
// valid response to a read, or refused the call. The call had no effect.
type OutageError struct {
	Err error
}

func (e *OutageError) Error() string { return "platform unavailable: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *OutageError) Unwrap() error { return e.Err }

// UnknownError says that the outcome of a write is unknown: it may have taken effect.
type UnknownError struct {
	Key string
	Err error
}

func (e *UnknownError) Error() string {
	return fmt.Sprintf("outcome of write to %s unknown: %v", e.Key, e.Err)
}

// Unwrap returns the cause.
func (e *UnknownError) Unwrap() error { return e.Err }

// SizeError says that a value is larger than MaxValue.
type SizeError struct {
	Key  string
	Size int
}

func (e *SizeError) Error() string {
	return fmt.Sprintf("value of %s has %d bytes, more than %d", e.Key, e.Size, MaxValue)
}

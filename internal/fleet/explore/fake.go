package explore

import (
	"context"
	"errors"
	"slices"
	"strings"
	"sync"

	"github.com/hyssopwall/hyssopwall/internal/platform/object"
)

// Fault is what goes wrong with one call to a FakeStore.
type Fault uint8

// The faults of a call.
const (
	NoFault    Fault = iota
	Outage           // the call fails and has no effect
	LoseWrite        // a write has no effect and returns an unknown outcome
	LoseAnswer       // a write takes effect and returns an unknown outcome
	StaleRead        // a read returns the previous value
)

// FakeStore is an in-memory object store with fault injection. The zero value is
// empty and ready to use. It is safe for concurrent use.
type FakeStore struct {
	mu       sync.Mutex
	revision uint64
	objects  map[string]object.Object
	old      map[string]object.Object // previous values, for StaleRead; Delete leaves them as they are
	// Fault, if set, chooses the fault of a call. op is "get", "list" or "put"; Watch
	// is a "list", and Delete has no faults.
	// Use SetFault while calls are in progress.
	Fault  func(op, key string) Fault
	reads  int
	writes int
}

// Calls returns the numbers of reads and writes so far, those that failed included.
// List and Watch count as reads, Delete as a write.
func (f *FakeStore) Calls() (reads, writes int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.reads, f.writes
}

// SetFault replaces the function that chooses the fault of a call.
func (f *FakeStore) SetFault(fault func(op, key string) Fault) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.Fault = fault
}

// fault returns the fault of a call. The caller holds the lock.
func (f *FakeStore) fault(op, key string) Fault {
	if f.Fault == nil {
		return NoFault
	}
	return f.Fault(op, key)
}

// Get implements object.Store. Any fault but StaleRead makes it fail. A stale read
// finds nothing if the object was never replaced.
func (f *FakeStore) Get(_ context.Context, key string) (object.Object, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reads++
	fault := f.fault("get", key)
	if fault == Outage || fault == LoseWrite || fault == LoseAnswer {
		return object.Object{}, &object.OutageError{Err: errors.New("injected fault")}
	}
	found, ok := f.objects[key]
	if fault == StaleRead {
		found, ok = f.old[key]
	}
	if !ok {
		return object.Object{}, &object.NotFoundError{Key: key}
	}
	return found, nil
}

// List implements object.Store. Any fault makes it fail.
func (f *FakeStore) List(_ context.Context, prefix string) (object.Batch, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reads++
	if f.fault("list", prefix) != NoFault {
		return object.Batch{}, &object.OutageError{Err: errors.New("injected fault")}
	}
	batch := object.Batch{Revision: f.revision}
	for key, found := range f.objects {
		if strings.HasPrefix(key, prefix) {
			batch.Objects = append(batch.Objects, found)
		}
	}
	slices.SortFunc(batch.Objects, func(a, b object.Object) int { return strings.Compare(a.Key, b.Key) })
	return batch, nil
}

// Watch implements object.Store. It does not wait for a change but returns the
// current objects at once.
func (f *FakeStore) Watch(ctx context.Context, prefix string, _ uint64) (object.Batch, error) {
	return f.List(ctx, prefix)
}

// Put implements object.Store. StaleRead does not affect it.
func (f *FakeStore) Put(_ context.Context, key string, value []byte, expect uint64) (object.Object, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.writes++
	switch f.fault("put", key) {
	case Outage:
		return object.Object{}, &object.OutageError{Err: errors.New("injected fault")}
	case LoseWrite:
		return object.Object{}, &object.UnknownError{Key: key, Err: errors.New("injected fault")}
	case LoseAnswer:
		_, _ = f.put(key, value, expect)
		return object.Object{}, &object.UnknownError{Key: key, Err: errors.New("injected fault")}
	case NoFault, StaleRead:
	}
	return f.put(key, value, expect)
}

// put executes a Put without faults. The caller holds the lock.
func (f *FakeStore) put(key string, value []byte, expect uint64) (object.Object, error) {
	before, ok := f.objects[key]
	if before.Version != expect {
		return object.Object{}, &object.ConflictError{Key: key, Want: expect, Have: before.Version}
	}
	if f.objects == nil {
		f.objects, f.old = map[string]object.Object{}, map[string]object.Object{}
	}
	if ok {
		f.old[key] = before
	}
	f.revision++
	f.objects[key] = object.Object{Key: key, Version: f.revision, Value: slices.Clone(value)}
	return f.objects[key], nil
}

// Delete implements object.Store. It has no faults.
func (f *FakeStore) Delete(_ context.Context, key string, expect uint64) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.writes++
	before := f.objects[key]
	if before.Version != expect {
		return &object.ConflictError{Key: key, Want: expect, Have: before.Version}
	}
	f.revision++
	delete(f.objects, key)
	return nil
}

// Package objects is an in-memory object store for tests. Faults can be injected into
// any call.
package objects

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"strings"
	"sync"

	"github.com/hyssopwall/hyssopwall/internal/platform/object"
)

// Fault is a fault injected into a call.
type Fault string

// The faults of calls, as they apply to writes. A read or a watch fails for each of them but
// None, a watch with a CompactedError for Dropped.
const (
	None    Fault = ""
	Down    Fault = "down"    // rejected, without effect
	Lost    Fault = "lost"    // executed, but the response is lost
	Dropped Fault = "dropped" // not executed, and no response
	Late    Fault = "late"    // no response, and executed when Deliver is called
)

// ErrFault is the wrapped cause of injected outages and unknown results.
var ErrFault = errors.New("injected")

// Store implements object.Store. The zero value is empty. Before, if set, is called
// before each call with its operation and key, and returns the fault to inject. Calls
// counts all calls. A Watch counts as a call again, and calls Before again, after each
// change that it wakes up for, also one outside its prefix.
type Store struct {
	Before func(op, key string) Fault

	mu       sync.Mutex
	revision uint64
	objects  map[string]object.Object
	history  []object.Object // all changes, in order of their version
	changed  chan struct{}   // closed at the next change; nil if nobody waits
	late     []func()        // writes that Deliver executes
	Calls    int
}

// fault counts a call and returns the fault to inject into it.
func (s *Store) fault(op, key string) Fault {
	s.mu.Lock()
	before := s.Before
	s.Calls++
	s.mu.Unlock()
	if before == nil {
		return None
	}
	return before(op, key)
}

// Inject replaces Before, which chooses the faults of later calls. Unlike setting the
// field, it is safe while calls are running.
func (s *Store) Inject(before func(op, key string) Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.Before = before
}

// Deliver executes the late writes. A write whose expected version is stale has no
// effect.
func (s *Store) Deliver() {
	s.mu.Lock()
	late := s.late
	s.late = nil
	s.mu.Unlock()
	for _, write := range late {
		write()
	}
}

// Get implements object.Reader.
func (s *Store) Get(_ context.Context, key string) (object.Object, error) {
	if s.fault("get", key) != None {
		return object.Object{}, &object.OutageError{Err: ErrFault}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	found, ok := s.objects[key]
	if !ok {
		return object.Object{}, &object.NotFoundError{Key: key}
	}
	return found, nil
}

// List implements object.Reader.
func (s *Store) List(_ context.Context, prefix string) (object.Batch, error) {
	if s.fault("list", prefix) != None {
		return object.Batch{}, &object.OutageError{Err: ErrFault}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	batch := object.Batch{Revision: s.revision}
	for key, found := range s.objects {
		if strings.HasPrefix(key, prefix) {
			batch.Objects = append(batch.Objects, found)
		}
	}
	slices.SortFunc(batch.Objects, func(a, b object.Object) int { return cmp.Compare(a.Key, b.Key) })
	return batch, nil
}

// Watch implements object.Reader. It waits for a change until the context is done, and
// then returns an *object.OutageError with the context's error.
func (s *Store) Watch(ctx context.Context, prefix string, after uint64) (object.Batch, error) {
	for {
		switch s.fault("watch", prefix) {
		case None:
		case Dropped:
			return object.Batch{}, &object.CompactedError{Prefix: prefix}
		default:
			return object.Batch{}, &object.OutageError{Err: ErrFault}
		}
		batch, changed := s.since(prefix, after)
		if len(batch.Objects) > 0 {
			return batch, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return object.Batch{}, &object.OutageError{Err: ctx.Err()}
		}
	}
}

// since returns the changes under a prefix after a revision. The channel is closed at
// the next change.
func (s *Store) since(prefix string, after uint64) (object.Batch, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	batch := object.Batch{Revision: s.revision}
	for _, change := range s.history {
		if change.Version > after && strings.HasPrefix(change.Key, prefix) {
			batch.Objects = append(batch.Objects, change)
		}
	}
	if s.changed == nil {
		s.changed = make(chan struct{})
	}
	return batch, s.changed
}

// Put implements object.Writer.
func (s *Store) Put(_ context.Context, key string, value []byte, expect uint64) (object.Object, error) {
	return s.write("put", key, expect, func() (object.Object, error) { return s.put(key, value, expect, false) })
}

// Delete implements object.Writer. For an object that doesn't exist, it returns nil if
// expect is zero, and an *object.ConflictError otherwise.
func (s *Store) Delete(_ context.Context, key string, expect uint64) error {
	_, err := s.write("delete", key, expect, func() (object.Object, error) { return s.put(key, nil, expect, true) })
	return err
}

// write runs a write, with the fault that is due for it.
func (s *Store) write(op, key string, _ uint64, run func() (object.Object, error)) (object.Object, error) {
	unknown := &object.UnknownError{Key: key, Err: ErrFault}
	switch s.fault(op, key) {
	case Down:
		return object.Object{}, &object.OutageError{Err: ErrFault}
	case Lost:
		_, _ = run()
		return object.Object{}, unknown
	case Dropped:
		return object.Object{}, unknown
	case Late:
		s.mu.Lock()
		s.late = append(s.late, func() { _, _ = run() })
		s.mu.Unlock()
		return object.Object{}, unknown
	case None:
	}
	return run()
}

// put stores or removes a value if the current version, zero for an absent key, is the
// expected one.
func (s *Store) put(key string, value []byte, expect uint64, remove bool) (object.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	have := s.objects[key].Version
	if remove && expect == object.AnyVersion {
		expect = have
	}
	if have != expect {
		return object.Object{}, &object.ConflictError{Key: key, Want: expect, Have: have}
	}
	s.revision++
	stored := object.Object{Key: key, Version: s.revision, Value: slices.Clone(value), Deleted: remove}
	if s.objects == nil {
		s.objects = map[string]object.Object{}
	}
	if remove {
		delete(s.objects, key)
	} else {
		s.objects[key] = stored
	}
	s.history = append(s.history, stored)
	if s.changed != nil {
		close(s.changed)
		s.changed = nil
	}
	return stored, nil
}

// PageSize is the number of objects in a page of Page.
const PageSize = 2

// Page returns up to PageSize objects under a prefix that follow a key, ordered by key.
func (s *Store) Page(ctx context.Context, prefix, after string) (page []object.Object, more bool, err error) {
	batch, err := s.List(ctx, prefix)
	for _, o := range batch.Objects {
		if o.Key <= after {
			continue
		}
		if len(page) == PageSize {
			return page, true, err
		}
		page = append(page, o)
	}
	return page, false, err
}

// Keys returns the keys under a prefix in sorted order.
func (s *Store) Keys(prefix string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var keys []string
	for key := range s.objects {
		if strings.HasPrefix(key, prefix) {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	return keys
}

package platform

import (
	"cmp"
	"slices"
	"strings"
	"sync"

	"github.com/hyssopwall/hyssopwall/internal/platform/object"
)

// history is the number of earlier values that a key keeps for stale reads.
const history = 1

// store holds the objects. Each write increments the revision. The zero value is
// empty.
type store struct {
	mu       sync.Mutex
	revision uint64
	objects  map[string][]object.Object // versions of each key, newest last, at most history+1
	log      []string                   // key written at revision i+1
	changed  chan struct{}              // closed at the next change or wake; nil if nobody waits
}

// get returns the newest value, or the one before it if stale is set.
func (s *store) get(key string, stale bool) (object.Object, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return pick(s.objects[key], stale)
}

// pick returns the newest version, or the one before it if stale is set. It reports
// whether that version exists and is not deleted.
func pick(values []object.Object, stale bool) (object.Object, bool) {
	at := len(values) - 1
	if stale {
		at--
	}
	if at < 0 || values[at].Deleted {
		return object.Object{}, false
	}
	return values[at], true
}

// list returns all objects under a prefix. A stale list lacks the newest change under the
// prefix.
func (s *store) list(prefix string, stale bool) object.Batch {
	s.mu.Lock()
	defer s.mu.Unlock()
	newest := ""
	if stale {
		newest = s.newest(prefix)
	}
	batch := object.Batch{Objects: []object.Object{}, Revision: s.revision}
	for key, values := range s.objects {
		if !strings.HasPrefix(key, prefix) {
			continue
		}
		behind := stale && key == newest
		if behind {
			batch.Revision = values[len(values)-1].Version - 1
		}
		if value, found := pick(values, behind); found {
			batch.Objects = append(batch.Objects, value)
		}
	}
	slices.SortFunc(batch.Objects, func(a, b object.Object) int { return cmp.Compare(a.Key, b.Key) })
	return batch
}

// newest returns the key written last under a prefix, or "" if there is none.
func (s *store) newest(prefix string) string {
	for _, key := range slices.Backward(s.log) {
		if strings.HasPrefix(key, prefix) {
			return key
		}
	}
	return ""
}

// since returns the newest value of each key under a prefix that changed after a
// revision, in order of change. The channel is closed at the next change or wake.
func (s *store) since(prefix string, after uint64) (object.Batch, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	batch := object.Batch{Objects: []object.Object{}, Revision: s.revision}
	for at := min(after, s.revision); at < s.revision; at++ {
		values := s.objects[s.log[at]]
		last := values[len(values)-1]
		if last.Version == at+1 && strings.HasPrefix(last.Key, prefix) {
			batch.Objects = append(batch.Objects, last)
		}
	}
	if s.changed == nil {
		s.changed = make(chan struct{})
	}
	return batch, s.changed
}

// write stores a value or a tombstone if the current version is the expected one.
func (s *store) write(key string, value []byte, deleted bool, expect uint64) (object.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	have := uint64(0)
	if current, found := pick(s.objects[key], false); found {
		have = current.Version
	}
	if have != expect {
		return object.Object{}, &object.ConflictError{Key: key, Want: expect, Have: have}
	}
	s.revision++
	written := object.Object{Key: key, Version: s.revision, Value: value, Deleted: deleted}
	if s.objects == nil {
		s.objects = make(map[string][]object.Object)
	}
	values := s.objects[key]
	values = append(values, written)
	s.objects[key] = values[max(0, len(values)-history-1):]
	s.log = append(s.log, key)
	s.signal()
	return written, nil
}

// wake wakes all waiting watches without a change.
func (s *store) wake() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.signal()
}

// signal closes the channel that since returned. The caller holds the lock.
func (s *store) signal() {
	if s.changed != nil {
		close(s.changed)
		s.changed = nil
	}
}

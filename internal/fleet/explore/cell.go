package explore

import "github.com/hyssopwall/hyssopwall/internal/fleet/commit"

// MaxCells is the largest number of objects in a ModelStore.
const MaxCells = 4

// Cell is one object of a ModelStore, with its previous value, which a stale read
// may still return.
type Cell struct {
	Key        string
	Version    uint64
	Value      string
	OldVersion uint64
	OldValue   string
}

// ModelStore models the platform's object store. It is comparable, so that it
// can be part of a model state.
type ModelStore struct {
	Revision uint64
	Cells    [MaxCells]Cell
}

// Index returns the index of the cell with a key, or of a free cell if there is
// none. It panics if there is no free cell either.
func (s *ModelStore) Index(key string) int {
	for i := range s.Cells {
		if s.Cells[i].Key == key || s.Cells[i].Key == "" {
			return i
		}
	}
	panic("explore: more keys than MaxCells")
}

// Do executes a call without faults and returns its answer.
func (s *ModelStore) Do(call commit.Call) commit.Answer {
	if call.Op == commit.Get {
		return s.get(call.Key, false)
	}
	cell := &s.Cells[s.Index(call.Key)]
	if cell.Version != call.Expect {
		return commit.Answer{Kind: commit.Conflict, Version: cell.Version}
	}
	s.Revision++
	*cell = Cell{Key: call.Key, Version: s.Revision, Value: call.Value, OldVersion: cell.Version, OldValue: cell.Value}
	return commit.Answer{Kind: commit.OK, Version: s.Revision}
}

// StaleGet returns the answer to a Get that sees the previous value of its
// object.
func (s *ModelStore) StaleGet(call commit.Call) commit.Answer { return s.get(call.Key, true) }

// get returns the answer to a Get, of the previous value if stale is set.
func (s *ModelStore) get(key string, stale bool) commit.Answer {
	cell := s.Cells[s.Index(key)]
	if stale {
		cell.Version, cell.Value = cell.OldVersion, cell.OldValue
	}
	if cell.Version == 0 {
		return commit.Answer{Kind: commit.NotFound}
	}
	return commit.Answer{Kind: commit.OK, Version: cell.Version, Value: cell.Value}
}

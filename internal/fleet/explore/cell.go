package explore

import "github.com/hyssopwall/hyssopwall/internal/fleet/commit"

// MaxCells is the number of objects that a Store of a model can hold.
const MaxCells = 4

// Cell is one object and the value before, which a read may still return.
type Cell struct {
	Key        string
	Version    uint64
	Value      string
	OldVersion uint64
	OldValue   string
}

// ModelStore is the platform's object API as a comparable value.
type ModelStore struct {
	Revision uint64
	Cells    [MaxCells]Cell
}

// Index returns the index of a key, or that of a free cell.
func (s *ModelStore) Index(key string) int {
	for i := range s.Cells {
		if s.Cells[i].Key == key || s.Cells[i].Key == "" {
			return i
		}
	}
	panic("explore: more keys than Cells")
}

// Do makes a call take effect and returns the true answer.
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

// StaleGet returns the answer of a read that sees the value before the last.
func (s *ModelStore) StaleGet(call commit.Call) commit.Answer { return s.get(call.Key, true) }

func (s *ModelStore) get(key string, old bool) commit.Answer {
	cell := s.Cells[s.Index(key)]
	if old {
		cell.Version, cell.Value = cell.OldVersion, cell.OldValue
	}
	if cell.Version == 0 {
		return commit.Answer{Kind: commit.NotFound}
	}
	return commit.Answer{Kind: commit.OK, Version: cell.Version, Value: cell.Value}
}

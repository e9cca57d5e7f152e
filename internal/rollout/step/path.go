package step

import "slices"

// place names a sample within a step.
type sampleKey struct {
	group, index int
}

func (s State) manifest(cursor uint64) (Manifest, bool) {
	at, ok := slices.BinarySearchFunc(s.Manifests, cursor, func(m Manifest, c uint64) int {
		switch {
		case m.Cursor < c:
			return -1
		case m.Cursor > c:
			return 1
		}
		return 0
	})
	if !ok {
		return Manifest{}, false
	}
	return s.Manifests[at], true
}

// path returns the places of every sample that a trainer with the cursor holds
// (rule 1). It returns a *CursorError for a cursor that was never committed.
func (s State) deliveredAt(cursor uint64) (map[sampleKey]bool, error) {
	held := map[sampleKey]bool{}
	for at := cursor; at != 0; {
		m, ok := s.manifest(at)
		if !ok {
			return nil, &UnknownCursorError{ID: s.ID, Cursor: cursor, Last: s.Cursor}
		}
		for _, mark := range m.SampleRefs {
			held[sampleKey{mark.Group, mark.Index}] = true
		}
		at = m.Previous
	}
	return held, nil
}

// follower returns the newest chunk that follows the cursor.
func (s State) newestAfter(cursor uint64) (Manifest, bool) {
	for _, m := range slices.Backward(s.Manifests) {
		if m.Previous == cursor {
			return m, true
		}
	}
	return Manifest{}, false
}

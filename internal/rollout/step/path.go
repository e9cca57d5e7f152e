package step

import "slices"

// sampleKey identifies a sample within a step.
type sampleKey struct {
	group, index int
}

// manifest returns the manifest of the chunk with the cursor.
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

// deliveredAt returns the samples that a trainer with the cursor has received: those
// of all chunks on the path to it (rule 1). It returns an *UnknownCursorError if a
// manifest of the path is missing.
func (s State) deliveredAt(cursor uint64) (map[sampleKey]bool, error) {
	delivered := map[sampleKey]bool{}
	for at := cursor; at != 0; {
		m, ok := s.manifest(at)
		if !ok {
			return nil, &UnknownCursorError{ID: s.ID, Cursor: cursor, Last: s.Cursor}
		}
		for _, ref := range m.SampleRefs {
			delivered[sampleKey{ref.Group, ref.Index}] = true
		}
		at = m.Previous
	}
	return delivered, nil
}

// newestAfter returns the manifest of the newest chunk that directly follows the
// cursor.
func (s State) newestAfter(cursor uint64) (Manifest, bool) {
	for _, m := range slices.Backward(s.Manifests) {
		if m.Previous == cursor {
			return m, true
		}
	}
	return Manifest{}, false
}

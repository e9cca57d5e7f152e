package burn

import (
	"cmp"
	"slices"
	"time"
)

// bucket holds the numbers of events of one time unit of a level. At is its number
// since the Unix epoch.
type bucket struct {
	At   int64
	Good uint64
	Bad  uint64
}

// counts is a list of non-empty buckets ordered by their numbers.
type counts []bucket

// add counts events in a bucket. Beyond the size of the level, it drops the oldest
// buckets.
func (c *counts) add(l level, at int64, good, bad uint64) {
	i, found := slices.BinarySearchFunc(*c, at, func(b bucket, n int64) int { return cmp.Compare(b.At, n) })
	if !found {
		*c = slices.Insert(*c, i, bucket{At: at})
	}
	(*c)[i].Good += good
	(*c)[i].Bad += bad
	if excess := len(*c) - l.Count; excess > 0 {
		*c = slices.Delete(*c, 0, excess)
	}
}

// sum adds up the buckets from through to.
func (c counts) sum(from, to int64) (good, bad uint64) {
	for _, b := range c {
		if b.At >= from && b.At <= to {
			good += b.Good
			bad += b.Bad
		}
	}
	return good, bad
}

// series is the history of one objective of one workspace: counts at each level and
// sketches of durations by bucket number.
type series struct {
	target   float64
	levels   [levelCount]counts
	sketches map[int64]*sketch
}

// add counts an event at each level and adds its duration to a sketch.
func (s *series) add(at time.Time, e Event) {
	for i, l := range levels() {
		s.levels[i].add(l, l.index(at), e.Good, e.Bad)
	}
	if e.Elapsed > 0 {
		s.sketchAt(sketchLevel().index(at)).add(e.Elapsed)
	}
}

// sketchAt returns the sketch of a bucket and creates it if needed. For a bucket that
// is too old to be kept it returns a sketch that the series does not store.
func (s *series) sketchAt(at int64) *sketch {
	if s.sketches == nil {
		s.sketches = make(map[int64]*sketch)
	}
	one := s.sketches[at]
	if one == nil {
		one = newSketch()
		s.sketches[at] = one
		s.trim()
	}
	return one
}

// trim drops the oldest sketches beyond the size of the level.
func (s *series) trim() {
	for len(s.sketches) > sketchLevel().Count {
		oldest := int64(0)
		for at := range s.sketches {
			if oldest == 0 || at < oldest {
				oldest = at
			}
		}
		delete(s.sketches, oldest)
	}
}

// merge adds the history of another host for the same objective.
func (s *series) merge(other *series) {
	for i, l := range levels() {
		for _, b := range other.levels[i] {
			s.levels[i].add(l, b.At, b.Good, b.Bad)
		}
	}
	for at, one := range other.sketches {
		s.sketchAt(at).merge(one)
	}
}

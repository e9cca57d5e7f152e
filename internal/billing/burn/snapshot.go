package burn

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/hyssopwall/hyssopwall/internal/fleet/wire"
)

// maxCount is the maximum number of good or bad events of a bucket, and of durations
// in a bin of a sketch, so that sums over hosts and buckets do not overflow.
const maxCount = 1 << 40

// maxDropped is the maximum of Snapshot.Dropped, so that sums over hosts do not
// overflow.
const maxDropped = math.MaxUint64 >> 16

// Bucket is the wire form of the numbers of events of one time unit of a level. At
// is its number since the Unix epoch.
type Bucket struct {
	_    struct{} `cbor:",toarray"`
	At   int64
	Good uint64
	Bad  uint64
}

// Times is the wire form of a distribution of durations. At is the number of its
// bucket, Count the number of durations and Data the encoded sketch.
type Times struct {
	_     struct{} `cbor:",toarray"`
	At    int64
	Count uint64
	Data  []byte
}

// Series is the wire form of the history of one objective of one workspace:
// its buckets at each level, and its distributions of durations.
type Series struct {
	Key    Key        `cbor:"1,keyasint"`
	Target float64    `cbor:"2,keyasint"`
	Levels [][]Bucket `cbor:"3,keyasint"`
	Times  []Times    `cbor:"4,keyasint,omitempty"`
}

// Snapshot holds the counts of a host. Version is the version of the document that
// the targets come from.
type Snapshot struct {
	Host    string    `cbor:"1,keyasint"`
	At      time.Time `cbor:"2,keyasint"`
	Version uint64    `cbor:"3,keyasint"`
	Series  []Series  `cbor:"4,keyasint"`
	Dropped uint64    `cbor:"5,keyasint,omitempty"` // see Recorder.Dropped
}

// Check returns a *wire.FieldError if a field is invalid.
func (s Snapshot) Check() error {
	if s.Host == "" || len(s.Host) > maxName {
		return &wire.FieldError{Type: "burn.Snapshot", Field: "Host", Reason: "is empty or too long"}
	}
	if len(s.Series) > maxSeries || s.Dropped > maxDropped {
		return &wire.FieldError{Type: "burn.Snapshot", Field: "Series or Dropped", Reason: "is too large"}
	}
	seen := make(map[Key]bool, len(s.Series))
	for _, one := range s.Series {
		if err := one.Check(); err != nil {
			return err
		}
		if seen[one.Key] {
			return &wire.FieldError{Type: "burn.Snapshot", Field: "Series", Reason: "contain an objective twice"}
		}
		seen[one.Key] = true
	}
	return nil
}

// Check returns a *wire.FieldError if a field is invalid.
func (s Series) Check() error {
	if err := s.Key.Check(); err != nil {
		return err
	}
	if !(s.Target > 0 && s.Target < 1) {
		return &wire.FieldError{Type: "burn.Series", Field: "Target", Reason: "is not between 0 and 1"}
	}
	if len(s.Levels) != levelCount {
		return &wire.FieldError{Type: "burn.Series", Field: "Levels", Reason: "have the wrong length"}
	}
	for i, l := range levels() {
		if !validBuckets(s.Levels[i], l) {
			return &wire.FieldError{Type: "burn.Series", Field: "Levels", Reason: "are out of order or too many"}
		}
	}
	return s.checkTimes()
}

// checkTimes checks the number, order and data of the distributions.
func (s Series) checkTimes() error {
	if len(s.Times) > sketchLevel().Count {
		return &wire.FieldError{Type: "burn.Series", Field: "Times", Reason: "are too many"}
	}
	last := int64(0)
	for _, t := range s.Times {
		if t.At <= last {
			return &wire.FieldError{Type: "burn.Series", Field: "Times", Reason: "are out of order"}
		}
		last = t.At
		if _, err := decodeSketch(t.Data, t.Count); err != nil {
			return &wire.FieldError{Type: "burn.Series", Field: "Times", Reason: err.Error()}
		}
	}
	return nil
}

// validBuckets reports whether the buckets fit the level: in ascending order, not too many
// and with counts within maxCount.
func validBuckets(buckets []Bucket, l level) bool {
	last := int64(0)
	for _, b := range buckets {
		if b.At <= last || b.Good > maxCount || b.Bad > maxCount {
			return false
		}
		last = b.At
	}
	return len(buckets) <= l.Count
}

// Snapshot returns the counts of the host, ordered by key. Version is that of the
// document of the current objectives.
func (r *Recorder) Snapshot(now time.Time, host string, version uint64) Snapshot {
	r.mu.Lock()
	defer r.mu.Unlock()
	snapshot := Snapshot{Host: host, At: now, Version: version, Series: make([]Series, 0, len(r.series)), Dropped: r.dropped}
	for key, s := range r.series {
		snapshot.Series = append(snapshot.Series, s.encode(key))
	}
	slices.SortFunc(snapshot.Series, func(a, b Series) int { return compareKeys(a.Key, b.Key) })
	return snapshot
}

// compareKeys orders keys by workspace, route, measure and limit.
func compareKeys(a, b Key) int {
	return cmp.Or(
		cmp.Compare(a.Workspace, b.Workspace), cmp.Compare(a.Route, b.Route),
		cmp.Compare(a.Measure, b.Measure), cmp.Compare(a.Within, b.Within),
	)
}

// encode returns the wire form of a series.
func (s *series) encode(key Key) Series {
	out := Series{Key: key, Target: s.target, Levels: make([][]Bucket, levelCount)}
	for i := range s.levels {
		out.Levels[i] = make([]Bucket, 0, len(s.levels[i]))
		for _, b := range s.levels[i] {
			out.Levels[i] = append(out.Levels[i], Bucket{At: b.At, Good: b.Good, Bad: b.Bad})
		}
	}
	for at, one := range s.sketches {
		out.Times = append(out.Times, Times{At: at, Count: one.count(), Data: one.encode()})
	}
	slices.SortFunc(out.Times, func(a, b Times) int { return cmp.Compare(a.At, b.At) })
	return out
}

// decode returns a series from its wire form.
func (s Series) decode() (*series, error) {
	out := &series{target: s.Target}
	for i := range out.levels {
		for _, b := range s.Levels[i] {
			out.levels[i] = append(out.levels[i], bucket{At: b.At, Good: b.Good, Bad: b.Bad})
		}
	}
	for _, t := range s.Times {
		one, err := decodeSketch(t.Data, t.Count)
		if err != nil {
			return nil, err
		}
		out.sketchAt(t.At).merge(one)
	}
	return out, nil
}

package burn

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/hyssopwall/hyssopwall/internal/fleet/wire"
)

// maxCount bounds the events of a bucket, so that sums over hosts and buckets
// do not overflow.
const maxCount = 1 << 40

// maxDropped bounds the dropped events of a snapshot.
const maxDropped = math.MaxUint64 >> 16

// Bucket is the wire form of the events of one unit of time. At is its number
// since the Unix epoch.
type Bucket struct {
	_    struct{} `cbor:",toarray"`
	At   int64
	Good uint64
	Bad  uint64
}

// Times is the wire form of a distribution of times.
type Times struct {
	_     struct{} `cbor:",toarray"`
	At    int64
	Count uint64
	Data  []byte
}

// Series is the wire form of the history of one objective of one workspace:
// its buckets at each level, and its distributions of times.
type Series struct {
	Key    Key        `cbor:"1,keyasint"`
	Target float64    `cbor:"2,keyasint"`
	Levels [][]Bucket `cbor:"3,keyasint"`
	Times  []Times    `cbor:"4,keyasint,omitempty"`
}

// Snapshot is what a host has counted. Version is that of the document whose
// targets it names.
type Snapshot struct {
	Host    string    `cbor:"1,keyasint"`
	At      time.Time `cbor:"2,keyasint"`
	Version uint64    `cbor:"3,keyasint"`
	Series  []Series  `cbor:"4,keyasint"`
	Dropped uint64    `cbor:"5,keyasint,omitempty"` // events not counted for want of room
}

// Check returns a *wire.FieldError for a wrong field.
func (s Snapshot) Check() error {
	if s.Host == "" || len(s.Host) > maxName {
		return &wire.FieldError{Type: "burn.Snapshot", Field: "Host", Reason: "is not a name"}
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
			return &wire.FieldError{Type: "burn.Snapshot", Field: "Series", Reason: "name an objective twice"}
		}
		seen[one.Key] = true
	}
	return nil
}

// Check returns a *wire.FieldError for a wrong field.
func (s Series) Check() error {
	if err := s.Key.Check(); err != nil {
		return err
	}
	if !(s.Target > 0 && s.Target < 1) {
		return &wire.FieldError{Type: "burn.Series", Field: "Target", Reason: "is not between 0 and 1"}
	}
	if len(s.Levels) != levelCount {
		return &wire.FieldError{Type: "burn.Series", Field: "Levels", Reason: "are not as many as expected"}
	}
	for i, l := range levels() {
		if !sound(s.Levels[i], l) {
			return &wire.FieldError{Type: "burn.Series", Field: "Levels", Reason: "are out of order or too many"}
		}
	}
	return s.checkTimes()
}

func (s Series) checkTimes() error {
	if len(s.Times) > sketched().Count {
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

func sound(buckets []Bucket, l level) bool {
	last := int64(0)
	for _, b := range buckets {
		if b.At <= last || b.Good > maxCount || b.Bad > maxCount {
			return false
		}
		last = b.At
	}
	return len(buckets) <= l.Count
}

// Snapshot returns what the host has counted, ordered by key.
func (b *Recorder) Snapshot(now time.Time, host string, version uint64) Snapshot {
	b.mu.Lock()
	defer b.mu.Unlock()
	snapshot := Snapshot{Host: host, At: now, Version: version, Series: make([]Series, 0, len(b.series)), Dropped: b.dropped}
	for key, s := range b.series {
		snapshot.Series = append(snapshot.Series, s.encode(key))
	}
	slices.SortFunc(snapshot.Series, func(a, b Series) int { return compareKeys(a.Key, b.Key) })
	return snapshot
}

func compareKeys(a, b Key) int {
	return cmp.Or(
		cmp.Compare(a.Workspace, b.Workspace), cmp.Compare(a.Route, b.Route),
		cmp.Compare(a.Measure, b.Measure), cmp.Compare(a.Within, b.Within),
	)
}

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

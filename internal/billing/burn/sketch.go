package burn

import (
	"errors"
	"math"
	"time"

	"github.com/DataDog/sketches-go/ddsketch"
	"github.com/DataDog/sketches-go/ddsketch/mapping"
	"github.com/DataDog/sketches-go/ddsketch/store"
)

// accuracy is the maximum relative error of the quantiles of a sketch.
const accuracy = 0.01

// The shortest and the longest duration of a sketch; others are clamped to them.
// They limit its number of bins, so that bins are never collapsed and merging
// stays exact.
const (
	shortest = time.Millisecond
	longest  = 24 * time.Hour
)

// maxBins is the maximum number of bins of a sketch. The range of durations has
// ln(longest/shortest) / ln(gamma) = 914 bins, with gamma =
// (1+accuracy)/(1-accuracy); maxBins is the next power of two.
const maxBins = 1024

// errSketch is returned for data that is not a valid sketch of this package.
var errSketch = errors.New("is not a valid sketch")

// sketch is a distribution of durations in seconds.
type sketch struct {
	inner *ddsketch.DDSketch
}

// newMapping returns the mapping of durations to bins, which all sketches share. It
// cannot fail for a constant accuracy between 0 and 1.
func newMapping() mapping.IndexMapping {
	m, err := mapping.NewLogarithmicMapping(accuracy)
	if err != nil {
		panic(err)
	}
	return m
}

// newSketch returns an empty sketch.
func newSketch() *sketch {
	return &sketch{inner: ddsketch.NewDDSketchFromStoreProvider(newMapping(), store.SparseStoreConstructor)}
}

// add adds a duration, clamped to the range of a sketch.
func (s *sketch) add(elapsed time.Duration) {
	_ = s.inner.Add(min(max(elapsed, shortest), longest).Seconds()) // cannot fail within the range
}

// merge adds another sketch. It cannot fail, since all sketches share one mapping.
func (s *sketch) merge(other *sketch) {
	_ = s.inner.MergeWith(other.inner)
}

// count returns the number of durations in the sketch.
func (s *sketch) count() uint64 { return uint64(s.inner.GetCount()) }

// quantile returns the quantile q with a relative error of at most accuracy, zero
// for an empty sketch.
func (s *sketch) quantile(q float64) time.Duration {
	value, err := s.inner.GetValueAtQuantile(q)
	if err != nil {
		return 0
	}
	return time.Duration(value * float64(time.Second))
}

// encode returns the wire form of the sketch. It omits the mapping, which is the
// same everywhere.
func (s *sketch) encode() []byte {
	var data []byte
	s.inner.Encode(&data, true)
	return data
}

// decodeSketch decodes a sketch. It returns errSketch when data does not hold
// exactly count durations in the range of a sketch. The library skips damaged
// stores, so only the count reveals them.
func decodeSketch(data []byte, count uint64) (*sketch, error) {
	inner, err := ddsketch.DecodeDDSketch(data, store.SparseStoreConstructor, newMapping())
	if err != nil || !inner.GetNegativeValueStore().IsEmpty() || inner.GetZeroCount() != 0 {
		return nil, errSketch
	}
	bins, valid := 0, true
	inner.GetPositiveValueStore().ForEach(func(index int, n float64) bool {
		bins++
		value := inner.Value(index) // may lie outside the range by the relative error
		valid = n > 0 && n <= maxCount && n == math.Trunc(n) && bins <= maxBins &&
			value >= shortest.Seconds()*(1-2*accuracy) && value <= longest.Seconds()*(1+2*accuracy)
		return !valid
	})
	if !valid || inner.GetCount() != float64(count) {
		return nil, errSketch
	}
	return &sketch{inner: inner}, nil
}

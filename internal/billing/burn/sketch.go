package burn

import (
	"errors"
	"math"
	"time"

	"github.com/DataDog/sketches-go/ddsketch"
	"github.com/DataDog/sketches-go/ddsketch/mapping"
	"github.com/DataDog/sketches-go/ddsketch/store"
)

// accuracy is the relative error of the quantiles of a sketch.
const accuracy = 0.01

// The shortest and the longest time that a sketch tells apart. They bound its
// number of bins, so that no bin is ever collapsed and merging stays exact.
const (
	shortest = time.Millisecond
	longest  = 24 * time.Hour
)

// maxBins bounds the bins of a sketch: ln(longest/shortest) / ln(gamma), with
// gamma = (1+accuracy)/(1-accuracy), rounded up.
const maxBins = 1024

// errSketch says that bytes are no sketch of this package.
var errSketch = errors.New("is not a sketch")

// sketch is a distribution of times in seconds.
type sketch struct {
	inner *ddsketch.DDSketch
}

// newMapping can't fail for a constant accuracy between 0 and 1.
func newMapping() mapping.IndexMapping {
	m, err := mapping.NewLogarithmicMapping(accuracy)
	if err != nil {
		panic(err)
	}
	return m
}

func newSketch() *sketch {
	return &sketch{inner: ddsketch.NewDDSketchFromStoreProvider(newMapping(), store.SparseStoreConstructor)}
}

func (s *sketch) add(took time.Duration) {
	_ = s.inner.Add(min(max(took, shortest), longest).Seconds()) // in range by the bounds
}

// merge adds another sketch; the mappings of both are the same constant.
func (s *sketch) merge(other *sketch) {
	_ = s.inner.MergeWith(other.inner)
}

// count returns the number of times in the sketch.
func (s *sketch) count() uint64 { return uint64(s.inner.GetCount()) }

// quantile returns a time with a relative error of accuracy, zero for an
// empty sketch.
func (s *sketch) quantile(q float64) time.Duration {
	value, err := s.inner.GetValueAtQuantile(q)
	if err != nil {
		return 0
	}
	return time.Duration(value * float64(time.Second))
}

// encode leaves out the mapping, which is the same everywhere.
func (s *sketch) encode() []byte {
	var data []byte
	s.inner.Encode(&data, true)
	return data
}

// decodeSketch returns errSketch when data does not hold exactly count times
// in the range of a sketch. The library skips damaged stores, so that the
// count is what shows them.
func decodeSketch(data []byte, count uint64) (*sketch, error) {
	inner, err := ddsketch.DecodeDDSketch(data, store.SparseStoreConstructor, newMapping())
	if err != nil || !inner.GetNegativeValueStore().IsEmpty() || inner.GetZeroCount() != 0 {
		return nil, errSketch
	}
	bins, sound := 0, true
	inner.GetPositiveValueStore().ForEach(func(index int, n float64) bool {
		bins++
		value := inner.Value(index)
		sound = n > 0 && n <= maxCount && n == math.Trunc(n) && bins <= maxBins &&
			value >= shortest.Seconds()*(1-2*accuracy) && value <= longest.Seconds()*(1+2*accuracy)
		return !sound
	})
	if !sound || inner.GetCount() != float64(count) {
		return nil, errSketch
	}
	return &sketch{inner: inner}, nil
}

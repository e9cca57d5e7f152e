package attempt

import (
	"slices"
	"sync"
	"time"
)

const (
	delaySamples    = 256 // latest samples kept
	delayRefresh    = 32  // samples after which the quantile is computed again
	delayQuantile   = 0.95
	minDelaySamples = 20 // samples before any hedge
)

// HedgeDelay computes the time after which a request counts as slow and may be
// hedged: the 95th percentile of the latest answer times of a route. The zero
// value has no samples. Every method is safe for concurrent use.
type HedgeDelay struct {
	mu      sync.Mutex
	samples []time.Duration // ring buffer once it holds delaySamples
	next    int             // index of the oldest sample in a full buffer
	added   int             // samples added in all
	value   time.Duration   // quantile at the last refresh
}

// Add records the time that an answer took.
func (d *HedgeDelay) Add(took time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.samples) < delaySamples {
		d.samples = append(d.samples, took)
	} else {
		d.samples[d.next] = took
		d.next = (d.next + 1) % delaySamples
	}
	d.added++
	if d.added == minDelaySamples || d.added%delayRefresh == 0 {
		sorted := slices.Sorted(slices.Values(d.samples))
		d.value = sorted[int(delayQuantile*float64(len(sorted)))]
	}
}

// After returns the time after which to hedge. It returns false while there are
// too few samples.
func (d *HedgeDelay) After() (time.Duration, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.value, d.added >= minDelaySamples
}

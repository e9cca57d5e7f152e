package attempt

import (
	"slices"
	"sync"
	"time"
)

const (
	delaySamples  = 256
	delayRefresh  = 32 // samples after which the quantile is computed again
	delayQuantile = 0.95
	delayLeast    = 20 // samples before any hedge
)

// HedgeDelay tells after what time a request counts as slow: the 95th percentile of
// the latest answers of a route. The zero value has none. Every method is safe
// for concurrent use.
type HedgeDelay struct {
	mu      sync.Mutex
	samples []time.Duration
	next    int
	added   int
	value   time.Duration
}

// Add takes in the time that an answer took.
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
	if d.added == delayLeast || d.added%delayRefresh == 0 {
		sorted := slices.Sorted(slices.Values(d.samples))
		d.value = sorted[int(delayQuantile*float64(len(sorted)))]
	}
}

// After returns the time after which to hedge, false while too little is known.
func (d *HedgeDelay) After() (time.Duration, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.value, d.added >= delayLeast
}

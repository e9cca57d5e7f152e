// Package clock holds a clock that a test moves by hand.
package clock

import (
	"sync"
	"time"
)

// start is the time of a new clock.
const start = 1_700_000_000 // Unix time in seconds

// Manual is a clock that stands still between two calls of Advance. The zero
// value works, and is safe for concurrent use.
type Manual struct {
	mu      sync.Mutex
	elapsed time.Duration
}

// Now returns the clock's time.
func (m *Manual) Now() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return time.Unix(start, 0).Add(m.elapsed)
}

// Advance moves the clock on.
func (m *Manual) Advance(by time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.elapsed += by
}

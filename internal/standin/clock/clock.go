// Package clock provides a clock that tests advance explicitly.
package clock

import (
	"sync"
	"time"
)

// start is the time of a clock that was never advanced.
const start = 1_700_000_000 // Unix time in seconds

// Manual is a clock whose time changes only in calls of Advance. The zero value is ready
// to use. It is safe for concurrent use.
type Manual struct {
	mu      sync.Mutex
	elapsed time.Duration
}

// Now returns the current time of the clock.
func (m *Manual) Now() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return time.Unix(start, 0).Add(m.elapsed)
}

// Advance moves the clock forward by a duration.
func (m *Manual) Advance(by time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.elapsed += by
}

package tally

import (
	"sync"
	"time"

	"github.com/hyssopwall/hyssopwall/internal/fleet/lease"
)

// The time of day of a host may jump by seconds and jump back. Windows are those of
// the true time, so that a jump must not move counts to another window, seal one
// early, or count one twice.

const (
	// jump is a change of the time of day that is no adjustment: those are some
	// milliseconds a second at most.
	jump = 300 * time.Millisecond
	// jumpKept is for how long the time from before a jump is kept; one that lasts
	// longer is a correction.
	jumpKept = 60 * time.Second
)

// Clock is the time of day without its jumps. The zero value is ready. It is safe
// for concurrent use.
type Clock struct {
	Wall      func() time.Time // nil means time.Now
	Monotonic lease.Clock      // nil means lease.Boot

	mu     sync.Mutex
	known  bool
	offset time.Duration // of the time of day from the steady clock
	jumped bool
	since  time.Duration // of the jump, by the steady clock
}

// Now returns the time of day.
func (c *Clock) Now() time.Time {
	wall, steady := time.Now, lease.Clock(lease.BootClock{})
	if c.Wall != nil {
		wall = c.Wall
	}
	if c.Monotonic != nil {
		steady = c.Monotonic
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	passed := steady.Now()
	offset := time.Duration(wall().UnixNano()) - passed
	if !c.keeps(offset, passed) {
		c.known, c.offset, c.jumped = true, offset, false
	}
	return time.Unix(0, int64(c.offset+passed))
}

// keeps says whether the time from before a jump still counts.
func (c *Clock) keeps(offset, passed time.Duration) bool {
	if !c.known || (offset-c.offset).Abs() < jump {
		return false
	}
	if !c.jumped {
		c.jumped, c.since = true, passed
	}
	return passed-c.since < jumpKept
}

package tally

import (
	"sync"
	"time"

	"github.com/hyssopwall/hyssopwall/internal/fleet/lease"
)

// The wall clock of a host may jump by seconds and jump back. Windows follow the true
// time, so a jump must not move counts to another window, seal a window early, or
// count a request twice.

const (
	// minJump is the smallest change of the wall clock that is a jump. Adjustments by
	// slewing change it by a few milliseconds a second at most.
	minJump = 300 * time.Millisecond
	// maxJumpDuration is how long a jump is ignored. A jump that lasts longer is a
	// correction of the wall clock and is followed.
	maxJumpDuration = 60 * time.Second
)

// Clock is the wall clock without its temporary jumps. The zero value is ready to
// use. It is safe for concurrent use.
type Clock struct {
	Wall      func() time.Time // nil means time.Now
	Monotonic lease.Clock      // nil means lease.BootClock

	mu      sync.Mutex
	known   bool          // whether offset is set
	offset  time.Duration // of the wall clock from the monotonic clock
	jumping bool          // whether a jump is being ignored
	since   time.Duration // start of the jump by the monotonic clock
}

// Now returns the wall clock time, or what it would be without the current jump.
func (c *Clock) Now() time.Time {
	wall, monotonic := time.Now, lease.Clock(lease.BootClock{})
	if c.Wall != nil {
		wall = c.Wall
	}
	if c.Monotonic != nil {
		monotonic = c.Monotonic
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	elapsed := monotonic.Now()
	offset := time.Duration(wall().UnixNano()) - elapsed
	if !c.ignoresJump(offset, elapsed) {
		c.known, c.offset, c.jumping = true, offset, false
	}
	return time.Unix(0, int64(c.offset+elapsed))
}

// ignoresJump reports whether the offset from before a jump is still to be used. It
// records the start of the jump.
func (c *Clock) ignoresJump(offset, elapsed time.Duration) bool {
	if !c.known || (offset-c.offset).Abs() < minJump {
		return false
	}
	if !c.jumping {
		c.jumping, c.since = true, elapsed
	}
	return elapsed-c.since < maxJumpDuration
}
